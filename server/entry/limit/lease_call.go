package limit

import "context"

// leaseCall is one lease request to an organisation's home, on behalf of all
// requests that wait for it.
type leaseCall struct {
	waiterCount int           // Guarded by Limiter.mu.
	failed      bool          // The home did not answer; valid once done is closed.
	done        chan struct{} // Closed when the call has ended.
}

// leaseWaiter is a request that waits for a lease call.
type leaseWaiter struct {
	*leaseCall
	leader bool // The request makes the call.
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
