package dispatch

import (
	"time"

	"persimmonwind.dev/policy/topology"
)

const (
	// unreportedLimit is the number of own requests allowed at an engine whose load
	// is not reported: three from each of four entries fill an engine's slots.
	unreportedLimit = 3
	// reportMaxAge is the age from which a load report is ignored; reports arrive
	// about every 100 ms.
	reportMaxAge = time.Second

	// slowThreshold is the slowdown from which a rank gets work only when all others
	// are full: ranks advance in lock-step, so its part prolongs every pass of the
	// group.
	slowThreshold = 1.25
	// migrateThreshold is the slowdown from which resumable streams are moved off a
	// rank: its base time alone is then half of the longest pause that users allow.
	// A rank without requests does not slow its group.
	migrateThreshold = 2.0
)

type server struct {
	candidate   topology.Candidate
	own         int // Requests of this entry in flight.
	others      int // Requests of other entries, as of reportAt.
	reportAt    time.Time
	closed      bool    // The server's group takes no work.
	slowdown    float64 // Relative to a normal server, which has 1.
	busyUntil   time.Time
	busySince   time.Time // When own last rose from zero.
	lastEventAt time.Time // When the server last sent an event.
	silent      bool      // Found silent and no event seen since.
	health      health
	sends       sendWindow
}

// requestSent records that a request is sent to the server.
func (s *server) requestSent(now time.Time) {
	if s.own == 0 {
		s.busySince = now
	}
	s.own++
	s.sends.requestSent(now)
}

// Report is the load of a server as reported by the agent next to it.
type Report struct {
	Queued int
	Active int
	Open   bool    // The server's group takes work.
	Pace   float64 // Slowdown relative to a normal server; over 1 for a slow one.
}

// Report records the reported load of a server.
func (d *Dispatcher) Report(id string, report Report, now time.Time) {
	server := d.byID[id]
	if server == nil {
		return
	}
	server.others = max(0, report.Queued+report.Active-server.own)
	server.closed, server.slowdown, server.reportAt = !report.Open, max(1, report.Pace), now
	d.pace.slowest = d.slowest(now)
}

// slowest returns the slowdown of the slowest server that has requests, 1 if none
// is slow.
func (d *Dispatcher) slowest(now time.Time) float64 {
	slowest := 1.0
	for _, server := range d.servers {
		if server.fresh(now) && server.own+server.others > 0 {
			slowest = max(slowest, server.slowdown)
		}
	}
	return slowest
}

// ShouldMigrateStreams reports whether resumable streams should continue at
// another server: this one slows down its whole group, and most others would not.
func (d *Dispatcher) ShouldMigrateStreams(id string, now time.Time) bool {
	server := d.byID[id]
	if server == nil || d.pace.engine == nil || !server.fresh(now) || server.slowdown < migrateThreshold {
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

// reportedGroupState returns the state of the group according to the majority of the
// servers with a recent report.
func (d *Dispatcher) reportedGroupState(now time.Time) reportedState {
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
	if d.pace.engine != nil && !s.fresh(now) {
		return s.own < unreportedLimit
	}
	return s.load(now) < max(1, s.candidate.Slots)
}

// load returns the number of requests at the server, as far as known.
func (s *server) load(now time.Time) int { return s.own + s.freshOthers(now) }

// Tiers of servers, in the order of preference.
const (
	normalServer = iota
	slowServer
	unlistedServer
)

// tier returns the server's tier. A server of a better tier is preferred whatever
// its load.
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

// inFlight returns the requests of all entries at the service, as far as known.
func (d *Dispatcher) inFlight(now time.Time) int {
	total := 0
	for _, server := range d.servers {
		total += server.load(now)
	}
	return total
}
