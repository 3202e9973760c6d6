package dispatch

import (
	"cmp"
	"time"
)

// sampledServers is the number of random servers compared for one request.
// Load reports are about as old as one forward pass of the group takes: if every
// entry chose the least loaded server of the whole group, that server would get
// all requests that arrive within a pass, and their prompts would queue behind
// each other. Two entries rarely choose the same server when each takes the less
// loaded of two random ones.
const sampledServers = 2

// choose returns the server of the group to which the ticket is sent: the least loaded
// of a random sample of the servers with room, or nil if none has room. At a plain
// service all servers with room are compared. Slow servers, and servers that may
// have left the service, are used only when no other has room. At engines of a
// service with classes, the sampled servers are compared by their unread prompts first.
func (d *Dispatcher) choose(ticket Ticket, g *group, random float64, now time.Time) *server {
	usableServers := d.usableServers(ticket, g, now)
	if d.engine == nil {
		return leastLoaded(usableServers, len(usableServers), random, now)
	}
	if d.classes.Enabled() {
		return best(usableServers, sampledServers, random, func(a, b *server) bool { return d.readsSooner(ticket, a, b, now) })
	}
	return leastLoaded(usableServers, sampledServers, random, now)
}

// readsSooner reports whether server a is expected to begin the answer to the ticket
// sooner than b. Of two servers with equal expectations it is the one with fewer
// requests, then the one with less memory in use.
//
// A rank reads the prompts that it has got one after the other and no more than some
// thousand tokens in a pass, so that a prompt behind a long one waits a pass for it. Two
// long prompts are not put on one rank if another one has capacity.
func (d *Dispatcher) readsSooner(ticket Ticket, a, b *server, now time.Time) bool {
	r := &d.reading
	unreadA, unreadB := r.ledger.Server(a.candidate.ID, now), r.ledger.Server(b.candidate.ID, now)
	if r.model.IsLong(ticket.Work) && (unreadA.Long > 0) != (unreadB.Long > 0) {
		return unreadB.Long > 0
	}
	usual := r.model.UsualReadTime()
	return cmp.Or(
		cmp.Compare(unreadA.ReadTime+time.Duration(a.freshQueued(now))*usual, unreadB.ReadTime+time.Duration(b.freshQueued(now))*usual),
		cmp.Compare(a.load(now), b.load(now)),
		cmp.Compare(a.memoryTokens, b.memoryTokens),
	) < 0
}

// usableServers returns the group's servers with room that have the best tier (see
// server.tier) among those with room, except the one that the ticket avoids.
func (d *Dispatcher) usableServers(ticket Ticket, g *group, now time.Time) []*server {
	var usableServers []*server
	best := 0
	for _, candidate := range g.servers {
		if !d.hasRoom(candidate, now) || candidate.candidate.ID == ticket.Avoid && len(d.servers) > 1 {
			continue
		}
		tier := candidate.tier(now)
		if len(usableServers) == 0 || tier < best {
			usableServers, best = usableServers[:0], tier
		}
		if tier == best {
			usableServers = append(usableServers, candidate)
		}
	}
	return usableServers
}

// leastLoaded draws sampleSize random servers and returns the one with the
// fewest requests, nil for none. It reorders servers.
func leastLoaded(servers []*server, sampleSize int, random float64, now time.Time) *server {
	return best(servers, sampleSize, random, func(a, b *server) bool { return a.load(now) < b.load(now) })
}

// best draws sampleSize random servers and returns the best of them, nil for none. It
// reorders servers.
func best(servers []*server, sampleSize int, random float64, better func(a, b *server) bool) *server {
	var best *server
	for i := range min(sampleSize, len(servers)) {
		// Partial Fisher-Yates shuffle: the drawn server is swapped to position i.
		random *= float64(len(servers) - i)
		pick := i + int(random)
		random = fraction(random)
		servers[i], servers[pick] = servers[pick], servers[i]
		if best == nil || better(servers[i], best) {
			best = servers[i]
		}
	}
	return best
}

func fraction(x float64) float64 { return x - float64(int(x)) }
