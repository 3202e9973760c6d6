// Package wait provides the cancellable sleep of goroutines that serve traffic.
package wait

import (
	"context"
	"time"
)

// For waits for the duration, or until ctx has ended.
func For(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
