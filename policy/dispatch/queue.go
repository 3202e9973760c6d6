package dispatch

import (
	"sort"
	"time"
)

const (
	// maxPredictedWait is the predicted wait in the queue above which a request is
	// refused at once. After a longer wait, its late answer would take capacity with
	// which newer requests can still meet their latency objective.
	maxPredictedWait = time.Second
	// maxWait is the longest time that a request stays in the queue; it applies when
	// the predicted wait was too short.
	maxWait = 2 * time.Second
	// lateGrace is how long a request that can no longer meet its latency objective
	// waits for a slot that no other request needs.
	lateGrace = 800 * time.Millisecond
	// minRetryAfter is the shortest Retry-After. It keeps refused callers from
	// retrying before the load has changed.
	minRetryAfter = 300 * time.Millisecond

	// rateWindow is the window over which the rate of freed slots is measured.
	rateWindow = 2 * time.Second
	// minFreedRate is the lower bound of the assumed rate of freed slots, in slots
	// per second: after a start or an outage no slot has become free yet.
	minFreedRate = 5.0

	// plainServiceMargin is how long before its SLO deadline a request to a plain
	// service must be sent to meet it: the usual duration of a call.
	plainServiceMargin = 60 * time.Millisecond
	// engineMarginPasses is how long before its SLO deadline a request to an engine
	// must be sent to meet it, in passes of the group: the rest of the pass in
	// progress, the pass that reads the prompt, and half of one for a long prompt.
	// It is less than firstEventPasses, so that a request which may still meet its
	// deadline counts as one that does.
	engineMarginPasses = 2.5

	// servingWindow is how recently a server must have sent an event or an answer for its
	// group to count as serving.
	servingWindow = time.Second

	// assumedEntries is the assumed number of entries that share the slots of a
	// group when it opens. A data centre has one or two entries, and the users have
	// three data centres.
	assumedEntries = 3
)

// Cancel removes a queued ticket whose caller has disconnected.
func (d *Dispatcher) Cancel(id uint64) {
	d.reading.release(id)
	for i, ticket := range d.queue {
		if ticket.ID == id {
			d.queue = append(d.queue[:i], d.queue[i+1:]...)
			return
		}
	}
}

// QueueLen returns the number of queued tickets.
func (d *Dispatcher) QueueLen() int { return len(d.queue) }

// Outcome is how a request at a server ended.
type Outcome int

// The outcomes of a request.
const (
	Served      Outcome = iota // The server answered.
	Busy                       // Refused because of load; the request did not run.
	Failed                     // The server failed, or the exchange was cut off.
	Unreachable                // No connection could be made.
	Replaced                   // Another server answers at the address.
	CallerLeft                 // The caller has disconnected, which says nothing about the server.
)

// Done releases the request's slot at the server. It reports whether the server's
// group is closed, that is, takes no work.
func (d *Dispatcher) Done(id string, outcome Outcome, now time.Time) (closed bool) {
	server := d.byID[id]
	if server == nil {
		return d.allClosed() // The server has been removed from the list since.
	}
	server.ownRequests = max(0, server.ownRequests-1)
	switch outcome {
	case Served:
		d.freedAt = append(d.freedAt, now)
		d.ObserveEvent(id, now)
		server.health.succeeded()
	case Busy:
		server.busyUntil = now.Add(overloadBackoff)
		if d.engine != nil && 2*server.load(now) < server.candidate.Slots {
			d.refusedWithRoom(server, now)
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
	return server.group.gate.closed
}

// refusedWithRoom records that an engine with room has refused a request, so that its
// group takes no work. Engines whose group is unknown may be of several groups: while
// some of them serve requests, only this one's group is known to be closed.
func (d *Dispatcher) refusedWithRoom(s *server, now time.Time) {
	if s.group.name == "" && s.group.activeWithin(servingWindow, now) {
		s.health.refused(now)
		return
	}
	s.group.gate.refused(now)
}

// closedQueueLimit returns the number of requests that may wait at this entry for
// a closed group to open: the group's slots divided among the entries.
func (d *Dispatcher) closedQueueLimit() int {
	slots := 0
	for _, server := range d.servers {
		slots += server.candidate.Slots
	}
	return slots / assumedEntries
}

// sortQueue sorts the queued tickets: those that can still meet their latency
// objective come first, then by priority, then by arrival.
func (d *Dispatcher) sortQueue(now time.Time) {
	if d.classes.Enabled() {
		d.sortQueueByClass(now)
		return
	}
	sort.SliceStable(d.queue, func(i, j int) bool {
		a, b := d.queue[i], d.queue[j]
		if meetsSLO := d.meetsSLO(a, now); meetsSLO != d.meetsSLO(b, now) {
			return meetsSLO
		}
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
		return a.Arrived.Before(b.Arrived)
	})
}

// meetsSLO reports whether the ticket would meet its latency objective if it were
// sent now.
func (d *Dispatcher) meetsSLO(ticket Ticket, now time.Time) bool {
	return now.Add(d.firstAnswerMargin()).Before(ticket.SLODeadline)
}

// firstAnswerMargin returns how long before its SLO deadline a request must be
// sent to meet it.
func (d *Dispatcher) firstAnswerMargin() time.Duration {
	if d.engine == nil {
		return plainServiceMargin
	}
	if d.classes.Enabled() {
		return d.passesDuration(classMarginPasses)
	}
	return d.passesDuration(engineMarginPasses)
}

// timedOut reports whether the ticket has waited in the queue for as long as it
// may.
func (d *Dispatcher) timedOut(ticket Ticket, now time.Time) bool {
	lateAt := ticket.SLODeadline.Add(lateGrace - d.firstAnswerMargin())
	if d.allClosed() || d.openedRecently(now) {
		// A closed group may open at any moment, with all its slots free. Requests that have
		// waited for it to open are sent as far as those on time leave room.
		lateAt = ticket.Deadline
	}
	return now.Sub(ticket.Arrived) > maxWait || now.After(lateAt) || !now.Before(ticket.Deadline)
}

func (d *Dispatcher) anyMeetsSLO(now time.Time) bool {
	for _, ticket := range d.queue {
		if d.meetsSLO(ticket, now) {
			return true
		}
	}
	return false
}

// predictedWait returns how long the ticket would wait in the queue. Tickets that
// can meet their objective go ahead of those that can't.
func (d *Dispatcher) predictedWait(ticket Ticket, now time.Time) time.Duration {
	expired := 0
	for expired < len(d.freedAt) && now.Sub(d.freedAt[expired]) > rateWindow {
		expired++
	}
	d.freedAt = d.freedAt[expired:]
	ahead := len(d.queue)
	if d.meetsSLO(ticket, now) {
		ahead = 0
		for _, other := range d.queue {
			if d.meetsSLO(other, now) {
				ahead++
			}
		}
	}
	rate := max(minFreedRate, float64(len(d.freedAt))/rateWindow.Seconds())
	perSecond, wait, limited := d.limitedRate(now)
	if limited {
		rate = min(rate, perSecond)
	}
	if d.classes.Enabled() {
		return wait + d.predictedClassWait(ticket, rate, now)
	}
	return wait + time.Duration(float64(ahead)/rate*float64(time.Second))
}
