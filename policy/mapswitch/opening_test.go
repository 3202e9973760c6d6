package mapswitch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/topology"
)

func TestGroupOpensWithTheInitialMap(t *testing.T) {
	Convey("Given a group that opens, of which no lists are read", t, func() {
		g, c := newModelGroup(4), newModelCoordinator(1, 0)
		read := func(rank int, change func(*RankRead)) {
			report := g.report(rank)
			report.RequestedAt, report.Lists = start, topology.RankLists{}
			if change != nil {
				change(&report)
			}
			c.handle(report, start)
		}
		opened := GroupOpened{Epoch: g.epoch, Rank: 2, Sets: 2, Experts: 4}

		Convey("a coordinator that knows the model is idle once it has read all ranks, with the initial map", func() {
			c.handle(opened, start)
			for rank := range g.ranks {
				So(c.state.Phase, ShouldEqual, Survey)
				read(rank, nil)
			}
			So(c.state.Phase, ShouldEqual, Idle)
			So(c.state.Current, ShouldResemble, InTurn(Shape{Sets: 2, Experts: 4, Ranks: 4}))
			So(c.state.UsesInitialMap(), ShouldBeTrue)
			holder, sender := c.state.HoldRanks()
			So([]int{holder, sender}, ShouldResemble, []int{3, 0}) // Beside the rank that the group gave the coordinator.

			Convey("its plan takes effect, and the map is no longer the initial one", func() {
				now := start
				c.plan(now)
				So(runRounds(g, c, &now, 20, nil), ShouldBeNil)
				So(g.ranks[0].version, ShouldBeGreaterThan, 0)
				So(c.state.UsesInitialMap(), ShouldBeFalse)
			})
		})
		Convey("a coordinator that does not know the model needs the lists", func() {
			for rank := range g.ranks {
				read(rank, nil)
			}
			So(c.state.Phase, ShouldEqual, Survey)
		})
		Convey("the lists are needed if a rank shows that a change has begun, or none was read by its agent", func() {
			for _, change := range []func(*RankRead){
				func(r *RankRead) { r.State.MapVersion = 5 },
				func(r *RankRead) { r.State.Prepared = 5 },
				func(r *RankRead) { r.AgentUnreachable = true },
			} {
				c = newModelCoordinator(1, 0)
				c.handle(opened, start)
				for rank := range g.ranks {
					read(rank, change)
				}
				So(c.state.Phase, ShouldEqual, Survey)
			}
		})
		Convey("an opening of an earlier epoch is ignored", func() {
			g.startEpoch()
			read(0, nil)
			c.handle(opened, start)
			So(c.state.ownRank, ShouldEqual, 0)
		})
	})
}

func TestLeadOfTheFirstChange(t *testing.T) {
	Convey("The first change of an epoch waits for no pass that would run with the initial map without need", t, func() {
		timing := passTiming{pass: 2, passAt: start, passTime: 203 * time.Millisecond}
		So(timing.soonestLead(63, start.Add(30*time.Millisecond)), ShouldEqual, 1)
		So(timing.soonestLead(63, start.Add(180*time.Millisecond)), ShouldEqual, 2)
		So(timing.soonestLead(63, start.Add(time.Second)), ShouldEqual, 2)
		So(timing.lead(63), ShouldEqual, 2)
		timing.armTime = 300 * time.Millisecond
		So(timing.soonestLead(63, start), ShouldEqual, 2)
		So(timing.soonestLead(63, start.Add(200*time.Millisecond)), ShouldEqual, 3)
		So(timing.soonestLead(1000, start.Add(time.Second)), ShouldBeLessThan, maxPassLead)
		So((&passTiming{}).soonestLead(63, start), ShouldEqual, 1)
	})
	Convey("Only the first change of an epoch that the coordinator has seen open is hurried", t, func() {
		g, c, now := newModelGroup(4), newModelCoordinator(1, 0), start
		So(runRounds(g, c, &now, 4, nil), ShouldBeNil)
		So(c.state.replacesInitialMap(), ShouldBeFalse)
		c.handle(GroupOpened{Epoch: g.epoch, Sets: 2, Experts: 4}, now)
		So(c.state.replacesInitialMap(), ShouldBeTrue)
		c.plan(now)
		So(runRounds(g, c, &now, 20, nil), ShouldBeNil)
		So(c.state.replacesInitialMap(), ShouldBeFalse)
	})
}

// TestOneMapInEveryPassFromAKnownInitialMap is TestOneMapInEveryPass with coordinators
// that don't read the lists of ranks which use the initial map.
func TestOneMapInEveryPassFromAKnownInitialMap(t *testing.T) {
	modelKnowsInitialMap = true
	defer func() { modelKnowsInitialMap = false }()
	TestOneMapInEveryPass(t)
}
