package route

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/wire"
)

// gatherFrom probes the named agents; those without an entry in answers block
// until their context ends. It returns the agents that answered and the error
// with which the context of a blocked probe ended.
func gatherFrom(timeout time.Duration, answers map[string]wire.ProbeReply, names ...string) (answered map[string]bool, ctxErr error) {
	var targets []Target
	for _, name := range names {
		targets = append(targets, Target{BackendServer: name})
	}
	timedOut := make(chan error, len(targets))
	live, _ := gather(context.Background(), timeout, targets, func(ctx context.Context, target Target) probeResult {
		if reply, ok := answers[target.BackendServer]; ok {
			return probeResult{target: target, reply: &reply}
		}
		<-ctx.Done()
		timedOut <- ctx.Err()
		return probeResult{target: target, timedOut: true}
	})
	answered = map[string]bool{}
	for _, target := range live {
		answered[target.BackendServer] = true
	}
	return answered, <-timedOut
}

func TestGather(t *testing.T) {
	ready := wire.ProbeReply{ExpectedWaitMS: 10}
	refusing := wire.ProbeReply{Refuses: result.ColdStart}

	Convey("A silent agent does not delay work that another agent would take", t, func() {
		answered, ctxErr := gatherFrom(time.Hour, map[string]wire.ProbeReply{"a": ready}, "a", "dead")
		So(answered, ShouldResemble, map[string]bool{"a": true})
		So(ctxErr, ShouldEqual, context.Canceled)
	})

	Convey("If every agent that answered refuses, the others are waited for until the timeout", t, func() {
		answered, ctxErr := gatherFrom(20*time.Millisecond, map[string]wire.ProbeReply{"b": refusing}, "b", "dead")
		So(answered, ShouldResemble, map[string]bool{"b": true})
		So(ctxErr, ShouldEqual, context.DeadlineExceeded)
	})

	Convey("The wait for better offers grows with the expected time to first token", t, func() {
		So(offerWait(&wire.ProbeReply{ExpectedWaitMS: 1}), ShouldEqual, minOfferWait)
		So(offerWait(&wire.ProbeReply{ExpectedWaitMS: 2000}), ShouldEqual, 100*time.Millisecond)
	})
}
