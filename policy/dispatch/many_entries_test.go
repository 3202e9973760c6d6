package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/topology"
)

// The bounds of a cold server in the users' large fleet.
var largeFleetWarmUp = WarmUpLimit{OverloadFactor: 1.5, ExtraPerSecond: 5, Entries: 8}

const largeFleetColdPerSecond = 14

// largeFleetEntries returns the dispatchers of entries before one service of 129 servers.
func largeFleetEntries(entries int) []*Dispatcher {
	dispatchers := make([]*Dispatcher, entries)
	for i := range dispatchers {
		dispatchers[i] = NewDispatcher(largeFleetWarmUp)
		dispatchers[i].turns = turnSeed(i)
		dispatchers[i].SetEntries(entries)
		dispatchers[i].Configure(candidates(129, 6), topology.Service{WarmUpPerSecond: largeFleetColdPerSecond}, 0, start)
	}
	return dispatchers
}

func TestColdServerBeforeMoreEntriesThanItBears(t *testing.T) {
	for _, entries := range []int{53, 71, 330} {
		Convey("Entries that have sent nothing for long and all find one server idle stay below what it bears when cold", t, func() {
			bound := int(largeFleetColdPerSecond*largeFleetWarmUp.OverloadFactor + largeFleetWarmUp.ExtraPerSecond)
			fleet := largeFleetEntries(entries)
			var sentAt []time.Time
			for step := range 200 {
				now := start.Add(time.Duration(step) * 10 * time.Millisecond)
				for _, d := range fleet {
					// All other servers are full, so that every request would go to this one.
					for _, s := range d.servers[1:] {
						s.busyUntil = now.Add(time.Second)
					}
					if decision := d.Submit(ticket(uint64(step), now), 0, now); decision.Verdict == Go {
						sentAt = append(sentAt, now)
						d.Done(decision.Server.ID, Served, now)
					}
					d.queue = nil
				}
			}
			highest := 0
			for i := range sentAt {
				n := 0
				for n = i; n < len(sentAt) && sentAt[n].Sub(sentAt[i]) < time.Second; n++ {
				}
				highest = max(highest, n-i)
			}
			t.Logf("%d entries: at most %d requests in a second, bound %d", entries, highest, bound)
			So(highest, ShouldBeLessThanOrEqualTo, bound)
			So(len(sentAt), ShouldBeGreaterThan, 0)
		})
	}
	Convey("An entry of a large fleet still finds a server for each of its usual requests", t, func() {
		const perSecond = 8 // 354 requests a second at 53 entries, unevenly.
		d := largeFleetEntries(71)[0]
		sent := 0
		for i := range 10 * perSecond {
			now := start.Add(time.Duration(i) * time.Second / perSecond)
			if decision := d.Submit(ticket(uint64(i), now), float64(i%17)/17, now); decision.Verdict == Go {
				sent++
				d.Done(decision.Server.ID, Served, now)
			}
			d.queue = nil
		}
		So(sent, ShouldBeGreaterThanOrEqualTo, 10*perSecond*95/100)
	})
}

func TestEntryCount(t *testing.T) {
	Convey("The number of entries is the highest of late, so that a restarting entry keeps its share", t, func() {
		var count EntryCount
		So(count.Value(), ShouldEqual, 0)
		count.Observe(53, start)
		count.Observe(50, start.Add(time.Second))
		So(count.Value(), ShouldEqual, 53)
		count.Observe(50, start.Add(entryCountPeriod))
		So(count.Value(), ShouldEqual, 53)
		count.Observe(50, start.Add(2*entryCountPeriod))
		So(count.Value(), ShouldEqual, 50)
	})
}
