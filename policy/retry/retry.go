// Package retry decides whether an attempt that failed is made again
// elsewhere, within a retry budget and the caller's deadline.
//
// Invariant: over any time, retries after attempts that reached a backend
// server are at most a fixed share of the requests, plus a fixed number.
package retry

import (
	"time"

	"persimmonwind.dev/policy/result"
)

const (
	// TokenRatio is the number of retries that each request adds to the budget.
	TokenRatio = 0.1
	// MaxTokens is the greatest number of retries that the budget saves up.
	MaxTokens = 10.0

	maxAttempts       = 3
	maxWaited         = 500 * time.Millisecond // Before a refusal for load that is final.
	minRemaining      = 20 * time.Millisecond  // Less time is too short for an attempt.
	defaultRetryAfter = time.Second
	jitterShare       = 0.5 // Of the time to come back, added by random.
)

// Budget bounds the retries of one entry instance. The zero value is empty.
type Budget struct {
	tokens  float64
	share   float64 // Retries that each request adds.
	reserve float64 // Retries saved up at most.
}

// NewBudget returns a full budget with the usual share and reserve.
func NewBudget() Budget { return NewBudgetWith(TokenRatio, MaxTokens) }

// NewBudgetWith returns a full budget that each request fills by share, up to
// reserve.
func NewBudgetWith(share, reserve float64) Budget {
	return Budget{tokens: reserve, share: share, reserve: reserve}
}

// Deposit adds the share of one new request.
func (b Budget) Deposit() Budget {
	b.tokens = min(b.reserve, b.tokens+b.share)
	return b
}

// Withdraw takes one retry out; it reports whether there was one.
func (b Budget) Withdraw() (Budget, bool) {
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}

// Attempt is an attempt that failed.
type Attempt struct {
	Number          int // 1 for the first.
	Err             *result.Error
	ResponseStarted bool // The caller has had a part of the answer.
	Idempotent      bool
	Waited          time.Duration // Since the request arrived.
	Remaining       time.Duration // Until the caller's deadline.
}

// SkipsBudget reports whether a retry after the error takes nothing out of the budget:
// no backend server was reached, so the attempt was no load to any.
func SkipsBudget(code result.Code) bool { return code == result.NoBackendServer }

// Retriable reports whether the attempt may be made again elsewhere: the work
// did not run, or may run twice; the answer has not begun; there is time; and work
// that was refused for load has not waited in a queue before.
func Retriable(attempt Attempt) bool {
	info := result.Describe(attempt.Err.Code)
	switch {
	case attempt.ResponseStarted || attempt.Number >= maxAttempts || attempt.Remaining < minRemaining:
		return false
	case attempt.Err.Code == result.Cancelled:
		return false
	case IsLoadRefusal(attempt.Err.Code) && attempt.Waited > maxWaited:
		return false
	case info.NotRun:
		return info.ComeBack
	default:
		return attempt.Idempotent && brokenOff(attempt.Err.Code)
	}
}

// IsLoadRefusal reports whether the code refuses the work because others wait too.
func IsLoadRefusal(code result.Code) bool {
	switch code {
	case result.Overloaded, result.ColdStart, result.DeadlineTooShort, result.RateLimited, result.ConcurrencyLimited:
		return true
	default:
		return false
	}
}

// brokenOff reports whether the code speaks of a backend server that failed.
func brokenOff(code result.Code) bool {
	return code == result.OutcomeUnknown || code == result.CutAnswer || code == result.BackendFailed
}

// FinalError returns the error for a request that is given up on: the last one,
// with the time to come back. Random spreads the callers over half as much
// time again.
func FinalError(err *result.Error, random uint64) *result.Error {
	if !result.Describe(err.Code).ComeBack {
		return err
	}
	final := *err
	if final.RetryAfter <= 0 {
		final.RetryAfter = defaultRetryAfter
	}
	spread := float64(random>>11) / (1 << 53)
	final.RetryAfter += time.Duration(jitterShare * spread * float64(final.RetryAfter))
	return &final
}
