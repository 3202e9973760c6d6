package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/platform/platformtest"
	"persimmonwind.dev/server/standin/program"
)

const (
	entries      = 3
	ranks        = 4
	plainServers = 3
	serverPort   = 9000 // Of a backend server itself.
	linkPort     = 9100 // Under which it is listed: a proxy before it.
	slots        = 12
	// exitLimit is the grace period with what ending a process takes.
	exitLimit = 10 * time.Second
)

var shape = platformtest.Shape{Ranks: ranks, Sets: 2, Experts: 16, Places: 6}

// machine runs one process of the system, behind a link of its own to the store.
type machine struct {
	name, role, ip string
	variable       string // Names the settings file.
	store          *proxy
	log            *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// backend is a backend server with the link under which it is listed.
type backend struct {
	server  *platformtest.Server
	service string
	address string
	zone    string
	link    *proxy
}

// world is a deployment: the store, backend servers, and the system's processes.
type world struct {
	t        *testing.T
	dir      string
	network  string // First three numbers of every address.
	store    *platformtest.Store
	group    *platformtest.Group
	ledger   *platformtest.ExecutionLog
	backends []*backend
	machines []*machine // Entries first.

	mu      sync.Mutex
	version int64
	extra   bool      // The route that comes and goes is there.
	changed time.Time // When the store took the latest configuration.
	harms   []harm
}

// harm is a time in which a process or a link was harmed.
type harm struct {
	machine     *machine // Nil for a backend server's link.
	from, until time.Time
}

// newWorld starts a deployment on loopback addresses that no other one uses.
func newWorld(t *testing.T, seed uint64, number int) *world {
	w := &world{
		t: t, dir: t.TempDir(), network: fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, number%250+1),
		store: platformtest.NewStore(), group: platformtest.NewGroup(shape, seed), ledger: platformtest.NewExecutionLog(),
	}
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go w.group.Run(stop)
	w.serve(w.address(250, platformtest.StorePort), w.store)
	for i := range ranks + plainServers {
		w.addBackend(i, fmt.Sprintf("i-%d", i))
	}
	w.configure(false)
	for i := range entries {
		w.addMachine(fmt.Sprintf("entry-%d", i), "entry", 1+i, nil)
	}
	for _, b := range w.backends[:ranks] {
		w.addMachine("agent-"+b.server.ID, "agent", 101+b.server.Rank, b)
	}
	for _, m := range w.machines {
		m.start(t)
	}
	t.Cleanup(func() {
		for _, m := range w.machines {
			m.kill()
		}
	})
	w.awaitReady()
	return w
}

func (w *world) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", w.network, host, port)
}

func (w *world) serve(address string, handler http.Handler) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		w.t.Fatalf("stand-in: %v", err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	w.t.Cleanup(func() { _ = server.Close() })
}

func (w *world) addBackend(i int, id string) {
	b := &backend{server: &platformtest.Server{ID: id, Slots: slots, ExecutionLog: w.ledger}, service: platformtest.PlainService, zone: fmt.Sprint("dc-", i%2)}
	if i < ranks {
		b.server.Group, b.server.Rank, b.service = w.group, i, platformtest.EngineService
	}
	b.address = w.address(101+i, linkPort)
	w.serve(w.address(101+i, serverPort), b.server)
	b.link = newProxy(w.t, b.address, w.address(101+i, serverPort))
	w.backends = append(w.backends, b)
	w.list(b, false)
}

// list writes the backend server's row.
func (w *world) list(b *backend, leaving bool) {
	w.put(platform.TableServers, b.server.ID, platformtest.ServerRow(b.service, b.address, b.zone, slots, leaving))
}

func (w *world) put(table, key string, value any) {
	if err := w.store.Put(table, key, value); err != nil {
		w.t.Errorf("write %s/%s: %v", table, key, err)
	}
}

// configure puts the next version in force.
func (w *world) configure(extra bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 3
	w.extra = extra
	w.put(platform.TableOperators, platformtest.ConfigurationKey, platformtest.Configuration(w.version, shape, extra))
	w.changed = time.Now()
}

func (w *world) addMachine(name, role string, host int, beside *backend) {
	m := &machine{name: name, role: role, ip: fmt.Sprintf("%s.%d", w.network, host)}
	m.store = newProxy(w.t, w.address(host, platformtest.StorePort), w.address(250, platformtest.StorePort))
	settings := platformtest.Machine{Name: name, Zone: "dc-0", IP: m.ip, Store: m.store.listener.Addr().String()}
	if beside != nil {
		settings.Server, settings.Service = w.address(host, serverPort), beside.service
	}
	var err error
	if m.variable, err = platformtest.WriteSettings(filepath.Join(w.dir, name+".conf"), settings); err != nil {
		w.t.Fatal(err)
	}
	if m.log, err = os.Create(filepath.Join(w.dir, name+".log")); err != nil {
		w.t.Fatal(err)
	}
	w.machines = append(w.machines, m)
}

// start starts the process unless it runs: faults that overlap may both start it.
func (m *machine) start(t *testing.T) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.runs() {
		return
	}
	m.command = exec.Command(binary, "platform", m.role)
	m.command.Env = append(os.Environ(), m.variable)
	m.command.Stdout, m.command.Stderr = m.log, m.log
	if err := program.Start(m.command); err != nil {
		t.Errorf("start %s: %v", m.name, err)
		return
	}
	exited := make(chan struct{})
	m.exited = exited
	command := m.command
	go func() {
		_ = command.Wait() // Processes are killed on purpose.
		close(exited)
	}()
}

// runs reports whether the process has been started and has not ended.
func (m *machine) runs() bool {
	if m.exited == nil {
		return false
	}
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

func (m *machine) signal(signal syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.command.Process.Signal(signal) // It may have ended just before.
}

// kill ends the process at once, also when it is stopped.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.ended()
}

// ended returns the channel that is closed when the present process has ended.
func (m *machine) ended() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.exited
}

// awaitExit waits for the process to end by itself.
func (m *machine) awaitExit() bool {
	select {
	case <-m.ended():
		return true
	case <-time.After(exitLimit):
		return false
	}
}

// harm notes that the process or its link, or a backend server's, is harmed for the
// time.
func (w *world) harm(m *machine, lasts time.Duration) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.harms = append(w.harms, harm{machine: m, from: now, until: now.Add(lasts)})
}

// harmedBetween reports whether anything that is not left out was harmed then.
func (w *world) harmedBetween(from, to time.Time, counts func(*machine) bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.harms {
		if counts(h.machine) && h.from.Before(to) && h.until.After(from) {
			return true
		}
	}
	return false
}

// inTouch reports whether the process and its link have been unharmed for so long
// that rules with a bound hold for it.
func (w *world) inTouch(m *machine, now time.Time) bool {
	return !w.harmedBetween(now.Add(-touchTime), now, func(harmed *machine) bool { return harmed == m })
}

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, platformtest.FrontPort) }

func (w *world) awaitReady() {
	const limit = 15 * time.Second
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range w.machines[:entries] {
			if response, err := client.Get(fmt.Sprintf("http://%s:%d/", m.ip, platformtest.ReadyPort)); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == entries {
			return
		}
	}
	w.t.Fatal("the entries did not become ready")
}
