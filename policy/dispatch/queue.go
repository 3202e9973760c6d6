package dispatch

import (
	"sort"
	"time"
)

const (
	// maxPredictedWait is the predicted wait above which a request is refused at
	// once: beyond it even a late answer takes room that newer requests use in
	// time.
	maxPredictedWait = time.Second
	// maxWait is how long a request waits at most where predictions fail.
	maxWait = 2 * time.Second
	// lateGrace is how long a request that can no longer be in time waits for a
	// place that nobody else wants.
	lateGrace = 800 * time.Millisecond
	// minRetryAfter keeps refused callers from coming back while nothing has
	// changed.
	minRetryAfter = 300 * time.Millisecond

	// rateWindow is the span over which the rate of freed places is measured.
	rateWindow = 2 * time.Second
	// minFreedRate is the rate that is assumed where fewer places became free: after a
	// start or an outage there were none yet.
	minFreedRate = 5.0

	// plainServiceMargin is the time before its objective by which a request must start
	// to be in time, at a plain service: the usual work of a call.
	plainServiceMargin = 60 * time.Millisecond
	// engineMarginPasses is the same at an engine: the rest of the pass under way, the
	// pass that reads the prompt, and half of one for a long prompt. It is less than
	// firstEventPasses: who may still be in time is treated so.
	engineMarginPasses = 2.5

	// assumedEntries share the places of a group that opens; a data centre has one
	// or two entries, and the users three data centres.
	assumedEntries = 3
)

// Cancel takes a waiting ticket out, because its caller has left.
func (d *Dispatcher) Cancel(id uint64) {
	for i, ticket := range d.waiting {
		if ticket.ID == id {
			d.waiting = append(d.waiting[:i], d.waiting[i+1:]...)
			return
		}
	}
}

// QueueLen returns the number of waiting tickets.
func (d *Dispatcher) QueueLen() int { return len(d.waiting) }

// Outcome is how a request at a server ended.
type Outcome int

// The outcomes.
const (
	Served      Outcome = iota
	Busy                // Refused for load; it did not run.
	Failed              // The server failed, or the exchange broke off.
	Unreachable         // No connection could be made.
	Replaced            // Another server answers at its address.
	CallerLeft          // Says nothing of the server.
)

// Done gives the request's place at the server back. It reports whether the
// server's group takes no work.
func (d *Dispatcher) Done(id string, outcome Outcome, now time.Time) (closed bool) {
	server := d.byID[id]
	if server == nil {
		return d.gate.closed // The server has left the list meanwhile.
	}
	server.own = max(0, server.own-1)
	switch outcome {
	case Served:
		d.freedAt = append(d.freedAt, now)
		d.ObserveEvent(id, now)
		server.health.succeeded()
	case Busy:
		server.busyUntil = now.Add(overloadBackoff)
		if d.limiter.engine != nil && 2*server.load(now) < server.candidate.Slots {
			d.gate.refused(now)
		}
	case Replaced:
		server.busyUntil = now.Add(replacedBackoff)
	case Failed:
		server.health.failed(now)
	case Unreachable:
		server.health.unreachable(now)
	case CallerLeft:
		d.freedAt = append(d.freedAt, now)
	}
	return d.gate.closed
}

// closedQueueLimit returns this entry's part of the places, for requests that wait for a
// closed group.
func (d *Dispatcher) closedQueueLimit() int {
	places := 0
	for _, server := range d.servers {
		places += server.candidate.Slots
	}
	return places / assumedEntries
}

// sortQueue sorts the waiting tickets: those that can still be in time first, by
// urgency and then by arrival; after them the late ones by arrival.
func (d *Dispatcher) sortQueue(now time.Time) {
	sort.SliceStable(d.waiting, func(i, j int) bool {
		a, b := d.waiting[i], d.waiting[j]
		if meetsSLO := d.meetsSLO(a, now); meetsSLO != d.meetsSLO(b, now) {
			return meetsSLO
		}
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
		return a.Arrived.Before(b.Arrived)
	})
}

// meetsSLO reports whether the ticket, placed now, would have its first answer in
// time.
func (d *Dispatcher) meetsSLO(ticket Ticket, now time.Time) bool {
	return now.Add(d.firstAnswerMargin()).Before(ticket.SLODeadline)
}

// margin is how long a placed request needs until its first answer at least.
func (d *Dispatcher) firstAnswerMargin() time.Duration {
	if d.limiter.engine == nil {
		return plainServiceMargin
	}
	return d.limiter.passesDuration(engineMarginPasses)
}

// hopeless reports whether the ticket has waited for as long as it pays.
func (d *Dispatcher) timedOut(ticket Ticket, now time.Time) bool {
	late := ticket.SLODeadline.Add(lateGrace - d.firstAnswerMargin())
	if d.gate.closed {
		late = ticket.Deadline // The group may open at any moment, with all its places free.
	}
	return now.Sub(ticket.Arrived) > maxWait || now.After(late) || !now.Before(ticket.Deadline)
}

func (d *Dispatcher) anyMeetsSLO(now time.Time) bool {
	for _, ticket := range d.waiting {
		if d.meetsSLO(ticket, now) {
			return true
		}
	}
	return false
}

// predictedWait is how long the ticket would wait if it joined the waiting ones:
// one that can be in time goes before those that can't.
func (d *Dispatcher) predictedWait(ticket Ticket, now time.Time) time.Duration {
	expired := 0
	for expired < len(d.freedAt) && now.Sub(d.freedAt[expired]) > rateWindow {
		expired++
	}
	d.freedAt = d.freedAt[expired:]
	ahead := len(d.waiting)
	if d.meetsSLO(ticket, now) {
		ahead = 0
		for _, other := range d.waiting {
			if d.meetsSLO(other, now) {
				ahead++
			}
		}
	}
	rate := max(minFreedRate, float64(len(d.freedAt))/rateWindow.Seconds())
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}
