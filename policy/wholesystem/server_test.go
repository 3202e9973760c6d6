package wholesystem

import (
	"fmt"
	"slices"
	"time"

	"persimmonwind.dev/policy/admission"
	"persimmonwind.dev/policy/reduce"
)

const (
	fullLimit = 8
	coldLimit = 2
	warmAfter = 4 // Completed work items until a cold backend server is warm.

	warmFirstOutput = 40 * time.Millisecond  // Time until the first output of a warm backend server.
	coldFirstOutput = 600 * time.Millisecond // Time until the first output of a backend server in cold start.
	maxReports      = 64                     // Load reports kept.
)

// workItem is one request in flight at a backend server.
type workItem struct {
	ticket                  uint64
	boot                    int // Boot number of the agent that started it.
	coldPeriod              int // Value of server.coldPeriods when the request was started.
	cold, outputStarted     bool
	firstOutputAt, finishAt time.Time
}

// server simulates a backend server. Like the stand-in engine, it is overloaded
// when more than the cold limit of requests run that were started in the current
// cold period.
type server struct {
	cold        bool
	coldPeriods int
	completed   int
	work        []workItem
	reports     []admission.Reported
}

func (s *server) coldRunning() int {
	count := 0
	for _, p := range s.work {
		if p.cold && p.coldPeriod == s.coldPeriods {
			count++
		}
	}
	return count
}

func (s *server) startColdPeriod() {
	s.cold, s.completed = true, 0
	s.coldPeriods++
}

// submit starts work. It returns an error if a cold backend server would be
// overloaded.
func (s *server) submit(ticket uint64, boot int, now time.Time, duration time.Duration) error {
	if running := s.coldRunning(); s.cold && running >= coldLimit {
		return fmt.Errorf("work started at a cold backend server that already runs %d, limit is %d", running, coldLimit)
	}
	firstOutputAt := now.Add(warmFirstOutput)
	if s.cold {
		firstOutputAt = now.Add(coldFirstOutput)
	}
	s.work = append(s.work, workItem{ticket: ticket, boot: boot, coldPeriod: s.coldPeriods, cold: s.cold, firstOutputAt: firstOutputAt, finishAt: firstOutputAt.Add(duration)})
	return nil
}

// advance simulates the work until now and returns the resulting events for the
// agent's boot with this number.
func (s *server) advance(boot int, now time.Time) []reduce.Event {
	var events []reduce.Event
	for i := range s.work {
		p := &s.work[i]
		if !p.outputStarted && !now.Before(p.firstOutputAt) {
			p.outputStarted = true
			if p.boot == boot {
				events = append(events, admission.Begun{Ticket: p.ticket})
			}
		}
	}
	s.work = slices.DeleteFunc(s.work, func(p workItem) bool {
		if now.Before(p.finishAt) {
			return false
		}
		if s.completed++; s.completed >= warmAfter {
			s.cold = false
		}
		if p.boot == boot {
			events = append(events, admission.Released{Ticket: p.ticket, Completed: true})
		}
		return true
	})
	s.reports = append(s.reports, admission.Reported{BootID: "boot", Running: len(s.work), Cold: s.cold, At: now})
	s.reports = s.reports[max(0, len(s.reports)-maxReports):]
	return events
}

// load returns the newest load report that is at least lag old, or the oldest
// report if none is.
func (s *server) load(now time.Time, lag time.Duration) admission.Reported {
	visible := s.reports[0]
	for _, report := range s.reports {
		if now.Sub(report.At) >= lag {
			visible = report
		}
	}
	return visible
}
