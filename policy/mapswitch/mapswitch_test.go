package mapswitch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/topology"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// runRounds lets one coordinator work on a calm group for a number of rounds.
func runRounds(g *modelGroup, c *modelCoordinator, now *time.Time, rounds int, each func(int)) error {
	for round := range rounds {
		*now = now.Add(50 * time.Millisecond)
		for rank := range g.ranks {
			read := g.report(rank)
			read.RequestedAt = *now
			c.handle(read, *now)
		}
		effects := c.pending
		c.pending = nil
		for _, effect := range effects {
			if send, ok := effect.(SendOrder); ok {
				g.apply(send.Rank, g.expand(send))
				read := g.report(send.Rank)
				read.RequestedAt = *now
				c.handle(read, *now)
				c.handle(OrderReturned{Rank: send.Rank, Kind: send.Order.Kind, Answered: true}, *now)
			}
		}
		if err := g.beginPass(); err != nil {
			return err
		}
		if each != nil {
			each(round)
		}
	}
	return nil
}

func TestMapChange(t *testing.T) {
	Convey("Given a calm group and one coordinator", t, func() {
		g, c, now := newModelGroup(4), newModelCoordinator(1, 0), start
		So(runRounds(g, c, &now, 4, nil), ShouldBeNil)
		So(c.state.Phase, ShouldEqual, Idle)

		Convey("a planned map comes in force at all ranks in one pass", func() {
			c.plan(now)
			So(runRounds(g, c, &now, 20, nil), ShouldBeNil)
			So(c.state.Phase, ShouldEqual, Idle)
			for _, r := range g.ranks {
				So(r.version, ShouldEqual, g.ranks[0].version)
				So(r.version, ShouldBeGreaterThan, 0)
				So(r.held, ShouldEqual, 0)
			}
		})

		Convey("a second change follows the first", func() {
			for range 5 {
				c.plan(now)
				So(runRounds(g, c, &now, 20, nil), ShouldBeNil)
			}
			So(c.plans, ShouldEqual, 5)
		})

		Convey("a hold that takes effect late is released again", func() {
			g.apply(0, topology.Order{Kind: topology.Hold, Epoch: g.epoch, Pass: g.pass + 3})
			before := g.pass
			So(runRounds(g, c, &now, 20, nil), ShouldBeNil)
			So(g.pass, ShouldBeGreaterThan, before+10)
		})

		Convey("a new epoch in the middle of a change starts over", func() {
			c.plan(now)
			So(runRounds(g, c, &now, 2, nil), ShouldBeNil)
			g.startEpoch()
			So(runRounds(g, c, &now, 10, nil), ShouldBeNil)
			So(c.state.Phase, ShouldEqual, Idle)
			So(c.state.Epoch, ShouldEqual, 2)
		})
	})
}

func TestCoordinatorDiesDuringChange(t *testing.T) {
	// The predecessor dies after each possible number of rounds of a change.
	for rounds := range 12 {
		Convey("Given a coordinator that died in the middle of a change", t, func() {
			g, first, now := newModelGroup(4), newModelCoordinator(1, 0), start
			So(runRounds(g, first, &now, 4, nil), ShouldBeNil)
			first.plan(now)
			So(runRounds(g, first, &now, rounds, nil), ShouldBeNil)

			Convey("its successor finishes or gives up the change, and the group goes on", func() {
				second := newModelCoordinator(2, 1)
				So(runRounds(g, second, &now, 20, nil), ShouldBeNil)
				So(second.state.Phase, ShouldEqual, Idle)
				before := g.pass
				second.plan(now)
				So(runRounds(g, second, &now, 20, nil), ShouldBeNil)
				So(g.pass, ShouldBeGreaterThan, before+10)
				So(g.ranks[0].version, ShouldBeGreaterThan, 2*versionsPerFence)
			})
		})
	}
}

// A predecessor whose calls to agents fail, but which still reaches the engines,
// reads its successor's versions.
func TestSupersededCoordinatorReadsEnginesDirectly(t *testing.T) {
	Convey("Given a coordinator that has been succeeded without having heard of it", t, func() {
		g, first, now := newModelGroup(4), newModelCoordinator(1, 0), start
		So(runRounds(g, first, &now, 4, nil), ShouldBeNil)
		second := newModelCoordinator(2, 1)
		So(runRounds(g, second, &now, 4, nil), ShouldBeNil)
		second.plan(now)
		So(runRounds(g, second, &now, 20, nil), ShouldBeNil)
		So(g.ranks[0].version, ShouldBeGreaterThan, 2*versionsPerFence)

		Convey("it makes no version of its successor's when it reads the engines", func() {
			for rank := range g.ranks {
				read := g.report(rank)
				read.RequestedAt = now
				first.handle(read, now)
			}
			first.plan(now)
			for _, effect := range first.pending {
				if send, ok := effect.(SendOrder); ok {
					So(send.Order.Version, ShouldBeLessThan, 2*versionsPerFence)
				}
			}
			So(first.pending[len(first.pending)-1], ShouldHaveSameTypeAs, Superseded{})
			So(first.state.Phase, ShouldNotEqual, Preparing)
		})
	})
}

// readRanks lets the coordinator read all ranks.
func readRanks(g *modelGroup, c *modelCoordinator, now time.Time) {
	for rank := range g.ranks {
		read := g.report(rank)
		read.RequestedAt = now
		c.handle(read, now)
	}
}

func TestRankArmedByPredecessorAfterSurvey(t *testing.T) {
	Convey("Given a successor that has found a hold and no armed rank", t, func() {
		g, first, now := newModelGroup(4), newModelCoordinator(1, 0), start
		So(runRounds(g, first, &now, 4, nil), ShouldBeNil)
		first.plan(now)
		prepare := first.pending[len(first.pending)-1].(SendOrder).Order
		for rank := range g.ranks {
			g.apply(rank, prepare)
		}
		held := g.pass + 1
		g.apply(0, topology.Order{Kind: topology.Hold, Epoch: g.epoch, Pass: held})
		second := newModelCoordinator(2, 1)
		readRanks(g, second, now)
		So(second.state.Phase, ShouldEqual, Fencing)

		Convey("a rank that its predecessor arms meanwhile does not keep the group from running", func() {
			arm := topology.Order{Kind: topology.Arm, Epoch: g.epoch, Version: prepare.Version, Pass: held}
			g.apply(2, arm)
			So(runRounds(g, second, &now, 20, nil), ShouldBeNil)
			So(g.pass, ShouldBeGreaterThan, held+5)
			So(second.state.Phase, ShouldEqual, Idle)

			Convey("and a late order to arm has no effect", func() {
				g.apply(2, arm)
				So(g.ranks[2].armed, ShouldEqual, 0)
			})
		})

		Convey("nor does one that it arms after others have the fencing version", func() {
			for _, effect := range second.pending {
				if send, ok := effect.(SendOrder); ok && send.Rank != 2 {
					g.apply(send.Rank, send.Order)
				}
			}
			second.pending = nil
			g.apply(2, topology.Order{Kind: topology.Arm, Epoch: g.epoch, Version: prepare.Version, Pass: held})
			So(runRounds(g, second, &now, 30, nil), ShouldBeNil)
			So(g.pass, ShouldBeGreaterThan, held+5)
			So(second.state.Phase, ShouldEqual, Idle)

			Convey("also for a third coordinator", func() {
				third := newModelCoordinator(3, 3)
				So(runRounds(g, third, &now, 30, nil), ShouldBeNil)
				So(third.state.Phase, ShouldEqual, Idle)
			})
		})
	})
}

func TestStaleReportOfMapInUse(t *testing.T) {
	Convey("Given a group that has changed its map twice", t, func() {
		g, c, now := newModelGroup(4), newModelCoordinator(1, 0), start
		So(runRounds(g, c, &now, 4, nil), ShouldBeNil)
		for range 2 {
			c.plan(now)
			So(runRounds(g, c, &now, 20, nil), ShouldBeNil)
			So(c.state.Phase, ShouldEqual, Idle)
		}
		first := int64(versionsPerFence + 1)

		Convey("a report from afar that shows the map before does not change what the next one builds on", func() {
			lagging := g.report(2)
			lagging.State.MapVersion, lagging.Direct, lagging.RequestedAt = first, true, now
			c.handle(lagging, now)
			c.plan(now)
			So(runRounds(g, c, &now, 20, nil), ShouldBeNil)
			So(c.state.Phase, ShouldEqual, Idle)
			So(g.ranks[2].version, ShouldEqual, versionsPerFence+3)
			So(g.ranks[2].content[g.ranks[2].version], ShouldEqual, g.ranks[0].content[g.ranks[0].version])
		})
	})
}

// TestOneMapInEveryPass drives coordinators that sleep, die and succeed each
// other over a wire that loses reports and orders and carries orders out late. A
// last coordinator then finds the group in whatever state it is and must get it
// to run.
func TestOneMapInEveryPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newModelGroup(rapid.IntRange(2, 4).Draw(t, "ranks"))
		w := &lossyNetwork{group: g, fences: map[int]uint64{}}
		w.refreshStaleReports()
		coordinators := []*modelCoordinator{newModelCoordinator(1, 0)}
		now := start
		active := func() *modelCoordinator {
			// A predecessor that wakes acts on what it knew.
			return coordinators[rapid.IntRange(max(0, len(coordinators)-3), len(coordinators)-1).Draw(t, "coordinator")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
			},
			"pass": func(t *rapid.T) {
				if err := g.beginPass(); err != nil {
					t.Fatal(err)
				}
			},
			"read": func(*rapid.T) { w.read(t, active(), now) },
			"arrive": func(*rapid.T) {
				c := active()
				if len(c.delayedReports) > 0 {
					i := rapid.IntRange(0, len(c.delayedReports)-1).Draw(t, "report")
					read := c.delayedReports[i]
					c.delayedReports = append(c.delayedReports[:i], c.delayedReports[i+1:]...)
					c.handle(read, now)
				}
			},
			"lag":  func(*rapid.T) { w.refreshStaleReports() },
			"tick": func(*rapid.T) { active().handle(reduce.Tick{}, now) },
			"plan": func(*rapid.T) { active().plan(now) },
			"give": func(*rapid.T) { w.send(t, active(), now) },
			"late": func(t *rapid.T) {
				if len(w.delayed) > 0 {
					i := rapid.IntRange(0, len(w.delayed)-1).Draw(t, "late order")
					delayed := w.delayed[i]
					w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
					g.apply(delayed.rank, delayed.order)
				}
			},
			"succeed": func(t *rapid.T) {
				if rapid.IntRange(0, 5).Draw(t, "succeeds") == 0 {
					coordinators = append(coordinators, newModelCoordinator(uint64(len(coordinators)+1), rapid.IntRange(0, len(g.ranks)-1).Draw(t, "rank")))
				}
			},
			"restart an agent": func(t *rapid.T) {
				// It forgets which coordinators it has heard of; one beside it dies too.
				if rapid.IntRange(0, 3).Draw(t, "restarts") == 0 {
					rank := rapid.IntRange(0, len(g.ranks)-1).Draw(t, "rank")
					delete(w.fences, rank)
					for i, c := range coordinators {
						if c.state.ownRank == rank && i < len(coordinators)-1 {
							c.state.superseded = true
							c.pending = nil
						}
					}
				}
			},
			"crash": func(t *rapid.T) {
				if rapid.IntRange(0, 20).Draw(t, "crashes") == 0 {
					g.startEpoch()
				}
			},
		})
		last := newModelCoordinator(uint64(len(coordinators)+1), 0)
		if err := runRounds(g, last, &now, 60, nil); err != nil {
			t.Fatal(err)
		}
		before := g.pass
		if err := runRounds(g, last, &now, 10, nil); err != nil {
			t.Fatal(err)
		}
		if g.pass != before+10 {
			t.Fatalf("the group rests before pass %d under a coordinator in phase %v: %s", g.pass+1, last.state.Phase, g)
		}
	})
}

// refreshStaleReports lets the reports that are read from afar catch up.
func (w *lossyNetwork) refreshStaleReports() {
	w.staleReports = w.staleReports[:0]
	for rank := range w.group.ranks {
		w.staleReports = append(w.staleReports, w.group.report(rank))
	}
}

// read asks all ranks through their agents, which refuse a succeeded caller, or
// the engine itself where an agent is away.
func (w *lossyNetwork) read(t *rapid.T, c *modelCoordinator, now time.Time) {
	for rank := range w.group.ranks {
		away := rapid.IntRange(0, 4).Draw(t, "agent away") == 0
		if !away && c.state.Fence < w.fences[rank] {
			continue
		}
		if rapid.IntRange(0, 9).Draw(t, "lost report") == 0 {
			continue
		}
		read := w.group.report(rank)
		if away {
			// The engine itself is read, which tells what was true a while ago.
			read, read.Direct = w.staleReports[rank], true
		} else {
			w.fences[rank] = c.state.Fence
		}
		read.RequestedAt = now
		if rapid.IntRange(0, 3).Draw(t, "slow report") == 0 {
			c.delayedReports = append(c.delayedReports, read)
			continue
		}
		c.handle(read, now)
	}
}

// send passes one pending order on, loses it, or carries it out late.
func (w *lossyNetwork) send(t *rapid.T, c *modelCoordinator, now time.Time) {
	effects := c.pending
	c.pending = nil
	for _, effect := range effects {
		send, ok := effect.(SendOrder)
		if !ok || send.Rank >= len(w.group.ranks) {
			continue
		}
		fenced := c.state.Fence < w.fences[send.Through]
		away := rapid.IntRange(0, 4).Draw(t, "agent away") == 0
		if (fenced || away) && (send.Order.Kind == topology.Hold || send.Order.Kind == topology.Release) {
			continue // All other orders may go past an agent that is away.
		}
		switch rapid.IntRange(0, 4).Draw(t, "way") {
		case 0:
			w.delayed = append(w.delayed, delayedOrder{rank: send.Rank, order: w.group.expand(send)})
		case 1: // Lost.
		default:
			w.group.apply(send.Rank, w.group.expand(send))
			if !fenced && send.Through == send.Rank {
				read := w.group.report(send.Rank)
				read.RequestedAt = now
				c.handle(read, now)
			}
		}
		if rapid.IntRange(0, 3).Draw(t, "call returns") > 0 {
			c.handle(OrderReturned{Rank: send.Rank, Kind: send.Order.Kind, Answered: rapid.Bool().Draw(t, "answered")}, now)
		}
	}
}
