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
	pollEvery    = 2 // Ticks between two readings of a load report.
	fetchTimeout = 4 * time.Second
	maxPending   = 400
)

var dataCentres = []string{"a", "b", "c"}

// process is an entry or an agent with what its executors hold.
type process struct {
	index   int
	self    control.Self
	state   control.State
	server  *server // Agents only.
	boot    int
	started time.Time
	paused  bool
	waiting []message // Inputs of a paused process.
	highest uint64    // Revision that it ever had in force.

	fetches   int // Number of the latest fetch.
	fetching  bool
	fetchFrom time.Time
	unsettled []uint64 // Revisions written by its changes whose answers it lacks.
}

// counts tells what the runs reached.
type counts struct{ runs, actions, steps, started, refused, accepted, coldTurns, restarts int }

// world is the whole system: every choice in it is drawn or counted.
type world struct {
	now       time.Time
	random    uint64
	store     store
	processes []*process
	bag       []message
	cut       map[[2]string]bool // Pairs of data centres; "" is the table's.
	lag       time.Duration      // Of load reports.
	ticks     int
	tickets   uint64
	counts    *counts
	fault     error // The first breach of the oracle.
}

func newWorld(entries, agents int, random uint64, lag time.Duration, counts *counts) *world {
	w := &world{now: time.Unix(1_700_000_000, 0), random: random, lag: lag, cut: map[[2]string]bool{}, counts: counts}
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
	w.store = store{up: true, revisions: []accepted{{snapshot: first}}}
	return w
}

func (w *world) add(self control.Self, s *server) {
	w.processes = append(w.processes, &process{index: len(w.processes), self: self, state: control.New(self), server: s, started: w.now})
}

// next returns the next counted random number.
func (w *world) next() uint64 {
	w.random += 0x9e3779b97f4a7c15
	z := (w.random ^ (w.random >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func (w *world) breach(format string, arguments ...any) {
	if w.fault == nil {
		w.fault = fmt.Errorf(format, arguments...)
	}
}

// step reduces one event at a running process and carries out the effects.
func (w *world) step(p *process, event reduce.Event) {
	w.counts.steps++
	before := p.state.View.Revision()
	var effects []reduce.Effect
	p.state, effects = control.Step(p.state, reduce.Input{Now: w.now, Random: w.next(), Event: event})
	w.checkRevision(p, before)
	for _, effect := range effects {
		w.execute(p, effect)
	}
}

// checkRevision is the oracle's first line.
func (w *world) checkRevision(p *process, before uint64) {
	revision := p.state.View.Revision()
	if revision < before {
		w.breach("%s: revision %d in force after %d", p.self.ID, revision, before)
	}
	if *knownRedFlag && revision > 0 && revision < p.highest {
		w.breach("%s: revision %d in force after its restart, %d before", p.self.ID, revision, p.highest)
	}
	p.highest = max(p.highest, revision)
}

// start gives admitted work to the backend server; it holds the oracle's
// second and third line.
func (w *world) start(p *process, ticket uint64) {
	w.counts.started++
	if p.state.Leaving {
		w.breach("%s started work although it leaves", p.self.ID)
	}
	if revision := w.store.overdue(p.self.DataCentre, w.now); revision > 0 {
		w.breach("%s with revision %d started work more than %v after revision %d took out data centre %q",
			p.self.ID, p.state.View.Revision(), takeOutBound, revision, p.self.DataCentre)
	}
	lasts := time.Duration(w.next()%400) * time.Millisecond
	if err := p.server.submit(ticket, p.boot, w.now, lasts); err != nil {
		w.breach("%s: %v", p.self.ID, err)
	}
}

// take hands a message to the process, which answers it at once unless paused.
func (w *world) take(p *process, m message) {
	if m.isReply() && m.boot != p.boot {
		return
	}
	if p.paused {
		p.waiting = append(p.waiting, m)
		return
	}
	w.handle(p, m)
}

// pass lets the time pass, with or without the flow of messages.
func (w *world) pass(ticks int, flow bool) {
	for range ticks {
		w.now = w.now.Add(tickEvery)
		w.ticks++
		for _, p := range w.processes {
			w.tick(p)
		}
		if flow {
			w.flow()
		}
	}
}

func (w *world) tick(p *process) {
	if p.server != nil {
		for _, event := range p.server.advance(p.boot, w.now) {
			w.take(p, message{kind: local, boot: p.boot, event: event})
		}
	}
	if p.paused {
		return
	}
	if p.server != nil && w.ticks%pollEvery == 0 {
		report := p.server.load(w.now, w.lag)
		report.AgentStarted = p.started
		w.step(p, report)
	}
	if p.fetching && w.now.Sub(p.fetchFrom) >= fetchTimeout {
		w.endStoreRead(p, p.fetches, true)
	}
	w.step(p, reduce.Tick{})
}

// flow delivers what is pending now and can be, in counted order.
func (w *world) flow() {
	for range len(w.bag) {
		if len(w.bag) > 0 {
			w.deliver(int(w.next() % uint64(len(w.bag))))
		}
	}
}

// ask brings callers' requests to the agent.
func (w *world) ask(p *process, count int) {
	for range count {
		w.tickets++
		w.take(p, message{kind: local, boot: p.boot, event: admission.Asked{Ticket: w.tickets, Org: "o", Deadline: w.now.Add(time.Minute)}})
	}
}

// restart loses the process's state; what runs at its backend server goes on.
func (w *world) restart(p *process) {
	w.counts.restarts++
	p.boot++
	p.state, p.started = control.New(p.self), w.now
	p.paused, p.waiting = false, nil
	p.fetching, p.unsettled = false, nil
	if p.server != nil && w.next()%2 == 0 {
		w.pass(1, true) // Callers ask before it knows its backend server.
		w.ask(p, 2*coldLimit)
	}
}

func (w *world) resume(p *process) {
	p.paused = false
	waiting := p.waiting
	p.waiting = nil
	for _, m := range waiting {
		w.handle(p, m)
	}
}

// apply sends an operator's change through the entry.
func (w *world) apply(p *process, dataCentre string, out bool) {
	if p.paused || p.state.View.InForce == nil {
		return
	}
	w.send(message{kind: submitAsk, from: p.index, to: table, boot: p.boot, change: change{
		base: p.state.View.Revision(), through: p.self.DataCentre, dataCentre: dataCentre, out: out,
	}})
}

func (w *world) send(m message) {
	if len(w.bag) < maxPending {
		w.bag = append(w.bag, m)
	}
}

func (w *world) drop(i int) message {
	m := w.bag[i]
	w.bag = slices.Delete(w.bag, i, i+1)
	return m
}
