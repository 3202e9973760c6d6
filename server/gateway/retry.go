package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/policy/retry"
	"persimmonwind.dev/server/logevent"
)

const (
	// groupClosedRetryAfter is the Retry-After sent to callers whose group accepts
	// no work: a rank that was cut off is back after some seconds.
	groupClosedRetryAfter = 2 * time.Second
)

// shouldRetry reports whether another attempt follows the failed one.
func (c *call) shouldRetry(attemptNumber int, failure *result.Error) bool {
	reason := ""
	switch {
	case c.gateway.isGraceOver(), failure.Code == result.Leaving:
		reason = "leaving"
	case c.refusedByDispatcher:
		reason = "refused_by_desk"
	case c.quarantined:
		reason = "quarantined"
	case c.sends >= maxSends || c.possibleExecutions >= c.route.MaxAttempts:
		reason = "attempts_used_up"
	case !retry.Retriable(retry.Attempt{
		Number: max(1, c.possibleExecutions), Err: failure, // Refused sends don't count here; maxSends limits them.
		ResponseStarted: c.responseStarted && !c.resumable(),
		Idempotent:      c.route.Repeatable(),
		Waited:          time.Since(c.arrivedAt),
		Remaining:       time.Until(c.deadline),
	}):
		reason = "not_retriable"
	case !retry.SkipsBudget(failure.Code) && !c.gateway.spendRetryBudget():
		reason = "budget_used_up"
	}
	logevent.Write(c.log.WithFields(c.endFields()), logevent.AttemptFailed, logrus.Fields{
		"server": c.server, "attempt": attemptNumber, "code": int(failure.Code), "error": failure.Error(),
		"again": reason == "", "reason": reason, "runs": c.possibleExecutions, "begun": c.responseStarted,
		"config": c.snapshot.Config.Version,
	})
	return reason == ""
}

// endFields returns the log fields of an attempt whose exchange ended before its answer
// was complete: what is needed to compare the requests that were at a server which ended.
func (c *call) endFields() logrus.Fields {
	if c.end == "" {
		return nil
	}
	return logrus.Fields{
		"end": string(c.end), "events": c.relayedEvents - c.eventsBefore, "sent_ms": time.Since(c.sentAt).Milliseconds(),
		"group_closed": c.groupClosed, "organisation": c.organisationName(), "parts": c.request.SharedParts,
		"fingerprint": c.fingerprint,
	}
}

// finalError returns the error that the caller gets after the last attempt.
func (c *call) finalError(failure *result.Error) *result.Error {
	if c.possibleExecutions > 0 && failure.NotRun() {
		// The last error says that the request did not run, but an earlier attempt
		// may have run.
		return result.Errorf(result.BackendFailed, "an earlier attempt may have run; last error: %v", failure)
	}
	if c.refusedByDispatcher && c.placement.byClass && failure.RetryAfter > 0 {
		// The dispatcher has randomised it by level. A random addition would carry it beyond
		// what callers honour, a third of the time that remains to them.
		return failure
	}
	return retry.FinalError(failure, rand.Uint64())
}
