package admission

import (
	"time"

	"persimmonwind.dev/policy/prefix"
)

// reportSlackBlocks is the number of blocks that may have entered the cache since
// the report.
const reportSlackBlocks = 512

// maxTransit is the longest time from when the agent starts work until the backend
// server counts it.
const maxTransit = 100 * time.Millisecond

// Reported carries the backend server's report about itself, which lags behind.
type Reported struct {
	BootID       string
	Running      int
	Waiting      int
	CachedTokens int
	Cold         bool
	At           time.Time // When the backend server's state was as reported.
	AgentStarted time.Time
}

func (Reported) EventName() string { return "admission.reported" }

// Returned reports that the backend server is in service again after it was taken
// out. What happened to it in between is unknown.
type Returned struct{}

func (Returned) EventName() string { return "admission.returned" }

// Unreachable reports that a connection to the backend server was refused.
type Unreachable struct{}

func (Unreachable) EventName() string { return "admission.unreachable" }

// CacheChanged carries events of the backend server's prefix cache.
type CacheChanged struct{ Events []prefix.Event }

func (CacheChanged) EventName() string { return "admission.cache_changed" }

// report applies a report. It is compared with the agent's own count at the time
// of the report.
func (s *State) report(event Reported) {
	l := &s.limit
	l.down = false
	if event.At.Before(event.AgentStarted) || event.At.Before(l.lastReport) {
		return
	}
	l.reported = true
	l.lastReport = event.At
	s.freeEnded(event.At)
	l.external = max(0, event.Running+event.Waiting-s.history.least(event.At))
	if event.BootID != l.bootID {
		s.recordBootID(event.BootID, event.At)
	}
	s.index.Resize(event.CachedTokens/prefix.BlockTokens + reportSlackBlocks)
	switch {
	case event.Cold:
		s.pace.discardSamples()
		if l.openSign != signReport {
			s.index.Clear()
		}
		l.suspectCold(event.At, signReport)
	case l.coldSuspected() && event.At.After(l.lastSignAt):
		s.pace.adaptToFalseAlarm(l.openSign)
		l.endSuspicion(l.external + s.activeCount())
		s.confirmWarmBefore(event.At)
	case !l.coldSuspected():
		s.confirmWarmBefore(event.At)
	}
}

// confirmWarmBefore records that the backend server was warm at the given time,
// and so when it began the work that had begun by then.
func (s *State) confirmWarmBefore(at time.Time) {
	s.pace.learnUntil(at)
	for _, w := range s.running {
		if !w.begun.IsZero() && !w.begun.After(at) {
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

// historyLength is the maximum number of changes kept. A report older than all of
// them is compared with a count of zero.
const historyLength = 1024

// history records the agent's own count of running work over time.
type history struct{ changes []change }

type change struct {
	at      time.Time
	running int
}

func (h *history) record(now time.Time, running int) {
	h.changes = append(h.changes, change{at: now, running: running})
	if len(h.changes) > historyLength {
		h.changes = append(h.changes[:0], h.changes[historyLength/2:]...)
	}
}

// least returns the least count within maxTransit before when. Work that was on
// its way to the backend server at that time may be missing from its report.
func (h *history) least(when time.Time) int {
	before, least := 0, -1
	for _, c := range h.changes {
		if c.at.After(when) {
			break
		}
		if c.at.Before(when.Add(-maxTransit)) {
			before = c.running
			continue
		}
		if least < 0 {
			least = before
		}
		least = min(least, c.running)
	}
	if least < 0 {
		return before
	}
	return least
}
