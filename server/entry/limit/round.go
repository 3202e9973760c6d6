package limit

import "context"

// leaseCall is one ask of an organisation's home, on behalf of all requests that
// wait for it.
type leaseCall struct {
	waiting int           // Guarded by Limiter.mu.
	failed  bool          // The home did not answer; valid once done is closed.
	done    chan struct{} // Closed when the answer is in.
}

// leaseWaiter is a request's part in a round.
type leaseWaiter struct {
	*leaseCall
	leader bool // The request sends the ask.
}

// wait returns when the answer is in, or with the error of ctx.
func (c *leaseCall) wait(ctx context.Context) error {
	select {
	case <-c.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
