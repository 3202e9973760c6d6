package dispatch

import (
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
// have left the service, are used only when no other has room.
func (d *Dispatcher) choose(ticket Ticket, g *group, random float64, now time.Time) *server {
	usableServers := d.usableServers(ticket, g, now)
	if d.engine == nil {
		return leastLoaded(usableServers, len(usableServers), random, now)
	}
	return leastLoaded(usableServers, sampledServers, random, now)
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
	var best *server
	for i := range min(sampleSize, len(servers)) {
		// Partial Fisher-Yates shuffle: the drawn server is swapped to position i.
		random *= float64(len(servers) - i)
		pick := i + int(random)
		random = fraction(random)
		servers[i], servers[pick] = servers[pick], servers[i]
		if best == nil || servers[i].load(now) < best.load(now) {
			best = servers[i]
		}
	}
	return best
}

func fraction(x float64) float64 { return x - float64(int(x)) }
