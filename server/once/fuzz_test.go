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

const fuzzServers = `{"backend_servers": [
	{"name": "certifications-1", "data_centre": "dc-1", "service": "certifications", "full_limit": 1, "cold_limit": 1},
	{"name": "certifications-2", "data_centre": "dc-2", "service": "certifications", "full_limit": 1, "cold_limit": 1},
]}`

// tableFault is what happens to one request for a row of a key.
type tableFault int

const (
	noFault tableFault = iota
	refused
	cutBefore
	cutAfter
	delayed
	faultKinds
)

// lossyStore applies the faults, one for each request for a key's row.
type lossyStore struct {
	next  http.Handler
	delay time.Duration

	mu     sync.Mutex
	faults []tableFault
}

func (l *lossyStore) set(faults []tableFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

func (l *lossyStore) take() tableFault {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.faults) == 0 {
		return noFault
	}
	fault := l.faults[0]
	l.faults = l.faults[1:]
	return fault
}

func (l *lossyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r = r.Clone(context.Background())
	r.Body = io.NopCloser(bytes.NewReader(body))
	ofKey := strings.Contains(r.URL.RawQuery, "once%2F") || bytes.Contains(body, []byte(policy.RowPrefix))
	fault := noFault
	if ofKey {
		fault = l.take()
	}
	switch fault {
	case refused:
		http.Error(w, "refused", http.StatusServiceUnavailable)
	case cutBefore:
		panic(http.ErrAbortHandler)
	case cutAfter:
		l.next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	case delayed:
		time.AfterFunc(l.delay, func() { l.next.ServeHTTP(httptest.NewRecorder(), r) })
		panic(http.ErrAbortHandler)
	default:
		l.next.ServeHTTP(w, r)
	}
}

// front is one entry's way to the store; it counts the reads of each row. An
// entry reads the row when a request arrives.
type front struct {
	next http.Handler

	mu    sync.Mutex
	reads map[string]int // By the row's key.
}

func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.next.ServeHTTP(w, r)
	if key := r.URL.Query().Get("key"); r.Method == http.MethodGet && key != "" {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.reads[key]++
	}
}

// count returns the reads of the row of a caller's key.
func (f *front) count(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads[policy.RowKey("dev", key)]
}

// bench is two agents, two entries and a blind entry over stand-ins, in this
// process. The blind entry sees no agent and refuses everything.
type bench struct {
	store    *store.Store
	lossy    *lossyStore
	services []*service.Service
	entries  []string // Base URLs.
	fronts   []*front // By entry.
	storeURL string
	log      *logrus.Entry
}

func newBench(t testing.TB) *bench {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	b := &bench{store: store.New(), log: logrus.NewEntry(logger)}
	b.lossy = &lossyStore{next: b.store.Handler()}
	b.storeURL = serve(t, b.lossy)
	blind := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/instances" {
			_, _ = w.Write([]byte("[]"))
			return
		}
		b.lossy.ServeHTTP(w, r)
	})
	files, err := dev.ReadFiles("")
	if err != nil {
		t.Fatal(err)
	}
	files[config.FileBackendServers] = []byte(fuzzServers)
	accepted := configstore.Store{Table: b.store, Objects: b.store.ObjectStore()}
	if _, err := accepted.Apply(t.Context(), files); err != nil {
		t.Fatal(err)
	}
	for number := 1; number <= 2; number++ {
		b.addAgent(t, fmt.Sprintf("certifications-%d", number), fmt.Sprintf("dc-%d", number))
		b.addEntry(t, fmt.Sprintf("entry-%d", number), fmt.Sprintf("dc-%d", number), b.lossy)
	}
	for number := range b.entries {
		b.awaitAnswer(t, number)
	}
	b.addEntry(t, "blind", "dc-3", blind)
	return b
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
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = process(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-ended
	})
}

func (b *bench) addAgent(t testing.TB, name, dataCentre string) {
	stand := service.New(3 * time.Millisecond)
	b.services = append(b.services, stand)
	listeners := agent.Listeners{Control: listen(t), Traffic: listen(t)}
	b.store.SetInstance(ports.Instance{
		ID: "agent-" + name, Role: ports.RoleAgent, DataCentre: dataCentre, BackendServer: name,
		Control: listeners.Control.Addr().String(), Traffic: listeners.Traffic.Addr().String(),
	})
	process := settings.Process{ID: "agent-" + name, DataCentre: dataCentre, Store: b.storeURL}
	a := agent.New(settings.Agent{Process: process, BackendServer: name, Kind: settings.KindService, Backend: serve(t, stand.Handler())}, listeners, b.log)
	run(t, a.Run)
}

func (b *bench) addEntry(t testing.TB, id, dataCentre string, table http.Handler) {
	way := &front{next: table, reads: map[string]int{}}
	b.fronts = append(b.fronts, way)
	storeURL := serve(t, way)
	listeners := entry.Listeners{Control: listen(t), Callers: listen(t), Admin: listen(t)}
	b.entries = append(b.entries, "http://"+listeners.Callers.Addr().String())
	if table == b.lossy {
		b.store.SetInstance(ports.Instance{
			ID: id, Role: ports.RoleEntry, DataCentre: dataCentre, Control: listeners.Control.Addr().String(),
		})
	}
	process := settings.Process{ID: id, DataCentre: dataCentre, Store: storeURL}
	run(t, entry.New(settings.Entry{Process: process}, listeners, b.log).Run)
}

func (b *bench) awaitAnswer(t testing.TB, entry int) {
	for range 200 {
		if b.call(call{entry: entry, body: `"warm"`, patience: 5 * time.Second}).status == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("the system did not become ready")
}

// call is one request of a caller.
type call struct {
	entry    int
	key      string
	body     string
	patience time.Duration // The caller leaves after it.
	order    int           // Of sending. The goroutines that send may run in another one.
	arrived  *atomic.Bool  // Its entry read the row before the next call was sent.
}

// outcome is what the caller got; the zero status means that it left.
type outcome struct {
	call
	status int
	answer string
	notRun bool
}

func (b *bench) call(c call) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), c.patience)
	defer cancel()
	o := outcome{call: c}
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, b.entries[c.entry]+"/v1/services/certifications/stamp", strings.NewReader(c.body))
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

// runs returns the runs with the body at all services.
func (b *bench) runs(body string) []service.Run {
	var runs []service.Run
	for _, stand := range b.services {
		for _, run := range stand.Runs() {
			if run.Body == body {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// check compares what the callers of one key got with the runs.
func (b *bench) check(t *rapid.T, body string, outcomes []outcome) {
	runs := b.runs(body)
	if len(runs) > 1 {
		t.Fatalf("%s ran %d times", body, len(runs))
	}
	for _, o := range outcomes {
		switch {
		case o.status == http.StatusOK && (len(runs) != 1 || !strings.Contains(o.answer, runs[0].RunID)):
			t.Fatalf("%s: answer %s is not that of the runs %v", body, o.answer, runs)
		case o.notRun && len(runs) > 0 && !laterCall(outcomes, o):
			t.Fatalf("%s ran although a caller without a later repeat was told %s", body, o.answer)
		}
	}
}

// laterCall reports whether the key was repeated after the call was sent. A
// call sent before may be such a repeat, unless it is known to have arrived.
func laterCall(outcomes []outcome, o outcome) bool {
	for _, other := range outcomes {
		if other.order > o.order || (other.order < o.order && !other.arrived.Load()) {
			return true
		}
	}
	return false
}

// awaitArrival waits until the entry has read the row for the call and tells
// whether it has.
func (b *bench) awaitArrival(c call, reads int) bool {
	for range 200 {
		if b.fronts[c.entry].count(c.key) > reads {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}

func TestKeyedWorkUnderDrawnFaults(t *testing.T) {
	b := newBench(t)
	round := 0
	told := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		round++
		keys := rapid.IntRange(1, 3).Draw(rt, "keys")
		b.lossy.delay = time.Duration(rapid.IntRange(1, 60).Draw(rt, "delay ms")) * time.Millisecond
		b.lossy.set(drawFaults(rt))
		results := make([][]outcome, keys)
		bodies := make([]string, keys)
		var mu sync.Mutex
		var group sync.WaitGroup
		calls := rapid.IntRange(2, 9).Draw(rt, "calls")
		for order := range calls {
			key := rapid.IntRange(0, keys-1).Draw(rt, "key")
			bodies[key] = fmt.Sprintf(`"round %d key %d"`, round, key)
			c := call{
				entry: rapid.IntRange(0, 2).Draw(rt, "entry"), key: bodies[key], body: bodies[key],
				patience: rapid.SampledFrom([]time.Duration{4 * time.Millisecond, 15 * time.Millisecond, 20 * time.Second}).Draw(rt, "patience"),
				order:    order,
				arrived:  new(atomic.Bool),
			}
			reads := b.fronts[c.entry].count(c.key)
			group.Go(func() {
				o := b.call(c)
				mu.Lock()
				defer mu.Unlock()
				results[key] = append(results[key], o)
			})
			if rapid.Bool().Draw(rt, "ordered") {
				c.arrived.Store(b.awaitArrival(c, reads))
			}
			time.Sleep(time.Duration(rapid.IntRange(0, 6).Draw(rt, "gap ms")) * time.Millisecond)
		}
		group.Wait()
		b.lossy.set(nil)
		time.Sleep(2 * b.lossy.delay)
		for key, body := range bodies {
			b.check(rt, body, results[key])
			if body != "" {
				// A last repeat settles the key: its "not run" must stay true.
				last := b.call(call{entry: round % 2, key: body, body: body, patience: 20 * time.Second, order: calls, arrived: new(atomic.Bool)})
				results[key] = append(results[key], last)
				b.check(rt, body, results[key])
			}
			for _, o := range results[key] {
				told[fmt.Sprint(o.status, " not run ", o.notRun)]++
			}
		}
	})
	t.Logf("%d rounds, outcomes %v", round, told)
}

func drawFaults(rt *rapid.T) []tableFault {
	drawn := rapid.SliceOfN(rapid.IntRange(0, 2*int(faultKinds)-1), 0, 14).Draw(rt, "faults")
	faults := make([]tableFault, len(drawn))
	for index, fault := range drawn {
		if fault < int(faultKinds) {
			faults[index] = tableFault(fault)
		}
	}
	return faults
}

func TestLaterCall(t *testing.T) {
	calls := func(arrived ...bool) []outcome {
		outcomes := make([]outcome, len(arrived))
		for order := range outcomes {
			outcomes[order].order, outcomes[order].arrived = order, new(atomic.Bool)
			outcomes[order].arrived.Store(arrived[order])
		}
		return outcomes
	}
	for _, c := range []struct {
		name     string
		outcomes []outcome
		told     int
		later    bool
	}{
		{"a call sent after it", calls(false, true), 0, true},
		{"a call sent before that may be on its way", calls(false, false), 1, true},
		{"a call sent before that had arrived", calls(true, false), 1, false},
		{"no other call", calls(false), 0, false},
	} {
		if later := laterCall(c.outcomes, c.outcomes[c.told]); later != c.later {
			t.Errorf("%s: later %t", c.name, later)
		}
	}
}
