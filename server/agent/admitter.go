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

// admitter requests slots from the control loop on behalf of the goroutines
// that serve traffic. A ticket is the number that identifies a request in the
// control loop's events and effects.
type admitter struct {
	node       *node.Node
	lastTicket atomic.Uint64

	mu               sync.Mutex
	pendingDecisions map[uint64]chan *result.Error
	pendingProbes    map[uint64]chan admission.Offer
}

func newAdmitter(n *node.Node) *admitter {
	a := &admitter{
		node: n, pendingDecisions: map[uint64]chan *result.Error{}, pendingProbes: map[uint64]chan admission.Offer{},
	}
	n.AddExecutor(a.execute)
	return a
}

// slot is the permission to run one request on the backend server; release
// returns it.
type slot struct {
	admitter      *admitter
	ticket        uint64
	backendFailed bool // The backend server failed during the request.
	startOnce     sync.Once
	releaseOnce   sync.Once
}

// markStarted reports that the backend server has sent the first piece of the
// answer.
func (s *slot) markStarted() {
	s.startOnce.Do(func() {
		s.admitter.node.Loop.Post(admission.Begun{Ticket: s.ticket})
	})
}

// release returns the slot; completed reports that the backend server's answer
// was complete.
func (s *slot) release(completed bool) {
	s.releaseOnce.Do(func() {
		s.admitter.node.Loop.Post(admission.Released{Ticket: s.ticket, Completed: completed, Broken: s.backendFailed})
	})
}

// fail records a failed call of the backend server, and reports the server as
// unreachable if the call did not reach it. It does nothing if ctx has ended.
func (s *slot) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	s.backendFailed = true
	if errors.Is(err, ports.ErrUnavailable) {
		s.admitter.node.Loop.Post(admission.Unreachable{})
	}
}

// admit requests a slot and waits for the control loop's decision.
func (a *admitter) admit(ctx context.Context, work wire.Work, prompt prefix.Prompt) (*slot, *result.Error) {
	ticket := a.lastTicket.Add(1)
	decision := a.addPending(ticket)
	a.node.Loop.Post(admission.SlotRequested{
		Ticket: ticket, Org: work.Org, Weight: a.orgWeight(work.Org), Priority: work.Priority, Deadline: work.Deadline,
		Prompt: prompt,
	})
	select {
	case err := <-decision:
		if err != nil {
			return nil, err
		}
		return &slot{admitter: a, ticket: ticket}, nil
	case <-ctx.Done():
		go a.abandon(ticket, decision)
		return nil, result.Errorf(result.Cancelled, "caller disconnected before the work was admitted")
	case <-a.node.Loop.Done():
		return nil, result.Errorf(result.Leaving, "the agent has stopped")
	}
}

func (a *admitter) orgWeight(org string) float64 {
	if snapshot := a.node.State().View.InForce; snapshot != nil {
		return snapshot.Organisations[org].Weight
	}
	return 0
}

// abandon withdraws a request for a slot, and returns the slot if it was granted in
// the meantime.
func (a *admitter) abandon(ticket uint64, decision <-chan *result.Error) {
	a.node.Loop.Post(admission.Left{Ticket: ticket})
	select {
	case err := <-decision:
		if err == nil {
			a.node.Loop.Post(admission.Released{Ticket: ticket})
		}
	case <-a.node.Loop.Done():
	}
}

func (a *admitter) addPending(ticket uint64) <-chan *result.Error {
	decision := make(chan *result.Error, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pendingDecisions[ticket] = decision
	return decision
}

func (a *admitter) execute(_ context.Context, effect reduce.Effect) bool {
	switch effect := effect.(type) {
	case admission.Admit:
		a.resolve(effect.Ticket, nil)
	case admission.Refuse:
		a.resolve(effect.Ticket, effect.Err)
	case admission.Offer:
		a.deliverOffer(effect)
	default:
		return false
	}
	return true
}

func (a *admitter) resolve(ticket uint64, err *result.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	decision, ok := a.pendingDecisions[ticket]
	if !ok {
		return
	}
	delete(a.pendingDecisions, ticket)
	decision <- err
}

// probe asks the control loop whether and how soon the agent could serve a request.
func (a *admitter) probe(event admission.Probed) (admission.Offer, *result.Error) {
	event.Ticket = a.lastTicket.Add(1)
	reply := make(chan admission.Offer, 1)
	a.mu.Lock()
	a.pendingProbes[event.Ticket] = reply
	a.mu.Unlock()
	a.node.Loop.Post(event)
	select {
	case offer := <-reply:
		return offer, nil
	case <-a.node.Loop.Done():
		return admission.Offer{}, result.Errorf(result.Leaving, "the agent has stopped")
	}
}

func (a *admitter) deliverOffer(offer admission.Offer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if reply, ok := a.pendingProbes[offer.Ticket]; ok {
		delete(a.pendingProbes, offer.Ticket)
		reply <- offer
	}
}
