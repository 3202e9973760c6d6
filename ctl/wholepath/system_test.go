package wholepath

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/server/configstore"
	"persimmonwind.dev/server/keys"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/ports/httpapi"
	"persimmonwind.dev/server/settings"
)

const (
	model        = "soap-assistant"
	service      = "certifications"
	operation    = "stamp"
	key          = "load-key"
	engineLimit  = 8192 // Limit of concurrent generations of an engine; high enough never to be reached.
	orgRate      = 1e6  // Rate limit of an organisation in requests per second; high enough never to be reached.
	orgLimit     = 1e5  // Limit of concurrent requests of an organisation; high enough never to be reached.
	dataCentre   = "dc-1"
	entryName    = "entry-1"
	leaveDelayMS = 1
	warmRequests = 1 // Completed generations after which a stand-in engine is warm.
)

// systemSize gives the numbers of backend servers and organisations in the
// configuration of a system.
type systemSize struct {
	engines       int // Number of stand-in engines, each running with its agent.
	services      int // Number of stand-in plain services, each running with its agent.
	idleServers   int // Number of backend servers that are in the configuration and the instance list but do not run.
	organisations int // Number of organisations; 0 means 1.
}

// system is one entry, some agents with their engines, and the store.
type system struct {
	store   *process
	entry   *process
	agents  []*process
	engines []*process

	services []*process

	keys       keys.Files // Key files for TLS between the processes; empty without -tls.
	storeURL   string
	entryURL   string
	engineURLs []string
}

func startSystem(b *testing.B, size systemSize, engineFlags ...string) *system {
	b.Helper()
	binary := buildBinary(b)
	address := freeAddress(b)
	s := &system{storeURL: "http://" + address}
	s.store = startProcess(b, binary, "store", "standin", "store", "--listen", address)
	awaitOK(b, s.storeURL+"/counts")
	s.apply(b, configuration(size))
	if *useTLS {
		s.keys = newKeys(b)
	}
	limits := []string{
		"--full-limit", fmt.Sprint(engineLimit), "--cold-limit", fmt.Sprint(engineLimit), "--warm-after", fmt.Sprint(warmRequests),
	}
	for index := range size.engines {
		s.addBackend(b, binary, engineName(index), settings.KindEngine, append(limits, engineFlags...))
	}
	for index := range size.services {
		s.addBackend(b, binary, serviceName(index), settings.KindService, nil)
	}
	for index := range size.idleServers {
		s.addIdleAgent(b, index)
	}
	s.addEntry(b, binary)
	return s
}

func newKeys(b *testing.B) keys.Files {
	b.Helper()
	generated, err := keys.Generate()
	if err != nil {
		b.Fatal(err)
	}
	files, err := generated.Write(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	return files
}

func (s *system) apply(b *testing.B, files config.Files) {
	b.Helper()
	store := httpapi.NewStore(s.storeURL, httpapi.NewTransport())
	accepted := configstore.Store{Table: store, Objects: store.Objects()}
	if _, err := accepted.Apply(b.Context(), files); err != nil {
		b.Fatal(err)
	}
}

func engineName(index int) string { return fmt.Sprintf("engine-%d", index+1) }

func serviceName(index int) string { return fmt.Sprintf("service-%d", index+1) }

func idleName(index int) string { return fmt.Sprintf("idle-%d", index+1) }

func configuration(size systemSize) config.Files {
	var servers []map[string]any
	add := func(name string, extra map[string]any) {
		server := map[string]any{"name": name, "data_centre": dataCentre, "full_limit": engineLimit, "cold_limit": engineLimit}
		for field, value := range extra {
			server[field] = value
		}
		servers = append(servers, server)
	}
	for index := range size.engines {
		add(engineName(index), map[string]any{"model": model})
	}
	for index := range size.services {
		add(serviceName(index), map[string]any{"service": service})
	}
	for index := range size.idleServers {
		add(idleName(index), map[string]any{"model": "other"})
	}
	var organisations []map[string]any
	for index := range max(size.organisations, 1) {
		name := key
		if index > 0 {
			name = fmt.Sprintf("%s-%d", key, index)
		}
		sum := sha256.Sum256([]byte(name))
		organisations = append(organisations, map[string]any{
			"name": fmt.Sprintf("organisation-%d", index), "key_sha256": []string{hex.EncodeToString(sum[:])},
			"weight": 1, "requests_per_second": orgRate, "concurrency": orgLimit,
		})
	}
	return config.Files{
		config.FileDataCentres: marshalJSON(map[string]any{"data_centres": []map[string]any{{"name": dataCentre, "region": "local"}}}),
		config.FileWork: marshalJSON(map[string]any{
			"models": []map[string]any{{"name": model, "version": "1"}, {"name": "other", "version": "1"}},
			"services": []map[string]any{{
				"name": service, "operations": []map[string]any{{"name": operation, "idempotent": false, "timeout_ms": 10000}},
			}},
		}),
		config.FileBackendServers: marshalJSON(map[string]any{"backend_servers": servers}),
		config.FileOrganisations:  marshalJSON(map[string]any{"organisations": organisations}),
	}
}

func marshalJSON(value any) []byte {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err) // Cannot occur: all values are built in this file and encode as JSON.
	}
	return body
}

// addBackend starts a stand-in backend server and its agent and waits until both are
// ready.
func (s *system) addBackend(b *testing.B, binary, name, kind string, flags []string) {
	b.Helper()
	address := freeAddress(b)
	p := startProcess(b, binary, name, append([]string{"standin", kind, "--listen", address}, flags...)...)
	if kind == settings.KindEngine {
		s.engines = append(s.engines, p)
		s.engineURLs = append(s.engineURLs, "http://"+address)
	} else {
		s.services = append(s.services, p)
	}
	awaitOK(b, "http://"+address+"/faults")
	s.addAgent(b, binary, name, kind, "http://"+address)
}

func (s *system) addAgent(b *testing.B, binary, name, kind, backend string) {
	b.Helper()
	control, traffic, health := freeAddress(b), freeAddress(b), freeAddress(b)
	id := "agent-" + name
	s.setInstance(b, ports.Instance{
		ID: id, Role: ports.RoleAgent, DataCentre: dataCentre, BackendServer: name, Control: control, Traffic: traffic,
	})
	path := writeSettings(b, id, settings.Agent{
		Process: settings.Process{ID: id, DataCentre: dataCentre, Control: control, Store: s.storeURL, TLS: s.keys, LeaveDelayMS: leaveDelayMS},
		Traffic: traffic, Health: health, BackendServer: name, Kind: kind, Backend: backend,
	})
	s.agents = append(s.agents, startProcess(b, binary, id, "agent", "--settings", path))
	awaitOK(b, "http://"+health+"/readyz")
}

// addIdleAgent puts an agent that is not running into the instance list.
func (s *system) addIdleAgent(b *testing.B, index int) {
	b.Helper()
	s.setInstance(b, ports.Instance{
		ID: "agent-" + idleName(index), Role: ports.RoleAgent, DataCentre: dataCentre, BackendServer: idleName(index),
		Control: "127.0.0.1:9", Traffic: "127.0.0.1:9",
	})
}

func (s *system) addEntry(b *testing.B, binary string) {
	b.Helper()
	control, callers, admin := freeAddress(b), freeAddress(b), freeAddress(b)
	s.setInstance(b, ports.Instance{
		ID: entryName, Role: ports.RoleEntry, DataCentre: dataCentre, Control: control, Traffic: callers,
	})
	path := writeSettings(b, entryName, settings.Entry{
		Process: settings.Process{ID: entryName, DataCentre: dataCentre, Control: control, Store: s.storeURL, TLS: s.keys, LeaveDelayMS: leaveDelayMS},
		Listen:  callers, Admin: admin,
	})
	s.entryURL = "http://" + callers
	s.entry = startProcess(b, binary, entryName, "entry", "--settings", path)
	awaitOK(b, s.entryURL+"/readyz")
}

func (s *system) setInstance(b *testing.B, instance ports.Instance) {
	b.Helper()
	request, err := http.NewRequest(http.MethodPut, s.storeURL+"/instances/"+instance.ID, bytes.NewReader(marshalJSON(instance)))
	if err != nil {
		b.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	response.Body.Close()
}

func writeSettings(b *testing.B, id string, value any) string {
	b.Helper()
	path := filepath.Join(b.TempDir(), id+".jsonc")
	if err := os.WriteFile(path, marshalJSON(value), 0o600); err != nil {
		b.Fatal(err)
	}
	return path
}

// roles returns the running processes, grouped by role.
func (s *system) roles() map[string][]*process {
	return map[string][]*process{"entry": {s.entry}, "agent": s.agents, "engine": s.engines, "service": s.services, "store": {s.store}}
}

// stop stops every process, so that the next system of the same benchmark runs alone.
func (s *system) stop() {
	var wg sync.WaitGroup
	for _, processes := range s.roles() {
		for _, p := range processes {
			wg.Go(p.stop)
		}
	}
	wg.Wait()
}
