package once

import "time"

// CancelBudget is the token bucket for the final cancellations that one entry writes,
// so that a burst of refusals does not overload the table service.
type CancelBudget struct {
	tokens     float64
	refilledAt time.Time
}

const (
	finalCancelsPerSecond = 50 // Final cancellations per second of all entries combined.
	finalCancelBurst      = 5  // Capacity of one entry's bucket, in tokens; a token pays for one write of a final cancellation.
)

// Take takes a token for one final cancellation and reports whether one was
// available. entries is the number of live entries, which share the rate.
func (b CancelBudget) Take(now time.Time, entries int) (CancelBudget, bool) {
	rate := finalCancelsPerSecond / float64(max(entries, 1))
	if b.refilledAt.IsZero() {
		b.tokens = finalCancelBurst
	} else {
		b.tokens = min(finalCancelBurst, b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}
