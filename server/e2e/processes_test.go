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

// operators are the operators that every entry accepts at its administration API, one
// for each role.
var operators = []adminapi.Operator{
	{Name: "anna", TokenSHA256: config.Digest([]byte("anna-token")), Role: adminapi.RoleAdministrator},
	{Name: "boris", TokenSHA256: config.Digest([]byte("boris-token")), Role: adminapi.RoleOperator},
	{Name: "vera", TokenSHA256: config.Digest([]byte("vera-token")), Role: adminapi.RoleViewer},
}

// process is one running process of the system.
type process struct {
	t       *testing.T
	command *exec.Cmd
	exited  chan struct{} // Channel that is closed once the process has exited.
	err     error         // Result of the command's Wait method; valid once exited is closed.
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

// signalIfRunning sends the signal to a process that may already have exited because
// of an earlier one.
func (p *process) signalIfRunning(signal syscall.Signal) {
	p.t.Helper()
	if err := p.command.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Fatalf("signal %v: %v", signal, err)
	}
}

// kill kills the process, even if it is suspended, and waits for its exit.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// wait waits up to stopTimeout for the process to exit by itself and returns the
// result of its Wait.
func (p *process) wait() error {
	select {
	case <-p.exited:
		return p.err
	case <-time.After(stopTimeout):
		return errors.New("process did not exit within the stop timeout")
	}
}

// system is a complete system of separate processes.
type system struct {
	t           *testing.T
	store       *httpapi.Store
	storeURL    string
	Store       *process
	entries     map[string]*process
	agents      map[string]*process // Agents, by the name of their backend server.
	backends    map[string]*process // Stand-in backend servers, by name.
	callers     map[string]string   // Base URLs of the entries for callers, by the ID of the entry.
	admin       map[string]string   // Base URLs of the entries for operators, by the ID of the entry.
	backendURLs map[string]string   // Base URLs of the backend servers, by name.
	traffic     map[string]string   // Addresses at which the agents accept work, by the name of their backend server.
	transport   *http.Transport
	keys        keys.Files
	peers       []string // Control addresses of the entries.
}

// newSystem starts a system that has only a store with the embedded development
// configuration; addBackend and addEntry start the other processes.
func newSystem(t *testing.T) *system {
	s := &system{
		t: t, transport: httpapi.NewTransport(),
		entries: map[string]*process{}, agents: map[string]*process{}, backends: map[string]*process{},
		callers: map[string]string{}, admin: map[string]string{}, backendURLs: map[string]string{}, traffic: map[string]string{},
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

// addBackend starts a stand-in backend server, which is an "engine" or a "service"
// according to kind, and its agent. It waits until the agent is ready.
func (s *system) addBackend(name, dataCentre, kind string, options ...string) {
	s.t.Helper()
	address := freeAddress(s.t)
	s.backendURLs[name] = "http://" + address
	arguments := append([]string{"standin", kind, "--listen", address}, options...)
	s.backends[name] = start(s.t, arguments...)
	s.awaitOK(s.backendURLs[name] + "/faults")
	s.startAgent(name, dataCentre, kind)
}

func (s *system) startAgent(name, dataCentre, kind string) {
	s.t.Helper()
	s.awaitOK("http://" + s.launchAgent(name, dataCentre, kind) + "/readyz")
}

// launchAgent starts the agent of the backend server without waiting for it to become
// ready, and returns the address of its health endpoint.
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
		Traffic: traffic, Health: health, BackendServer: name, Kind: kind, Backend: s.backendURLs[name],
	})
	s.agents[name] = start(s.t, "agent", "--settings", path)
	return health
}

// addEntry starts an entry instance and waits until it is ready.
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
	s.entries[id] = start(s.t, "entry", "--settings", path)
	s.awaitOK(s.callers[id] + "/readyz")
}

func (s *system) setInstance(instance ports.Instance) {
	s.t.Helper()
	s.put(s.storeURL+"/instances/"+instance.ID, instance)
}

// put sends the value as JSON in a PUT request, to /instances or /faults.
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

// awaitOK waits until a GET of the URL returns status 200.
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

// await polls the condition until it holds and fails the test after readyTimeout.
func (s *system) await(what string, condition func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out waiting for %s after %v", what, readyTimeout)
		}
		time.Sleep(pollInterval)
	}
}

// post sends a caller's request to the entry and returns the status and the body of
// the response. Headers are pairs of name and value.
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

// The ports of the processes lie below the ephemeral port range, so that no outgoing
// connection takes a port between its choice and its use.
const (
	firstPort = 20000
	lastPort  = 32000
)

var nextPort = firstPort + os.Getpid()%40*300

// freeAddress returns a loopback address on which no process is listening.
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
