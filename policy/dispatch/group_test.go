package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/topology"
)

// groupOfServer returns the name of a server's group in a service with groups of four.
func groupOfServer(index int) string { return fmt.Sprint("g", index/4) }

// threeGroups returns the dispatcher of a service with three groups of four engines, of
// which the second takes no work and the third runs passes twice as long as the first.
// With grouped unset, servers don't report their group.
func threeGroups(grouped bool) *Dispatcher {
	d := NewDispatcher(WarmUpLimit{Entries: 1})
	list := candidates(12, 12)
	d.Configure(list, topology.Service{Engine: engine()}, 120*time.Millisecond, start)
	for i, server := range list {
		report := Report{Open: i/4 != 1, Pace: 1, Active: 4}
		if grouped {
			report.Group = groupOfServer(i)
		}
		d.Report(server.ID, report, start)
	}
	for i, server := range list {
		if i/4 != 1 {
			for range 200 {
				d.ObserveGap(server.ID, time.Duration(1+i/8)*40*time.Millisecond, start)
			}
		}
	}
	return d
}

// fill submits requests until none is sent any more and returns how many each group got.
func fill(d *Dispatcher) map[string]int {
	got := map[string]int{}
	for i := range 400 {
		decision := d.Submit(ticket(uint64(i), start), float64(i*37%101)/101, start)
		if decision.Verdict != Go {
			break
		}
		var index int
		if _, err := fmt.Sscanf(decision.Server.ID, "s%d", &index); err != nil {
			panic(err)
		}
		got[groupOfServer(index)]++
	}
	return got
}

func TestGroupsOfAService(t *testing.T) {
	Convey("Given three groups, one closed and one twice as slow", t, func() {
		got := fill(threeGroups(true))
		Convey("the closed one gets nothing and the slow one less than half of the fast one's work", func() {
			So(got["g1"], ShouldEqual, 0)
			So(got["g2"], ShouldBeGreaterThan, 0)
			So(2*got["g2"], ShouldBeLessThanOrEqualTo, got["g0"])
		})
		Convey("the fast one gets more than if the groups are averaged", func() {
			averaged := fill(threeGroups(false))
			t.Logf("by group %v, averaged %v", got, averaged)
			So(got["g0"], ShouldBeGreaterThan, averaged["g0"])
			So(got["g0"]+got["g2"], ShouldBeGreaterThan, averaged["g0"]+averaged["g2"])
		})
	})
	Convey("A group that refuses work is probed without keeping the others from work", t, func() {
		d := threeGroups(true)
		d.byID["s8"].busyUntil, d.byID["s9"].busyUntil = start.Add(time.Hour), start.Add(time.Hour)
		d.Done("s8", Busy, start)
		d.byID["s8"].ownRequests = 0
		closed := d.Done("s8", Busy, start)
		So(closed, ShouldBeTrue)
		So(d.allClosed(), ShouldBeFalse)
		So(d.Submit(ticket(1, start), 0.5, start).Server.ID, ShouldBeIn, []string{"s0", "s1", "s2", "s3"})
	})
	Convey("A server that restarts in another group counts there", t, func() {
		d := threeGroups(true)
		d.Report("s0", Report{Open: true, Pace: 1, Group: "g2"}, start)
		So(d.groups["g0"].servers, ShouldHaveLength, 3)
		So(d.groups["g2"].servers, ShouldHaveLength, 5)
		d.Configure(candidates(4, 12), topology.Service{Engine: engine()}, 120*time.Millisecond, start)
		So(d.groups, ShouldHaveLength, 2)
	})
	Convey("A server that has left and whose list entry is passed over still ends its requests", t, func() {
		d := threeGroups(true)
		list := candidates(12, 12)
		d.ServerLeaving(list[0], start)
		So(d.groups["g0"].servers, ShouldHaveLength, 3)
		d.Configure(list, topology.Service{Engine: engine()}, 120*time.Millisecond, start)
		d.Report("s0", Report{Open: true, Pace: 1}, start)
		So(d.Done("s0", Served, start), ShouldBeFalse)
	})
}
