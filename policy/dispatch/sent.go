package dispatch

import (
	"time"

	"persimmonwind.dev/policy/classes"
)

// guaranteeSlack is added to the guaranteed requests in flight of a level. A level whose
// request has ended gets the next one only when the entry has room: without the slack, the
// least urgent level had 0.09 of the requests in flight in an overload instead of 0.1.
const guaranteeSlack = 0.25

// sentRequest is a request of a service with classes that this entry has in flight.
type sentRequest struct {
	group *group
	level int
	name  string // The organisation's name.
	late  bool   // It could no longer meet its latency objective when it was sent.
}

// classLoad is the number of requests of this entry in flight at a group, by class.
type classLoad struct {
	total   int
	byLevel map[int]int
	late    int
}

// recordSent records that a ticket is sent to a server of the group.
func (d *Dispatcher) recordSent(ticket Ticket, g *group, now time.Time) {
	sent := sentRequest{group: g, level: d.classes.Level(ticket.Priority), name: ticket.Organisation, late: !d.meetsSLO(ticket, now)}
	d.sent[ticket.ID] = sent
	g.classLoad.add(sent, 1)
	d.organisations.sent(sent.name, now)
}

// recordEnded records that the request of a ticket is no longer in flight.
func (d *Dispatcher) recordEnded(ticket uint64) {
	if sent, ok := d.sent[ticket]; ok {
		sent.group.classLoad.add(sent, -1)
		d.organisations.ended(sent.name)
		delete(d.sent, ticket)
	}
}

func (l *classLoad) add(sent sentRequest, change int) {
	if l.byLevel == nil {
		l.byLevel = map[int]int{}
	}
	l.total += change
	l.byLevel[sent.level] += change
	if sent.late {
		l.late += change
	}
}

// underGuarantee reports whether the level has less than its guaranteed share.
func (l *classLoad) underGuarantee(level int) bool {
	return l.total > 0 && float64(l.byLevel[level]) < classes.GuaranteedShare*float64(l.total)+guaranteeSlack
}
