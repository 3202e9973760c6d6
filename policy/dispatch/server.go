package dispatch

import (
	"time"

	"persimmonwind.dev/policy/topology"
)

const (
	// unreportedLimit is the number of requests that this entry may have in flight at
	// an engine whose load is not reported: three from each of four entries fill an
	// engine's slots.
	unreportedLimit = 3
	// reportMaxAge is the age from which a load report is ignored; reports arrive
	// about every 100 ms.
	reportMaxAge = time.Second

	// slowThreshold is the slowdown from which a rank gets work only when all others
	// are full: ranks advance in lock-step, so work at a slow rank prolongs every
	// pass of the group.
	slowThreshold = 1.25
	// migrateThreshold is the slowdown from which resumable streams are moved to
	// other ranks: a pass of a rank this slow takes half of the longest pause that
	// users allow even without load. A rank without requests does not slow its
	// group.
	migrateThreshold = 2.0
)

// server is a backend server as this entry sees it.
type server struct {
	candidate     topology.Candidate
	group         *group
	ownRequests   int       // Requests of this entry in flight.
	otherRequests int       // Requests of other entries in flight at the time of the last load report.
	otherQueued   int       // Requests that waited at the server at the time of the last load report, without unread ones of this entry.
	memoryTokens  int       // Tokens in the server's memory as last reported; 0 if unknown.
	reportAt      time.Time // When the last load report arrived.
	configuredAt  time.Time // When the server was first listed.
	closed        bool      // The server's group takes no work.
	slowdown      float64   // Time of a pass relative to a normal server, which has 1.
	busyUntil     time.Time // Until then the server gets no requests, after it refused one or was replaced.
	busySince     time.Time // Since when this entry has had requests in flight at the server.
	lastEventAt   time.Time // When the server last sent an event.
	silent        bool      // FindSilent has returned the server, and it has sent no event since.
	health        health
	sends         sendWindow // Limits the requests per second.
	notice        *notice    // What the server has said of itself; nil for nothing.
}

// requestSent records that this entry sends a request to the server.
func (s *server) requestSent(now time.Time) {
	if s.ownRequests == 0 {
		s.busySince = now
	}
	s.ownRequests++
	s.sends.requestSent(now)
	if s.notice != nil && s.notice.limit != nil {
		s.notice.limit.requestSent(now)
	}
}

// Report is the load of a server as reported by the agent next to it.
type Report struct {
	Queued int     // Requests that wait at the server.
	Active int     // Requests that the server executes.
	Open   bool    // The server's group takes work.
	Pace   float64 // Slowdown relative to a normal server; over 1 for a slow one.
	Group  string  // Name of the server's group; empty if unknown.

	MemoryTokens int // Tokens in the server's memory that can't be evicted; 0 if unknown.
}

// Report records the reported load of a server.
func (d *Dispatcher) Report(id string, report Report, now time.Time) {
	server := d.byID[id]
	if server == nil {
		return
	}
	server.otherRequests = max(0, report.Queued+report.Active-server.ownRequests)
	changed := server.closed == report.Open || server.reportAt.IsZero()
	server.closed, server.slowdown, server.reportAt = !report.Open, max(1, report.Pace), now
	server.otherQueued = max(0, report.Queued-d.reading.ledger.Server(id, now).Prompts)
	if report.MemoryTokens > 0 {
		server.memoryTokens = report.MemoryTokens // Most reports don't tell it.
	}
	if report.Group != "" {
		d.joinGroup(server, report.Group)
	}
	server.group.pace.maxSlowdown = server.group.maxSlowdown(now)
	if d.classes.Enabled() && (changed || server.group.gate.closed) {
		server.group.gate.allows(server.group.reportedState(now), now) // Notices that the group closes or opens.
		server.group.trackOpening(now)
	}
}

// ExpectedToRun reports whether the server is listed, has not said that it leaves, and
// belongs to a group that is not reported as closed.
func (d *Dispatcher) ExpectedToRun(id string, now time.Time) bool {
	server := d.byID[id]
	if server == nil || server.candidate.Unlisted || server.notice != nil && server.notice.leaving {
		return false
	}
	return server.group.reportedState(now) != reportsClosed
}

// ShouldMigrateStreams reports whether resumable streams should continue at
// another server: this one slows down its whole group, and most others would not.
func (d *Dispatcher) ShouldMigrateStreams(id string, now time.Time) bool {
	server := d.byID[id]
	if server == nil || d.engine == nil || !server.fresh(now) || server.slowdown < migrateThreshold {
		return false
	}
	normal := 0
	for _, other := range server.group.servers {
		if other.fresh(now) && !other.closed && other.slowdown < slowThreshold {
			normal++
		}
	}
	return 2*normal > len(server.group.servers)
}

func (d *Dispatcher) hasRoom(s *server, now time.Time) bool {
	if now.Before(s.busyUntil) || now.Before(s.pausedUntil()) || s.closed && s.fresh(now) || s.health.excluded(now) {
		return false
	}
	if s.silent && s.ownRequests > 0 || !s.sends.allows(d.warmUp, now) || !d.warmUp.hasTurn(d.turns, s.candidate.ID, now) {
		return false
	}
	if share := d.limitShare(s, now); share != nil && !share.allows(d.turns, s.candidate.ID, now) {
		return false
	}
	if d.engine != nil && !s.fresh(now) {
		return s.ownRequests < unreportedLimit
	}
	return s.load(now) < max(1, s.candidate.Slots)
}

// load returns the number of requests of all entries in flight at the server, as
// far as known.
func (s *server) load(now time.Time) int { return s.ownRequests + s.freshOthers(now) }

// Tiers of servers, the preferred tier first.
const (
	normalServer = iota
	slowServer
	unlistedServer // A server that may have left the service.
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
	return s.otherRequests
}

func (s *server) freshQueued(now time.Time) int {
	if !s.fresh(now) {
		return 0
	}
	return s.otherQueued
}

// inFlight returns the number of requests of all entries in flight at the service,
// as far as known.
func (d *Dispatcher) inFlight(now time.Time) int {
	total := 0
	for _, server := range d.servers {
		total += server.load(now)
	}
	return total
}
