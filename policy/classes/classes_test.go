package classes

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestAbsentHugeAndInventedPriorities guards against a level or share outside its range for a
// priority that no route has.
func TestAbsentHugeAndInventedPriorities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var routes []Route
		for _, priority := range rapid.SliceOfN(rapid.Int(), 0, 6).Draw(t, "priorities") {
			routes = append(routes, Route{Priority: priority})
		}
		table := NewTable(routes)
		asked := rapid.Int().Draw(t, "asked")
		level := table.Level(asked)
		if level < 0 || level >= table.Levels() {
			t.Fatalf("level %d of %d", level, table.Levels())
		}
		for _, route := range routes {
			if route.Priority < asked && table.Level(route.Priority) > level {
				t.Fatalf("priority %d is more urgent than the lower %d", asked, route.Priority)
			}
		}
		share := table.Share(level, &Demand{}, rapid.Bool().Draw(t, "informed"), start)
		if share < lastLevelShare-1e-9 || share > 1 {
			t.Fatalf("share %v", share)
		}
	})
}

// TestReserveOfLevelWithoutDemand guards against capacity that stays unused because it is
// reserved for a level that sends nothing.
func TestReserveOfLevelWithoutDemand(t *testing.T) {
	table := NewTable([]Route{{Priority: 0}, {Priority: 1}, {Priority: 2}})
	Convey("Shares decrease evenly while all levels have demand", t, func() {
		var demand Demand
		for level, expected := range []float64{1, 0.9, 0.8} {
			So(table.Share(level, &demand, true, start), ShouldAlmostEqual, expected)
		}
		Convey("a level without requests for the window releases its reserve", func() {
			later := start.Add(DemandWindow)
			demand.Observe(1, later)
			So(table.Share(2, &demand, true, later), ShouldAlmostEqual, 0.9)
			So(table.Share(1, &demand, true, later), ShouldAlmostEqual, 1)
			Convey("but not if the load of the group is unknown", func() {
				So(table.Share(2, &demand, false, later), ShouldAlmostEqual, 0.8)
			})
		})
	})
	Convey("A service whose routes do not differ, or that has none, is not enabled", t, func() {
		So(NewTable(nil).Enabled(), ShouldBeFalse)
		So(NewTable([]Route{{1, time.Second}, {1, time.Second}}).Enabled(), ShouldBeFalse)
		So(NewTable([]Route{{1, time.Second}, {1, time.Minute}}).Enabled(), ShouldBeTrue)
	})
}

// TestOrganisationsWithOnePriority guards against routes that lose their urgency because all
// organisations have the same priority, which goes before that of the route.
func TestOrganisationsWithOnePriority(t *testing.T) {
	table := NewTable([]Route{{Priority: 0}, {Priority: 1}, {Priority: 2}}).Combined([]int{1, 1, 0})
	Convey("The organisation's priority decides first, then the route's", t, func() {
		So(table.Enabled(), ShouldBeTrue)
		previous := -1
		for _, organisation := range []int{0, 1} {
			for route := range 3 {
				level := table.Level(Combine(organisation, route))
				So(level, ShouldBeGreaterThan, previous)
				previous = level
			}
		}
	})
	Convey("A request of an organisation without a priority has its route's in its place", t, func() {
		So(table.Level(Combine(1, 1)), ShouldBeLessThan, table.Level(Combine(2, 2)))
	})
	Convey("Huge and negative priorities gain nothing beyond the first and last level", t, func() {
		So(table.Level(Combine(-5, -5)), ShouldEqual, 0)
		So(table.Level(Combine(1<<62, 1<<62)), ShouldEqual, table.Levels()-1)
	})
}
