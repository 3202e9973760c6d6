// Package dispatch decides, at one entry, which backend server of a service gets
// a request, which requests are queued and which are refused at once.
//
// A Dispatcher holds the state of one service. It reads no clock and takes no lock:
// the caller passes the time and serializes the calls.
//
// A service is either a plain service, whose backend servers are independent, or
// an engine group: expert-parallel ranks that execute each forward pass together.
// A pass reads waiting prompts and yields the next event of every stream in the
// group, so passes that take longer delay all streams. A group is closed while it
// takes no work, for example because a rank is missing. A service may have several
// groups; a request goes to the least utilized one that is open.
package dispatch

import (
	"math/rand/v2"
	"time"

	"persimmonwind.dev/policy/classes"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/policy/workload"
)

const (
	// overloadBackoff is how long no request is sent to a server that has refused
	// one because of load.
	overloadBackoff = 60 * time.Millisecond
	// replacedBackoff is how long no request is sent to a server at whose address
	// another server has answered. It is longer than the server list takes to drop
	// a server that has gone, which is three heartbeats of about one second each.
	replacedBackoff = 5 * time.Second
	// lateCapacityShare is the share of the concurrency limit open to requests
	// that can no longer meet their latency objective. Otherwise a backlog would
	// take the whole capacity of a group that has just opened, and all requests of
	// the next seconds would be late too.
	lateCapacityShare = 0.7
	// engineFillShare is the largest share of an engine group's slots that is used,
	// so that entries which dispatch at the same moment rarely find a server full.
	engineFillShare = 0.95
)

// Ticket describes a request that needs a slot at a backend server.
type Ticket struct {
	ID          uint64
	Arrived     time.Time
	SLODeadline time.Time // When the first part of the answer is due by the latency objective.
	Deadline    time.Time // When the caller stops waiting for the answer.
	Priority    int       // 0 is the most urgent.
	Avoid       string    // ID of the server that has just failed the request; empty for none.
	FoundClosed bool      // The request was sent before and found the group closed, so it is not the next probe.

	Organisation string           // Name of the caller's organisation; empty for none.
	Work         workload.Request // Size of the request as its caller states it.
}

// Verdict is the decision about a ticket.
type Verdict int

// The verdicts about a ticket.
const (
	Wait   Verdict = iota // The ticket is queued.
	Go                    // The request is sent to the chosen server now.
	Refuse                // The request is refused; the caller may retry later.
)

// Decision is the verdict about a ticket and, for the log, the inputs that led to it.
type Decision struct {
	Ticket              uint64
	Verdict             Verdict
	Server              topology.Candidate // The chosen server if the verdict is Go.
	RetryAfter          time.Duration      // When the caller may retry if the verdict is Refuse.
	Reason              string
	BlockedBy           string        // For a refusal at a service with classes: what last kept a ticket in the queue.
	Level               int           // Level of urgency of the ticket, 0 for the most urgent.
	OwnInFlight         int           // Requests of this entry in flight at the service.
	TotalInFlight       int           // Requests of all entries in flight at the service, as far as known.
	Limit               int           // Upper limit of TotalInFlight; 0 for no limit.
	PredictedWait       time.Duration // Expected time in the queue.
	PredictedFirstEvent time.Duration // Expected time from now to the first event of the answer; set only if the request is sent to an engine.
	ReportAge           time.Duration // Age of the oldest load report that the decision used.
}

// Dispatcher holds the state of one service at one entry.
type Dispatcher struct {
	engine  *topology.Engine // Model of the service's engines; nil for a plain service.
	warmUp  WarmUpLimit
	entries int // Number of running entries as reported; 0 while unknown.
	turns   turnSeed
	servers []*server
	groups  map[string]*group // By name.
	byID    map[string]*server
	notices map[string]*notice // What servers have said of themselves, by ID.
	queue   []Ticket
	freedAt []time.Time // When slots became free, for the times within rateWindow.

	classes        classes.Table
	sent           map[uint64]sentRequest // Requests in flight of a service with classes, by ticket.
	onTimeArrivals []time.Time            // When tickets arrived that could meet their objective, for the times within rateWindow.
	demand         classes.Demand
	organisations  organisationLoads
	blockedBy      string // Why the last ticket could not be sent; empty if no server had room.
	reading        reading
}

// NewDispatcher returns a dispatcher for one service.
func NewDispatcher(warmUp WarmUpLimit) *Dispatcher {
	return &Dispatcher{warmUp: warmUp, turns: turnSeed(rand.Uint64()), byID: map[string]*server{}, groups: map[string]*group{}, notices: map[string]*notice{}, sent: map[uint64]sentRequest{}}
}

// Configure sets the servers that may get new work, the service's engine model,
// which is nil for plain services, and the longest allowed pause between events.
func (d *Dispatcher) Configure(candidates []topology.Candidate, service topology.Service, pauseGoal time.Duration, now time.Time) {
	d.forgetNotices(now)
	d.warmUp.PerSecond = service.WarmUpPerSecond
	d.warmUp.raiseEntries(len(candidates))
	servers := make([]*server, 0, len(candidates))
	byID := make(map[string]*server, len(candidates))
	for _, candidate := range candidates {
		srv := d.byID[candidate.ID]
		if srv == nil {
			srv = &server{configuredAt: now}
		}
		srv.candidate = candidate
		byID[candidate.ID] = srv
		if d.applyNotice(srv, now) {
			servers = append(servers, srv)
		}
	}
	d.servers, d.byID = servers, byID
	d.regroup(service.Engine, pauseGoal)
}

// SetClasses sets the levels of the service's routes.
func (d *Dispatcher) SetClasses(table classes.Table) { d.classes = table }

// SetEntries sets the reported number of running entries.
func (d *Dispatcher) SetEntries(count int) {
	d.warmUp.Entries = max(d.warmUp.Entries, count)
	d.entries = count
}

// runningEntries returns the number of running entries, an upper estimate while none has
// been reported.
func (d *Dispatcher) runningEntries() int {
	if d.entries > 0 {
		return d.entries
	}
	return max(1, d.warmUp.Entries)
}

// ObserveGap records the time between two events of a stream at the server with
// this ID.
func (d *Dispatcher) ObserveGap(id string, gap time.Duration, now time.Time) {
	d.ObserveEvent(id, now)
	if server := d.byID[id]; server != nil && server.group != nil {
		server.group.pace.observe(gap, server.group.inFlight(now), now)
	}
}

// Submit decides about a new ticket and queues it if the verdict is Wait. random
// is a random number in [0, 1) for the choice of the server.
func (d *Dispatcher) Submit(ticket Ticket, random float64, now time.Time) Decision {
	decision := d.submit(ticket, random, now)
	d.completeRefusal(&decision, random)
	return decision
}

func (d *Dispatcher) submit(ticket Ticket, random float64, now time.Time) Decision {
	first := d.meetsSLO(ticket, now) && !d.anyMeetsSLO(now)
	if d.classes.Enabled() {
		d.recordArrival(ticket, now)
		first = d.goesFirst(ticket, now)
	}
	if len(d.queue) == 0 || first {
		if decision, ok := d.tryDispatch(ticket, random, now); ok {
			return decision
		}
	}
	decision := d.newDecision(ticket, now)
	decision.PredictedWait = d.predictedWait(ticket, now)
	if len(d.servers) == 0 {
		decision.Verdict, decision.Reason = Refuse, "no_server"
		decision.RetryAfter = maxPredictedWait
		return decision
	}
	if pause := d.pauseOfAll(now); pause > 0 {
		decision.PredictedWait += pause
		if pause > maxPredictedWait {
			decision.Verdict, decision.Reason = Refuse, "servers_paused"
			decision.RetryAfter = decision.PredictedWait
			return decision
		}
	}
	if d.lacksRanks(now) {
		decision.Verdict, decision.Reason = Refuse, reasonLacksRanks
		return decision
	}
	if d.allClosed() {
		// The wait can't be predicted while the group is closed, so the queue is
		// bounded by the requests that the group can take when it opens.
		if len(d.queue) >= d.closedQueueLimit() {
			decision.Verdict, decision.Reason = Refuse, "group_closed"
			decision.RetryAfter = closedRetryAfter
			return decision
		}
		decision.PredictedWait = 0
	}
	if decision.PredictedWait > maxPredictedWait || now.Add(decision.PredictedWait).After(ticket.Deadline) {
		decision.Verdict, decision.Reason = Refuse, "wait_too_long"
		decision.RetryAfter = max(minRetryAfter, decision.PredictedWait-maxPredictedWait/2)
		return decision
	}
	d.queue = append(d.queue, ticket)
	decision.Verdict, decision.Reason = Wait, d.waitReason()
	return decision
}

// DispatchQueued decides about the queued tickets and returns the decisions on
// those that leave the queue. It is called whenever a slot may have become free,
// and every few tens of milliseconds.
func (d *Dispatcher) DispatchQueued(random func() float64, now time.Time) []Decision {
	var decisions []Decision
	d.sortQueue(now)
	kept := d.queue[:0]
	var blocked blockedTickets
	for _, ticket := range d.queue {
		if !d.isBlocked(ticket, &blocked, now) {
			if decision, ok := d.tryDispatch(ticket, random(), now); ok {
				decisions = append(decisions, decision)
				continue
			}
			// A ticket that has already found the group closed does not block those
			// behind it: they may probe the group.
			if !ticket.FoundClosed || !d.anyClosed() {
				blocked.add(d.blockedBy, d.classes.Level(ticket.Priority))
			}
		}
		if pause := d.pauseOfAll(now); pause > maxPredictedWait || pause > 0 && now.Add(pause).After(ticket.Deadline) {
			decision := d.newDecision(ticket, now)
			decision.Verdict, decision.Reason = Refuse, "servers_paused"
			decision.RetryAfter = pause + d.predictedWait(ticket, now)
			decisions = append(decisions, decision)
			continue
		}
		if hopeless := d.isHopeless(ticket, now); hopeless || d.timedOut(ticket, now) {
			decision := d.newDecision(ticket, now)
			decision.Verdict, decision.Reason = Refuse, "waited_too_long"
			decision.RetryAfter = max(minRetryAfter, d.predictedWait(ticket, now))
			if d.allClosed() {
				decision.Reason, decision.RetryAfter = "group_closed", closedRetryAfter
			}
			if hopeless {
				decision.Reason = reasonLacksRanks
			}
			decisions = append(decisions, decision)
			continue
		}
		kept = append(kept, ticket)
	}
	d.queue = kept
	for i := range decisions {
		if decisions[i].Verdict == Refuse {
			d.completeRefusal(&decisions[i], random())
		}
	}
	return decisions
}

// Accepted records that the server with this ID has begun to answer a request.
func (d *Dispatcher) Accepted(id string) {
	if server := d.byID[id]; server != nil && server.group != nil {
		server.group.gate.accepted()
	}
}

// tryDispatch chooses a server for the ticket and takes a slot there. It returns
// false if the ticket can't be sent now.
func (d *Dispatcher) tryDispatch(ticket Ticket, random float64, now time.Time) (Decision, bool) {
	groups, random := d.groupsInOrder(random, now)
	d.blockedBy = ""
	for _, g := range groups {
		if !d.mayDispatch(ticket, g, now) {
			continue
		}
		best := d.choose(ticket, g, random, now)
		if best == nil {
			continue
		}
		decision := d.newDecision(ticket, now)
		decision.Verdict, decision.Server, decision.Reason = Go, best.candidate, "least_loaded"
		decision.PredictedFirstEvent = g.pace.predictFirstEvent() + d.extraReadTime(ticket)
		d.promptSent(ticket, best, now)
		best.requestSent(now)
		if d.classes.Enabled() {
			d.recordSent(ticket, g, now)
		}
		g.gate.recordSent()
		return decision, true
	}
	return Decision{}, false
}

// mayDispatch reports whether the group's gate and limit allow the ticket to be sent to
// one of its servers.
func (d *Dispatcher) mayDispatch(ticket Ticket, g *group, now time.Time) bool {
	if !g.gate.allows(g.reportedState(now), now) || g.gate.closed && ticket.FoundClosed {
		return false
	}
	limit := g.limit()
	if limit <= 0 {
		return true
	}
	total := g.inFlight(now)
	if d.classes.Enabled() {
		return d.mayDispatchClass(ticket, g, limit, total, now)
	}
	if !d.meetsSLO(ticket, now) && float64(total) >= lateCapacityShare*float64(limit) {
		return false
	}
	return total < limit
}

func (d *Dispatcher) newDecision(ticket Ticket, now time.Time) Decision {
	decision := Decision{Ticket: ticket.ID, Level: d.classes.Level(ticket.Priority), TotalInFlight: d.inFlight(now)}
	for _, g := range d.groups {
		decision.Limit += g.limit()
	}
	for _, server := range d.servers {
		decision.OwnInFlight += server.ownRequests
		if server.fresh(now) {
			decision.ReportAge = max(decision.ReportAge, now.Sub(server.reportAt))
		}
	}
	return decision
}
