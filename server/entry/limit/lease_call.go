package limit

import "context"

// leaseCall is one lease request to the home entry of an organisation, on behalf
// of all callers' requests that wait for it.
type leaseCall struct {
	waiterCount int           // Number of requests that wait; guarded by Limiter.mu.
	failed      bool          // The home entry did not answer; valid once done is closed.
	done        chan struct{} // Closed when the call has ended.
}

// leaseWaiter is a caller's request that waits for a lease call.
type leaseWaiter struct {
	*leaseCall
	leader bool // This request makes the call on behalf of the others.
}

// wait returns when the call has ended, or with the error of ctx.
func (c *leaseCall) wait(ctx context.Context) error {
	select {
	case <-c.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
