package once_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"persimmonwind.dev/policy/config"
	policy "persimmonwind.dev/policy/once"
	"persimmonwind.dev/server/agent"
	"persimmonwind.dev/server/configstore"
	"persimmonwind.dev/server/dev"
	"persimmonwind.dev/server/entry"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/settings"
	"persimmonwind.dev/server/standin/service"
	"persimmonwind.dev/server/standin/store"
)

func init() {
	_ = flag.Set("rapid.seed", "501")
	_ = flag.Set("rapid.checks", "40")
	_ = flag.Set("rapid.nofailfile", "true")
}

const backendServersFile = `{"backend_servers": [
	{"name": "certifications-1", "data_centre": "dc-1", "service": "certifications", "full_limit": 1, "cold_limit": 1},
	{"name": "certifications-2", "data_centre": "dc-2", "service": "certifications", "full_limit": 1, "cold_limit": 1},
]}`

// tableFault is the fault injected into one table request for the row of a key.
type tableFault int

const (
	noFault          tableFault = iota
	requestRefused              // Rejected with status 503; has no effect.
	abortBeforeApply            // Connection closed; the request has no effect.
	abortAfterApply             // Connection closed after the request took effect.
	applyDelayed                // Connection closed; the request takes effect later.
	faultKindCount              // Number of kinds of faults.
)

// faultyStore injects the faults in order, one for each table request for the
// row of a key.
type faultyStore struct {
	next  http.Handler
	delay time.Duration // Delay of the requests with the fault applyDelayed.

	mu     sync.Mutex
	faults []tableFault
}

func (s *faultyStore) setFaults(faults []tableFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *faultyStore) nextFault() tableFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) == 0 {
		return noFault
	}
	fault := s.faults[0]
	s.faults = s.faults[1:]
	return fault
}

func (s *faultyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r = r.Clone(context.Background())
	r.Body = io.NopCloser(bytes.NewReader(body))
	isKeyRow := strings.Contains(r.URL.RawQuery, "once%2F") || bytes.Contains(body, []byte(policy.RowPrefix))
	fault := noFault
	if isKeyRow {
		fault = s.nextFault()
	}
	switch fault {
	case requestRefused:
		http.Error(w, "refused", http.StatusServiceUnavailable)
	case abortBeforeApply:
		panic(http.ErrAbortHandler)
	case abortAfterApply:
		s.next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	case applyDelayed:
		time.AfterFunc(s.delay, func() { s.next.ServeHTTP(httptest.NewRecorder(), r) })
		panic(http.ErrAbortHandler)
	default:
		s.next.ServeHTTP(w, r)
	}
}

// countingProxy forwards the requests of one entry to the store and counts the
// reads of each row. An entry reads the row when a request arrives.
type countingProxy struct {
	next http.Handler

	mu    sync.Mutex
	reads map[string]int // Number of reads, by row key.
}

func (p *countingProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.next.ServeHTTP(w, r)
	if key := r.URL.Query().Get("key"); r.Method == http.MethodGet && key != "" {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.reads[key]++
	}
}

// count returns the number of reads of the row of an idempotency key.
func (p *countingProxy) count(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads[policy.RowKey("dev", key)]
}

// testSystem runs two agents, two entries and a further "blind" entry on
// stand-ins in this process. The blind entry reads an empty instance list, so it
// knows no agent and refuses every request.
type testSystem struct {
	store    *store.Store
	faulty   *faultyStore
	services []*service.Service
	entries  []string         // Base URLs of the entries.
	proxies  []*countingProxy // Proxy of each entry, in the order of entries.
	storeURL string
	log      *logrus.Entry
}

func newTestSystem(t testing.TB) *testSystem {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	s := &testSystem{store: store.New(), log: logrus.NewEntry(logger)}
	s.faulty = &faultyStore{next: s.store.Handler()}
	s.storeURL = serve(t, s.faulty)
	noInstances := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/instances" {
			_, _ = w.Write([]byte("[]"))
			return
		}
		s.faulty.ServeHTTP(w, r)
	})
	files, err := dev.ReadFiles("")
	if err != nil {
		t.Fatal(err)
	}
	files[config.FileBackendServers] = []byte(backendServersFile)
	configStore := configstore.Store{Table: s.store, Objects: s.store.ObjectStore()}
	if _, err := configStore.Apply(t.Context(), files); err != nil {
		t.Fatal(err)
	}
	for number := 1; number <= 2; number++ {
		s.addAgent(t, fmt.Sprintf("certifications-%d", number), fmt.Sprintf("dc-%d", number))
		s.addEntry(t, fmt.Sprintf("entry-%d", number), fmt.Sprintf("dc-%d", number), s.faulty)
	}
	for number := range s.entries {
		s.awaitAnswer(t, number)
	}
	s.addEntry(t, "blind", "dc-3", noInstances)
	return s
}

func serve(t testing.TB, handler http.Handler) string {
	server := httptest.NewUnstartedServer(handler)
	server.Config.ErrorLog = nil
	server.Start()
	t.Cleanup(server.CloseClientConnections)
	return server.URL
}

func listen(t testing.TB) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func run(t testing.TB, process func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = process(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func (s *testSystem) addAgent(t testing.TB, name, dataCentre string) {
	standIn := service.New(3 * time.Millisecond)
	s.services = append(s.services, standIn)
	listeners := agent.Listeners{Control: listen(t), Traffic: listen(t)}
	s.store.SetInstance(ports.Instance{
		ID: "agent-" + name, Role: ports.RoleAgent, DataCentre: dataCentre, BackendServer: name,
		Control: listeners.Control.Addr().String(), Traffic: listeners.Traffic.Addr().String(),
	})
	process := settings.Process{ID: "agent-" + name, DataCentre: dataCentre, Store: s.storeURL}
	a := agent.New(settings.Agent{Process: process, BackendServer: name, Kind: settings.KindService, Backend: serve(t, standIn.Handler())}, listeners, s.log)
	run(t, a.Run)
}

func (s *testSystem) addEntry(t testing.TB, id, dataCentre string, table http.Handler) {
	proxy := &countingProxy{next: table, reads: map[string]int{}}
	s.proxies = append(s.proxies, proxy)
	storeURL := serve(t, proxy)
	listeners := entry.Listeners{Control: listen(t), Callers: listen(t), Admin: listen(t)}
	s.entries = append(s.entries, "http://"+listeners.Callers.Addr().String())
	if table == s.faulty {
		s.store.SetInstance(ports.Instance{
			ID: id, Role: ports.RoleEntry, DataCentre: dataCentre, Control: listeners.Control.Addr().String(),
		})
	}
	process := settings.Process{ID: id, DataCentre: dataCentre, Store: storeURL}
	run(t, entry.New(settings.Entry{Process: process}, listeners, s.log).Run)
}

func (s *testSystem) awaitAnswer(t testing.TB, entry int) {
	for range 200 {
		if s.call(call{entry: entry, body: `"warm"`, timeout: 5 * time.Second}).status == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("the entry did not answer a call during start-up")
}

// call is one request of a caller.
type call struct {
	entry   int
	key     string
	body    string
	timeout time.Duration // Time after which the caller disconnects.
	// sendIndex is the position in which the calls were started. The goroutines
	// that send them may run in a different order.
	sendIndex int
	// arrived reports whether the entry read the row for this call before the next
	// call was started.
	arrived *atomic.Bool
}

// outcome is the caller's result of a call. The status is zero if the caller
// disconnected or the request failed without an answer.
type outcome struct {
	call
	status int
	answer string
	notRun bool
}

func (s *testSystem) call(c call) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	o := outcome{call: c}
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, s.entries[c.entry]+"/v1/services/certifications/stamp", strings.NewReader(c.body))
	request.Header.Set("Authorization", "Bearer dev-key")
	if c.key != "" {
		request.Header.Set("Idempotency-Key", c.key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return o
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return o
	}
	o.status, o.answer = response.StatusCode, string(body)
	var refusal struct {
		Error struct {
			NotRun bool `json:"not_run"`
		} `json:"error"`
	}
	_ = json.Unmarshal(body, &refusal)
	o.notRun = refusal.Error.NotRun
	return o
}

// runs returns the runs of requests with the body at all backend servers.
func (s *testSystem) runs(body string) []service.Run {
	var runs []service.Run
	for _, standIn := range s.services {
		for _, run := range standIn.Runs() {
			if run.Body == body {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// check verifies that the work of one key ran at most once, and that its callers'
// outcomes agree with that run. A caller may have been told that the work did not
// run although it did, if the key may have been repeated after its call.
func (s *testSystem) check(t *rapid.T, body string, outcomes []outcome) {
	runs := s.runs(body)
	if len(runs) > 1 {
		t.Fatalf("%s ran %d times", body, len(runs))
	}
	for _, o := range outcomes {
		switch {
		case o.status == http.StatusOK && (len(runs) != 1 || !strings.Contains(o.answer, runs[0].RunID)):
			t.Fatalf("%s: answer %s does not belong to the runs %v", body, o.answer, runs)
		case o.notRun && len(runs) > 0 && !laterCall(outcomes, o):
			t.Fatalf("%s ran although a caller without a later repeat got %s", body, o.answer)
		}
	}
}

// laterCall reports whether another call with the key may have reached an entry
// after the given call. That is possible for calls with a higher sendIndex, and for
// earlier calls that are not known to have arrived.
func laterCall(outcomes []outcome, o outcome) bool {
	for _, other := range outcomes {
		if other.sendIndex > o.sendIndex || (other.sendIndex < o.sendIndex && !other.arrived.Load()) {
			return true
		}
	}
	return false
}

// awaitArrival waits until the entry has read the row for the call, that is, until
// it has read the row more often than reads. It returns false after a timeout.
func (s *testSystem) awaitArrival(c call, reads int) bool {
	for range 200 {
		if s.proxies[c.entry].count(c.key) > reads {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

// TestKeyedWorkUnderDrawnFaults sends concurrent calls that repeat idempotency
// keys while table requests fail at random. It checks that the work of each key
// runs at most once and that no caller gets a wrong outcome.
func TestKeyedWorkUnderDrawnFaults(t *testing.T) {
	s := newTestSystem(t)
	round := 0
	outcomeCounts := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		round++
		keys := rapid.IntRange(1, 3).Draw(rt, "keys")
		s.faulty.delay = time.Duration(rapid.IntRange(1, 60).Draw(rt, "delay ms")) * time.Millisecond
		s.faulty.setFaults(drawFaults(rt))
		results := make([][]outcome, keys)
		bodies := make([]string, keys)
		var mu sync.Mutex
		var group sync.WaitGroup
		calls := rapid.IntRange(2, 9).Draw(rt, "calls")
		for sendIndex := range calls {
			key := rapid.IntRange(0, keys-1).Draw(rt, "key")
			bodies[key] = fmt.Sprintf(`"round %d key %d"`, round, key)
			c := call{
				entry: rapid.IntRange(0, 2).Draw(rt, "entry"), key: bodies[key], body: bodies[key],
				timeout:   rapid.SampledFrom([]time.Duration{4 * time.Millisecond, 15 * time.Millisecond, 20 * time.Second}).Draw(rt, "patience"),
				sendIndex: sendIndex,
				arrived:   new(atomic.Bool),
			}
			reads := s.proxies[c.entry].count(c.key)
			group.Go(func() {
				o := s.call(c)
				mu.Lock()
				defer mu.Unlock()
				results[key] = append(results[key], o)
			})
			if rapid.Bool().Draw(rt, "ordered") {
				c.arrived.Store(s.awaitArrival(c, reads))
			}
			time.Sleep(time.Duration(rapid.IntRange(0, 6).Draw(rt, "gap ms")) * time.Millisecond)
		}
		group.Wait()
		s.faulty.setFaults(nil)
		time.Sleep(2 * s.faulty.delay)
		for key, body := range bodies {
			s.check(rt, body, results[key])
			if body != "" {
				// The last repeat has no later call, so if it reports "not run" the
				// work must not have run.
				last := s.call(call{entry: round % 2, key: body, body: body, timeout: 20 * time.Second, sendIndex: calls, arrived: new(atomic.Bool)})
				results[key] = append(results[key], last)
				s.check(rt, body, results[key])
			}
			for _, o := range results[key] {
				outcomeCounts[fmt.Sprint(o.status, " not run ", o.notRun)]++
			}
		}
	})
	t.Logf("%d rounds, outcomes %v", round, outcomeCounts)
}

func drawFaults(rt *rapid.T) []tableFault {
	drawn := rapid.SliceOfN(rapid.IntRange(0, 2*int(faultKindCount)-1), 0, 14).Draw(rt, "faults")
	faults := make([]tableFault, len(drawn))
	for index, fault := range drawn {
		if fault < int(faultKindCount) {
			faults[index] = tableFault(fault)
		}
	}
	return faults
}

func TestLaterCall(t *testing.T) {
	calls := func(arrived ...bool) []outcome {
		outcomes := make([]outcome, len(arrived))
		for sendIndex := range outcomes {
			outcomes[sendIndex].sendIndex, outcomes[sendIndex].arrived = sendIndex, new(atomic.Bool)
			outcomes[sendIndex].arrived.Store(arrived[sendIndex])
		}
		return outcomes
	}
	for _, c := range []struct {
		name     string
		outcomes []outcome
		index    int
		later    bool
	}{
		{"a later call", calls(false, true), 0, true},
		{"an earlier call that may still be in flight", calls(false, false), 1, true},
		{"an earlier call that has arrived", calls(true, false), 1, false},
		{"no other call", calls(false), 0, false},
	} {
		if later := laterCall(c.outcomes, c.outcomes[c.index]); later != c.later {
			t.Errorf("%s: got later %t", c.name, later)
		}
	}
}
