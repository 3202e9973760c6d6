package workload

import (
	"container/list"
	"time"
)

const (
	// maxUnreadTime is how long a prompt counts as unread at most. Callers abandon a stream
	// that has had no event for 2 s, and a group reads all prompts sent to it within a few
	// passes of 0.1 s, so an older one has been read or will never be.
	maxUnreadTime = 2 * time.Second
	// maxUnreadPrompts bounds the ledger. The users' entries have up to 50 requests in
	// flight at a service; at an entry with more than this the oldest is dropped.
	maxUnreadPrompts = 4096
)

// Load is the sum of some unread prompts.
type Load struct {
	Prompts  int
	Long     int           // Those of Prompts that are long.
	Tokens   int           // Tokens with which the prompts count in a pass; see Model.Charge.
	ReadTime time.Duration // Time that one rank takes to read all of them.
}

func (l *Load) add(other Load, sign int) {
	l.Prompts += sign * other.Prompts
	l.Long += sign * other.Long
	l.Tokens += sign * other.Tokens
	l.ReadTime += time.Duration(sign) * other.ReadTime
}

// Ledger holds the prompts that one entry has sent to the ranks of a service and of whose
// answers it has seen no event. The zero Ledger is empty. It takes no lock.
type Ledger struct {
	prompts map[uint64]*list.Element // By ticket; the values are *unread.
	servers map[string]*Load
	groups  map[string]*groupLedger
}

type unread struct {
	ticket  uint64
	server  string
	group   string
	load    Load
	sentAt  time.Time
	pending bool
}

// groupLedger holds the unread prompts of one group.
type groupLedger struct {
	prompts      list.List     // In the order of sending.
	firstPending *list.Element // The oldest prompt that is pending; nil for none.
	pending      Load
}

// Sent records that a request is sent to a server of a group.
func (l *Ledger) Sent(ticket uint64, server, group string, model Model, request Request, now time.Time) {
	if l.prompts == nil {
		l.prompts, l.servers, l.groups = map[uint64]*list.Element{}, map[string]*Load{}, map[string]*groupLedger{}
	}
	l.Release(ticket)
	l.expire(now)
	g := l.groups[group]
	if g == nil {
		g = &groupLedger{}
		l.groups[group] = g
	}
	if len(l.prompts) >= maxUnreadPrompts {
		if oldest := g.prompts.Front(); oldest != nil {
			l.Release(oldest.Value.(*unread).ticket)
		} else {
			return
		}
	}
	prompt := &unread{ticket: ticket, server: server, group: group, sentAt: now, pending: true,
		load: Load{Prompts: 1, Tokens: model.Charge(request), ReadTime: model.ReadTime(request)}}
	if model.IsLong(request) {
		prompt.load.Long = 1
	}
	element := g.prompts.PushBack(prompt)
	l.groups[group] = g // The release of its only prompt removes a group.
	l.prompts[ticket] = element
	if g.firstPending == nil {
		g.firstPending = element
	}
	g.pending.add(prompt.load, 1)
	if l.servers[server] == nil {
		l.servers[server] = &Load{}
	}
	l.servers[server].add(prompt.load, 1)
}

// Release records that the prompt has been read or will not be: its first event has
// arrived, or the request has ended. It returns the prompt, the zero Load if it was not
// unread.
func (l *Ledger) Release(ticket uint64) Load {
	element := l.prompts[ticket]
	if element == nil {
		return Load{}
	}
	prompt := element.Value.(*unread)
	g := l.groups[prompt.group]
	delete(l.prompts, ticket)
	if element == g.firstPending {
		g.firstPending = element.Next()
	}
	if prompt.pending {
		g.pending.add(prompt.load, -1)
	}
	g.prompts.Remove(element)
	if g.prompts.Len() == 0 {
		delete(l.groups, prompt.group)
	}
	server := l.servers[prompt.server]
	server.add(prompt.load, -1)
	if server.Prompts == 0 {
		delete(l.servers, prompt.server)
	}
	return prompt.load
}

// expire releases prompts that can't be unread any more.
func (l *Ledger) expire(now time.Time) {
	for _, g := range l.groups {
		for oldest := g.prompts.Front(); oldest != nil && now.Sub(oldest.Value.(*unread).sentAt) > maxUnreadTime; oldest = g.prompts.Front() {
			l.Release(oldest.Value.(*unread).ticket)
		}
	}
}

// Server returns the unread prompts of a server.
func (l *Ledger) Server(id string, now time.Time) Load {
	l.expire(now)
	if load := l.servers[id]; load != nil {
		return *load
	}
	return Load{}
}

// Pending returns the prompts that the group's next pass may read: those sent after the
// time. A prompt that was not pending once is not pending later.
func (l *Ledger) Pending(group string, sentAfter, now time.Time) Load {
	l.expire(now)
	g := l.groups[group]
	if g == nil {
		return Load{}
	}
	for g.firstPending != nil && !g.firstPending.Value.(*unread).sentAt.After(sentAfter) {
		prompt := g.firstPending.Value.(*unread)
		prompt.pending = false
		g.pending.add(prompt.load, -1)
		g.firstPending = g.firstPending.Next()
	}
	return g.pending
}

// Total returns all unread prompts.
func (l *Ledger) Total(now time.Time) Load {
	l.expire(now)
	var total Load
	for _, load := range l.servers {
		total.add(*load, 1)
	}
	return total
}
