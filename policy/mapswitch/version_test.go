package mapswitch

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/election"
	"persimmonwind.dev/policy/topology"
)

// Guards against versions that overflow or that do not rise with the fencing number.
func TestVersionsOfHigherNumbersAreLower(t *testing.T) {
	Convey("Versions rise with the fencing number up to that of a lease after the highest provisional one", t, func() {
		latest := int64(0)
		for _, fence := range []uint64{1, 2, 3, 1<<21 + 2, 1<<22 + 1, election.MaxNumber - 1, election.MaxNumber, election.MaxNumber + 1} {
			s := New(fence, 0)
			first := s.nextVersion()
			So(first, ShouldBeGreaterThan, latest)
			s.versionsMade = versionsPerFence - 2
			latest = s.nextVersion()
			So(latest, ShouldBeGreaterThan, first)
			So(s.hasSuccessorVersion(topology.RankState{MapVersion: latest}), ShouldBeFalse)
			successor := New(fence+1, 0)
			So(s.hasSuccessorVersion(topology.RankState{MapVersion: successor.nextVersion()}), ShouldBeTrue)
			So(successor.hasSuccessorVersion(topology.RankState{MapVersion: latest}), ShouldBeFalse)
		}
	})
}
