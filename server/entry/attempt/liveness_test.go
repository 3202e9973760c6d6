package attempt

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// watchSilentAgent watches an attempt whose agent sends nothing. It returns the
// cause with which the attempt was cancelled, or nil if it is still in flight
// after the wait.
func watchSilentAgent(heartbeatErr error, wait time.Duration) error {
	dropped := make(chan string, 1)
	l := &liveness{
		heartbeat: func(context.Context, string) error { return heartbeatErr },
		dropConn:  func(address string) { dropped <- address },
		agents:    map[string]*watchedAgent{},
	}
	ctx, attempt := newWatchdog(context.Background(), time.Hour)
	defer attempt.stop()
	attempt.lastReceivedAt.Store(0)
	defer l.watch("agent", attempt)()
	select {
	case <-ctx.Done():
		<-dropped
		return context.Cause(ctx)
	case <-time.After(wait):
		return nil
	}
}

func TestLiveness(t *testing.T) {
	Convey("An attempt is cancelled when its agent answers no heartbeats", t, func() {
		So(watchSilentAgent(errors.New("timeout"), time.Minute), ShouldEqual, errAgentDead)
	})
	Convey("An attempt continues while its agent answers heartbeats", t, func() {
		So(watchSilentAgent(nil, (maxMissedHeartbeats+2)*heartbeatInterval), ShouldBeNil)
	})
}
