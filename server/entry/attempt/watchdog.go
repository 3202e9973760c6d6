package attempt

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

const (
	firstPieceTimeout = 20 * time.Second
	nextPieceTimeout  = 5 * time.Second
)

// errAgentTimeout is the cause with which an attempt is cancelled if its agent
// sends nothing for too long.
var errAgentTimeout = errors.New("agent sent nothing before the timeout")

// watchdog cancels an attempt whose agent stops sending.
type watchdog struct {
	timer          *time.Timer
	cancel         context.CancelCauseFunc
	lastReceivedAt atomic.Int64 // Time at which the agent last sent something, in Unix nanoseconds.
}

// newWatchdog returns a context that is cancelled with errAgentTimeout unless
// the watchdog is reset in time.
func newWatchdog(ctx context.Context, timeout time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(errAgentTimeout) })
	w := &watchdog{timer: timer, cancel: cancel}
	w.lastReceivedAt.Store(time.Now().UnixNano())
	return ctx, w
}

func (w *watchdog) reset(timeout time.Duration) {
	w.lastReceivedAt.Store(time.Now().UnixNano())
	w.timer.Reset(timeout)
}

// idleTime returns the time since the agent last sent something.
func (w *watchdog) idleTime() time.Duration {
	return time.Since(time.Unix(0, w.lastReceivedAt.Load()))
}

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}
