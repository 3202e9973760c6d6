// Program review-holds plays changes of a group's expert map with the project's agents as
// separate processes on loopback addresses, started with the command of deploy/system.toml.
// It reports passes that ranks begin with different maps, and how long the group stands
// still. It exits with 1 if ranks have begun a pass with different maps, or if the group does
// not go on at the end.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/platform/platformtest"
)

const (
	storeHost  = 250
	firstAgent = 101
	serverPort = 8228
)

// deployment is a store, one group of engines and an agent beside each.
type deployment struct {
	network string
	folder  string
	ranks   int
	store   *platformtest.Store
	group   *platformtest.Group
	random  *rand.Rand
	started time.Time

	mu          sync.Mutex
	agents      []*agent
	storeClosed bool
	held        chan int // Receives a rank that has been ordered to hold a pass.
}

// agent is one of the project's processes.
type agent struct {
	name, settings string
	log            *os.File
	mu             sync.Mutex
	command        *exec.Cmd
	ended          chan struct{}
	faultUntil     time.Time
}

func (d *deployment) ip(host int) string { return fmt.Sprintf("%s.%d", d.network, host) }

func (d *deployment) note(format string, args ...any) {
	fmt.Printf("%8.3f  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "can't run:", err)
		os.Exit(2)
	}
}

func (d *deployment) serve(host, port int, handler http.Handler) {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", d.ip(host), port))
	check(err)
	go func() { _ = http.Serve(listener, handler) }()
}

// engine serves a rank and notes its holds.
func (d *deployment) engine(rank int, server *platformtest.Server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/persimmonwind/order" {
			server.ServeHTTP(w, r)
			return
		}
		body, _ := io.ReadAll(r.Body)
		var order struct {
			Op string `json:"op"`
		}
		_ = json.Unmarshal(body, &order)
		r.Body = io.NopCloser(bytes.NewReader(body))
		recorder := httptest.NewRecorder()
		server.ServeHTTP(recorder, r)
		accepted := recorder.Code == http.StatusAccepted
		if accepted && order.Op == "retention" {
			select {
			case d.held <- rank:
			default:
			}
		}
		w.WriteHeader(recorder.Code)
	})
}

func (d *deployment) run(a *agent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.command = exec.Command("target/persimmonwind", "platform", "agent", "--metrics-port", "9464")
	a.command.Env = []string{a.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + d.folder}
	a.command.Stdout, a.command.Stderr = a.log, a.log
	a.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(a.command.Start())
	ended := make(chan struct{})
	a.ended = ended
	command := a.command
	go func() { _ = command.Wait(); close(ended) }()
}

func (a *agent) signal(s syscall.Signal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = a.command.Process.Signal(s)
}

// claim reserves the agent for a fault of the duration.
func (a *agent) claim(duration time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Now().Before(a.faultUntil) {
		return false
	}
	a.faultUntil = time.Now().Add(duration + 500*time.Millisecond)
	return true
}

func (d *deployment) kill(a *agent, down time.Duration) {
	if !a.claim(down) {
		return
	}
	a.signal(syscall.SIGKILL)
	<-a.ended
	time.AfterFunc(down, func() { d.run(a) })
}

func (d *deployment) freeze(a *agent, duration time.Duration) {
	if !a.claim(duration) {
		return
	}
	a.signal(syscall.SIGSTOP)
	time.AfterFunc(duration, func() { a.signal(syscall.SIGCONT) })
}

// storeHandler leaves requests unanswered while the store is silent.
func (d *deployment) storeHandler(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	d.mu.Lock()
	silent := d.storeClosed
	d.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	d.store.ServeHTTP(w, r)
}

func (d *deployment) silence(duration time.Duration) {
	set := func(silent bool) { d.mu.Lock(); d.storeClosed = silent; d.mu.Unlock() }
	set(true)
	time.AfterFunc(duration, func() { set(false) })
}

// watch reports the longest time without a pass, and violations, until stop is closed.
func (d *deployment) watch(stop <-chan struct{}, longest *time.Duration, versions *int) {
	var lastPass, lastVersion int64
	lastAt := time.Now()
	reported := 0
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		version, pass := d.group.Version()
		if pass != lastPass {
			if still := time.Since(lastAt); still > 300*time.Millisecond {
				d.note("stood still for %v before pass %d", still.Round(time.Millisecond), pass)
			}
			lastPass, lastAt = pass, time.Now()
		}
		*longest = max(*longest, time.Since(lastAt))
		if version != lastVersion {
			*versions++
			lastVersion = version
		}
		if found := d.group.Violations(); len(found) > reported {
			d.note("VIOLATION %s", found[len(found)-1])
			reported = len(found)
		}
	}
}

func main() {
	ranks := flag.Int("ranks", 40, "ranks of the group")
	seconds := flag.Int("seconds", 60, "duration")
	seed := flag.Uint64("seed", 1, "seed")
	mode := flag.String("mode", "storm", "storm: random faults; holder: the agent of a rank is killed that holds a pass; other: that of another rank; calm: nothing")
	late := flag.Float64("late", 0.1, "share of the orders that are carried out late, in mode storm")
	classes := flag.Bool("classes", false, "the service is scheduled by class")
	down := flag.Duration("down", 650*time.Millisecond, "time for which a process is down, in the modes holder and other; 650 ms is that of the users' bench")
	flag.Parse()
	folder, err := os.MkdirTemp("", "review-holds-")
	check(err)
	d := &deployment{
		network: fmt.Sprintf("127.%d.%d", 66+os.Getpid()%120, 1+os.Getpid()/120%200), folder: folder, ranks: *ranks,
		store: platformtest.NewStore(), random: rand.New(rand.NewPCG(*seed, 7)), started: time.Now(), held: make(chan int, 1),
	}
	shape := platformtest.Shape{Ranks: *ranks, Sets: 2, Experts: *ranks * 2, Places: 4}
	d.group = platformtest.NewGroup(shape, *seed)
	d.serve(storeHost, platformtest.StorePort, http.HandlerFunc(d.storeHandler))
	configuration := platformtest.Configuration(3, shape, false)
	if *classes {
		platformtest.AddClasses(configuration)
	}
	check(d.store.Put(platform.TableOperators, platformtest.ConfigurationKey, configuration))
	executions := platformtest.NewExecutionLog()
	for rank := range *ranks {
		host := firstAgent + rank
		address := fmt.Sprintf("%s:%d", d.ip(host), serverPort)
		zone := fmt.Sprint("dc-", rank%3)
		server := &platformtest.Server{ID: fmt.Sprint("i-", rank), Slots: 12, ExecutionLog: executions, Group: d.group, Rank: rank}
		d.serve(host, serverPort, d.engine(rank, server))
		check(d.store.Put(platform.TableServers, server.ID, platformtest.ServerRow(platformtest.EngineService, address, zone, 12, false)))
		a := &agent{name: fmt.Sprint("agent-", rank)}
		a.settings, err = platformtest.WriteSettings(filepath.Join(folder, a.name+".conf"), platformtest.Machine{
			Name: a.name, Zone: zone, IP: d.ip(host), Store: fmt.Sprintf("%s:%d", d.ip(storeHost), platformtest.StorePort),
			Server: address, Service: platformtest.EngineService,
		})
		check(err)
		a.log, err = os.Create(filepath.Join(folder, a.name+".log"))
		check(err)
		d.agents = append(d.agents, a)
	}
	for _, a := range d.agents {
		d.run(a)
	}
	stop := make(chan struct{})
	go d.group.Run(stop)
	time.Sleep(4 * time.Second)
	var longest time.Duration
	versions := 0
	go d.watch(stop, &longest, &versions)
	end := time.Now().Add(time.Duration(*seconds) * time.Second)
	switch *mode {
	case "storm":
		d.storm(end, *late)
	case "holder":
		d.killAtHolds(end, *down, 0)
	case "other":
		d.killAtHolds(end, *down, *ranks/2)
	default:
		time.Sleep(time.Until(end))
	}
	d.group.DelayOrders(0)
	_, before := d.group.Version()
	time.Sleep(15 * time.Second)
	_, after := d.group.Version()
	d.note("passes in the last 15 s: %d; versions %d; longest standstill %v; violations %d", after-before, versions, longest.Round(time.Millisecond), len(d.group.Violations()))
	close(stop)
	for _, a := range d.agents {
		a.signal(syscall.SIGKILL)
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(folder)
	} else {
		d.note("logs in %s", filepath.Base(folder))
	}
	if len(d.group.Violations()) > 0 || after-before < 100 {
		os.Exit(1)
	}
}

// killAtHolds kills an agent, again and again, as soon as a rank has been ordered to hold a
// pass: that of the rank with the distance from it.
func (d *deployment) killAtHolds(end time.Time, down time.Duration, distance int) {
	for time.Now().Before(end) {
		select {
		case rank := <-d.held:
			killed := (rank + distance) % d.ranks
			d.note("rank %d holds a pass; the agent of rank %d is killed", rank, killed)
			d.kill(d.agents[killed], down)
			time.Sleep(down + 3*time.Second)
			select {
			case <-d.held: // A hold that was ordered meanwhile.
			default:
			}
		case <-time.After(time.Until(end)):
		}
	}
}

// storm plays random faults.
func (d *deployment) storm(end time.Time, late float64) {
	for time.Now().Before(end) {
		duration := time.Duration(200+d.random.IntN(3300)) * time.Millisecond
		count := 1 + d.random.IntN(max(1, d.ranks/4))
		switch d.random.IntN(8) {
		case 0, 1:
			d.note("kill of %d for %v", count, duration)
			for range count {
				d.kill(d.agents[d.random.IntN(d.ranks)], duration)
			}
		case 2, 3:
			d.note("freeze of %d for %v", count, duration)
			for range count {
				d.freeze(d.agents[d.random.IntN(d.ranks)], duration)
			}
		case 4:
			d.note("store silent for %v", duration)
			d.silence(duration)
		case 5:
			d.note("new epoch")
			d.group.StartEpoch()
		case 6:
			d.note("late orders")
			d.group.DelayOrders(late)
			time.AfterFunc(duration, func() { d.group.DelayOrders(0) })
		case 7:
			if d.random.IntN(3) == 0 {
				d.note("kill of all for %v", duration)
				for _, a := range d.agents {
					d.kill(a, duration)
				}
			}
		}
		time.Sleep(time.Duration(200+d.random.IntN(1800)) * time.Millisecond)
	}
}
