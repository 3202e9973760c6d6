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

// settleAll lets one coordinator work on a calm group for a number of rounds.
func settleAll(g *modelGroup, c *coordinate, now *time.Time, rounds int, each func(int)) error {
	for round := range rounds {
		*now = now.Add(50 * time.Millisecond)
		for rank := range g.ranks {
			read := g.report(rank)
			read.RequestedAt = *now
			c.take(read, *now)
		}
		effects := c.pending
		c.pending = nil
		for _, effect := range effects {
			if give, ok := effect.(SendOrder); ok {
				g.apply(give.Rank, g.expand(give))
				read := g.report(give.Rank)
				read.RequestedAt = *now
				c.take(read, *now)
				c.take(OrderReturned{Rank: give.Rank, Kind: give.Order.Kind, Answered: true}, *now)
			}
		}
		if err := g.begin(); err != nil {
			return err
		}
		if each != nil {
			each(round)
		}
	}
	return nil
}

func TestChange(t *testing.T) {
	Convey("Given a calm group and one coordinator", t, func() {
		g, c, now := newModelGroup(4), newCoordinate(1, 0), start
		So(settleAll(g, c, &now, 4, nil), ShouldBeNil)
		So(c.state.Phase, ShouldEqual, Idle)

		Convey("a planned map comes in force at all ranks in one pass", func() {
			c.plan(now)
			So(settleAll(g, c, &now, 20, nil), ShouldBeNil)
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
				So(settleAll(g, c, &now, 20, nil), ShouldBeNil)
			}
			So(c.plans, ShouldEqual, 5)
		})

		Convey("a hold that takes effect late is released again", func() {
			g.apply(0, topology.Order{Kind: topology.Hold, Epoch: g.epoch, Pass: g.pass + 3})
			before := g.pass
			So(settleAll(g, c, &now, 20, nil), ShouldBeNil)
			So(g.pass, ShouldBeGreaterThan, before+10)
		})

		Convey("a new epoch in the middle of a change starts over", func() {
			c.plan(now)
			So(settleAll(g, c, &now, 2, nil), ShouldBeNil)
			g.form()
			So(settleAll(g, c, &now, 10, nil), ShouldBeNil)
			So(c.state.Phase, ShouldEqual, Idle)
			So(c.state.Epoch, ShouldEqual, 2)
		})
	})
}

func TestSuccession(t *testing.T) {
	// The predecessor dies after each possible number of rounds of a change.
	for rounds := range 12 {
		Convey("Given a coordinator that died in the middle of a change", t, func() {
			g, first, now := newModelGroup(4), newCoordinate(1, 0), start
			So(settleAll(g, first, &now, 4, nil), ShouldBeNil)
			first.plan(now)
			So(settleAll(g, first, &now, rounds, nil), ShouldBeNil)

			Convey("its successor finishes or gives up the change, and the group goes on", func() {
				second := newCoordinate(2, 1)
				So(settleAll(g, second, &now, 20, nil), ShouldBeNil)
				So(second.state.Phase, ShouldEqual, Idle)
				before := g.pass
				second.plan(now)
				So(settleAll(g, second, &now, 20, nil), ShouldBeNil)
				So(g.pass, ShouldBeGreaterThan, before+10)
				So(g.ranks[0].version, ShouldBeGreaterThan, 2*versionsPerFence)
			})
		})
	}
}

// A predecessor whose calls to agents fail, but which still reaches the engines,
// reads its successor's versions.
func TestSucceededWithoutWord(t *testing.T) {
	Convey("Given a coordinator that has been succeeded without having heard of it", t, func() {
		g, first, now := newModelGroup(4), newCoordinate(1, 0), start
		So(settleAll(g, first, &now, 4, nil), ShouldBeNil)
		second := newCoordinate(2, 1)
		So(settleAll(g, second, &now, 4, nil), ShouldBeNil)
		second.plan(now)
		So(settleAll(g, second, &now, 20, nil), ShouldBeNil)
		So(g.ranks[0].version, ShouldBeGreaterThan, 2*versionsPerFence)

		Convey("it makes no version of its successor's when it reads the engines", func() {
			for rank := range g.ranks {
				read := g.report(rank)
				read.RequestedAt = now
				first.take(read, now)
			}
			first.plan(now)
			for _, effect := range first.pending {
				if give, ok := effect.(SendOrder); ok {
					So(give.Order.Version, ShouldBeLessThan, 2*versionsPerFence)
				}
			}
			So(first.pending[len(first.pending)-1], ShouldHaveSameTypeAs, Superseded{})
			So(first.state.Phase, ShouldNotEqual, Preparing)
		})
	})
}

// readRanks lets the coordinator read all ranks.
func readRanks(g *modelGroup, c *coordinate, now time.Time) {
	for rank := range g.ranks {
		read := g.report(rank)
		read.RequestedAt = now
		c.take(read, now)
	}
}

func TestArmedAfterTheSurvey(t *testing.T) {
	Convey("Given a successor that has found a hold and no armed rank", t, func() {
		g, first, now := newModelGroup(4), newCoordinate(1, 0), start
		So(settleAll(g, first, &now, 4, nil), ShouldBeNil)
		first.plan(now)
		prepare := first.pending[len(first.pending)-1].(SendOrder).Order
		for rank := range g.ranks {
			g.apply(rank, prepare)
		}
		held := g.pass + 1
		g.apply(0, topology.Order{Kind: topology.Hold, Epoch: g.epoch, Pass: held})
		second := newCoordinate(2, 1)
		readRanks(g, second, now)
		So(second.state.Phase, ShouldEqual, Fencing)

		Convey("a rank that its predecessor arms meanwhile does not keep the group from running", func() {
			arm := topology.Order{Kind: topology.Arm, Epoch: g.epoch, Version: prepare.Version, Pass: held}
			g.apply(2, arm)
			So(settleAll(g, second, &now, 20, nil), ShouldBeNil)
			So(g.pass, ShouldBeGreaterThan, held+5)
			So(second.state.Phase, ShouldEqual, Idle)

			Convey("and a late order to arm has no effect", func() {
				g.apply(2, arm)
				So(g.ranks[2].armed, ShouldEqual, 0)
			})
		})

		Convey("nor does one that it arms after others have the fencing version", func() {
			for _, effect := range second.pending {
				if give, ok := effect.(SendOrder); ok && give.Rank != 2 {
					g.apply(give.Rank, give.Order)
				}
			}
			second.pending = nil
			g.apply(2, topology.Order{Kind: topology.Arm, Epoch: g.epoch, Version: prepare.Version, Pass: held})
			So(settleAll(g, second, &now, 30, nil), ShouldBeNil)
			So(g.pass, ShouldBeGreaterThan, held+5)
			So(second.state.Phase, ShouldEqual, Idle)

			Convey("also for a third coordinator", func() {
				third := newCoordinate(3, 3)
				So(settleAll(g, third, &now, 30, nil), ShouldBeNil)
				So(third.state.Phase, ShouldEqual, Idle)
			})
		})
	})
}

func TestLaggingReportOfTheMapInUse(t *testing.T) {
	Convey("Given a group that has changed its map twice", t, func() {
		g, c, now := newModelGroup(4), newCoordinate(1, 0), start
		So(settleAll(g, c, &now, 4, nil), ShouldBeNil)
		for range 2 {
			c.plan(now)
			So(settleAll(g, c, &now, 20, nil), ShouldBeNil)
			So(c.state.Phase, ShouldEqual, Idle)
		}
		first := int64(versionsPerFence + 1)

		Convey("a report from afar that shows the map before does not change what the next one builds on", func() {
			lagging := g.report(2)
			lagging.State.MapVersion, lagging.Direct, lagging.RequestedAt = first, true, now
			c.take(lagging, now)
			c.plan(now)
			So(settleAll(g, c, &now, 20, nil), ShouldBeNil)
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
		w := &wire{group: g, fences: map[int]uint64{}}
		w.lag()
		coordinates := []*coordinate{newCoordinate(1, 0)}
		now := start
		active := func() *coordinate {
			// A predecessor that wakes acts on what it knew.
			return coordinates[rapid.IntRange(max(0, len(coordinates)-3), len(coordinates)-1).Draw(t, "coordinator")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
			},
			"pass": func(t *rapid.T) {
				if err := g.begin(); err != nil {
					t.Fatal(err)
				}
			},
			"read": func(*rapid.T) { w.read(t, active(), now) },
			"arrive": func(*rapid.T) {
				c := active()
				if len(c.unread) > 0 {
					i := rapid.IntRange(0, len(c.unread)-1).Draw(t, "report")
					read := c.unread[i]
					c.unread = append(c.unread[:i], c.unread[i+1:]...)
					c.take(read, now)
				}
			},
			"lag":  func(*rapid.T) { w.lag() },
			"tick": func(*rapid.T) { active().take(reduce.Tick{}, now) },
			"plan": func(*rapid.T) { active().plan(now) },
			"give": func(*rapid.T) { w.give(t, active(), now) },
			"late": func(t *rapid.T) {
				if len(w.late) > 0 {
					i := rapid.IntRange(0, len(w.late)-1).Draw(t, "late order")
					late := w.late[i]
					w.late = append(w.late[:i], w.late[i+1:]...)
					g.apply(late.rank, late.order)
				}
			},
			"succeed": func(t *rapid.T) {
				if rapid.IntRange(0, 5).Draw(t, "succeeds") == 0 {
					coordinates = append(coordinates, newCoordinate(uint64(len(coordinates)+1), rapid.IntRange(0, len(g.ranks)-1).Draw(t, "rank")))
				}
			},
			"restart an agent": func(t *rapid.T) {
				// It forgets which coordinators it has heard of; one beside it dies too.
				if rapid.IntRange(0, 3).Draw(t, "restarts") == 0 {
					rank := rapid.IntRange(0, len(g.ranks)-1).Draw(t, "rank")
					delete(w.fences, rank)
					for i, c := range coordinates {
						if c.state.ownRank == rank && i < len(coordinates)-1 {
							c.state.succeeded = true
							c.pending = nil
						}
					}
				}
			},
			"crash": func(t *rapid.T) {
				if rapid.IntRange(0, 20).Draw(t, "crashes") == 0 {
					g.form()
				}
			},
		})
		last := newCoordinate(uint64(len(coordinates)+1), 0)
		if err := settleAll(g, last, &now, 60, nil); err != nil {
			t.Fatal(err)
		}
		before := g.pass
		if err := settleAll(g, last, &now, 10, nil); err != nil {
			t.Fatal(err)
		}
		if g.pass != before+10 {
			t.Fatalf("the group rests before pass %d under a coordinator in phase %v: %s", g.pass+1, last.state.Phase, g)
		}
	})
}

// lag lets the reports that are read from afar catch up.
func (w *wire) lag() {
	w.lagged = w.lagged[:0]
	for rank := range w.group.ranks {
		w.lagged = append(w.lagged, w.group.report(rank))
	}
}

// read asks all ranks through their agents, which refuse a succeeded caller, or
// the engine itself where an agent is away.
func (w *wire) read(t *rapid.T, c *coordinate, now time.Time) {
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
			read, read.Direct = w.lagged[rank], true
		} else {
			w.fences[rank] = c.state.Fence
		}
		read.RequestedAt = now
		if rapid.IntRange(0, 3).Draw(t, "slow report") == 0 {
			c.unread = append(c.unread, read)
			continue
		}
		c.take(read, now)
	}
}

// give passes one pending order on, loses it, or carries it out late.
func (w *wire) give(t *rapid.T, c *coordinate, now time.Time) {
	effects := c.pending
	c.pending = nil
	for _, effect := range effects {
		give, ok := effect.(SendOrder)
		if !ok || give.Rank >= len(w.group.ranks) {
			continue
		}
		fenced := c.state.Fence < w.fences[give.Through]
		away := rapid.IntRange(0, 4).Draw(t, "agent away") == 0
		if (fenced || away) && (give.Order.Kind == topology.Hold || give.Order.Kind == topology.Release) {
			continue // All other orders may go past an agent that is away.
		}
		switch rapid.IntRange(0, 4).Draw(t, "way") {
		case 0:
			w.late = append(w.late, lateOrder{rank: give.Rank, order: w.group.expand(give)})
		case 1: // Lost.
		default:
			w.group.apply(give.Rank, w.group.expand(give))
			if !fenced && give.Through == give.Rank {
				read := w.group.report(give.Rank)
				read.RequestedAt = now
				c.take(read, now)
			}
		}
		if rapid.IntRange(0, 3).Draw(t, "call returns") > 0 {
			c.take(OrderReturned{Rank: give.Rank, Kind: give.Order.Kind, Answered: rapid.Bool().Draw(t, "answered")}, now)
		}
	}
}
