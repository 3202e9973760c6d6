// Package e2e tests the system as separate processes on loopback.
package e2e

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/server/admin/adminapi"
	"persimmonwind.dev/server/configstore"
	"persimmonwind.dev/server/dev"
	"persimmonwind.dev/server/keys"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/ports/httpapi"
	"persimmonwind.dev/server/settings"
	"persimmonwind.dev/server/standin/program"
)

const (
	readyTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	stopTimeout  = 30 * time.Second
	leaveDelayMS = 1500
)

// binary is the persimmonwind binary under test.
var binary string

func TestMain(m *testing.M) {
	os.Exit(program.Run(m, &binary))
}

// operators may use the administration API of every entry.
var operators = []adminapi.Operator{
	{Name: "anna", TokenSHA256: config.Digest([]byte("anna-token")), Role: adminapi.RoleAdministrator},
	{Name: "boris", TokenSHA256: config.Digest([]byte("boris-token")), Role: adminapi.RoleOperator},
	{Name: "vera", TokenSHA256: config.Digest([]byte("vera-token")), Role: adminapi.RoleViewer},
}

// process is one running process of the system.
type process struct {
	t       *testing.T
	command *exec.Cmd
	exited  chan struct{} // Closed once the process has ended.
	err     error         // How it ended; valid after exited is closed.
	log     lockedBuffer
}

func start(t *testing.T, arguments ...string) *process {
	t.Helper()
	p := &process{t: t, command: exec.Command(binary, arguments...), exited: make(chan struct{})}
	p.command.Stderr = &p.log
	if err := program.Start(p.command); err != nil {
		t.Fatalf("start %v: %v", arguments, err)
	}
	go func() {
		p.err = p.command.Wait()
		close(p.exited)
	}()
	t.Cleanup(p.kill)
	return p
}

// signal sends the signal to the process.
func (p *process) signal(signal syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		p.t.Fatalf("signal %v: %v", signal, err)
	}
}

// signalAgain sends the signal to a process that leaves because of the first one; it
// may end at any moment.
func (p *process) signalAgain(signal syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Fatalf("signal %v: %v", signal, err)
	}
}

// kill ends the process at once, also when it is stopped.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// wait waits for the process to end by itself and returns how it ended.
func (p *process) wait() error {
	select {
	case <-p.exited:
		return p.err
	case <-time.After(stopTimeout):
		return errors.New("process did not end in time")
	}
}

// system is a whole system as separate processes.
type system struct {
	t         *testing.T
	store     *httpapi.Store
	storeURL  string
	Store     *process
	Entries   map[string]*process
	Agents    map[string]*process // By backend server.
	Backends  map[string]*process // By backend server.
	callers   map[string]string   // Entry to its base URL for callers.
	admin     map[string]string   // Entry to its base URL for operators.
	backend   map[string]string   // Backend server to its base URL.
	traffic   map[string]string   // Backend server to its agent's traffic address.
	transport *http.Transport
	keys      keys.Files
	peers     []string // Control addresses of the entries.
}

// newSystem starts a store with the embedded development configuration and
// nothing else.
func newSystem(t *testing.T) *system {
	s := &system{
		t: t, transport: httpapi.NewTransport(),
		Entries: map[string]*process{}, Agents: map[string]*process{}, Backends: map[string]*process{},
		callers: map[string]string{}, admin: map[string]string{}, backend: map[string]string{}, traffic: map[string]string{},
	}
	generated, err := keys.Generate()
	if err != nil {
		t.Fatal(err)
	}
	if s.keys, err = generated.Write(t.TempDir()); err != nil {
		t.Fatal(err)
	}
	address := freeAddress(t)
	s.storeURL = "http://" + address
	s.Store = start(t, "standin", "store", "--listen", address)
	s.awaitOK(s.storeURL + "/counts")
	s.store = httpapi.NewStore(s.storeURL, s.transport)
	files, err := dev.ReadFiles("")
	if err != nil {
		t.Fatal(err)
	}
	s.apply(files)
	return s
}

func (s *system) configStore() *configstore.Store {
	return &configstore.Store{Table: s.store, Objects: s.store.Objects()}
}

func (s *system) apply(files config.Files) {
	s.t.Helper()
	if _, err := s.configStore().Apply(s.t.Context(), files); err != nil {
		s.t.Fatal(err)
	}
}

// addBackend starts a stand-in backend server of the kind and its agent.
func (s *system) addBackend(name, dataCentre, kind string, options ...string) {
	s.t.Helper()
	address := freeAddress(s.t)
	s.backend[name] = "http://" + address
	arguments := append([]string{"standin", kind, "--listen", address}, options...)
	s.Backends[name] = start(s.t, arguments...)
	s.awaitOK(s.backend[name] + "/faults")
	s.startAgent(name, dataCentre, kind)
}

func (s *system) startAgent(name, dataCentre, kind string) {
	s.t.Helper()
	s.awaitOK("http://" + s.launchAgent(name, dataCentre, kind) + "/readyz")
}

// launchAgent starts the backend server's agent, which need not become ready,
// and returns the address of its health server.
func (s *system) launchAgent(name, dataCentre, kind string) string {
	s.t.Helper()
	control, traffic, health := freeAddress(s.t), freeAddress(s.t), freeAddress(s.t)
	s.traffic[name] = traffic
	id := "agent-" + name
	s.setInstance(ports.Instance{
		ID: id, Role: ports.RoleAgent, DataCentre: dataCentre, BackendServer: name,
		Control: control, Traffic: traffic,
	})
	path := s.writeSettings(id, settings.Agent{
		Process: settings.Process{ID: id, DataCentre: dataCentre, Control: control, Store: s.storeURL, TLS: s.keys, LeaveDelayMS: leaveDelayMS, Peers: s.peers},
		Traffic: traffic, Health: health, BackendServer: name, Kind: kind, Backend: s.backend[name],
	})
	s.Agents[name] = start(s.t, "agent", "--settings", path)
	return health
}

// addEntry starts an entry instance.
func (s *system) addEntry(id, dataCentre string) {
	s.t.Helper()
	control, callers, admin := freeAddress(s.t), freeAddress(s.t), freeAddress(s.t)
	s.setInstance(ports.Instance{
		ID: id, Role: ports.RoleEntry, DataCentre: dataCentre, Control: control, Traffic: callers,
	})
	path := s.writeSettings(id, settings.Entry{
		Process: settings.Process{ID: id, DataCentre: dataCentre, Control: control, Store: s.storeURL, TLS: s.keys, LeaveDelayMS: leaveDelayMS, Peers: s.peers},
		Listen:  callers, Admin: admin, Operators: operators,
	})
	s.peers = append(s.peers, control)
	s.callers[id], s.admin[id] = "http://"+callers, "http://"+admin
	s.Entries[id] = start(s.t, "entry", "--settings", path)
	s.awaitOK(s.callers[id] + "/readyz")
}

func (s *system) setInstance(instance ports.Instance) {
	s.t.Helper()
	s.put(s.storeURL+"/instances/"+instance.ID, instance)
}

// put sends the value as JSON with PUT; it serves /faults as well.
func (s *system) put(url string, value any) {
	s.t.Helper()
	body, err := json.Marshal(value)
	if err != nil {
		s.t.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	response.Body.Close()
}

func (s *system) writeSettings(id string, value any) string {
	s.t.Helper()
	body, err := json.Marshal(value)
	if err != nil {
		s.t.Fatal(err)
	}
	path := filepath.Join(s.t.TempDir(), id+".jsonc")
	if err := os.WriteFile(path, body, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// awaitOK waits until the URL answers with status 200.
func (s *system) awaitOK(url string) {
	s.t.Helper()
	s.await("status 200 of "+url, func() bool {
		response, err := http.Get(url)
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// await waits until the condition holds.
func (s *system) await(what string, condition func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			s.t.Fatalf("%s did not come within %v", what, readyTimeout)
		}
		time.Sleep(pollInterval)
	}
}

// post sends one caller's request and returns the status and the body.
func (s *system) post(entry, path, body string, headers ...string) (int, string) {
	s.t.Helper()
	request, err := http.NewRequest(http.MethodPost, s.callers[entry]+path, bytes.NewBufferString(body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer dev-key")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return response.StatusCode, string(answer)
}

// Ports for the processes lie below the range that the system gives to
// outgoing connections, so that none is taken between the choice and its use.
const (
	firstPort = 20000
	lastPort  = 32000
)

var nextPort = firstPort + os.Getpid()%40*300

// freeAddress returns a loopback address that no other process listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range lastPort - firstPort {
		if nextPort++; nextPort >= lastPort {
			nextPort = firstPort
		}
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(nextPort)))
		if err != nil {
			continue
		}
		defer listener.Close()
		return listener.Addr().String()
	}
	t.Fatal("no free port")
	return ""
}
