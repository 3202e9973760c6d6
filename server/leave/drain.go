package leave

import (
	"context"
	"time"
)

// DrainTimeout is the maximum time that a stopping process waits for requests in
// flight. It is longer than the timeout of any caller's request.
const DrainTimeout = 10*time.Minute + 15*time.Second

// AwaitShutdown waits until ctx has ended, which is the request to shut down
// gracefully. It returns false if lifetime ended before.
func AwaitShutdown(ctx, lifetime context.Context) bool {
	select {
	case <-ctx.Done():
		return lifetime.Err() == nil
	case <-lifetime.Done():
		return false
	}
}
