package dispatch

import (
	"time"
)

// sampledServers is the number of servers that are compared for one request.
// Reports of load are about a pass old: entries that all took the least loaded
// server of the whole group would send it everything that comes within a pass, and
// its prompts would wait for each other. Of two random ones the less loaded is
// rarely the same for two entries.
const sampledServers = 2

// choose returns the least loaded of a few servers with room, nil for none.
// Servers that may have left and slow ones are taken only where no others have
// room.
func (d *Dispatcher) choose(ticket Ticket, random float64, now time.Time) *server {
	usable := d.usable(ticket, now)
	if d.limiter.engine == nil {
		return leastLoaded(usable, len(usable), random, now)
	}
	return leastLoaded(usable, sampledServers, random, now)
}

// usable returns the servers with room of the best tier that has any.
func (d *Dispatcher) usable(ticket Ticket, now time.Time) []*server {
	var usable []*server
	best := 0
	for _, candidate := range d.servers {
		if !d.hasRoom(candidate, now) || candidate.candidate.ID == ticket.Avoid && len(d.servers) > 1 {
			continue
		}
		tier := candidate.tier(now)
		if len(usable) == 0 || tier < best {
			usable, best = usable[:0], tier
		}
		if tier == best {
			usable = append(usable, candidate)
		}
	}
	return usable
}

// leastLoaded draws as many of the servers as it is told and returns the one
// with the fewest requests, nil for none. It changes the order of the servers.
func leastLoaded(servers []*server, sampleSize int, random float64, now time.Time) *server {
	var best *server
	for i := range min(sampleSize, len(servers)) {
		// A drawn server changes places with the first that is not drawn yet.
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
