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
	serverPort   = 9000 // Port on which a backend server listens, behind its proxy.
	linkPort     = 9100 // Port of the proxy in front of a backend server, which is the address in the server's row.
	slots        = 12
	// exitLimit is the maximum time from SIGTERM to the exit of a process: its grace period
	// plus the time that it needs to exit.
	exitLimit = 10 * time.Second
)

var shape = platformtest.Shape{Ranks: ranks, Sets: 2, Experts: 16, Places: 6}

// machine runs one process of the system, an entry or an agent, at its own IP address
// and with its own proxy to the store, as if the process had a machine to itself.
type machine struct {
	name, role, ip   string
	settingsVariable string // Environment variable that names the settings file, as name=value.
	storeLink        *proxy
	log              *os.File

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// backend is a backend server with the proxy in front of it. The store lists the
// server under the address of the proxy.
type backend struct {
	server  *platformtest.Server
	service string
	address string
	zone    string
	link    *proxy
}

// deployment is the store, the backend servers and the system's processes.
type deployment struct {
	t             *testing.T
	dir           string
	networkPrefix string // First three octets of the deployment's IP addresses.
	store         *platformtest.Store
	group         *platformtest.Group
	executionLog  *platformtest.ExecutionLog
	backends      []*backend
	machines      []*machine // The entries, followed by the agents.
	classes       bool       // Every other configuration, from the first on, has streaming routes that differ in priority and objective.

	mu         sync.Mutex
	version    int64
	extraRoute bool      // Whether the latest configuration has the route /extra/.
	changedAt  time.Time // Time at which the latest configuration was stored.
	faults     []fault
}

// fault is the period of a fault of a process or a link.
type fault struct {
	machine     *machine // The process with the fault, or whose link has it; nil for the link of a backend server.
	from, until time.Time
}

// newDeployment starts a deployment on loopback addresses of its own.
func newDeployment(t *testing.T, seed uint64, number int) *deployment {
	d := &deployment{
		t: t, dir: t.TempDir(), networkPrefix: fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, number%250+1),
		classes: seed%2 == 0,
		store:   platformtest.NewStore(), group: platformtest.NewGroup(shape, seed), executionLog: platformtest.NewExecutionLog(),
	}
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go d.group.Run(stop)
	d.serve(d.address(250, platformtest.StorePort), d.store)
	for i := range ranks + plainServers {
		d.addBackend(i, fmt.Sprintf("i-%d", i))
	}
	d.configure(false)
	for i := range entries {
		d.addMachine(fmt.Sprintf("entry-%d", i), "entry", 1+i, nil)
	}
	for _, b := range d.backends[:ranks] {
		d.addMachine("agent-"+b.server.ID, "agent", 101+b.server.Rank, b)
	}
	for _, m := range d.machines {
		m.start(t)
	}
	t.Cleanup(func() {
		for _, m := range d.machines {
			m.kill()
		}
	})
	d.awaitReady()
	return d
}

func (d *deployment) address(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", d.networkPrefix, host, port)
}

func (d *deployment) serve(address string, handler http.Handler) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		d.t.Fatalf("start stand-in: %v", err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	d.t.Cleanup(func() { _ = server.Close() })
}

func (d *deployment) addBackend(i int, id string) {
	b := &backend{server: &platformtest.Server{ID: id, Slots: slots, ExecutionLog: d.executionLog}, service: platformtest.PlainService, zone: fmt.Sprint("dc-", i%2)}
	if i < ranks {
		b.server.Group, b.server.Rank, b.service = d.group, i, platformtest.EngineService
	}
	b.address = d.address(101+i, linkPort)
	d.serve(d.address(101+i, serverPort), b.server)
	b.link = newProxy(d.t, b.address, d.address(101+i, serverPort))
	d.backends = append(d.backends, b)
	d.putServer(b, false)
}

// putServer stores the backend server's row.
func (d *deployment) putServer(b *backend, leaving bool) {
	d.put(platform.TableServers, b.server.ID, platformtest.ServerRow(b.service, b.address, b.zone, slots, leaving))
}

func (d *deployment) put(table, key string, value any) {
	if err := d.store.Put(table, key, value); err != nil {
		d.t.Errorf("put %s/%s: %v", table, key, err)
	}
}

// configure stores the next version of the configuration.
func (d *deployment) configure(extraRoute bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version += 3
	d.extraRoute = extraRoute
	configuration := platformtest.Configuration(d.version, shape, extraRoute)
	if d.classes && d.version%2 == 1 {
		platformtest.AddClasses(configuration)
	}
	d.put(platform.TableOperators, platformtest.ConfigurationKey, configuration)
	d.changedAt = time.Now()
}

func (d *deployment) addMachine(name, role string, host int, backendServer *backend) {
	m := &machine{name: name, role: role, ip: fmt.Sprintf("%s.%d", d.networkPrefix, host)}
	m.storeLink = newProxy(d.t, d.address(host, platformtest.StorePort), d.address(250, platformtest.StorePort))
	settings := platformtest.Machine{Name: name, Zone: "dc-0", IP: m.ip, Store: m.storeLink.listener.Addr().String()}
	if backendServer != nil {
		settings.Server, settings.Service = d.address(host, serverPort), backendServer.service
	}
	var err error
	if m.settingsVariable, err = platformtest.WriteSettings(filepath.Join(d.dir, name+".conf"), settings); err != nil {
		d.t.Fatal(err)
	}
	if m.log, err = os.Create(filepath.Join(d.dir, name+".log")); err != nil {
		d.t.Fatal(err)
	}
	d.machines = append(d.machines, m)
}

// start starts the process unless it is running: overlapping faults may both start
// it.
func (m *machine) start(t *testing.T) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running() {
		return
	}
	m.command = exec.Command(binary, "platform", m.role)
	m.command.Env = append(os.Environ(), m.settingsVariable)
	m.command.Stdout, m.command.Stderr = m.log, m.log
	if err := program.Start(m.command); err != nil {
		t.Errorf("start %s: %v", m.name, err)
		return
	}
	exited := make(chan struct{})
	m.exited = exited
	command := m.command
	go func() {
		_ = command.Wait() // Processes that are killed on purpose return an error.
		close(exited)
	}()
}

// running reports whether the process has been started and has not exited.
func (m *machine) running() bool {
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
	_ = m.command.Process.Signal(signal) // Fails if the process has already exited.
}

// kill kills the process, even if it is suspended, and waits for its exit.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.exitedChannel()
}

// exitedChannel returns a channel that is closed once the current process has exited.
func (m *machine) exitedChannel() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.exited
}

// awaitExit waits up to exitLimit for the process to exit and reports whether it
// did.
func (m *machine) awaitExit() bool {
	select {
	case <-m.exitedChannel():
		return true
	case <-time.After(exitLimit):
		return false
	}
}

// fault records a fault that starts now and lasts for the period. It is a fault of the
// process or its link to the store, or of the link of a backend server if m is nil.
func (d *deployment) fault(m *machine, period time.Duration) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = append(d.faults, fault{machine: m, from: now, until: now.Add(period)})
}

// faultBetween reports whether any fault of a machine that satisfies matches overlaps
// the given time.
func (d *deployment) faultBetween(from, to time.Time, matches func(*machine) bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range d.faults {
		if matches(f.machine) && f.from.Before(to) && f.until.After(from) {
			return true
		}
	}
	return false
}

// settled reports whether the process and its link have been free of faults for
// settleTime. Only then must the process apply a new configuration within applyLimit.
func (d *deployment) settled(m *machine, now time.Time) bool {
	return !d.faultBetween(now.Add(-settleTime), now, func(faulty *machine) bool { return faulty == m })
}

func (m *machine) frontAddress() string { return fmt.Sprintf("%s:%d", m.ip, platformtest.FrontPort) }

func (d *deployment) awaitReady() {
	const limit = 15 * time.Second
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range d.machines[:entries] {
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
	d.t.Fatal("the entries did not become ready")
}
