package watch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/wait"
)

// outageKind is how a store behaves in an outage.
type outageKind int

const (
	silent   outageKind = iota // Answers no call that arrives, or whose answer is due, in the outage.
	refusing                   // Refuses calls.
	closing                    // Resets the connections.
	slow                       // Answers late.
	cutOff                     // Half of an answer arrives.
	mixed                      // Changes between the other kinds every 300 ms.
)

var outageKinds = map[outageKind]string{silent: "silent", refusing: "refusing", closing: "closing", slow: "slow", cutOff: "cut off", mixed: "mixed"}

// The store's delays of an answer.
const (
	answerDelay     = 4 * time.Millisecond
	slowAnswerDelay = 240 * time.Millisecond
)

// outageStore is a store with one table, as the transport of a client. It has an outage and
// serves other clients, which write, all the while.
type outageStore struct {
	kind       outageKind
	begin, end time.Time // The outage.
	readRate   int       // Reads accepted in a second; 0 for any number.

	laterDelay time.Duration // Further delay of the answers to calls that arrive after the outage.

	mu      sync.Mutex
	rows    map[string]platform.Row
	history []platform.Row
	version uint64
	changed chan struct{}
	reads   []time.Time
}

func newOutageStore(kind outageKind, begin, end time.Time) *outageStore {
	return &outageStore{kind: kind, begin: begin, end: end, rows: map[string]platform.Row{}, changed: make(chan struct{})}
}

func (s *outageStore) write(row platform.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	row.Version, row.Table = s.version, platform.TableServers
	s.rows[row.Key] = row
	if row.Deleted {
		delete(s.rows, row.Key)
	}
	s.history = append(s.history, row)
	close(s.changed)
	s.changed = make(chan struct{})
}

// disruption returns how the store behaves now; false if it is sound.
func (s *outageStore) disruption() (outageKind, bool) {
	now := time.Now()
	if now.Before(s.begin) || !now.Before(s.end) {
		return 0, false
	}
	if s.kind == mixed {
		return outageKind(now.Sub(s.begin) / (300 * time.Millisecond) % time.Duration(mixed)), true
	}
	return s.kind, true
}

var errReset = errors.New("connection reset")

func (s *outageStore) RoundTrip(r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	now := time.Now()
	s.reads = append(s.reads, now)
	tooMany := s.readRate > 0 && len(s.reads) > s.readRate && now.Sub(s.reads[len(s.reads)-1-s.readRate]) < time.Second
	s.mu.Unlock()
	if tooMany {
		return response(http.StatusTooManyRequests, nil), nil
	}
	if err := s.disturb(r.Context()); err != nil {
		return nil, err
	}
	if kind, disrupted := s.disruption(); disrupted && kind == refusing {
		return response(http.StatusServiceUnavailable, nil), nil
	}
	body, err := s.answer(r.Context(), r.URL)
	if err != nil {
		return nil, err
	}
	if !now.Before(s.end) {
		wait.For(r.Context(), s.laterDelay)
	}
	if err := s.disturb(r.Context()); err != nil {
		return nil, err
	}
	if kind, disrupted := s.disruption(); disrupted && kind == cutOff {
		return response(http.StatusOK, io.MultiReader(bytes.NewReader(body[:len(body)/2]), stalled{r.Context()})), nil
	}
	return response(http.StatusOK, bytes.NewReader(body)), nil
}

// disturb delays or fails the call as the outage does.
func (s *outageStore) disturb(ctx context.Context) error {
	time.Sleep(answerDelay / 2)
	kind, disrupted := s.disruption()
	switch {
	case disrupted && kind == silent:
		<-ctx.Done()
		return ctx.Err()
	case disrupted && kind == closing:
		return errReset
	case disrupted && kind == slow:
		time.Sleep((slowAnswerDelay - answerDelay) / 2)
	}
	return ctx.Err()
}

func (s *outageStore) answer(ctx context.Context, address *url.URL) ([]byte, error) {
	query := address.Query()
	after, _ := strconv.ParseUint(query.Get("after_rev"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for isPoll := query.Has("after_rev"); ; {
		s.mu.Lock()
		rows := platform.Rows{Rows: []platform.Row{}, Version: s.version}
		for _, row := range s.history {
			if isPoll && row.Version > after {
				rows.Rows = append(rows.Rows, row)
			}
		}
		for _, row := range s.rows {
			if !isPoll {
				rows.Rows = append(rows.Rows, row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if !isPoll || len(rows.Rows) > 0 || waitMS == 0 {
			return json.Marshal(rows)
		}
		select {
		case <-changed:
		case <-timeout:
			waitMS = 0
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func response(status int, body io.Reader) *http.Response {
	if body == nil {
		body = http.NoBody
	}
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(body)}
}

// stalled is the rest of a body that does not arrive.
type stalled struct{ ctx context.Context }

func (s stalled) Read([]byte) (int, error) { <-s.ctx.Done(); return 0, s.ctx.Err() }

// site has the times of a deployment.
type site struct {
	contact time.Duration // Time after a disturbance within which a process must be up to date again.
	apply   time.Duration // Time within which a change must be in force in calm times.
	drain   time.Duration // Time within which a server that left must get no work in calm times.
	unsound time.Duration // Further time for a change that is made while the store is not sound.
}

var sites = map[string]site{
	"small": {3 * time.Second, 2 * time.Second, 2 * time.Second, 5 * time.Second},
	"grown": {4 * time.Second, 3 * time.Second, 3 * time.Second, 6 * time.Second},
	"large": {5 * time.Second, 4 * time.Second, 4 * time.Second, 8 * time.Second},
}

// phaseStep is less than the part of an outage's phases in which a poll that meets its end is
// too late by 0.2 s.
const phaseStep = 130 * time.Millisecond

// endOfCalls is how long after the end of its context a watch may still be in a call.
const endOfCalls = 10 * time.Second

// tickInterval is how often processes check the timeouts of their topology.
const tickInterval = 100 * time.Millisecond

// follow follows the store and keeps a topology up to date until ctx ends.
type follow struct {
	mu    sync.Mutex
	state topology.State
}

func newFollow(ctx context.Context, store *outageStore, deployment site) *follow {
	f := &follow{state: topology.New()}
	step := func(event reduce.Event) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.state, _ = topology.Step(f.state, reduce.Input{Event: event, Now: time.Now()})
	}
	go newWatch(store, deployment, step).Run(ctx)
	go func() {
		for ctx.Err() == nil {
			time.Sleep(tickInterval)
			step(reduce.Tick{})
		}
	}()
	return f
}

func newWatch(store *outageStore, deployment site, post func(reduce.Event)) *Watch {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Watch{
		Store: platform.NewStore("store", store), Table: platform.TableServers, Decode: TopologyDecoder(platform.TableServers), Post: post,
		Log: logrus.NewEntry(log), BatchDelay: 150 * time.Millisecond, PollWait: PollWait(deployment.contact), MaxRetryInterval: TopologyRetryInterval,
		Restores: prometheus.NewCounter(prometheus.CounterOpts{Name: "restores"}),
	}
}

// has reports whether the server may receive new work, also as a last resort.
func (f *follow) has(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	server, ok := f.state.Servers[id]
	return ok && !server.Server.Leaving
}

func serverRowOf(id, state string) platform.Row {
	return platform.Row{Key: id, Value: fmt.Appendf(nil, `{"backend":"s","address":"10.0.0.1:%d","zone":"z","slots":1,"state":%q}`, 1000+len(id), state)}
}

// forEachOutage calls test for outages of all kinds, lengths and phases.
func forEachOutage(t *testing.T, lengths []time.Duration, test func(ctx context.Context, t *testing.T, kind outageKind, deployment site, length, phase time.Duration)) {
	for siteName, deployment := range sites {
		for kind, name := range outageKinds {
			t.Run(siteName+"/"+name, func(t *testing.T) {
				t.Parallel()
				for _, length := range lengths {
					for phase := time.Duration(0); phase < 4*time.Second && !t.Failed(); phase += phaseStep {
						synctest.Test(t, func(t *testing.T) {
							ctx, end := context.WithCancel(t.Context())
							test(ctx, t, kind, deployment, length, phase)
							end()
							time.Sleep(endOfCalls)
							if t.Failed() {
								t.Logf("after an outage of %v that began %v after the start", length, phase)
							}
						})
					}
				}
			})
		}
	}
}

var outageLengths = []time.Duration{700 * time.Millisecond, 2 * time.Second, 4 * time.Second, 5500 * time.Millisecond, 8 * time.Second}

// Guards against waits after an outage of the store that add up beyond the time within which
// a process must be up to date: the timeout of a poll and the delay after it took 3.3 s.
func TestChangesAfterAnOutage(t *testing.T) {
	forEachOutage(t, outageLengths, func(ctx context.Context, t *testing.T, kind outageKind, deployment site, length, phase time.Duration) {
		begin := time.Now().Add(phase)
		end := begin.Add(length)
		store := newOutageStore(kind, begin, end)
		f := newFollow(ctx, store, deployment)
		// Servers that appear in the outage, just after it, and as late as binds the process
		// when it counts as up to date.
		writes := map[string]time.Time{
			"a": begin.Add(length / 2), "bb": end.Add(200 * time.Millisecond), "ccc": end.Add(deployment.contact - deployment.apply),
		}
		for id, at := range writes {
			time.AfterFunc(time.Until(at), func() { store.write(serverRowOf(id, "ready")) })
		}
		time.Sleep(time.Until(end.Add(deployment.contact)))
		for id := range writes {
			if !f.has(id) {
				t.Errorf("server %s is not known %v after the store's return", id, deployment.contact)
			}
		}
	})
}

// slowReturns are times that a store which has just come back may take to answer. They exceed
// the time after which a poll is late.
var slowReturns = []time.Duration{750 * time.Millisecond, 1200 * time.Millisecond, 1900 * time.Millisecond}

// Guards against polls that are all given up before a store that has come back slowly can
// answer them: the process did not hear of any change until the store was fast again.
func TestChangesFromAStoreThatIsSlowAfterAnOutage(t *testing.T) {
	lengths := []time.Duration{700 * time.Millisecond, 8 * time.Second}
	forEachOutage(t, lengths, func(ctx context.Context, t *testing.T, kind outageKind, deployment site, length, phase time.Duration) {
		begin := time.Now().Add(phase)
		end := begin.Add(length)
		store := newOutageStore(kind, begin, end)
		store.laterDelay = slowReturns[int(phase/phaseStep)%len(slowReturns)]
		f := newFollow(ctx, store, deployment)
		changes := map[string]time.Time{"a": begin.Add(length / 2), "bb": end.Add(200 * time.Millisecond), "ccc": end.Add(10 * time.Second)}
		for id, at := range changes {
			time.AfterFunc(time.Until(at), func() { store.write(serverRowOf(id, "ready")) })
		}
		for _, id := range []string{"a", "bb", "ccc"} {
			known := latest(changes[id], end).Add(deployment.apply + deployment.unsound)
			time.Sleep(time.Until(known))
			if !f.has(id) {
				t.Errorf("server %s is not known %v after its row, with answers that take %v", id, known.Sub(changes[id]), store.laterDelay)
			}
		}
	})
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Guards against sending work to a server for longer than allowed after its row was removed
// while the store did not answer this process: the grace period for missing rows counted
// from the process's own poll.
func TestServersThatLeftInAnOutage(t *testing.T) {
	forEachOutage(t, outageLengths, func(ctx context.Context, t *testing.T, kind outageKind, deployment site, length, phase time.Duration) {
		begin := time.Now().Add(phase)
		end := begin.Add(length)
		store := newOutageStore(kind, begin, end)
		left := map[string]time.Time{"a": begin.Add(length / 2), "bb": end.Add(-50 * time.Millisecond), "ccc": end.Add(deployment.contact - deployment.drain)}
		for id := range left {
			store.write(serverRowOf(id, "ready"))
		}
		store.write(serverRowOf("stays", "ready"))
		f := newFollow(ctx, store, deployment)
		for id, at := range left {
			row := platform.Row{Key: id, Deleted: true}
			if id == "bb" {
				row = serverRowOf(id, "draining")
			}
			time.AfterFunc(time.Until(at), func() { store.write(row) })
		}
		time.Sleep(time.Until(end.Add(deployment.contact)))
		for id := range left {
			if f.has(id) {
				t.Errorf("server %s still gets work %v after the store's return", id, deployment.contact)
			}
		}
		if !f.has("stays") {
			t.Error("a server that stays gets no work")
		}
	})
}

// Guards against dropping servers whose rows expired in an outage of the store before they
// are back: about two seconds after its return.
func TestServersWhoseRowsExpiredInAnOutage(t *testing.T) {
	lengths := []time.Duration{4500 * time.Millisecond, 5800 * time.Millisecond, 8 * time.Second}
	forEachOutage(t, lengths, func(ctx context.Context, t *testing.T, kind outageKind, deployment site, length, phase time.Duration) {
		const unanswered = 700 * time.Millisecond // By which a poll without an answer exceeds its wait.
		if kind == slow || kind == mixed || length <= PollWait(deployment.contact)+unanswered+minRetryDelay {
			return // The store may have returned up to a whole poll after the call that failed last.
		}
		begin := time.Now().Add(phase)
		end := begin.Add(length)
		store := newOutageStore(kind, begin, end)
		store.write(serverRowOf("a", "ready"))
		f := newFollow(ctx, store, deployment)
		time.Sleep(time.Until(end.Add(-100 * time.Millisecond)))
		known := f.has("a") // A process that starts in the outage knows no server.
		store.write(platform.Row{Key: "a", Deleted: true})
		for at := end; known && at.Before(end.Add(1900*time.Millisecond)); at = at.Add(50 * time.Millisecond) {
			time.Sleep(time.Until(at))
			if !f.has("a") {
				t.Errorf("the server was dropped %v after the store's return", at.Sub(end))
				return
			}
		}
		store.write(serverRowOf("a", "ready"))
		time.Sleep(2 * time.Second)
		if !f.has("a") {
			t.Error("the server whose row is back gets no work")
		}
	})
}

// fleet is the processes of a deployment that follow the store.
type fleet struct {
	deployment site
	processes  int
	readRate   int // Reads that the store accepts in a second.
}

var fleets = map[string]fleet{
	"small": {sites["small"], 4 + 3, 2000}, "large": {sites["large"], 53 + 18, 16000}, "the size to design for": {sites["large"], 330, 2000},
}

const (
	followedTables       = 3 // Operators, servers and the records of crashes.
	recordsRetryInterval = 2 * time.Second
)

// Guards against more reads than the store serves when all processes find it back at once.
func TestReadsAfterAnOutage(t *testing.T) {
	for name, fleet := range fleets {
		for kind, kindName := range outageKinds {
			t.Run(name+"/"+kindName, func(t *testing.T) {
				t.Parallel()
				for _, length := range []time.Duration{2 * time.Second, 8 * time.Second} {
					synctest.Test(t, func(t *testing.T) {
						checkReadsAfterAnOutage(t, kind, length, fleet)
					})
				}
			})
		}
	}
}

func checkReadsAfterAnOutage(t *testing.T, kind outageKind, length time.Duration, fleet fleet) {
	ctx, cancel := context.WithCancel(t.Context())
	begin := time.Now().Add(10 * time.Second)
	end := begin.Add(length)
	store := newOutageStore(kind, begin, end)
	store.readRate = fleet.readRate
	var mu sync.Mutex
	read := map[int]bool{}
	for i := range fleet.processes * followedTables {
		watch := newWatch(store, fleet.deployment, func(event reduce.Event) {
			if _, ok := event.(topology.ServerRead); ok {
				mu.Lock()
				read[i] = true
				mu.Unlock()
			}
		})
		if i%followedTables == 0 {
			watch.MaxRetryInterval = recordsRetryInterval
		}
		go func() {
			wait.For(ctx, rand.N(watch.PollWait)) // Processes start at different times.
			watch.Run(ctx)
		}()
	}
	time.Sleep(time.Until(end))
	store.write(serverRowOf("a", "ready"))
	time.Sleep(fleet.deployment.contact)
	cancel()
	time.Sleep(endOfCalls)
	mu.Lock()
	defer mu.Unlock()
	if len(read) != fleet.processes*followedTables {
		t.Errorf("outage of %v: %d of %d watches are up to date", length, len(read), fleet.processes*followedTables)
	}
	most := store.mostReads(begin)
	t.Logf("outage of %v: %d reads in a second, the store serves %d", length, most, fleet.readRate)
	if most > fleet.readRate {
		t.Errorf("outage of %v: %d reads in a second, the store serves %d", length, most, fleet.readRate)
	}
}

// mostReads returns the largest number of reads in a second since the time.
func (s *outageStore) mostReads(since time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, first := 0, 0
	for i, at := range s.reads {
		if at.Before(since) {
			first = i + 1
			continue
		}
		for at.Sub(s.reads[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
