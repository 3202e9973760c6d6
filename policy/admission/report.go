package admission

import (
	"time"

	"persimmonwind.dev/policy/prefix"
)

// reportSlackBlocks is the number of blocks that the backend server may have added
// to its prefix cache since it made the report.
const reportSlackBlocks = 512

// maxTransit is the longest time between the moment at which the agent starts a
// request and the moment at which the backend server includes it in its reports.
const maxTransit = 100 * time.Millisecond

// Reported carries the backend server's report of its load, which describes its
// state at an earlier time.
type Reported struct {
	BootID       string    // Changes when the backend server restarts.
	Running      int       // Requests that the backend server executes.
	Waiting      int       // Requests that wait at the backend server.
	CachedTokens int       // Tokens in the prefix cache.
	Cold         bool      // The backend server is in cold start.
	At           time.Time // Time of the reported state.
	AgentStarted time.Time // When the agent started; earlier reports are ignored.
}

func (Reported) EventName() string { return "admission.reported" }

// Returned reports that the backend server is in service again after it was taken
// out. What happened to it in the meantime, for example a restart, is unknown.
type Returned struct{}

func (Returned) EventName() string { return "admission.returned" }

// Unreachable reports that a connection to the backend server was refused.
type Unreachable struct{}

func (Unreachable) EventName() string { return "admission.unreachable" }

// CacheChanged carries additions to and evictions from the backend server's prefix
// cache.
type CacheChanged struct{ Events []prefix.Event }

func (CacheChanged) EventName() string { return "admission.cache_changed" }

// report applies a load report. The reported requests are compared with the
// agent's own count at the time of the report to find those that this agent has
// not started.
func (s *State) report(event Reported) {
	l := &s.limit
	l.down = false
	if event.At.Before(event.AgentStarted) || event.At.Before(l.lastReportAt) {
		return
	}
	l.hasReport = true
	l.lastReportAt = event.At
	s.freeEnded(event.At)
	l.externalRequests = max(0, event.Running+event.Waiting-s.history.minRunning(event.At))
	if event.BootID != l.bootID {
		s.recordBootID(event.BootID, event.At)
	}
	s.index.Resize(event.CachedTokens/prefix.BlockTokens + reportSlackBlocks)
	switch {
	case event.Cold:
		s.speedEstimate.discardSamples()
		if l.currentSign != signReport {
			s.index.Clear()
		}
		l.suspectCold(event.At, signReport)
	case l.coldSuspected() && event.At.After(l.lastSignAt):
		s.speedEstimate.adaptToFalseAlarm(l.currentSign)
		l.endSuspicion(l.externalRequests + s.activeCount())
		s.confirmWarmBefore(event.At)
	case !l.coldSuspected():
		s.confirmWarmBefore(event.At)
	}
}

// confirmWarmBefore records that the backend server was warm at the time at. This
// counts as proof that it was also warm when it began the requests whose first chunk
// had arrived by then.
func (s *State) confirmWarmBefore(at time.Time) {
	s.speedEstimate.learnUntil(at)
	for _, w := range s.running {
		if !w.firstChunkAt.IsZero() && !w.firstChunkAt.After(at) {
			s.confirmWarm(w)
		}
	}
}

func (s *State) recordBootID(id string, at time.Time) {
	if s.limit.bootID != "" {
		s.limit.suspectCold(at, signBoot)
		s.index.Clear()
	}
	s.limit.bootID = id
}

// historyLength is the maximum number of changes of the count that history keeps.
// A report older than all of them is compared with a count of zero.
const historyLength = 1024

// history records the number of requests that the agent had running over time.
type history struct{ changes []countChange }

type countChange struct {
	at      time.Time
	running int
}

func (h *history) record(now time.Time, running int) {
	h.changes = append(h.changes, countChange{at: now, running: running})
	if len(h.changes) > historyLength {
		h.changes = append(h.changes[:0], h.changes[historyLength/2:]...)
	}
}

// minRunning returns the least number of running requests within maxTransit before
// when. Requests that were in transit to the backend server at that time may be
// missing from its report.
func (h *history) minRunning(when time.Time) int {
	before, minRunning := 0, -1
	for _, c := range h.changes {
		if c.at.After(when) {
			break
		}
		if c.at.Before(when.Add(-maxTransit)) {
			before = c.running
			continue
		}
		if minRunning < 0 {
			minRunning = before
		}
		minRunning = min(minRunning, c.running)
	}
	if minRunning < 0 {
		return before
	}
	return minRunning
}
