// Package wait provides the one cancellable sleep that traffic goroutines use.
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
