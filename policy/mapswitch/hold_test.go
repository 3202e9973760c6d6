package mapswitch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/topology"
)

func TestPredecessorHoldDuringRelease(t *testing.T) {
	Convey("Given a change that all ranks are armed for", t, func() {
		g, c, now := newModelGroup(4), newModelCoordinator(2, 1), start
		So(runRounds(g, c, &now, 4, nil), ShouldBeNil)
		c.plan(now)
		for range 20 {
			if c.state.Phase == Holding {
				break
			}
			So(runRounds(g, c, &now, 1, nil), ShouldBeNil)
		}
		So(runRounds(g, c, &now, 1, nil), ShouldBeNil) // The hold is in place.
		now = now.Add(50 * time.Millisecond)
		readRanks(g, c, now)
		So(c.state.Phase, ShouldEqual, Arming)

		Convey("a hold that a predecessor sets on an earlier pass does not stop the group", func() {
			So(c.state.Hold.Pass, ShouldBeGreaterThan, g.pass)
			g.apply(3, topology.Order{Kind: topology.Hold, Epoch: g.epoch, Pass: g.pass + 1})
			before := g.pass
			So(runRounds(g, c, &now, 20, nil), ShouldBeNil)
			So(g.pass, ShouldBeGreaterThan, before+5)
			So(c.state.Phase, ShouldEqual, Idle)
		})

		Convey("a hold that a predecessor sets on a later pass does not stop the group", func() {
			g.apply(3, topology.Order{Kind: topology.Hold, Epoch: g.epoch, Pass: c.state.Hold.Pass + 1})
			before := g.pass
			So(runRounds(g, c, &now, 30, nil), ShouldBeNil)
			So(g.pass, ShouldBeGreaterThan, before+5)
		})
	})
}

func TestDelayedReleaseOfHeldPass(t *testing.T) {
	Convey("Given a stalled group whose hold was released, and a duplicate of the release order still in flight", t, func() {
		g, c, now := newModelGroup(4), newModelCoordinator(1, 0), start
		So(runRounds(g, c, &now, 4, nil), ShouldBeNil)
		heldPass := g.pass + 1
		g.apply(0, topology.Order{Kind: topology.Hold, Epoch: g.epoch, Pass: heldPass})
		second := newModelCoordinator(2, 0)
		var delayedRelease topology.Order
		for range 40 {
			now = now.Add(50 * time.Millisecond)
			readRanks(g, second, now)
			for _, effect := range second.pending {
				if send, ok := effect.(SendOrder); ok {
					g.apply(send.Rank, send.Order)
					if send.Order.Kind == topology.Release {
						delayedRelease = send.Order
					}
				}
			}
			second.pending = nil
		}
		So(delayedRelease.Pass, ShouldEqual, heldPass)
		So(g.ranks[0].heldPass, ShouldEqual, 0)

		Convey("neither the coordinator nor its successor holds that pass again", func() {
			second.plan(now)
			third := newModelCoordinator(3, 0)
			for _, c := range []*modelCoordinator{second, third} {
				for range 40 {
					now = now.Add(50 * time.Millisecond)
					readRanks(g, c, now)
					if c == third && c.planCount == 0 {
						c.plan(now)
					}
					for _, effect := range c.pending {
						if send, ok := effect.(SendOrder); ok {
							if send.Order.Kind == topology.Hold {
								So(send.Order.Pass, ShouldBeGreaterThan, heldPass)
							}
							g.apply(send.Rank, send.Order)
						}
					}
					c.pending = nil
				}
				So(c.planCount, ShouldEqual, 1)
				// The coordinator's hold is left in place; release it so that the next
				// coordinator finds none.
				for _, r := range g.ranks {
					r.heldPass = 0
				}
			}
		})
	})
}

func TestMachineThatStopsWithTheHold(t *testing.T) {
	Convey("Given a change whose hold has been ordered", t, func() {
		g, c, now := newModelGroup(4), newModelCoordinator(1, 0), start
		So(runRounds(g, c, &now, 4, nil), ShouldBeNil)
		c.plan(now)
		for range 20 {
			if c.state.Phase == Holding {
				break
			}
			for _, effect := range c.pending {
				if send, ok := effect.(SendOrder); ok {
					g.apply(send.Rank, g.expand(send))
				}
			}
			c.pending = nil
			now = now.Add(20 * time.Millisecond)
			readRanks(g, c, now)
		}
		So(c.state.Phase, ShouldEqual, Holding)
		order := c.pending[len(c.pending)-1].(SendOrder)
		So(order.Order.Kind, ShouldEqual, topology.Hold)

		Convey("the order is sent through a third machine", func() {
			So(order.SenderRank, ShouldNotEqual, order.Rank)
			So(order.SenderRank, ShouldNotEqual, 0)
			So(order.Rank, ShouldNotEqual, 0)
		})

		checkGroupContinues := func() {
			c.pending = nil
			readOthers := func() {
				for rank := range g.ranks {
					if rank != order.SenderRank {
						read := g.report(rank)
						read.RequestedAt = now
						c.handle(read, now)
					}
				}
			}
			for range 50 {
				now = now.Add(20 * time.Millisecond)
				readOthers()
				for _, effect := range c.pending {
					if send, ok := effect.(SendOrder); ok {
						So(send.Order.Kind, ShouldBeIn, topology.Hold, topology.Release)
						if send.Order.Kind == topology.Release {
							g.apply(send.Rank, send.Order)
						}
					}
				}
				c.pending = nil
				So(g.beginPass(), ShouldBeNil)
			}
			So(g.pass, ShouldBeGreaterThan, 40)
			So(c.state.Phase, ShouldNotEqual, Arming)
			So(runRounds(g, c, &now, 40, nil), ShouldBeNil)
			So(g.ranks[0].version, ShouldBeGreaterThan, 0)
		}
		Convey("if that machine replies and then stops, the group continues, and no pass is held until the machine answers again", func() {
			g.apply(order.Rank, order.Order)
			c.handle(OrderReturned{Rank: order.Rank, Kind: topology.Hold, Answered: true}, now)
			checkGroupContinues()
		})
		Convey("if that machine stops just after it has been read, the group continues as well", func() {
			g.apply(order.Rank, order.Order)
			c.handle(OrderReturned{Rank: order.Rank, Kind: topology.Hold, Answered: true}, now)
			now = now.Add(time.Millisecond)
			readRanks(g, c, now)
			So(c.state.Phase, ShouldEqual, Holding)
			checkGroupContinues()
		})
		Convey("if that machine keeps running, it is read again, and the ranks are armed", func() {
			g.apply(order.Rank, order.Order)
			c.handle(OrderReturned{Rank: order.Rank, Kind: topology.Hold, Answered: true}, now)
			c.pending = nil
			now = now.Add(holdSettleTime)
			read := g.report(order.Rank)
			read.RequestedAt = now
			c.handle(read, now)
			So(c.pending, ShouldResemble, []reduce.Effect{ReadRank{Rank: order.SenderRank}})
			now = now.Add(time.Millisecond)
			readRanks(g, c, now)
			So(c.state.Phase, ShouldEqual, Arming)
		})
	})
	Convey("Given a rank that cannot be read while others copy", t, func() {
		g, c, now := newModelGroup(4), newModelCoordinator(1, 0), start
		So(runRounds(g, c, &now, 4, nil), ShouldBeNil)
		c.state.readAgeLimitOverride = 200 * time.Millisecond
		c.plan(now)
		for range 20 {
			now = now.Add(20 * time.Millisecond)
			for rank := range 3 {
				read := g.report(rank)
				read.State.Prepared, read.RequestedAt = c.state.Version, now
				c.handle(read, now)
			}
		}
		read := g.report(3)
		read.State.Prepared, read.RequestedAt = c.state.Version, now.Add(-time.Second)
		c.handle(read, now)
		Convey("no pass is held", func() { So(c.state.Phase, ShouldEqual, Preparing) })
	})
}

func TestFirstChangeInEpochHoldsNearPass(t *testing.T) {
	Convey("The first change of an epoch holds one of the next passes", t, func() {
		g, c, now := newModelGroup(4), newModelCoordinator(1, 0), start
		So(runRounds(g, c, &now, 4, nil), ShouldBeNil)
		c.plan(now)
		before := g.pass
		So(runRounds(g, c, &now, 6, nil), ShouldBeNil)
		So(g.ranks[0].version, ShouldBeGreaterThan, 0)
		So(c.state.Hold.Pass-before, ShouldBeLessThanOrEqualTo, 4)

		Convey("the first change of a successor holds no pass that its predecessor may have released", func() {
			second := newModelCoordinator(2, 1)
			So(runRounds(g, second, &now, 4, nil), ShouldBeNil)
			read := g.pass
			second.plan(now)
			So(runRounds(g, second, &now, 20, nil), ShouldBeNil)
			So(second.state.Hold.Pass, ShouldBeGreaterThan, read+1)
		})
	})
}
