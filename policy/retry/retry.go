// Package retry decides whether a failed attempt is repeated at another backend
// server, within a retry budget and the caller's deadline.
//
// Invariant: over any period, the retries after attempts that reached a backend
// server are at most a fixed share of the requests, plus a fixed number.
package retry

import (
	"time"

	"persimmonwind.dev/policy/result"
)

const (
	// TokenRatio is the number of retries that each request adds to the retry budget.
	TokenRatio = 0.1
	// MaxTokens is the greatest number of retries that the retry budget saves up.
	MaxTokens = 10.0

	maxAttempts       = 3
	maxLoadWait       = 500 * time.Millisecond // Requests that have waited longer are not retried after a refusal because of load.
	minRemaining      = 20 * time.Millisecond  // No attempt is made with less time than this until the deadline.
	defaultRetryAfter = time.Second
	jitterRatio       = 0.5 // Greatest random addition to RetryAfter, as a share of it.
)

// Budget is the retry budget of one entry instance: a token bucket that each new
// request fills by a fraction of a token and from which each retry takes one token.
// The zero value is empty.
type Budget struct {
	tokens     float64
	tokenRatio float64 // Retries that each request adds.
	maxTokens  float64 // Greatest number of retries saved up.
}

// NewBudget returns a full retry budget with TokenRatio and MaxTokens.
func NewBudget() Budget { return NewBudgetWith(TokenRatio, MaxTokens) }

// NewBudgetWith returns a full retry budget to which each request adds tokenRatio,
// up to maxTokens.
func NewBudgetWith(tokenRatio, maxTokens float64) Budget {
	return Budget{tokens: maxTokens, tokenRatio: tokenRatio, maxTokens: maxTokens}
}

// Resize returns the budget with another greatest number of retries saved up. A budget
// that grows is filled by as many tokens.
func (b Budget) Resize(maxTokens float64) Budget {
	b.tokens = min(maxTokens, b.tokens+max(0, maxTokens-b.maxTokens))
	b.maxTokens = maxTokens
	return b
}

// Deposit returns the budget after one new request, which adds tokenRatio tokens.
func (b Budget) Deposit() Budget {
	b.tokens = min(b.maxTokens, b.tokens+b.tokenRatio)
	return b
}

// Withdraw takes the token for one retry from the budget and reports whether one
// was available.
func (b Budget) Withdraw() (Budget, bool) {
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}

// Attempt describes a failed attempt of a request.
type Attempt struct {
	Number          int           // Number of the attempt, from 1.
	Err             *result.Error // Why the attempt failed.
	ResponseStarted bool          // The caller has received a part of the answer.
	Idempotent      bool          // The work may run more than once.
	Waited          time.Duration // Time since the request arrived.
	Remaining       time.Duration // Time until the caller's deadline.
}

// SkipsBudget reports whether a retry after an error with this code takes nothing
// from the retry budget: the attempt reached no backend server, so it caused no
// load on any.
func SkipsBudget(code result.Code) bool { return code == result.NoBackendServer }

// Retriable reports whether the attempt may be repeated at another backend server:
// the work did not run, or is idempotent; the answer has not begun; enough time
// remains; and work that was refused because of load has not waited in a queue
// for longer than maxLoadWait before.
func Retriable(attempt Attempt) bool {
	info := result.Describe(attempt.Err.Code)
	switch {
	case attempt.ResponseStarted || attempt.Number >= maxAttempts || attempt.Remaining < minRemaining:
		return false
	case attempt.Err.Code == result.Cancelled:
		return false
	case IsLoadRefusal(attempt.Err.Code) && attempt.Waited > maxLoadWait:
		return false
	case info.NotRun:
		return info.Retryable
	default:
		return attempt.Idempotent && isBackendFailure(attempt.Err.Code)
	}
}

// IsLoadRefusal reports whether the code means that the work was refused because
// of the load of other requests.
func IsLoadRefusal(code result.Code) bool {
	switch code {
	case result.Overloaded, result.ColdStart, result.DeadlineTooShort, result.RateLimited, result.ConcurrencyLimited:
		return true
	default:
		return false
	}
}

// isBackendFailure reports whether the code means that a backend server failed
// after it may have started the work.
func isBackendFailure(code result.Code) bool {
	return code == result.OutcomeUnknown || code == result.CutAnswer || code == result.BackendFailed
}

// FinalError returns the error for a request that is not retried any more: the last
// error, with RetryAfter set if a later try can help. It adds a random part of up
// to half of RetryAfter, so that the callers don't all come back at once.
func FinalError(err *result.Error, random uint64) *result.Error {
	if !result.Describe(err.Code).Retryable {
		return err
	}
	final := *err
	if final.RetryAfter <= 0 {
		final.RetryAfter = defaultRetryAfter
	}
	fraction := float64(random>>11) / (1 << 53)
	final.RetryAfter += time.Duration(jitterRatio * fraction * float64(final.RetryAfter))
	return &final
}
