package wholesystem

import (
	"fmt"
	"slices"
	"time"

	"persimmonwind.dev/policy/admission"
	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/control"
	"persimmonwind.dev/policy/reduce"
)

const (
	takeOutBound = 5 * time.Second
	tickEvery    = 50 * time.Millisecond
	pollEvery    = 2 // Ticks between two reads of a load report.
	fetchTimeout = 4 * time.Second
	maxInFlight  = 400
)

var dataCentres = []string{"a", "b", "c"}

// process simulates an entry or an agent: its control state, and the state of the
// code that executes its effects.
type process struct {
	index           int
	self            control.Self
	state           control.State
	server          *server // Set for agents only.
	boot            int
	bootedAt        time.Time
	paused          bool
	deferred        []message // Messages received while paused.
	highestRevision uint64    // Highest revision that the process has had in force in any boot.

	lastFetchID    int // Number of the latest fetch.
	fetching       bool
	fetchBeganAt   time.Time
	unacknowledged []uint64 // Revisions written by its changes for which the answer has not arrived.
}

// counts records how often each kind of event occurred in all executions.
type counts struct{ runs, actions, steps, started, refused, accepted, coldPeriods, restarts int }

// world is the whole simulated system. Every choice is drawn by rapid or comes from
// nextRandom, so that a seed reproduces a run.
type world struct {
	now       time.Time
	random    uint64
	store     store
	processes []*process
	inFlight  []message
	cutLinks  map[[2]string]bool // Cut links, as pairs of data centres; "" stands for the table service.
	reportLag time.Duration      // Delay of load reports.
	ticks     int
	tickets   uint64
	counts    *counts
	violation error // The first violation found by the oracle.
}

func newWorld(entries, agents int, random uint64, reportLag time.Duration, counts *counts) *world {
	w := &world{now: time.Unix(1_700_000_000, 0), random: random, reportLag: reportLag, cutLinks: map[[2]string]bool{}, counts: counts}
	first := &config.Snapshot{Revision: 1, DataCentres: map[string]config.DataCentre{}, BackendServers: map[string]config.BackendServer{}}
	for _, name := range dataCentres {
		first.DataCentres[name] = config.DataCentre{Name: name}
	}
	for i := range entries {
		w.add(control.Self{ID: fmt.Sprint("entry", i), DataCentre: dataCentres[i]}, nil)
	}
	for i := range agents {
		self := control.Self{ID: fmt.Sprint("agent", i), DataCentre: dataCentres[min(i, 2)], BackendServer: fmt.Sprint("s", i)}
		first.BackendServers[self.BackendServer] = config.BackendServer{
			Name: self.BackendServer, DataCentre: self.DataCentre, Model: "m", FullLimit: fullLimit, ColdLimit: coldLimit,
		}
		w.add(self, &server{cold: true})
	}
	w.store = store{up: true, revisions: []acceptedRevision{{snapshot: first}}}
	return w
}

func (w *world) add(self control.Self, s *server) {
	w.processes = append(w.processes, &process{index: len(w.processes), self: self, state: control.New(self), server: s, bootedAt: w.now})
}

// nextRandom returns the next number of a deterministic generator (SplitMix64).
func (w *world) nextRandom() uint64 {
	w.random += 0x9e3779b97f4a7c15
	z := (w.random ^ (w.random >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func (w *world) reportViolation(format string, arguments ...any) {
	if w.violation == nil {
		w.violation = fmt.Errorf(format, arguments...)
	}
}

// step reduces one event at a process that is not paused and executes the effects.
func (w *world) step(p *process, event reduce.Event) {
	w.counts.steps++
	before := p.state.View.Revision()
	var effects []reduce.Effect
	p.state, effects = control.Step(p.state, reduce.Input{Now: w.now, Random: w.nextRandom(), Event: event})
	w.checkRevision(p, before)
	for _, effect := range effects {
		w.execute(p, effect)
	}
}

// checkRevision is the first check of the oracle: the revision in force never
// decreases at a process. knownRedFlag enables a further check, which fails at
// present: that the revision does not decrease across restarts of the process
// either.
func (w *world) checkRevision(p *process, before uint64) {
	revision := p.state.View.Revision()
	if revision < before {
		w.reportViolation("%s: revision %d in force after %d", p.self.ID, revision, before)
	}
	if *knownRedFlag && revision > 0 && revision < p.highestRevision {
		w.reportViolation("%s: revision %d in force after its restart, %d before", p.self.ID, revision, p.highestRevision)
	}
	p.highestRevision = max(p.highestRevision, revision)
}

// start submits admitted work to the backend server and makes the other checks of
// the oracle: no new work at a leaving agent, none in a data centre that was taken
// out longer than takeOutBound ago, and no overload of a cold backend server.
func (w *world) start(p *process, ticket uint64) {
	w.counts.started++
	if p.state.Leaving {
		w.reportViolation("%s started work while leaving", p.self.ID)
	}
	if revision := w.store.overdueTakeOut(p.self.DataCentre, w.now); revision > 0 {
		w.reportViolation("%s with revision %d started work more than %v after revision %d took out data centre %q",
			p.self.ID, p.state.View.Revision(), takeOutBound, revision, p.self.DataCentre)
	}
	duration := time.Duration(w.nextRandom()%400) * time.Millisecond
	if err := p.server.submit(ticket, p.boot, w.now, duration); err != nil {
		w.reportViolation("%s: %v", p.self.ID, err)
	}
}

// receive passes a message to the process, which handles it at once unless paused.
func (w *world) receive(p *process, m message) {
	if m.isReply() && m.boot != p.boot {
		return
	}
	if p.paused {
		p.deferred = append(p.deferred, m)
		return
	}
	w.handle(p, m)
}

// advance advances the simulated time by ticks and, if deliverAll is set, delivers
// the messages in flight after each tick.
func (w *world) advance(ticks int, deliverAll bool) {
	for range ticks {
		w.now = w.now.Add(tickEvery)
		w.ticks++
		for _, p := range w.processes {
			w.tick(p)
		}
		if deliverAll {
			w.deliverAll()
		}
	}
}

func (w *world) tick(p *process) {
	if p.server != nil {
		for _, event := range p.server.advance(p.boot, w.now) {
			w.receive(p, message{kind: localEvent, boot: p.boot, event: event})
		}
	}
	if p.paused {
		return
	}
	if p.server != nil && w.ticks%pollEvery == 0 {
		report := p.server.load(w.now, w.reportLag)
		report.AgentStarted = p.bootedAt
		w.step(p, report)
	}
	if p.fetching && w.now.Sub(p.fetchBeganAt) >= fetchTimeout {
		w.finishTableFetch(p, p.lastFetchID, true)
	}
	w.step(p, reduce.Tick{})
}

// deliverAll delivers the messages that are in flight now and not on a cut link, in an
// order that nextRandom determines.
func (w *world) deliverAll() {
	for range len(w.inFlight) {
		if len(w.inFlight) > 0 {
			w.deliver(int(w.nextRandom() % uint64(len(w.inFlight))))
		}
	}
}

// sendRequests sends callers' requests to the agent.
func (w *world) sendRequests(p *process, count int) {
	for range count {
		w.tickets++
		w.receive(p, message{kind: localEvent, boot: p.boot, event: admission.SlotRequested{Ticket: w.tickets, Org: "o", Deadline: w.now.Add(time.Minute)}})
	}
}

// restart discards the process's state; the requests at its backend server
// continue.
func (w *world) restart(p *process) {
	w.counts.restarts++
	p.boot++
	p.state, p.bootedAt = control.New(p.self), w.now
	p.paused, p.deferred = false, nil
	p.fetching, p.unacknowledged = false, nil
	if p.server != nil && w.nextRandom()%2 == 0 {
		w.advance(1, true) // Requests arrive before the agent knows its backend server.
		w.sendRequests(p, 2*coldLimit)
	}
}

func (w *world) resume(p *process) {
	p.paused = false
	deferred := p.deferred
	p.deferred = nil
	for _, m := range deferred {
		w.handle(p, m)
	}
}

// submitChange sends an operator's change through the entry.
func (w *world) submitChange(p *process, dataCentre string, takeOut bool) {
	if p.paused || p.state.View.InForce == nil {
		return
	}
	w.send(message{kind: submitRequest, from: p.index, to: tableAddress, boot: p.boot, change: change{
		baseRevision: p.state.View.Revision(), entryDataCentre: p.self.DataCentre, dataCentre: dataCentre, takeOut: takeOut,
	}})
}

func (w *world) send(m message) {
	if len(w.inFlight) < maxInFlight {
		w.inFlight = append(w.inFlight, m)
	}
}

func (w *world) removeMessage(i int) message {
	m := w.inFlight[i]
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	return m
}
