package topology

import (
	"math"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against sending requests to a service that has no share of its route.
func TestTargetsWithoutAShare(t *testing.T) {
	Convey("A target without a weight is never picked", t, func() {
		targets := func(weights ...int) Route {
			route := Route{}
			for i, weight := range weights {
				route.Targets = append(route.Targets, Target{Service: string(rune('a' + i)), Weight: weight})
			}
			return route
		}
		for _, c := range []struct {
			route   Route
			allowed string
		}{{targets(), ""}, {targets(0), ""}, {targets(0, 0), ""}, {targets(1, 0), "a"}, {targets(0, 1), "b"}, {targets(2, 0, 1, 0), "ac"}, {targets(-1, 1), "b"}} {
			for _, random := range []float64{0, 0.3, 0.7, math.Nextafter(1, 0)} {
				picked := c.route.PickService(random)
				So(picked == "" && c.allowed == "" || picked != "" && strings.Contains(c.allowed, picked), ShouldBeTrue)
			}
		}
	})
}
