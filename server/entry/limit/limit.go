// Package limit enforces the organisations' rate and concurrency limits at an
// entry instance. Each organisation has one of the entries as its home entry, from
// which the other entries lease shares of the limits, that is, rate tokens and
// concurrency slots; this entry may be the home entry of some organisations.
// Package share makes the decisions.
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
	leaseTimeout = 300 * time.Millisecond
	tickInterval = 500 * time.Millisecond
)

// Limiter admits requests within their organisations' limits.
type Limiter struct {
	node   *node.Node
	selfID string

	mu           sync.Mutex
	homeAccounts *share.Home
	localShares  map[string]*share.Local
	leaseCalls   map[string]*leaseCall // Lease calls in flight, by organisation.
	entryIDs     []string              // IDs of the live entries at the last tick.
}

// New returns the limiter of the entry with the ID selfID and registers it for
// lease requests of other entries. It must be called before the node runs.
func New(n *node.Node, selfID string) *Limiter {
	l := &Limiter{
		node: n, selfID: selfID, homeAccounts: share.NewHome(time.Now()), localShares: map[string]*share.Local{},
		leaseCalls: map[string]*leaseCall{}, entryIDs: []string{selfID},
	}
	n.AddReceiver("Share", &receiver{limiter: l})
	return l
}

// Run renews leases and keeps the list of entries current until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.updateEntries()
			l.renewLeases(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// Admit admits one request of the organisation; release must be called when the
// request has ended.
func (l *Limiter) Admit(ctx context.Context, org config.Organisation) (release func(), err *result.Error) {
	limits := limitsOf(org)
	if limits == (share.Limits{}) {
		return func() {}, nil
	}
	for attempts := 0; ; attempts++ {
		decision, waiter, err := l.tryAdmit(org.Name, limits, attempts)
		switch decision {
		case share.Admitted:
			return func() { l.releaseSlot(org.Name) }, nil
		case share.Refused:
			return nil, err
		}
		if waiter.leader {
			l.requestLease(ctx, org.Name, waiter)
		}
		if err := waiter.wait(ctx); err != nil {
			return nil, result.Errorf(result.Cancelled, "caller disconnected: %v", err)
		}
		if waiter.failed {
			return l.admitLocally(org.Name, limits)
		}
	}
}

func limitsOf(org config.Organisation) share.Limits {
	return share.Limits{Rate: org.RequestsPerSecond, Concurrency: org.Concurrency}
}

// localShare returns this entry's share of the organisation's limits; l.mu must be
// held.
func (l *Limiter) localShare(org string) *share.Local {
	localShare := l.localShares[org]
	if localShare == nil {
		localShare = &share.Local{}
		l.localShares[org] = localShare
	}
	return localShare
}

// tryAdmit tries to admit a request within the shares already leased. If that
// needs a new lease, the request joins the lease call in flight for its
// organisation, or begins one.
func (l *Limiter) tryAdmit(org string, limits share.Limits, attempts int) (share.Decision, leaseWaiter, *result.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	decision, err := l.localShare(org).TryAdmit(time.Now(), limits, attempts)
	if decision != share.NeedsLease {
		return decision, leaseWaiter{}, err
	}
	call, inFlight := l.leaseCalls[org]
	if !inFlight {
		call = &leaseCall{done: make(chan struct{})}
		l.leaseCalls[org] = call
	}
	call.waiterCount++
	return decision, leaseWaiter{leaseCall: call, leader: !inFlight}, nil
}

func (l *Limiter) releaseSlot(org string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.localShare(org).Release()
}

// requestLease requests a lease from the home entry on behalf of all requests that
// have joined the call.
func (l *Limiter) requestLease(ctx context.Context, org string, waiter leaseWaiter) {
	l.mu.Lock()
	request := l.localShare(org).Ask(time.Now(), org, l.selfID, waiter.waiterCount)
	l.mu.Unlock()
	grant, err := l.sendLeaseRequest(context.WithoutCancel(ctx), request)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		logevent.Write(l.node.Log(), logevent.HomeEntryUnreachable, map[string]any{"organisation": org, "error": err.Error()})
		waiter.failed = true
	} else {
		l.localShare(org).ApplyGrant(time.Now(), grant)
	}
	delete(l.leaseCalls, org)
	close(waiter.done)
}

// admitLocally admits a request within this entry's local share of the limits,
// which it uses while the home entry does not answer.
func (l *Limiter) admitLocally(org string, limits share.Limits) (release func(), err *result.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	decision, err := l.localShare(org).AdmitLocally(time.Now(), limits, len(l.entryIDs), l.rendezvousRank(org))
	if decision != share.Admitted {
		return nil, err
	}
	return func() { l.releaseSlot(org) }, nil
}

// rendezvousRank returns this entry's position among all entries in the
// rendezvous hashing order of the organisation.
func (l *Limiter) rendezvousRank(org string) int {
	order := choose.Rendezvous(l.entryIDs, choose.RendezvousKey(org), len(l.entryIDs))
	return slices.Index(order, slices.Index(l.entryIDs, l.selfID))
}

// sendLeaseRequest sends the request to the organisation's home entry, which may
// be this entry.
func (l *Limiter) sendLeaseRequest(ctx context.Context, lease share.Ask) (share.Grant, error) {
	home, address := l.homeOf(lease.Org)
	if home == l.selfID {
		return l.grant(lease), nil
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	request := wire.ShareRequest{
		Stamp: l.node.Stamp(), Org: lease.Org, Want: lease.Want, Unused: lease.Unused, Slots: lease.Slots, InUse: lease.InUse,
	}
	// Each call needs a reply of its own, since an abandoned call may still write to
	// it later.
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
	id = l.entryIDs[choose.Rendezvous(l.entryIDs, choose.RendezvousKey(org), 1)[0]]
	l.mu.Unlock()
	for _, instance := range l.node.Instances() {
		if instance.ID == id {
			return id, instance.Control
		}
	}
	return id, ""
}

// grant handles a lease request as the home entry of the organisation.
func (l *Limiter) grant(request share.Ask) share.Grant {
	snapshot := l.node.State().View.InForce
	if snapshot == nil {
		return share.Grant{RetryAfter: time.Second}
	}
	limits := limitsOf(snapshot.Organisations[request.Org])
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.homeAccounts.Ask(time.Now(), limits, len(l.entryIDs), request)
}

// updateEntries updates the list of live entries from the instance list and drops
// the accounts of idle organisations.
func (l *Limiter) updateEntries() {
	entryIDs := []string{l.selfID}
	for _, instance := range l.node.Instances() {
		if instance.Role == ports.RoleEntry && !instance.Leaving && instance.ID != l.selfID {
			entryIDs = append(entryIDs, instance.ID)
		}
	}
	slices.Sort(entryIDs)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Equal(entryIDs, l.entryIDs) {
		l.entryIDs = entryIDs
		l.homeAccounts.MarkReassigned(time.Now())
	}
	l.homeAccounts.DropIdle(time.Now())
}

// renewLeases renews the leases of the slots in use at the organisations' home
// entries, and returns the unused slots.
func (l *Limiter) renewLeases(ctx context.Context) {
	for _, request := range l.renewalRequests() {
		grant, err := l.sendLeaseRequest(ctx, request)
		if err != nil {
			continue
		}
		l.mu.Lock()
		l.localShare(request.Org).ApplyRenewal(time.Now(), grant)
		l.mu.Unlock()
	}
}

func (l *Limiter) renewalRequests() []share.Ask {
	l.mu.Lock()
	defer l.mu.Unlock()
	var requests []share.Ask
	for org, local := range l.localShares {
		switch {
		case local.Idle(time.Now()):
			delete(l.localShares, org)
		case local.NeedsRenewal(time.Now()):
			requests = append(requests, local.RenewalRequest(org, l.selfID))
		}
	}
	return requests
}

// receiver is the RPC receiver for lease requests of other entries.
type receiver struct{ limiter *Limiter }

// Ask grants another entry a lease of an organisation's limits.
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
