// Package dispatch decides at one entry which backend server of a service gets
// a request, which requests wait and which are refused at once.
//
// A Desk holds the state of one service. It reads no clock and takes no lock:
// the caller passes the time and serializes the calls.
package dispatch

import (
	"time"

	"persimmonwind.dev/policy/topology"
)

const (
	// overloadBackoff is how long a server that refused a request for load gets none.
	overloadBackoff = 60 * time.Millisecond
	// replacedBackoff outlasts the time in which the list learns of a server that
	// has gone: three heartbeats of about a second.
	replacedBackoff = 5 * time.Second
	// lateCapacityShare of the places are open to requests that can no longer be in time.
	// A backlog would otherwise take all places of a group that has just opened,
	// and everyone who comes in the next seconds would be late too.
	lateCapacityShare = 0.7
	// engineFillShare of an engine group's places are used, so that entries which place
	// at the same moment rarely find a server full.
	engineFillShare = 0.95
)

// Ticket is a request that wants a place at a backend server.
type Ticket struct {
	ID          uint64
	Arrived     time.Time
	SLODeadline time.Time // When the first answer must be there for full credit.
	Deadline    time.Time // When it is of no use any more.
	Priority    int       // 0 is the most urgent.
	Avoid       string    // A server that has just failed the request; empty for none.
	FoundClosed bool      // The request has found the group closed; another one tries next.
}

// Verdict is what the desk decides about a ticket.
type Verdict int

// The verdicts.
const (
	Wait Verdict = iota
	Go
	Refuse
)

// Decision is a verdict with the inputs that decided it, for the log.
type Decision struct {
	Ticket              uint64
	Verdict             Verdict
	Server              topology.Candidate // Of Go.
	RetryAfter          time.Duration      // Of Refuse.
	Reason              string
	OwnInFlight         int           // Requests of this entry under way at the service.
	TotalInFlight       int           // Of all entries, as far as known.
	Limit               int           // Of Total; 0 for none.
	PredictedWait       time.Duration // Wait.
	PredictedFirstEvent time.Duration // Of Go at an engine: from now, as predicted.
	ReportAge           time.Duration // Of the oldest report that counted.
}

// Dispatcher is the state of one service at one entry.
type Dispatcher struct {
	limiter ConcurrencyLimiter
	warmUp  WarmUpLimit
	servers []*server
	byID    map[string]*server
	waiting []Ticket
	freedAt []time.Time // When places became free, within rateWindow.
	limit   int         // Places of all servers together; 0 for no bound.
	gate    gate

	groupActiveSince time.Time // Since when the group's servers are heard of; zero while none is.
}

// NewDispatcher returns the desk of a service.
func NewDispatcher(warmUp WarmUpLimit) *Dispatcher {
	return &Dispatcher{warmUp: warmUp, byID: map[string]*server{}}
}

// Configure sets the servers that may get new work and the engine's model, nil
// for plain services.
func (d *Dispatcher) Configure(candidates []topology.Candidate, service topology.Service, pauseGoal time.Duration) {
	d.limiter.configure(service.Engine, pauseGoal)
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

// ObserveGap takes in the time between two events of a stream at a server.
func (d *Dispatcher) ObserveGap(id string, gap time.Duration, now time.Time) {
	d.ObserveEvent(id, now)
	d.limiter.observe(gap, d.inFlight(now), now)
}

// Submit decides about a new ticket.
func (d *Dispatcher) Submit(ticket Ticket, random float64, now time.Time) Decision {
	if len(d.waiting) == 0 || d.meetsSLO(ticket, now) && !d.anyMeetsSLO(now) {
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
		// Nobody knows when the group opens; as many as it can take may wait.
		if len(d.waiting) >= d.closedQueueLimit() {
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
	d.waiting = append(d.waiting, ticket)
	decision.Verdict, decision.Reason = Wait, "no_room"
	return decision
}

// DispatchQueued decides about waiting tickets; it is called whenever a place may have
// become free, and every few tens of milliseconds.
func (d *Dispatcher) DispatchQueued(random func() float64, now time.Time) []Decision {
	var decisions []Decision
	d.sortQueue(now)
	kept := d.waiting[:0]
	full := false
	for _, ticket := range d.waiting {
		if !full {
			if decision, ok := d.place(ticket, random(), now); ok {
				decisions = append(decisions, decision)
				continue
			}
			// Those behind one that has tried a closed group may still try.
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
	d.waiting = kept
	return decisions
}

// Accepted notes that a server has begun to answer a request.
func (d *Dispatcher) Accepted() { d.gate.accepted() }

// place finds a server for the ticket and takes a place there.
func (d *Dispatcher) place(ticket Ticket, random float64, now time.Time) (Decision, bool) {
	if !d.gate.allows(d.reportedOpen(now), now) || d.gate.closed && ticket.FoundClosed {
		return Decision{}, false
	}
	total := d.inFlight(now)
	d.limit = d.limiter.limit(len(d.servers))
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
	decision.PredictedFirstEvent = d.limiter.predictFirstEvent()
	best.requestSent(now)
	d.gate.requestSent()
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
