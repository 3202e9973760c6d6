// Package dispatch decides, at one entry, which backend server of a service gets
// a request, which requests are queued and which are refused at once.
//
// A Dispatcher holds the state of one service. It reads no clock and takes no lock:
// the caller passes the time and serializes the calls.
package dispatch

import (
	"time"

	"persimmonwind.dev/policy/topology"
)

const (
	// overloadBackoff is how long a server gets no requests after it refused one
	// because of load.
	overloadBackoff = 60 * time.Millisecond
	// replacedBackoff is longer than the server list takes to drop a server that
	// has gone, which is three heartbeats of about one second each.
	replacedBackoff = 5 * time.Second
	// lateCapacityShare is the share of the concurrency limit open to requests
	// that can no longer meet their latency objective. Otherwise a backlog would
	// take the whole capacity of a group that has just opened, and all requests of
	// the next seconds would be late too.
	lateCapacityShare = 0.7
	// engineFillShare is the share of an engine group's slots that is used, so that
	// entries which dispatch at the same moment rarely find a server full.
	engineFillShare = 0.95
)

// Ticket is a request that needs a slot at a backend server.
type Ticket struct {
	ID          uint64
	Arrived     time.Time
	SLODeadline time.Time // When the first answer is due by the latency objective.
	Deadline    time.Time // When an answer is of no use any more.
	Priority    int       // 0 is the most urgent.
	Avoid       string    // ID of the server that has just failed the request; empty for none.
	FoundClosed bool      // The group was closed when the request was sent; another request probes next.
}

// Verdict is the decision about a ticket.
type Verdict int

// The verdicts.
const (
	Wait   Verdict = iota // The ticket is queued.
	Go                    // The request is sent to a server.
	Refuse                // The request is refused; the caller may retry later.
)

// Decision is a verdict and, for the log, the inputs that led to it.
type Decision struct {
	Ticket              uint64
	Verdict             Verdict
	Server              topology.Candidate // Set for Go.
	RetryAfter          time.Duration      // Set for Refuse.
	Reason              string
	OwnInFlight         int           // Requests of this entry in flight at the service.
	TotalInFlight       int           // The same of all entries, as far as known.
	Limit               int           // Of TotalInFlight; 0 for none.
	PredictedWait       time.Duration // Expected time in the queue.
	PredictedFirstEvent time.Duration // Set for Go at an engine; counted from now.
	ReportAge           time.Duration // Age of the oldest report in use.
}

// Dispatcher holds the state of one service at one entry.
type Dispatcher struct {
	pace    ConcurrencyLimiter
	warmUp  WarmUpLimit
	servers []*server
	byID    map[string]*server
	queue   []Ticket
	freedAt []time.Time // When slots became free, within rateWindow.
	limit   int         // Concurrency limit of all servers together; 0 for none.
	gate    gate

	groupActiveSince time.Time // Start of the group's current activity; zero while no server sends events.
}

// NewDispatcher returns a dispatcher for one service.
func NewDispatcher(warmUp WarmUpLimit) *Dispatcher {
	return &Dispatcher{warmUp: warmUp, byID: map[string]*server{}}
}

// Configure sets the servers that may get new work, the service's engine model,
// which is nil for plain services, and the longest allowed pause between events.
func (d *Dispatcher) Configure(candidates []topology.Candidate, service topology.Service, pauseGoal time.Duration) {
	d.pace.configure(service.Engine, pauseGoal)
	d.warmUp.PerSecond = service.WarmUpPerSecond
	d.warmUp.raiseEntries(len(candidates))
	servers := make([]*server, 0, len(candidates))
	byID := make(map[string]*server, len(candidates))
	for _, candidate := range candidates {
		known := d.byID[candidate.ID]
		if known == nil {
			known = &server{}
		}
		known.candidate = candidate
		servers = append(servers, known)
		byID[candidate.ID] = known
	}
	d.servers, d.byID = servers, byID
}

// ObserveGap records the time between two events of a stream at a server.
func (d *Dispatcher) ObserveGap(id string, gap time.Duration, now time.Time) {
	d.ObserveEvent(id, now)
	d.pace.observe(gap, d.inFlight(now), now)
}

// Submit decides about a new ticket and queues it if the verdict is Wait.
func (d *Dispatcher) Submit(ticket Ticket, random float64, now time.Time) Decision {
	if len(d.queue) == 0 || d.meetsSLO(ticket, now) && !d.anyMeetsSLO(now) {
		if decision, ok := d.place(ticket, random, now); ok {
			return decision
		}
	}
	decision := d.describe(ticket, now)
	decision.PredictedWait = d.predictedWait(ticket, now)
	if len(d.servers) == 0 {
		decision.Verdict, decision.Reason = Refuse, "no_server"
		decision.RetryAfter = maxPredictedWait
		return decision
	}
	if d.gate.closed {
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
	decision.Verdict, decision.Reason = Wait, "no_room"
	return decision
}

// DispatchQueued decides about the queued tickets. It is called whenever a slot
// may have become free, and every few tens of milliseconds.
func (d *Dispatcher) DispatchQueued(random func() float64, now time.Time) []Decision {
	var decisions []Decision
	d.sortQueue(now)
	kept := d.queue[:0]
	full := false
	for _, ticket := range d.queue {
		if !full {
			if decision, ok := d.place(ticket, random(), now); ok {
				decisions = append(decisions, decision)
				continue
			}
			// A ticket that has already found the group closed does not block those
			// behind it: they may probe the group.
			full = !(d.gate.closed && ticket.FoundClosed)
		}
		if d.timedOut(ticket, now) {
			decision := d.describe(ticket, now)
			decision.Verdict, decision.Reason = Refuse, "waited_too_long"
			decision.RetryAfter = max(minRetryAfter, d.predictedWait(ticket, now))
			if d.gate.closed {
				decision.Reason, decision.RetryAfter = "group_closed", closedRetryAfter
			}
			decisions = append(decisions, decision)
			continue
		}
		kept = append(kept, ticket)
	}
	d.queue = kept
	return decisions
}

// Accepted records that a server has begun to answer a request.
func (d *Dispatcher) Accepted() { d.gate.accepted() }

// place chooses a server for the ticket and takes a slot there. It returns false
// if the ticket can't be sent now.
func (d *Dispatcher) place(ticket Ticket, random float64, now time.Time) (Decision, bool) {
	if !d.gate.allows(d.reportedGroupState(now), now) || d.gate.closed && ticket.FoundClosed {
		return Decision{}, false
	}
	total := d.inFlight(now)
	d.limit = d.pace.limit(len(d.servers))
	if d.limit > 0 && total >= d.limit {
		return Decision{}, false
	}
	if d.limit > 0 && !d.meetsSLO(ticket, now) && float64(total) >= lateCapacityShare*float64(d.limit) {
		return Decision{}, false
	}
	best := d.choose(ticket, random, now)
	if best == nil {
		return Decision{}, false
	}
	decision := d.describe(ticket, now)
	decision.Verdict, decision.Server, decision.Reason = Go, best.candidate, "least_loaded"
	decision.PredictedFirstEvent = d.pace.predictFirstEvent()
	best.requestSent(now)
	d.gate.noteSent()
	return decision, true
}

func (d *Dispatcher) describe(ticket Ticket, now time.Time) Decision {
	decision := Decision{Ticket: ticket.ID, Limit: d.limit, TotalInFlight: d.inFlight(now)}
	for _, server := range d.servers {
		decision.OwnInFlight += server.own
		if server.fresh(now) {
			decision.ReportAge = max(decision.ReportAge, now.Sub(server.reportAt))
		}
	}
	return decision
}
