package dispatch

import (
	"math"
	"time"

	"persimmonwind.dev/policy/classes"
)

// sentRequest is a request of a service with classes that this entry has in flight.
type sentRequest struct {
	group *group
	level int
	name  string // The organisation's name.
	late  bool   // It could no longer meet its latency objective when it was sent.
}

// classLoad is what this entry sends to a group, by class.
type classLoad struct {
	late        int       // Late requests in flight.
	recent      []float64 // Requests sent by level, decaying with rateWindow.
	recentTotal float64
	decayedAt   time.Time
}

// recordSent records that a ticket is sent to a server of the group.
func (d *Dispatcher) recordSent(ticket Ticket, g *group, now time.Time) {
	sent := sentRequest{group: g, level: d.classes.Level(ticket.Priority), name: ticket.Organisation, late: !d.meetsSLO(ticket, now)}
	d.sent[ticket.ID] = sent
	g.classLoad.sent(sent, now)
	d.organisations.sent(sent.name, now)
}

// recordEnded records that the request of a ticket is no longer in flight.
func (d *Dispatcher) recordEnded(ticket uint64) {
	if sent, ok := d.sent[ticket]; ok {
		if sent.late {
			sent.group.classLoad.late--
		}
		d.organisations.ended(sent.name)
		delete(d.sent, ticket)
	}
}

func (l *classLoad) sent(sent sentRequest, now time.Time) {
	l.decay(now)
	for len(l.recent) <= sent.level {
		l.recent = append(l.recent, 0)
	}
	l.recent[sent.level]++
	l.recentTotal++
	if sent.late {
		l.late++
	}
}

func (l *classLoad) decay(now time.Time) {
	elapsed := now.Sub(l.decayedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
	l.decayedAt, l.recentTotal = now, l.recentTotal*factor
	for level := range l.recent {
		l.recent[level] *= factor
	}
}

// underGuarantee reports whether the level has had less than its guaranteed share of what
// was sent of late. Requests in flight would not do: of three slots, a level without any
// would get the next one each time, a third of all.
func (l *classLoad) underGuarantee(level int) bool {
	sent := 0.0
	if level < len(l.recent) {
		sent = l.recent[level]
	}
	return sent < classes.GuaranteedShare*l.recentTotal
}
