// Package limit holds the organisations' rate and concurrency limits at an
// entry instance: it takes shares from the organisations' homes among the
// entries, and is the home of some itself. Package share decides.
package limit

import (
	"context"
	"slices"
	"sync"
	"time"

	"persimmonwind.dev/policy/choose"
	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/policy/share"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/node"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/wire"
)

const (
	askTimeout   = 300 * time.Millisecond
	tickInterval = 500 * time.Millisecond
)

// Limiter admits requests by their organisations' limits.
type Limiter struct {
	node *node.Node
	self string

	mu      sync.Mutex
	home    *share.Home
	locals  map[string]*share.Local
	rounds  map[string]*round // Asks under way, by organisation.
	entries []string          // IDs of the entries at the last tick.
}

// New returns the limiter of the entry with the ID and registers it for asks
// of other entries. It must be called before the node runs.
func New(n *node.Node, self string) *Limiter {
	l := &Limiter{
		node: n, self: self, home: share.NewHome(time.Now()), locals: map[string]*share.Local{},
		rounds: map[string]*round{}, entries: []string{self},
	}
	n.AddReceiver("Share", &receiver{limiter: l})
	return l
}

// Run renews leases and follows the instance list until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.follow()
			l.renew(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// Take admits one request of the organisation; release must be called when the
// request has ended.
func (l *Limiter) Take(ctx context.Context, org config.Organisation) (release func(), err *result.Error) {
	limits := limitsOf(org)
	if limits == (share.Limits{}) {
		return func() {}, nil
	}
	for asks := 0; ; asks++ {
		verdict, round, err := l.try(org.Name, limits, asks)
		switch verdict {
		case share.Admitted:
			return func() { l.done(org.Name) }, nil
		case share.Refused:
			return nil, err
		}
		if round.leads {
			l.ask(ctx, org.Name, round)
		}
		if err := round.wait(ctx); err != nil {
			return nil, result.Errorf(result.Cancelled, "the caller left: %v", err)
		}
		if round.failed {
			return l.takeLocal(org.Name, limits)
		}
	}
}

func limitsOf(org config.Organisation) share.Limits {
	return share.Limits{Rate: org.RequestsPerSecond, Concurrency: org.Concurrency}
}

// local returns the share of the organisation; l.mu must be held.
func (l *Limiter) local(org string) *share.Local {
	local := l.locals[org]
	if local == nil {
		local = &share.Local{}
		l.locals[org] = local
	}
	return local
}

// try tries to admit a request; one that must ask joins the round of its
// organisation, and begins it if there is none.
func (l *Limiter) try(org string, limits share.Limits, asks int) (share.Decision, joined, *result.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	verdict, err := l.local(org).TryAdmit(time.Now(), limits, asks)
	if verdict != share.NeedsLease {
		return verdict, joined{}, err
	}
	r, under := l.rounds[org]
	if !under {
		r = &round{done: make(chan struct{})}
		l.rounds[org] = r
	}
	r.waiting++
	return verdict, joined{round: r, leads: !under}, nil
}

func (l *Limiter) done(org string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.local(org).Release()
}

// ask asks the home on behalf of all that have joined the round.
func (l *Limiter) ask(ctx context.Context, org string, round joined) {
	l.mu.Lock()
	request := l.local(org).Ask(time.Now(), org, l.self, round.waiting)
	l.mu.Unlock()
	grant, err := l.call(context.WithoutCancel(ctx), request)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		logevent.Write(l.node.Log(), logevent.HomeUnreachable, map[string]any{"organisation": org, "error": err.Error()})
		round.failed = true
	} else {
		l.local(org).ApplyGrant(time.Now(), grant)
	}
	delete(l.rounds, org)
	close(round.done)
}

// takeLocal admits a request by the local part, without the home.
func (l *Limiter) takeLocal(org string, limits share.Limits) (release func(), err *result.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	verdict, err := l.local(org).AdmitLocally(time.Now(), limits, len(l.entries), l.rank(org))
	if verdict != share.Admitted {
		return nil, err
	}
	return func() { l.done(org) }, nil
}

// rank returns this entry's place among all for the organisation.
func (l *Limiter) rank(org string) int {
	order := choose.Rendezvous(l.entries, choose.RendezvousKey(org), len(l.entries))
	return slices.Index(order, slices.Index(l.entries, l.self))
}

// call sends the ask to the organisation's home, which may be this entry.
func (l *Limiter) call(ctx context.Context, ask share.Ask) (share.Grant, error) {
	home, address := l.homeOf(ask.Org)
	if home == l.self {
		return l.grant(ask), nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request := wire.ShareRequest{
		Stamp: l.node.Stamp(), Org: ask.Org, Want: ask.Want, Unused: ask.Unused, Slots: ask.Slots, InUse: ask.InUse,
	}
	// A reply of a call that was given up on may still be written later.
	reply := new(wire.ShareReply)
	if err := l.node.Pool.Call(ctx, address, "Share.Ask", request, reply); err != nil {
		return share.Grant{}, err
	}
	l.node.ObserveStamp(reply.Stamp)
	retryAfter := time.Duration(reply.RetryAfterMS) * time.Millisecond
	return share.Grant{Tokens: reply.Tokens, Slots: reply.Slots, RetryAfter: retryAfter}, nil
}

func (l *Limiter) homeOf(org string) (id, address string) {
	l.mu.Lock()
	id = l.entries[choose.Rendezvous(l.entries, choose.RendezvousKey(org), 1)[0]]
	l.mu.Unlock()
	for _, instance := range l.node.Instances() {
		if instance.ID == id {
			return id, instance.Control
		}
	}
	return id, ""
}

// grant answers an ask as the organisation's home.
func (l *Limiter) grant(ask share.Ask) share.Grant {
	snapshot := l.node.State().View.InForce
	if snapshot == nil {
		return share.Grant{RetryAfter: time.Second}
	}
	limits := limitsOf(snapshot.Organisations[ask.Org])
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.home.Ask(time.Now(), limits, len(l.entries), ask)
}

// follow takes in the instance list.
func (l *Limiter) follow() {
	entries := []string{l.self}
	for _, instance := range l.node.Instances() {
		if instance.Role == ports.RoleEntry && !instance.Leaving && instance.ID != l.self {
			entries = append(entries, instance.ID)
		}
	}
	slices.Sort(entries)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Equal(entries, l.entries) {
		l.entries = entries
		l.home.MarkReassigned(time.Now())
	}
	l.home.DropIdle(time.Now())
}

// renew renews the slots in use at their homes and gives the others back.
func (l *Limiter) renew(ctx context.Context) {
	for _, ask := range l.renewals() {
		grant, err := l.call(ctx, ask)
		if err != nil {
			continue
		}
		l.mu.Lock()
		l.local(ask.Org).ApplyRenewal(time.Now(), grant)
		l.mu.Unlock()
	}
}

func (l *Limiter) renewals() []share.Ask {
	l.mu.Lock()
	defer l.mu.Unlock()
	var asks []share.Ask
	for org, local := range l.locals {
		switch {
		case local.Idle(time.Now()):
			delete(l.locals, org)
		case local.NeedsRenewal(time.Now()):
			asks = append(asks, local.RenewalRequest(org, l.self))
		}
	}
	return asks
}

// receiver answers other entries.
type receiver struct{ limiter *Limiter }

// Ask grants a share.
func (r *receiver) Ask(request wire.ShareRequest, reply *wire.ShareReply) error {
	r.limiter.node.ObserveStamp(request.Stamp)
	grant := r.limiter.grant(share.Ask{
		Org: request.Org, Entry: request.Stamp.From, Want: request.Want, Unused: request.Unused,
		Slots: request.Slots, InUse: request.InUse,
	})
	reply.Stamp = r.limiter.node.Stamp()
	reply.Tokens, reply.Slots, reply.RetryAfterMS = grant.Tokens, grant.Slots, grant.RetryAfter.Milliseconds()
	return nil
}
