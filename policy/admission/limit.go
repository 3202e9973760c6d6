package admission

import "time"

const (
	maxWait        = 2 * time.Second        // Longest time in the queue.
	minRetryAfter  = 100 * time.Millisecond // Shortest time told to come back.
	downRetryAfter = time.Second            // Told while the backend server can't be reached.
	defaultService = time.Second            // Time of one request before any was completed.
	reportMaxAge   = 3 * time.Second        // Age from which the last report counts as none.

	// completionsBeforeRaise is how often the cold limit must be completed by a
	// backend server without reports before its limit is raised.
	completionsBeforeRaise = 2
)

// sign is a sign of coldness.
type sign int

const (
	signNone     sign = iota
	signStart         // The agent itself has just started.
	signLate          // A first piece came late.
	signReset         // An answer was broken off, or a connection was refused.
	signBoot          // A report carries another boot id.
	signReport        // A report says cold.
	signSilent        // No recent report.
	signReturned      // It was taken out of service, and is back.
)

// refutable reports whether a warm report proves the sign to be a false alarm,
// so that the former limit holds again at once.
func (s sign) refutable() bool {
	return s == signLate || s == signSilent || s == signReturned
}

// limiter holds what is known of the backend server's state.
type limiter struct {
	open     sign      // The worst sign since the last warm report; signNone when warm.
	since    time.Time // Time of the last sign.
	raised   int       // Limit reached by completed work; 0 for the cold limit.
	former   int       // raised before the first open sign.
	finished int       // Work completed since the last sign.
	foreign  int
	down     bool
	doubts   int

	bootID     string
	reported   bool // A report taken after the agent's start has arrived.
	lastReport time.Time
}

func newLimiter() limiter { return limiter{open: signStart} }

func (l *limiter) doubted() bool { return l.open != signNone }

// unknown reports whether nothing is known yet of work that runs at the
// backend server since before the agent's start.
func (l *limiter) unknown(settings Settings) bool { return settings.ReportsLoad && !l.reported }

// current returns the limit: a doubt has set raised back, and nothing raises it
// meanwhile.
func (l *limiter) current(settings Settings) int {
	return min(settings.Full, max(settings.Cold, l.raised))
}

// doubt lowers the limit at once.
func (l *limiter) doubt(at time.Time, sign sign) {
	if !l.doubted() {
		l.former = l.raised
		l.doubts++
	}
	if !l.doubted() || !sign.refutable() {
		l.open = sign
	}
	l.raised = 0
	l.finished = 0
	if at.After(l.since) {
		l.since = at
	}
}

// warm ends the doubt. A false alarm restores the former limit; after the
// agent's own start the backend server has shown to bear what it runs.
func (l *limiter) warm(runs int) {
	switch {
	case l.open.refutable():
		l.raised = l.former
	case l.open == signStart:
		l.raised = runs
	}
	l.open = signNone
	l.finished = 0
}

// completed counts completed work, which ends the doubt about a backend server
// without reports, and raises the limit.
func (l *limiter) completed(settings Settings, running int) {
	l.finished++
	if !settings.ReportsLoad && l.doubted() && l.finished >= completionsBeforeRaise*settings.Cold {
		l.warm(running)
	}
	if !l.doubted() {
		l.raise(settings, running)
	}
}

// raise raises the limit by one, where the work under way came near it.
func (l *limiter) raise(settings Settings, running int) {
	if limit := l.current(settings); running*2 >= limit {
		l.raised = min(settings.Full, limit+1)
	}
}

// unreachable takes a refused connection for the end of a boot.
func (l *limiter) unreachable(now time.Time) {
	l.doubt(now, signReset)
	l.down = true
}

func (l *limiter) tick(settings Settings, now time.Time) {
	if !settings.ReportsLoad && l.down && now.Sub(l.since) > downRetryAfter {
		l.down = false
	}
	if settings.ReportsLoad && l.reported && !l.doubted() && now.Sub(l.lastReport) > reportMaxAge {
		l.doubt(now, signSilent)
	}
}
