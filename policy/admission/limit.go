package admission

import "time"

const (
	maxWait        = 2 * time.Second        // Longest time that a request waits in the queue.
	minRetryAfter  = 100 * time.Millisecond // Shortest Retry-After.
	downRetryAfter = time.Second            // Retry-After while the backend server can't be reached.
	defaultService = time.Second            // Assumed duration of one request before any was completed.
	reportMaxAge   = 3 * time.Second        // Age above which the last report counts as missing.

	// completionsBeforeRaise is the number of completed requests, as a multiple of
	// the cold limit, after which the limit of a backend server without reports is
	// raised.
	completionsBeforeRaise = 2
)

// sign is an observation that suggests that the backend server is in cold start.
type sign int

const (
	signNone     sign = iota
	signStart         // The agent itself has just started, so the state is unknown.
	signLate          // The first chunk of an answer was late.
	signReset         // An answer was cut off, or a connection was refused.
	signBoot          // A report has another boot ID: the backend server has restarted.
	signReport        // A report says that the backend server is cold.
	signSilent        // There is no recent load report.
	signReturned      // The backend server was taken out of service and has returned.
)

// refutable reports whether a later report that the backend server is warm shows
// that the sign was a false alarm, so that the previous limit is restored at once.
func (s sign) refutable() bool {
	return s == signLate || s == signSilent || s == signReturned
}

// limiter tracks whether the backend server is warm, and its concurrency limit.
type limiter struct {
	currentSign          sign      // The most serious sign of a cold start since the backend server was last known to be warm; signNone when warm.
	lastSignAt           time.Time // Time of the last sign of a cold start.
	raisedLimit          int       // Limit above the cold limit that completed work has led to; 0 for the cold limit.
	limitBeforeSuspicion int       // raisedLimit before the first sign of the current suspicion.
	completedSinceSign   int       // Requests completed since the last sign of a cold start.
	externalRequests     int
	down                 bool
	coldSigns            int

	bootID       string
	hasReport    bool // A load report taken after the agent's start has arrived.
	lastReportAt time.Time
}

func newLimiter() limiter { return limiter{currentSign: signStart} }

func (l *limiter) coldSuspected() bool { return l.currentSign != signNone }

// unknown reports whether it is not known yet how much work from before the
// agent's start runs at the backend server.
func (l *limiter) unknown(settings Settings) bool { return settings.ReportsLoad && !l.hasReport }

// current returns the current concurrency limit. While a cold start is suspected,
// raisedLimit is 0 and does not rise, so the limit is the cold limit.
func (l *limiter) current(settings Settings) int {
	return min(settings.Full, max(settings.Cold, l.raisedLimit))
}

// suspectCold records a sign of a cold start and lowers the limit at once.
func (l *limiter) suspectCold(at time.Time, sign sign) {
	if !l.coldSuspected() {
		l.limitBeforeSuspicion = l.raisedLimit
		l.coldSigns++
	}
	if !l.coldSuspected() || !sign.refutable() {
		l.currentSign = sign
	}
	l.raisedLimit = 0
	l.completedSinceSign = 0
	if at.After(l.lastSignAt) {
		l.lastSignAt = at
	}
}

// endSuspicion records that the backend server is warm. After a false alarm the
// previous limit is restored. After the agent's own start the limit becomes the
// number of requests that run, which the backend server evidently can handle.
func (l *limiter) endSuspicion(running int) {
	switch {
	case l.currentSign.refutable():
		l.raisedLimit = l.limitBeforeSuspicion
	case l.currentSign == signStart:
		l.raisedLimit = running
	}
	l.currentSign = signNone
	l.completedSinceSign = 0
}

// completed counts a completed request and raises the limit. Enough completed
// requests end the suspicion of a cold start at a backend server without reports.
func (l *limiter) completed(settings Settings, running int) {
	l.completedSinceSign++
	if !settings.ReportsLoad && l.coldSuspected() && l.completedSinceSign >= completionsBeforeRaise*settings.Cold {
		l.endSuspicion(running)
	}
	if !l.coldSuspected() {
		l.raise(settings, running)
	}
}

// raise raises the concurrency limit by one if at least half of it is in use.
func (l *limiter) raise(settings Settings, running int) {
	if limit := l.current(settings); running*2 >= limit {
		l.raisedLimit = min(settings.Full, limit+1)
	}
}

// unreachable records a refused connection: the backend server has ended and will
// be in cold start when it is back.
func (l *limiter) unreachable(now time.Time) {
	l.suspectCold(now, signReset)
	l.down = true
}

func (l *limiter) tick(settings Settings, now time.Time) {
	if !settings.ReportsLoad && l.down && now.Sub(l.lastSignAt) > downRetryAfter {
		l.down = false
	}
	if settings.ReportsLoad && l.hasReport && !l.coldSuspected() && now.Sub(l.lastReportAt) > reportMaxAge {
		l.suspectCold(now, signSilent)
	}
}
