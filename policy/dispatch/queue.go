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
	// lateWait is how long a request that can no longer be in time waits for a
	// place that nobody else wants.
	lateWait = 800 * time.Millisecond
	// minRetryAfter keeps refused callers from coming back while nothing has
	// changed.
	minRetryAfter = 300 * time.Millisecond

	// rateWindow is the span over which the rate of freed places is measured.
	rateWindow = 2 * time.Second
	// minRate is the rate that is assumed where fewer places became free: after a
	// start or an outage there were none yet.
	minRate = 5.0

	// serveMargin is the time before its objective by which a request must start
	// to be in time, at a plain service: the usual work of a call.
	serveMargin = 60 * time.Millisecond
	// servePasses is the same at an engine: the rest of the pass under way, the
	// pass that reads the prompt, and half of one for a long prompt. It is less than
	// firstEventPasses: who may still be in time is treated so.
	servePasses = 2.5

	// likelyEntries share the places of a group that opens; a data centre has one
	// or two entries, and the users three data centres.
	likelyEntries = 3
)

// Cancel takes a waiting ticket out, because its caller has left.
func (d *Scheduler) Cancel(id uint64) {
	for i, ticket := range d.waiting {
		if ticket.ID == id {
			d.waiting = append(d.waiting[:i], d.waiting[i+1:]...)
			return
		}
	}
}

// QueueLen returns the number of waiting tickets.
func (d *Scheduler) QueueLen() int { return len(d.waiting) }

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
func (d *Scheduler) Done(id string, outcome Outcome, now time.Time) (closed bool) {
	server := d.byID[id]
	if server == nil {
		return d.gate.closed // The server has left the list meanwhile.
	}
	server.own = max(0, server.own-1)
	switch outcome {
	case Served:
		d.freed = append(d.freed, now)
		d.ObserveEvent(id, now)
		server.health.succeeded()
	case Busy:
		server.busyUntil = now.Add(busyPause)
		if d.pace.engine != nil && 2*server.load(now) < server.candidate.Slots {
			d.gate.refused(now)
		}
	case Replaced:
		server.busyUntil = now.Add(replacedPause)
	case Failed:
		server.health.failed(now)
	case Unreachable:
		server.health.unreached(now)
	case CallerLeft:
		d.freed = append(d.freed, now)
	}
	return d.gate.closed
}

// room returns this entry's part of the places, for requests that wait for a
// closed group.
func (d *Scheduler) room() int {
	places := 0
	for _, server := range d.servers {
		places += server.candidate.Slots
	}
	return places / likelyEntries
}

// order sorts the waiting tickets: those that can still be in time first, by
// urgency and then by arrival; after them the late ones by arrival.
func (d *Scheduler) order(now time.Time) {
	sort.SliceStable(d.waiting, func(i, j int) bool {
		a, b := d.waiting[i], d.waiting[j]
		if inTime := d.inTime(a, now); inTime != d.inTime(b, now) {
			return inTime
		}
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
		return a.Arrived.Before(b.Arrived)
	})
}

// inTime reports whether the ticket, placed now, would have its first answer in
// time.
func (d *Scheduler) inTime(ticket Ticket, now time.Time) bool {
	return now.Add(d.margin()).Before(ticket.SLODeadline)
}

// margin is how long a placed request needs until its first answer at least.
func (d *Scheduler) margin() time.Duration {
	if d.pace.engine == nil {
		return serveMargin
	}
	return d.pace.passes(servePasses)
}

// hopeless reports whether the ticket has waited for as long as it pays.
func (d *Scheduler) hopeless(ticket Ticket, now time.Time) bool {
	late := ticket.SLODeadline.Add(lateWait - d.margin())
	if d.gate.closed {
		late = ticket.Deadline // The group may open at any moment, with all its places free.
	}
	return now.Sub(ticket.Arrived) > maxWait || now.After(late) || !now.Before(ticket.Deadline)
}

func (d *Scheduler) anyInTime(now time.Time) bool {
	for _, ticket := range d.waiting {
		if d.inTime(ticket, now) {
			return true
		}
	}
	return false
}

// predictedWait is how long the ticket would wait if it joined the waiting ones:
// one that can be in time goes before those that can't.
func (d *Scheduler) predictedWait(ticket Ticket, now time.Time) time.Duration {
	cut := 0
	for cut < len(d.freed) && now.Sub(d.freed[cut]) > rateWindow {
		cut++
	}
	d.freed = d.freed[cut:]
	ahead := len(d.waiting)
	if d.inTime(ticket, now) {
		ahead = 0
		for _, other := range d.waiting {
			if d.inTime(other, now) {
				ahead++
			}
		}
	}
	rate := max(minRate, float64(len(d.freed))/rateWindow.Seconds())
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}
