package deployed

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/platform/header"
	"persimmonwind.dev/platform/platformtest"
)

const (
	fleetEntries = 4
	fleetEngines = 8
	fleetPlain   = 3 // Servers of the plain service, numbered after the engines.
	engineSlots  = 12
	plainSlots   = 6
	metricsPort  = 9464
	fleetKey     = "key-of-org-a"
	// contactTime is the time within which entries must know what the fleet has shown, as
	// in their settings.
	contactTime = 3 * time.Second
	// crashingPart is the part of prompts that crashes engines.
	crashingPart = "bad0bad0"
	// crashingTarget ends the target of requests that crash servers.
	crashingTarget = "/crash"
	// crashDelay is the time from the arrival of such a request until the server ends.
	crashDelay = 30 * time.Millisecond
	// restartTime is the time after which a crashed server is back.
	restartTime = 600 * time.Millisecond
)

// fleet is a store, engines, plain servers and entries on loopback addresses of their own.
// Servers crash as they begin to answer a prompt with crashingPart or a request for
// crashingTarget.
type fleet struct {
	t       *testing.T
	network string // First three octets of the addresses.
	store   *platformtest.Store
	entries []string // Addresses for callers.

	mu      sync.Mutex
	crashes []time.Time
	reached []time.Time         // When requests that crash servers reached them.
	limits  map[int]string      // The limits that engines name, by number.
	arrived map[int][]time.Time // When requests reached the engines that named a limit then, by number.
}

// server is one incarnation of an engine or a plain server.
type server struct {
	platformtest.Server
	fleet   *fleet
	address string
	http    *http.Server
	crash   sync.Once
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, network: fmt.Sprintf("127.%d.251", 64+os.Getpid()%128), store: platformtest.NewStore(), limits: map[int]string{}, arrived: map[int][]time.Time{}}
	storeServer := httptest.NewServer(f.store)
	config := platformtest.Configuration(1, platformtest.Shape{Ranks: fleetEngines, Sets: 2, Experts: 16, Places: 6}, false)
	platformtest.RequireKey(config, "org-a", fleetKey)
	f.put(platform.TableOperators, platformtest.ConfigurationKey, config)
	for i := range fleetEngines + fleetPlain {
		f.startServer(i, 0)
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range fleetEntries {
		settings := f.settings(i, storeServer.Listener.Addr().String())
		log := logrus.New()
		log.SetOutput(io.Discard)
		entry := NewEntry(settings, logrus.NewEntry(log))
		running.Go(func() {
			if err := entry.Run(ctx, metricsPort); err != nil {
				t.Errorf("entry: %v", err)
			}
		})
		f.entries = append(f.entries, settings.FrontListen)
		f.awaitReady(settings.ReadyListen)
	}
	t.Cleanup(func() {
		stop()
		running.Wait()
		storeServer.CloseClientConnections()
		storeServer.Close()
	})
	return f
}

func (f *fleet) settings(i int, store string) platform.Settings {
	path := filepath.Join(f.t.TempDir(), "entry.conf")
	machine := platformtest.Machine{Name: fmt.Sprintf("entry-%d", i), Zone: "dc-0", IP: fmt.Sprintf("%s.%d", f.network, 1+i), Store: store}
	if _, err := platformtest.WriteSettings(path, machine); err != nil {
		f.t.Fatal(err)
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		f.t.Fatal(err)
	}
	settings.GracePeriod = 0
	return settings
}

func (f *fleet) awaitReady(address string) {
	for range 100 {
		response, err := http.Get("http://" + address + "/")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatalf("entry at %s is not ready", address)
}

func (f *fleet) put(table, key string, value any) {
	if err := f.store.Put(table, key, value); err != nil {
		f.t.Errorf("put %s/%s: %v", table, key, err)
	}
}

// startServer starts the server's incarnation with the number.
func (f *fleet) startServer(number, incarnation int) {
	address := fmt.Sprintf("%s.%d:9100", f.network, 101+number)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		f.t.Errorf("start server: %v", err)
		return
	}
	service := platformtest.EngineService
	e := &server{
		Server: platformtest.Server{
			ID: fmt.Sprintf("i-%d-%d", number, incarnation), Slots: engineSlots, ExecutionLog: platformtest.NewExecutionLog(),
			Group: platformtest.NewGroup(platformtest.Shape{Ranks: 1, Sets: 1, Experts: 1, Places: 1}, 1),
		},
		fleet: f, address: address,
	}
	if number >= fleetEngines {
		service, e.Slots, e.Group = platformtest.PlainService, plainSlots, nil
	}
	e.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, number, incarnation) })}
	go func() { _ = e.http.Serve(listener) }()
	f.t.Cleanup(func() { _ = e.http.Close() })
	f.put(platform.TableServers, e.ID, platformtest.ServerRow(service, address, "dc-0", e.Slots, false))
}

// serve answers a request, or crashes while it does if the request is one that crashes
// servers. The server restarts under a new ID.
func (e *server) serve(w http.ResponseWriter, r *http.Request, number, incarnation int) {
	e.fleet.mu.Lock()
	if limit := e.fleet.limits[number]; limit != "" {
		w.Header().Set(header.Limit, limit)
		e.fleet.arrived[number] = append(e.fleet.arrived[number], time.Now())
	}
	e.fleet.mu.Unlock()
	if !strings.Contains(r.Header.Get(header.Prefix), crashingPart) && !strings.HasSuffix(r.URL.Path, crashingTarget) {
		e.ServeHTTP(w, r)
		return
	}
	e.fleet.mu.Lock()
	e.fleet.reached = append(e.fleet.reached, time.Now())
	e.fleet.mu.Unlock()
	time.Sleep(crashDelay)
	e.crash.Do(func() {
		e.fleet.mu.Lock()
		e.fleet.crashes = append(e.fleet.crashes, time.Now())
		e.fleet.mu.Unlock()
		go func() {
			_ = e.http.Close()
			e.fleet.store.Remove(platform.TableServers, e.ID)
			time.Sleep(restartTime)
			e.fleet.startServer(number, incarnation+1)
		}()
	})
	<-r.Context().Done()
}

// send sends a prompt with the parts and a last one of its own to a random entry and
// reports whether it was answered completely at the first attempt.
func (f *fleet) send(client *http.Client, random *rand.Rand, parts ...string) bool {
	return f.sendTo(client, random, fmt.Sprintf("/stream/%08x", random.Uint32()), append(parts, fmt.Sprintf("%08x", random.Uint32()))...)
}

// sendTo sends a request for the target, with the parts if it is a prompt, to a random
// entry and reports whether it was answered completely at the first attempt.
func (f *fleet) sendTo(client *http.Client, random *rand.Rand, target string, parts ...string) bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.entries[random.IntN(len(f.entries))]+target, nil)
	if err != nil {
		f.t.Error(err)
		return false
	}
	request.Host = "soak.example"
	request.Header.Set(header.AttemptID, fmt.Sprintf("%016x", random.Uint64()))
	request.Header.Set(header.Authorization, "Token "+fleetKey)
	request.Header.Set(header.Deadline, "3000")
	if len(parts) > 0 {
		request.Header.Set(header.Prefix, strings.Join(parts, ":40,")+":200")
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	complete := len(parts) == 0 || strings.Count(string(body), "id: ") == platformtest.StreamEvents
	return err == nil && response.StatusCode == http.StatusOK && complete
}

// firstParts and subjects are parts that sound prompts share with those that crash
// engines.
var (
	firstParts = []string{"aaaa0001", "aaaa0002", "aaaa0003"}
	subjects   = []string{"bbbb0001", "bbbb0002", "bbbb0003", "bbbb0004", "bbbb0005", "bbbb0006"}
)

func pick(random *rand.Rand, from []string) string { return from[random.IntN(len(from))] }

// every calls do at the interval, each time in a goroutine of its own, for the period.
func every(running *sync.WaitGroup, interval, period time.Duration, do func(random *rand.Rand)) {
	running.Go(func() {
		random := rand.New(rand.NewPCG(1, uint64(interval)))
		for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(interval) {
			seed := random.Uint64()
			running.Go(func() { do(rand.New(rand.NewPCG(seed, seed))) })
		}
	})
}
