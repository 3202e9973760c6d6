package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"persimmonwind.dev/platform/header"
	"persimmonwind.dev/platform/platformtest"
)

const (
	entryCount   = 4
	serverCount  = 3
	serverSlots  = 6
	serverPort   = 9100
	proxyPort    = 8224
	metricsPort  = 9464
	heartbeat    = 1200 * time.Millisecond
	callDeadline = 1500 * time.Millisecond
	// attemptEntryDigits is the number of digits of an attempt's ID that tell the entry.
	attemptEntryDigits = 8

	// Bounds of the deployment.
	configApply = 2 * time.Second
	contactTime = 3 * time.Second

	host        = "ficu95.example"
	serviceName = "huvo11a"
	zone        = "andina-bog"
	oldKey      = "n2ctnfzs989anu6wsjnb"
	newKey      = "anfqasnmgkcuyj8pjbvk"
)

// configuration returns a version of the configuration in which an organisation has the key.
func configuration(version int64, key string) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": host, "prefix": prefix, "route_kind": kind, "timeout_ms": 800, "slo_ms": 150, "priority": 2,
			"backend": serviceName, "max_attempts": attempts, "public": false, "sticky": false, "resumable": false,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-look", "/cufi504/", "idempotent", 2), route("r-book", "/puxa403/", "non_idempotent", 1),
		},
		"services": []any{map[string]any{"name": serviceName, "health_path": "/healthz", "max_conns": 49, "protocol": "h1", "warmup_s": 0, "warmup_per_s": 0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []any{key}, "priority": 1}},
	}
}

const settingsText = `node_name=%[1]s
role=entry
machine_class=edge
serves=edge
ip=%[2]s
zone=%[3]s
region=andina
zones.andina-bog=andina
listen.front=%[2]s:%[4]d
listen.ready_addr=%[2]s:%[5]d
internal_ports=7340,7355
bootstrap=true
limits.cpu_share=0.304
limits.cores=1
limits.memory_mb=284
limits.max_fds=4200
discovery=platform
entry=vip
heartbeat_ms=1200
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.partition_max_ms=5000
bounds.retry_ratio=0.2
bounds.retry_window_s=10
bounds.retry_slack=90
bounds.warmup_overshoot=1.5
bounds.warmup_slack=5
platform.address=%[6]s
platform.form=table
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
`

// call is one request of a caller.
type call struct {
	sentAt  time.Time
	attempt string
	entry   int
	key     string
	status  int
	failed  string // Why there was no answer; empty if there was one.
	broken  bool   // The call broke the rule.
}

// trial is one run of a case.
type trial struct {
	network    string // First three octets of the addresses.
	folder     string
	started    time.Time
	record     *log.Logger
	store      *store
	executions *platformtest.ExecutionLog
	servers    []*server
	processes  []*exec.Cmd                                                                 // Entries and agents.
	answer     func(server string, w http.ResponseWriter, r *http.Request, attempt string) // Of engines.
	key        atomic.Value                                                                // The key that callers use.

	mu    sync.Mutex
	calls []call
}

func (t *trial) logf(format string, values ...any) {
	t.record.Printf("%8.3f  %s", time.Since(t.started).Seconds(), fmt.Sprintf(format, values...))
}

// put writes a row as an operator or a backend server does.
func (t *trial) put(table, key string, value any) error {
	time.Sleep(storeAnswerTime)
	return t.store.Put(table, key, value)
}

// findNetwork returns a loopback network whose addresses have the ports free.
func findNetwork() (string, error) {
	for i := range 100 {
		network := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i)%200, 1+i)
		free := true
		for _, port := range []int{platformtest.FrontPort, platformtest.ReadyPort, platformtest.StorePort, proxyPort, metricsPort, serverPort} {
			for _, last := range []int{1, entryCount, 250, 101, 100 + serverCount} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, last, port))
				if err != nil {
					free = false
					continue
				}
				_ = listener.Close()
			}
		}
		if free {
			return network, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func (t *trial) entryAddress(entry, port int) string {
	return fmt.Sprintf("%s.%d:%d", t.network, 1+entry, port)
}

func serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return nil
}

// server is a backend server. It writes its row at each heartbeat while it runs and the
// store answers.
type server struct {
	platformtest.Server
	http    *http.Server
	crashed atomic.Bool
	// intercept answers a request in the server's place and reports whether it has; nil
	// for none.
	intercept func(w http.ResponseWriter, r *http.Request) bool

	mu       sync.Mutex
	inFlight map[string]time.Time // When the requests that are being worked on arrived, by attempt.
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(header.AttemptID)
	s.mu.Lock()
	s.inFlight[attempt] = time.Now()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.inFlight, attempt)
	}()
	if s.intercept != nil && s.intercept(w, r) {
		return
	}
	s.Server.ServeHTTP(w, r)
}

// workingFor returns the number of entries whose requests the server has been working on for
// a while and will be for another one.
func (s *server) workingFor() int {
	const margin = 10 * time.Millisecond // Of the 80 ms that a request takes.
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := map[string]bool{}
	for attempt, since := range s.inFlight {
		if age := time.Since(since); age > margin && age < 5*margin {
			entries[attempt[:attemptEntryDigits]] = true
		}
	}
	return len(entries)
}

// crash ends the server as the end of its process would: nothing listens at its address
// any more, and its connections are closed.
func (s *server) crash() {
	s.crashed.Store(true)
	_ = s.http.Close()
}

func (t *trial) startServers() error {
	for i := range serverCount {
		address := fmt.Sprintf("%s.%d:%d", t.network, 101+i, serverPort)
		s := &server{
			Server:   platformtest.Server{ID: fmt.Sprintf("i-%08x", 0x7f3a91c2+i), Slots: serverSlots, ExecutionLog: t.executions},
			inFlight: map[string]time.Time{},
		}
		s.http = &http.Server{Handler: s}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		go func() { _ = s.http.Serve(listener) }()
		row := platformtest.ServerRow(serviceName, address, zone, serverSlots, false)
		if err := t.put("servers", s.ID, row); err != nil {
			return err
		}
		go func() {
			for seq := 1; ; seq++ {
				time.Sleep(heartbeat)
				row["seq"] = seq
				if s.crashed.Load() {
					time.Sleep(2 * heartbeat) // The row is removed after three of silence.
					t.store.Remove("servers", s.ID)
					return
				}
				if !t.store.silent.Load() {
					_ = t.put("servers", s.ID, row)
				}
			}
		}()
		t.servers = append(t.servers, s)
	}
	return nil
}

// startEntries starts the entries with the command of the deploy file.
func (t *trial) startEntries(storeAddress string) error {
	for i := range entryCount {
		name := fmt.Sprintf("edge-%s-%d", zone, 1+i)
		path := filepath.Join(t.folder, name+".conf")
		text := fmt.Sprintf(settingsText, name, fmt.Sprintf("%s.%d", t.network, 1+i), zone, platformtest.FrontPort, platformtest.ReadyPort, storeAddress)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		output, err := os.Create(filepath.Join(t.folder, name+".log"))
		if err != nil {
			return err
		}
		command := exec.Command("target/persimmonwind", "platform", "entry", "--metrics-port", fmt.Sprint(metricsPort))
		command.Env = []string{"PERSIMMONWIND_BOOT=" + path}
		command.Stdout, command.Stderr = output, output
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := command.Start(); err != nil {
			return err
		}
		t.processes = append(t.processes, command)
	}
	for i := range entryCount {
		if err := t.awaitReady(t.entryAddress(i, platformtest.ReadyPort)); err != nil {
			return err
		}
	}
	return nil
}

func (t *trial) awaitReady(address string) error {
	for range 200 {
		response, err := http.Get("http://" + address + "/persimmonwind/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("entry at %s is not ready", address)
}

func (t *trial) stop() {
	for _, process := range t.processes {
		_ = process.Process.Kill()
		_ = process.Wait()
	}
}

// request sends one idempotent request with the key to the entry.
func (t *trial) request(client *http.Client, entry, number int, key string) {
	t.send(client, http.MethodGet, "/cufi504/fi50/2f", entry, number, key, func(c call) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.calls = append(t.calls, c)
	})
}

// send sends one request to the entry and passes what became of it to done.
func (t *trial) send(client *http.Client, method, path string, entry, number int, key string, done func(call)) {
	made := call{sentAt: time.Now(), attempt: fmt.Sprintf("%0*x%08x", attemptEntryDigits, entry, number), entry: entry, key: key}
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+t.entryAddress(entry, platformtest.FrontPort)+path, nil)
	if err == nil {
		request.Host = host
		request.Header.Set(header.AttemptID, made.attempt)
		request.Header.Set(header.Deadline, fmt.Sprint(callDeadline.Milliseconds()))
		request.Header.Set(header.Authorization, "Token "+key)
		var response *http.Response
		if response, err = client.Do(request); err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			made.status = response.StatusCode
		}
	}
	if err != nil {
		made.failed = err.Error()
	}
	done(made)
}

// callAll sends requests to all entries at the interval until the time.
func (t *trial) callAll(interval time.Duration, until time.Time) (finished chan struct{}) {
	finished = make(chan struct{})
	var running sync.WaitGroup
	for entry := range entryCount {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
		running.Go(func() {
			for number := 0; time.Now().Before(until); number++ {
				running.Go(func() { t.request(client, entry, number, t.key.Load().(string)) })
				time.Sleep(interval)
			}
		})
	}
	go func() {
		defer close(finished)
		running.Wait()
	}()
	return finished
}

// start starts the stand-ins and the entries, which reach the store at storeAddress.
func (t *trial) start(storeAddress string) error {
	return t.startWith(configuration(7, oldKey), storeAddress)
}

// startWith is start with a configuration, which may have engines.
func (t *trial) startWith(config map[string]any, storeAddress string) error {
	if err := serve(t.storeAddress(), t.store); err != nil {
		return err
	}
	if err := t.put("op", platformtest.ConfigurationKey, config); err != nil {
		return err
	}
	if err := t.startServers(); err != nil {
		return err
	}
	if t.answer != nil {
		if err := t.startEngines(); err != nil {
			return err
		}
	}
	return t.startEntries(storeAddress)
}

func (t *trial) storeAddress() string {
	return fmt.Sprintf("%s.250:%d", t.network, platformtest.StorePort)
}

func (t *trial) putConfiguration(version int64, key string) error {
	return t.put("op", platformtest.ConfigurationKey, configuration(version, key))
}

// changeKey replaces the organisation's key. Callers use the new one as soon as it is
// bound to be in force everywhere.
func (t *trial) changeKey() (acknowledged time.Time, err error) {
	if err := t.putConfiguration(12, newKey); err != nil {
		return time.Time{}, err
	}
	acknowledged = time.Now()
	t.logf("version 12 was acknowledged: the organisation's key is replaced by another one")
	time.AfterFunc(configApply, func() {
		t.key.Store(newKey)
		t.logf("callers use the new key")
	})
	return acknowledged, nil
}

// checkRefusals counts the calls that were sent from the time on, and those of them that
// were refused as only the version before the change of the key allows.
func (t *trial) checkRefusals(from time.Time) (broken, checked int) {
	t.logf("the rule binds requests that are sent from %.3f on", from.Sub(t.started).Seconds())
	for i := range t.calls {
		made := &t.calls[i]
		if made.sentAt.Before(from) {
			continue
		}
		checked++
		if made.broken = made.status == http.StatusUnauthorized && made.key == newKey; made.broken {
			broken++
		}
	}
	return broken, checked
}

// recordCalls writes what was sent, answered and run to the record.
func (t *trial) recordCalls() {
	for _, made := range t.calls {
		verdict := ""
		if made.broken {
			verdict = "  BROKEN: refused as only an older version says"
		}
		t.record.Printf("%8.3f  request to entry %d with key %s: status %d %s%s", made.sentAt.Sub(t.started).Seconds(), made.entry, made.key, made.status, made.failed, verdict)
	}
	t.executions.Each(func(attempt string, each []platformtest.Execution) {
		for _, execution := range each {
			t.record.Printf("%8.3f  server %s ran request %s", execution.At.Sub(t.started).Seconds(), execution.Server, attempt)
		}
	})
}
