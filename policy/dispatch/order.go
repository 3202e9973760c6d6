package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"persimmonwind.dev/policy/classes"
)

// maxOvertaken is the wait from which a request goes before others of its level that have
// waited less, whatever their organisation or slack. Requests with the shortest objective
// of 400 ms are late by then, so that an organisation's surge of these gains nothing by
// waiting.
const maxOvertaken = 600 * time.Millisecond

// position is what determines the position of a ticket in the queue of a service with
// classes.
type position struct {
	ticket    Ticket
	late      bool
	level     int       // See Dispatcher.rank.
	overtaken bool      // It has waited for maxOvertaken.
	load      float64   // Load of its organisation with the organisation's tickets before this one.
	sendBy    time.Time // When a usual prompt would have to be sent for the same slack.
}

// compareUrgency compares positions by all but organisation, slack and arrival.
func (p *position) compareUrgency(other *position) int {
	return cmp.Or(compareBools(p.late, other.late), cmp.Compare(p.level, other.level), compareBools(other.overtaken, p.overtaken))
}

// compareSlack compares positions by slack, which all tickets lose at the same rate, then by
// arrival.
func (p *position) compareSlack(other *position) int {
	return cmp.Or(p.sendBy.Compare(other.sendBy), p.ticket.Arrived.Compare(other.ticket.Arrived))
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// sortQueueByClass sorts the queue of a service with classes: tickets that can meet their
// objective come first, then by level, then those that have been overtaken for long, then by
// the load of their organisation, then by slack and arrival.
func (d *Dispatcher) sortQueueByClass(now time.Time) {
	positions := make([]position, len(d.queue))
	for i, ticket := range d.queue {
		d.demand.Observe(d.classes.Level(ticket.Priority), now)
		positions[i] = position{
			ticket: ticket, late: !d.meetsSLO(ticket, now), level: d.rank(ticket.Priority), overtaken: now.Sub(ticket.Arrived) > maxOvertaken,
			load: d.organisations.of(ticket.Organisation, now), sendBy: ticket.SLODeadline.Add(-d.extraReadTime(ticket)),
		}
	}
	slices.SortStableFunc(positions, func(a, b position) int { return cmp.Or(a.compareUrgency(&b), a.compareSlack(&b)) })
	// Each ticket before another of the same organisation counts as sent.
	before := map[string]int{}
	for i := range positions {
		name := positions[i].ticket.Organisation
		positions[i].load += float64(before[name])
		before[name]++
	}
	slices.SortStableFunc(positions, func(a, b position) int {
		return cmp.Or(a.compareUrgency(&b), cmp.Compare(a.load, b.load), a.compareSlack(&b))
	})
	for i := range positions {
		d.queue[i] = positions[i].ticket
	}
}

// rank returns the rank of a priority's level in the queue: the level, or -1 while the level
// is under its guaranteed share.
func (d *Dispatcher) rank(priority int) int {
	level := d.classes.Level(priority)
	for _, g := range d.groups {
		if g.classLoad.underGuarantee(level) {
			return -1
		}
	}
	return level
}

// goesFirst reports whether a new ticket of a service with classes goes before all queued
// ones.
func (d *Dispatcher) goesFirst(ticket Ticket, now time.Time) bool {
	return d.queuedBefore(ticket, now) == 0
}

// queuedBefore returns how many queued tickets go before a new one. Of those that differ only
// by their organisation, an organisation's are as many as make its load equal.
func (d *Dispatcher) queuedBefore(ticket Ticket, now time.Time) (count int) {
	late, rank := !d.meetsSLO(ticket, now), d.rank(ticket.Priority)
	peers := map[string]int{} // Queued tickets of the same urgency, by organisation.
	for _, other := range d.queue {
		otherLate, otherRank := !d.meetsSLO(other, now), d.rank(other.Priority)
		switch {
		case otherLate != late:
			if late {
				count++
			}
		case otherRank < rank || otherRank == rank && now.Sub(other.Arrived) > maxOvertaken:
			count++
		case otherRank == rank:
			peers[other.Organisation]++
		}
	}
	load := d.organisations.of(ticket.Organisation, now) + float64(peers[ticket.Organisation])
	for name, queued := range peers {
		count += min(queued, int(math.Ceil(max(0, load-d.organisations.of(name, now)))))
	}
	return count
}

// predictedClassWait returns how long a new ticket of a service with classes would wait in the
// queue if slots are freed at a rate per second. Its level gets at least its guaranteed share
// of them.
func (d *Dispatcher) predictedClassWait(ticket Ticket, perSecond float64, now time.Time) time.Duration {
	ofLevel, level := 0, d.classes.Level(ticket.Priority)
	for _, other := range d.queue {
		if d.classes.Level(other.Priority) == level {
			ofLevel++
		}
	}
	seconds := min(float64(d.queuedBefore(ticket, now)), float64(ofLevel)/classes.GuaranteedShare) / perSecond
	return time.Duration(seconds * float64(time.Second))
}

// blockedTickets tells which tickets can't be sent because another one could not be.
type blockedTickets struct {
	all    bool
	late   bool
	large  bool // Those of large organisations.
	levels map[int]bool
}

// add records that a ticket could not be sent for a reason.
func (b *blockedTickets) add(reason string, level int) {
	switch reason {
	case reasonOrganisationLimit:
		b.large = true
	case reasonLateShare:
		b.late = true
	case reasonClassLimit:
		if b.levels == nil {
			b.levels = map[int]bool{}
		}
		b.levels[level] = true
	default:
		b.all = true
	}
}

// isBlocked reports whether a ticket is among those that are blocked.
func (d *Dispatcher) isBlocked(ticket Ticket, blocked *blockedTickets, now time.Time) bool {
	return blocked.all || blocked.levels[d.classes.Level(ticket.Priority)] || blocked.late && !d.meetsSLO(ticket, now) ||
		blocked.large && d.organisations.isLarge(ticket.Organisation, now)
}
