package dispatch

import "time"

const (
	// failureWeight of the latest outcome in the failure rate: three failures
	// in a row reach failureLimit.
	failureWeight = 0.25
	// failureLimit is the failure rate above which a server is passed over.
	// Services that fail a seventh of their calls by themselves stay under it.
	failureLimit = 0.55
	// initialExclusion doubles with every further failure, up to maxExclusion.
	initialExclusion = 500 * time.Millisecond
	maxExclusion     = 4 * time.Second
)

// health is what callers' requests have shown of a server. Health checks don't
// count: they may be false either way.
type health struct {
	rate            float64 // Share of failures, weighted towards the latest.
	excludedUntil   time.Time
	exclusionPeriod time.Duration
}

func (h *health) succeeded() {
	h.rate -= failureWeight * h.rate
	if h.rate < failureLimit/2 {
		h.exclusionPeriod = 0
	}
}

func (h *health) failed(now time.Time) {
	h.rate += failureWeight * (1 - h.rate)
	if h.rate >= failureLimit {
		h.exclude(now)
	}
}

// unreachable excludes at once: nothing listens there, or nothing answers.
func (h *health) unreachable(now time.Time) {
	h.rate = max(h.rate, failureLimit)
	h.exclude(now)
}

func (h *health) exclude(now time.Time) {
	h.exclusionPeriod = min(max(initialExclusion, 2*h.exclusionPeriod), maxExclusion)
	h.excludedUntil = now.Add(h.exclusionPeriod)
}

func (h *health) excluded(now time.Time) bool { return now.Before(h.excludedUntil) }
