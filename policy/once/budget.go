package once

import "time"

// Budget bounds the final cancellations that one entry writes, so that a wave
// of refusals does not drown the table service.
type Budget struct {
	tokens     float64
	refilledAt time.Time
}

const (
	finalCancelsPerSecond = 50 // Of all entries together.
	finalCancelBurst      = 5  // Of one entry.
)

// Take spends one write where the budget allows it. entries is the number of
// live entries, which share the rate.
func (b Budget) Take(now time.Time, entries int) (Budget, bool) {
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
