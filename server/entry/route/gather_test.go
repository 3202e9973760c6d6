package route

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/wire"
)

// gatherFrom asks the named agents, of which those without an answer stay timedOut
// until they are given up on; it returns who answered and why the timedOut ones
// were given up on.
func gatherFrom(timeout time.Duration, answers map[string]wire.ProbeReply, names ...string) (got map[string]bool, givenUp error) {
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
	got = map[string]bool{}
	for _, target := range live {
		got[target.BackendServer] = true
	}
	return got, <-timedOut
}

func TestGather(t *testing.T) {
	ready := wire.ProbeReply{ExpectedWaitMS: 10}
	refusing := wire.ProbeReply{Refuses: result.ColdStart}

	Convey("A timedOut agent does not hold up work that another would take", t, func() {
		got, givenUp := gatherFrom(time.Hour, map[string]wire.ProbeReply{"a": ready}, "a", "dead")
		So(got, ShouldResemble, map[string]bool{"a": true})
		So(givenUp, ShouldEqual, context.Canceled)
	})

	Convey("While all that answered refuse, the others are waited for until the timeout", t, func() {
		got, givenUp := gatherFrom(20*time.Millisecond, map[string]wire.ProbeReply{"b": refusing}, "b", "dead")
		So(got, ShouldResemble, map[string]bool{"b": true})
		So(givenUp, ShouldEqual, context.DeadlineExceeded)
	})

	Convey("The longer the work would wait, the longer better offers are waited for", t, func() {
		So(offerWait(&wire.ProbeReply{ExpectedWaitMS: 1}), ShouldEqual, minOfferWait)
		So(offerWait(&wire.ProbeReply{ExpectedWaitMS: 2000}), ShouldEqual, 100*time.Millisecond)
	})
}
