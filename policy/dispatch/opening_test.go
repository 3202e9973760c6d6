package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestGroupOpensWithBacklogAtHighSkew guards against passes over the pause, which made every
// stream late, when a group opened in a new epoch and all entries sent their backlogs at once.
func TestGroupOpensWithBacklogAtHighSkew(t *testing.T) {
	const closes, opens = 2 * time.Second, 4 * time.Second
	for seed := range uint64(3) {
		Convey("Given a group that opens after 2 s with a backlog at 14 entries and a skew of 3.4", t, func() {
			s := newSimulation(seed, 14, usualLoads(1))
			s.skew = func(time.Duration) float64 { return 3.4 }
			s.open = func(at time.Duration) bool { return at < closes || at >= opens }
			s.run(opens + 6*time.Second)
			share, number := s.share(opens+time.Second, opens+3*time.Second, anyRequest)
			longest := s.longestPass(opens, opens+3*time.Second)
			t.Logf("seed %d: on time %.3f of %d, longest pass %v", seed, share, number, longest)
			Convey("no pass takes longer than the pause, and half of the requests from the second second onwards are on time", func() {
				So(longest, ShouldBeLessThanOrEqualTo, simPause)
				So(share, ShouldBeGreaterThanOrEqualTo, 0.5)
			})
		})
	}
}
