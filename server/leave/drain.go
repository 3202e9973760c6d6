package leave

import (
	"context"
	"time"
)

// MaxDrain bounds the wait for requests in flight. It is longer than any
// caller's time for a request.
const MaxDrain = 10*time.Minute + 15*time.Second

// AwaitShutdown waits until ctx has ended, which tells the process to leave. It returns
// false where life ended before.
func AwaitShutdown(ctx, lifetime context.Context) bool {
	select {
	case <-ctx.Done():
		return lifetime.Err() == nil
	case <-lifetime.Done():
		return false
	}
}
