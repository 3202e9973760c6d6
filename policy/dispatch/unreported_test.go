package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/topology"
)

func TestEnginesOfUnknownGroups(t *testing.T) {
	Convey("Given 100 engines without load reports, of which a tenth belong to a group that never forms", t, func() {
		const servers, closed, requests = 100, 10, 1000
		d := NewDispatcher(WarmUpLimit{Entries: 1})
		d.Configure(candidates(servers, 6), topology.Service{Engine: engine()}, 120*time.Millisecond, start)
		served := 0
		for i := range requests {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			decision := d.Submit(ticket(uint64(i), now), float64(i*37%101)/101, now)
			d.queue = nil
			if decision.Verdict != Go {
				continue
			}
			var index int
			_, err := fmt.Sscanf(decision.Server.ID, "s%d", &index)
			So(err, ShouldBeNil)
			if index < closed {
				d.Done(decision.Server.ID, Busy, now)
				continue
			}
			d.Accepted(decision.Server.ID)
			d.Done(decision.Server.ID, Served, now)
			served++
		}
		Convey("the others go on serving", func() {
			t.Logf("%d of %d served at the first attempt", served, requests)
			So(served, ShouldBeGreaterThan, requests*9/10)
		})
	})
}
