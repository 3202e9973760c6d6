package expertmap_test

import (
	"flag"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/expertmap"
)

var enumerateAll = flag.Bool("enumerate-all", false, "enumerate the larger combinations of faults as well")

// faults limits how often each fault happens in one run: a change of the lease holder,
// an expired timer, a lost engine state, a restarted agent, an order delivered twice,
// and a write whose outcome is unknown.
type faults struct {
	Leases, Ticks, Losses, Restarts, Duplicates, Unknown int
	Steps                                                uint64 // Maximum number of steps that a rank runs.
}

// position is a state of the enumeration: a world with the faults that may still
// happen.
type position struct {
	*world
	remaining faults
	trace     *trace
}

// trace is the sequence of actions that led to a position.
type trace struct {
	previous *trace
	action   string
}

func (t *trace) String() string {
	if t == nil {
		return ""
	}
	return t.previous.String() + "\n" + t.action
}

// enumerator visits every reachable position.
type enumerator struct {
	visitedKeys map[uint64]bool
	pending     []position
	failure     string
	visited     int
}

func (e *enumerator) explore(start position) {
	e.visitedKeys = map[uint64]bool{}
	e.add(start)
	for len(e.pending) > 0 && e.failure == "" {
		last := len(e.pending) - 1
		next := e.pending[last]
		e.pending = e.pending[:last]
		e.visited++
		e.expand(next)
	}
}

// add queues a position for expansion unless it has been seen.
func (e *enumerator) add(p position) {
	if p.violation != "" {
		e.failure = p.violation + p.trace.String()
		return
	}
	key := p.key()
	if e.visitedKeys[key] {
		return
	}
	e.visitedKeys[key] = true
	e.pending = append(e.pending, p)
}

// visit adds the position that results from the action.
func (e *enumerator) visit(p position, name string, act func(*position)) {
	next := position{world: p.clone(), remaining: p.remaining, trace: &trace{previous: p.trace, action: name}}
	act(&next)
	e.add(next)
}

// expand visits every position that one action in p leads to.
func (e *enumerator) expand(p position) {
	for index, m := range p.inFlight {
		name := fmt.Sprintf("deliver %s %d>%d %v", m.Order.Kind, m.Node, m.Rank, m.Order.Number)
		if m.Reply != nil {
			name = fmt.Sprintf("reply to %s %d<%d %v", m.Reply.Kind, m.Node, m.Rank, m.Reply.Number)
		}
		e.visit(p, name, func(n *position) { n.deliver(index, false) })
		if p.remaining.Duplicates > 0 && m.Reply == nil {
			e.visit(p, name+" and keep", func(n *position) { n.remaining.Duplicates--; n.deliver(index, true) })
		}
	}
	e.expandStore(p)
	for rank := range p.engines {
		e.expandRank(p, rank)
	}
}

func (e *enumerator) expandStore(p position) {
	for index, write := range p.writes {
		name := fmt.Sprintf("apply write of %d %v", write.Node, write.Write.Record)
		e.visit(p, name, func(n *position) { n.applyWrite(index) })
		if p.remaining.Unknown > 0 && !write.ResultLost {
			e.visit(p, "lose result of: "+name, func(n *position) { n.remaining.Unknown--; n.loseWriteResult(index) })
		}
	}
}

func (e *enumerator) expandRank(p position, rank int) {
	name := func(action string) string { return fmt.Sprintf("%s %d", action, rank) }
	if p.canRun(rank) && p.engines[rank].State.Next < p.remaining.Steps {
		e.visit(p, name("run"), func(n *position) { n.runStep(rank) })
	}
	if p.remaining.Ticks > 0 && p.coords[rank].Phase != expertmap.Passive {
		e.visit(p, name("tick"), func(n *position) { n.remaining.Ticks--; n.tick(rank) })
	}
	if p.remaining.Leases > 0 && p.coords[rank].Phase == expertmap.Passive {
		e.visit(p, name("take lease"), func(n *position) { n.remaining.Leases--; n.takeLease(rank) })
	}
	if p.remaining.Losses > 0 && !p.engines[rank].State.HasNoMap() {
		e.visit(p, name("lose engine"), func(n *position) { n.remaining.Losses--; n.loseEngineState(rank) })
	}
	if p.remaining.Restarts > 0 {
		e.visit(p, name("restart agent"), func(n *position) { n.remaining.Restarts--; n.restartAgent(rank) })
	}
}

// newPreparedWorld returns a group in which the first node coordinates a change
// and all ranks have prepared it.
func newPreparedWorld() *world {
	w := newWorld(2, false)
	w.processOnForward = true
	w.installFirstMap()
	w.takeLease(0)
	w.deliverAll()
	w.coordinate(0, expertmap.Propose{})
	for w.coords[0].Phase == expertmap.Preparing {
		w.deliver(0, false)
	}
	return w
}

// deliverAll applies all writes and delivers all messages until none is in
// flight.
func (w *world) deliverAll() {
	for len(w.inFlight)+len(w.writes) > 0 {
		if len(w.writes) > 0 {
			w.applyWrite(0)
			continue
		}
		w.deliver(0, false)
	}
}

func TestEveryInterleavingOfAChange(t *testing.T) {
	cases := []struct {
		name      string
		remaining faults
		large     bool
	}{
		{"no fault", faults{Steps: 3}, false},
		{"the lease holder is paused and another node takes the lease", faults{Steps: 2, Leases: 1}, false},
		{"the table service's reply is lost and the commit is voided", faults{Steps: 2, Unknown: 1, Ticks: 1}, false},
		{"a rank loses its state", faults{Steps: 2, Losses: 1}, false},
		{"a rank loses its state and a timer expires", faults{Steps: 2, Losses: 1, Ticks: 1}, true},
		{"an agent restarts and another node takes the lease", faults{Steps: 2, Restarts: 1, Leases: 1}, true},
		{"an order is delivered twice and the commit is voided", faults{Steps: 2, Unknown: 1, Ticks: 1, Duplicates: 1}, true},
		{"the commit is voided and another node takes the lease", faults{Steps: 2, Unknown: 1, Ticks: 1, Leases: 1}, true},
		{"a rank loses its state and another node takes the lease", faults{Steps: 2, Losses: 1, Leases: 1}, true},
	}
	Convey("Given two ranks that have prepared a change", t, func() {
		for _, c := range cases {
			if c.large && !*enumerateAll {
				continue
			}
			Convey(c.name+": all ranks use the same map for every step", func() {
				var e enumerator
				e.explore(position{world: newPreparedWorld(), remaining: c.remaining})
				t.Logf("%s: %d states", c.name, e.visited)
				So(e.failure, ShouldBeEmpty)
			})
		}
	})
}
