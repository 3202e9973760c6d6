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
			read.Asked = *now
			c.take(read, *now)
		}
		effects := c.pending
		c.pending = nil
		for _, effect := range effects {
			if give, ok := effect.(Give); ok {
				g.apply(give.Rank, give.Order)
				read := g.report(give.Rank)
				read.Asked = *now
				c.take(read, *now)
				c.take(Given{Rank: give.Rank}, *now)
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

// TestOneMapInEveryPass drives coordinators that sleep, die and succeed each
// other over a wire that loses reports and orders and carries orders out late.
func TestOneMapInEveryPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newModelGroup(rapid.IntRange(2, 4).Draw(t, "ranks"))
		w := &wire{group: g, fences: map[int]uint64{}}
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
			"crash": func(t *rapid.T) {
				if rapid.IntRange(0, 20).Draw(t, "crashes") == 0 {
					g.form()
				}
			},
		})
	})
}

// read asks all ranks through their agents, which refuse a succeeded caller.
func (w *wire) read(t *rapid.T, c *coordinate, now time.Time) {
	for rank := range w.group.ranks {
		if c.state.Fence < w.fences[rank] {
			continue
		}
		if rapid.IntRange(0, 9).Draw(t, "lost report") == 0 {
			continue
		}
		w.fences[rank] = c.state.Fence
		read := w.group.report(rank)
		read.Asked = now
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
		give, ok := effect.(Give)
		if !ok || give.Rank >= len(w.group.ranks) {
			continue
		}
		fenced := c.state.Fence < w.fences[give.Rank]
		bypasses := give.Order.Kind == topology.Prepare || give.Order.Kind == topology.Arm
		if fenced && !bypasses {
			continue // Only orders that copy or arm may go past an agent that is away.
		}
		switch rapid.IntRange(0, 4).Draw(t, "way") {
		case 0:
			w.late = append(w.late, lateOrder{rank: give.Rank, order: give.Order})
		case 1: // Lost.
		default:
			w.group.apply(give.Rank, give.Order)
			if !fenced {
				read := w.group.report(give.Rank)
				read.Asked = now
				c.take(read, now)
			}
		}
		if rapid.IntRange(0, 3).Draw(t, "call returns") > 0 {
			c.take(Given{Rank: give.Rank}, now)
		}
	}
}
