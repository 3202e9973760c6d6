package dispatch

import (
	"time"

	"persimmonwind.dev/policy/topology"
)

const (
	// unreportedLimit is the number of own requests at an engine whose load is not
	// reported: three from each of four entries fill an engine's slots.
	unreportedLimit = 3
	// reportMaxAge is the age up to which a report of a server's load counts;
	// reports come about every 100 ms.
	reportMaxAge = time.Second

	// slowThreshold is the slowness from which a rank is given work only when all
	// others are full: in lock-step its own part is in every pass of the group.
	slowThreshold = 1.25
	// migrateThreshold is the slowness from which resumable streams are moved off a
	// rank: its base time alone is then half of the longest pause that users
	// allow. A rank without requests does not slow its group.
	migrateThreshold = 2.0
)

type server struct {
	candidate   topology.Candidate
	own         int
	others      int // Requests of other entries, as of reportAt.
	reportAt    time.Time
	closed      bool    // The server's group takes no work.
	slowdown    float64 // 1 for a usual server.
	busyUntil   time.Time
	busySince   time.Time // When the first of the own requests under way was sent.
	lastEventAt time.Time // When it last sent an event.
	silent      bool      // Found silent and not heard of since.
	health      health
	sends       sendWindow
}

// requestSent notes that a request is sent to the server.
func (s *server) requestSent(now time.Time) {
	if s.own == 0 {
		s.busySince = now
	}
	s.own++
	s.sends.add(now)
}

// Report is the load of a server as reported from beside it.
type Report struct {
	Queued int
	Active int
	Open   bool    // Its group takes work.
	Pace   float64 // Over 1 for a slow server.
}

// Report takes in the load of a server.
func (d *Dispatcher) Report(id string, report Report, now time.Time) {
	server := d.byID[id]
	if server == nil {
		return
	}
	server.others = max(0, report.Queued+report.Active-server.own)
	server.closed, server.slowdown, server.reportAt = !report.Open, max(1, report.Pace), now
	d.limiter.slowest = d.slowest(now)
}

// slowest returns the slowness of the slowest server that has requests, 1 for a
// usual one.
func (d *Dispatcher) slowest(now time.Time) float64 {
	slowest := 1.0
	for _, server := range d.servers {
		if server.fresh(now) && server.own+server.others > 0 {
			slowest = max(slowest, server.slowdown)
		}
	}
	return slowest
}

// ShouldMigrateStreams reports whether resumable streams should go on at another server: this
// one holds its whole group up, and most others would not.
func (d *Dispatcher) ShouldMigrateStreams(id string, now time.Time) bool {
	server := d.byID[id]
	if server == nil || d.limiter.engine == nil || !server.fresh(now) || server.slowdown < migrateThreshold {
		return false
	}
	normal := 0
	for _, other := range d.servers {
		if other.fresh(now) && !other.closed && other.slowdown < slowThreshold {
			normal++
		}
	}
	return 2*normal > len(d.servers)
}

// reportedOpen returns whether most servers report that their group takes work,
// and whether there are reports at all.
func (d *Dispatcher) reportedOpen(now time.Time) reportedState {
	open, closed := 0, 0
	for _, server := range d.servers {
		switch {
		case !server.fresh(now):
		case server.closed:
			closed++
		default:
			open++
		}
	}
	switch {
	case open+closed == 0:
		return unreported
	case open > closed:
		return reportsOpen
	default:
		return reportsClosed
	}
}

func (d *Dispatcher) hasRoom(s *server, now time.Time) bool {
	if now.Before(s.busyUntil) || s.closed && s.fresh(now) || s.health.excluded(now) {
		return false
	}
	if s.silent && s.own > 0 || !s.sends.allows(d.warmUp, now) {
		return false
	}
	if d.limiter.engine != nil && !s.fresh(now) {
		return s.own < unreportedLimit
	}
	return s.load(now) < max(1, s.candidate.Slots)
}

// load is the number of requests at the server, as far as known.
func (s *server) load(now time.Time) int { return s.own + s.freshOthers(now) }

// Tiers of servers, the best first.
const (
	normalServer = iota
	slowServer
	unlistedServer
)

// tier says which servers are taken before which, whatever their load.
func (s *server) tier(now time.Time) int {
	switch {
	case s.candidate.Unlisted:
		return unlistedServer
	case s.fresh(now) && s.slowdown >= slowThreshold:
		return slowServer
	default:
		return normalServer
	}
}

func (s *server) fresh(now time.Time) bool {
	return !s.reportAt.IsZero() && now.Sub(s.reportAt) < reportMaxAge
}

func (s *server) freshOthers(now time.Time) int {
	if !s.fresh(now) {
		return 0
	}
	return s.others
}

// writers returns the requests of all entries at the service, as far as known.
func (d *Dispatcher) inFlight(now time.Time) int {
	total := 0
	for _, server := range d.servers {
		total += server.load(now)
	}
	return total
}
