package agent

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"persimmonwind.dev/policy/admission"
	"persimmonwind.dev/policy/prefix"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/node"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/wire"
)

// gate asks the control loop for slots on behalf of traffic goroutines.
type gate struct {
	node    *node.Node
	tickets atomic.Uint64

	mu      sync.Mutex
	waiting map[uint64]chan *result.Error
	probes  map[uint64]chan admission.Offer
}

func newGate(n *node.Node) *gate {
	g := &gate{
		node: n, waiting: map[uint64]chan *result.Error{}, probes: map[uint64]chan admission.Offer{},
	}
	n.AddExecutor(g.execute)
	return g
}

// slot is the permission to run one piece of work; release gives it back.
type slot struct {
	gate   *gate
	ticket uint64
	broken bool // The backend server broke the answer off.
	start  sync.Once
	end    sync.Once
}

// begun tells that the backend server has sent the first piece of the answer.
func (s *slot) begun() {
	s.start.Do(func() {
		s.gate.node.Loop.Post(admission.Begun{Ticket: s.ticket})
	})
}

// release gives the slot back; completed tells that the backend server
// answered in whole.
func (s *slot) release(completed bool) {
	s.end.Do(func() {
		s.gate.node.Loop.Post(admission.Released{Ticket: s.ticket, Completed: completed, Broken: s.broken})
	})
}

// fail takes in an error of the backend server: its work is broken off, and
// the server is unreachable where it refused the connection.
func (s *slot) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	s.broken = true
	if errors.Is(err, ports.ErrUnavailable) {
		s.gate.node.Loop.Post(admission.Unreachable{})
	}
}

// admit waits for the control loop's decision.
func (g *gate) admit(ctx context.Context, work wire.Work, prompt prefix.Prompt) (*slot, *result.Error) {
	ticket := g.tickets.Add(1)
	decided := g.expect(ticket)
	g.node.Loop.Post(admission.Asked{
		Ticket: ticket, Org: work.Org, Weight: g.weight(work.Org), Priority: work.Priority, Deadline: work.Deadline,
		Prompt: prompt,
	})
	select {
	case err := <-decided:
		if err != nil {
			return nil, err
		}
		return &slot{gate: g, ticket: ticket}, nil
	case <-ctx.Done():
		go g.abandon(ticket, decided)
		return nil, result.Errorf(result.Cancelled, "the caller left before the work was admitted")
	case <-g.node.Loop.Done():
		return nil, result.Errorf(result.Leaving, "the agent has stopped")
	}
}

func (g *gate) weight(org string) float64 {
	if snapshot := g.node.State().View.InForce; snapshot != nil {
		return snapshot.Organisations[org].Weight
	}
	return 0
}

// abandon leaves the queue, and gives the slot back if it was granted
// meanwhile.
func (g *gate) abandon(ticket uint64, decided <-chan *result.Error) {
	g.node.Loop.Post(admission.Left{Ticket: ticket})
	select {
	case err := <-decided:
		if err == nil {
			g.node.Loop.Post(admission.Released{Ticket: ticket})
		}
	case <-g.node.Loop.Done():
	}
}

func (g *gate) expect(ticket uint64) <-chan *result.Error {
	decided := make(chan *result.Error, 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting[ticket] = decided
	return decided
}

func (g *gate) execute(_ context.Context, effect reduce.Effect) bool {
	switch effect := effect.(type) {
	case admission.Admit:
		g.decide(effect.Ticket, nil)
	case admission.Refuse:
		g.decide(effect.Ticket, effect.Err)
	case admission.Offer:
		g.answer(effect)
	default:
		return false
	}
	return true
}

func (g *gate) decide(ticket uint64, err *result.Error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	decided, ok := g.waiting[ticket]
	if !ok {
		return
	}
	delete(g.waiting, ticket)
	decided <- err
}

// probe asks the control loop what the agent could take.
func (g *gate) probe(event admission.Probed) (admission.Offer, *result.Error) {
	event.Ticket = g.tickets.Add(1)
	answered := make(chan admission.Offer, 1)
	g.mu.Lock()
	g.probes[event.Ticket] = answered
	g.mu.Unlock()
	g.node.Loop.Post(event)
	select {
	case offer := <-answered:
		return offer, nil
	case <-g.node.Loop.Done():
		return admission.Offer{}, result.Errorf(result.Leaving, "the agent has stopped")
	}
}

func (g *gate) answer(offer admission.Offer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if answered, ok := g.probes[offer.Ticket]; ok {
		delete(g.probes, offer.Ticket)
		answered <- offer
	}
}
