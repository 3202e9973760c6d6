package expertmaps

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/planner"
)

func TestCompareSmallGroup(t *testing.T) {
	Convey("On a small group with day drift", t, func() {
		shape := planner.Shape{Ranks: 16, Slots: 5, Experts: 64, Layers: 2}
		results := comparePolicies(dayDrift, shape, 1)
		byName := map[string]policyResult{}
		for _, o := range results {
			byName[o.policy] = o
		}
		planned, unchanged := byName["incremental"], byName["never change"]

		Convey("the incremental planner has less skew than a fixed map", func() {
			So(mean(planned.skew), ShouldBeLessThan, mean(unchanged.skew))
		})
		Convey("it moves fewer experts than a plain recomputation", func() {
			So(sum(planned.moves), ShouldBeLessThan, sum(byName["recompute, plain"].moves))
		})
	})
}
