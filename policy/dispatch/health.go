package dispatch

import "time"

const (
	// failureWeight is the weight of the latest outcome in the failure rate: three
	// failures in a row reach failureRateThreshold.
	failureWeight = 0.25
	// failureRateThreshold is the failure rate from which a server is excluded.
	// Services that normally fail a seventh of their calls stay below it.
	failureRateThreshold = 0.55
	// initialExclusion is the first period in which a failing server gets no
	// requests. It doubles with every further failure, up to maxExclusion.
	initialExclusion = 500 * time.Millisecond
	maxExclusion     = 4 * time.Second
)

// health tracks a server's failure rate by the outcomes of callers' requests. The
// results of health checks are not used, as they may be wrong in either direction.
type health struct {
	rate            float64 // Exponentially weighted failure rate.
	excludedUntil   time.Time
	exclusionPeriod time.Duration
}

func (h *health) succeeded() {
	h.rate -= failureWeight * h.rate
	if h.rate < failureRateThreshold/2 {
		h.exclusionPeriod = 0
	}
}

func (h *health) failed(now time.Time) {
	h.rate += failureWeight * (1 - h.rate)
	if h.rate >= failureRateThreshold {
		h.exclude(now)
	}
}

// unreachable excludes the server at once, because no process listens at its
// address or none answers.
func (h *health) unreachable(now time.Time) {
	h.rate = max(h.rate, failureRateThreshold)
	h.exclude(now)
}

// refused excludes a server that takes no work although it has room.
func (h *health) refused(now time.Time) { h.exclude(now) }

func (h *health) exclude(now time.Time) {
	h.exclusionPeriod = min(max(initialExclusion, 2*h.exclusionPeriod), maxExclusion)
	h.excludedUntil = now.Add(h.exclusionPeriod)
}

func (h *health) excluded(now time.Time) bool { return now.Before(h.excludedUntil) }
