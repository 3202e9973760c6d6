package gateway

import (
	"context"
	"errors"
	"time"

	"persimmonwind.dev/policy/result"
)

// leavingRetryAfter is the Retry-After of an entry that is leaving: other entries serve.
const leavingRetryAfter = 50 * time.Millisecond

// errGraceOver ends the requests that are in flight at the end of the grace period.
var errGraceOver = errors.New("the entry has stopped before the answer was complete")

// shutdown is the planned stop of the entry.
type shutdown struct {
	acceptUntil time.Time // Until then callers may not know, so every request is taken.
	answerBy    time.Time // Every request in flight is answered at this time, whatever its state.
}

// Leave prepares the planned stop of the entry. Requests that arrive after acceptUntil are
// refused unless they end before answerBy in any case; at answerBy all others in flight are
// answered, or cut if their answer has begun.
func (g *Gateway) Leave(acceptUntil, answerBy time.Time) {
	g.shutdown.Store(&shutdown{acceptUntil: acceptUntil, answerBy: answerBy})
	time.AfterFunc(time.Until(answerBy), func() { g.endGrace(errGraceOver) })
}

// isGraceOver reports whether requests in flight are answered at once.
func (g *Gateway) isGraceOver() bool { return g.grace.Err() != nil }

// refuseWhileLeaving returns the refusal of a request that was not sent yet and might not
// end before the entry does, or nil.
func (c *call) refuseWhileLeaving() *result.Error {
	shutdown := c.gateway.shutdown.Load()
	if shutdown == nil || time.Now().Before(shutdown.acceptUntil) || !c.deadline.After(shutdown.answerBy) {
		return nil
	}
	return leavingRefusal("the request may last longer than the entry")
}

func leavingRefusal(detail string) *result.Error {
	refusal := result.Errorf(result.Leaving, "%s", detail)
	refusal.RetryAfter = leavingRetryAfter
	return refusal
}

// withinGrace returns a context that also ends with the grace period.
func (c *call) withinGrace(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(c.gateway.grace, func() { cancel(errGraceOver) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// writeHead sends the status and the headers to the caller.
func (c *call) writeHead(status int) {
	if c.gateway.shutdown.Load() != nil {
		c.writer.Header().Set("Connection", "close")
	}
	c.writer.WriteHeader(status)
}
