package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/topology"
)

// sendMany submits requests that end at once and returns how many each server got, and
// the last decision.
func sendMany(d *Dispatcher, count int, now time.Time) (map[string]int, Decision) {
	got := map[string]int{}
	var decision Decision
	for i := range count {
		decision = d.Submit(ticket(uint64(i), now), float64(i)/float64(count), now)
		if decision.Verdict == Go {
			got[decision.Server.ID]++
			d.Done(decision.Server.ID, Served, now)
		}
	}
	return got, decision
}

func TestServerThatSaysItLeaves(t *testing.T) {
	Convey("Given a server that has said in an answer that it stops soon", t, func() {
		d := plainDispatcher(2, 4)
		list := candidates(2, 4)
		So(d.ServerLeaving(list[0], start), ShouldBeTrue)
		So(d.ServerLeaving(list[0], start), ShouldBeFalse)

		Convey("it gets no request", func() {
			got, _ := sendMany(d, 20, start)
			So(got, ShouldResemble, map[string]int{"s1": 20})
		})
		Convey("it gets none either when its row comes back from an older copy of the store", func() {
			d.Configure(list[1:], topology.Service{}, 0, start.Add(time.Second))
			d.Configure(list, topology.Service{}, 0, start.Add(2*time.Second))
			got, _ := sendMany(d, 20, start.Add(2*time.Second))
			So(got, ShouldResemble, map[string]int{"s1": 20})
		})
		Convey("a new incarnation with its id gets requests", func() {
			list[0].Born = 1
			d.Configure(list, topology.Service{}, 0, start)
			got, _ := sendMany(d, 20, start)
			So(got["s0"], ShouldBeGreaterThan, 0)
		})
		Convey("an answer of the earlier incarnation says nothing of the one that runs", func() {
			earlier := list[1]
			list[1].Born = 1
			d.Configure(list, topology.Service{}, 0, start)
			So(d.ServerLeaving(earlier, start), ShouldBeTrue)
			got, _ := sendMany(d, 20, start)
			So(got, ShouldResemble, map[string]int{"s1": 20})
		})
		Convey("requests are refused at once if all servers leave", func() {
			d.ServerLeaving(list[1], start)
			_, decision := sendMany(d, 1, start)
			So(decision.Verdict, ShouldEqual, Refuse)
			So(decision.Reason, ShouldEqual, "no_server")
		})
		Convey("the notice is forgotten long after the server has gone", func() {
			d.Configure(list[1:], topology.Service{}, 0, start.Add(2*noticeMemory))
			So(d.notices, ShouldBeEmpty)
		})
	})
}

func TestServersThatAskForAPause(t *testing.T) {
	Convey("Given a server that has asked to get nothing for two seconds", t, func() {
		const pause = 2 * time.Second
		d := plainDispatcher(2, 4)
		list := candidates(2, 4)
		So(d.PauseRequested(list[0], pause, start), ShouldEqual, start.Add(pause))

		Convey("it gets nothing until then, whatever the list says meanwhile", func() {
			d.Configure(list[1:], topology.Service{}, 0, start.Add(time.Second))
			d.Configure(list, topology.Service{}, 0, start.Add(time.Second))
			got, _ := sendMany(d, 20, start.Add(pause-time.Millisecond))
			So(got, ShouldResemble, map[string]int{"s1": 20})
			got, _ = sendMany(d, 20, start.Add(pause))
			So(got["s0"], ShouldBeGreaterThan, 0)
		})
		Convey("a shorter pause asked for later does not end the longer one", func() {
			So(d.PauseRequested(list[0], time.Millisecond, start), ShouldEqual, start.Add(pause))
		})
		Convey("an absurd pause is bounded", func() {
			So(d.PauseRequested(list[0], 1000*time.Hour, start), ShouldEqual, start.Add(maxPause))
		})
		Convey("if all servers ask for a pause", func() {
			d.PauseRequested(list[1], 3*pause, start)
			Convey("callers are refused at once with the time until the first is free again", func() {
				_, decision := sendMany(d, 1, start)
				So(decision.Verdict, ShouldEqual, Refuse)
				So(decision.Reason, ShouldEqual, "servers_paused")
				So(decision.RetryAfter, ShouldEqual, pause)
			})
			Convey("callers wait for a pause that ends soon", func() {
				soon := start.Add(pause - maxPredictedWait/2)
				_, decision := sendMany(d, 1, soon)
				So(decision.Verdict, ShouldEqual, Wait)
				So(d.DispatchQueued(noRandom, start.Add(pause)), ShouldHaveLength, 1)
			})
		})
	})
	Convey("Requests that wait are refused when the last server asks for a long pause", t, func() {
		d := plainDispatcher(1, 1)
		So(d.Submit(ticket(1, start), 0, start).Verdict, ShouldEqual, Go)
		So(d.Submit(ticket(2, start), 0, start).Verdict, ShouldEqual, Wait)
		d.PauseRequested(candidates(1, 1)[0], time.Minute, start)
		d.Done("s0", Busy, start)
		decisions := d.DispatchQueued(noRandom, start)
		So(decisions, ShouldHaveLength, 1)
		So(decisions[0].Verdict, ShouldEqual, Refuse)
		So(decisions[0].RetryAfter, ShouldBeGreaterThanOrEqualTo, time.Minute)
	})
}
