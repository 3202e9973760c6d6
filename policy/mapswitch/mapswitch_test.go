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

// runRounds runs one coordinator for a number of rounds on a group without faults. In
// each round the coordinator reads all ranks, its orders take effect and the group
// begins a pass; then each is called unless it is nil.
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
	Convey("Given a group without faults and one coordinator", t, func() {
		g, c, now := newModelGroup(4), newModelCoordinator(1, 0), start
		So(runRounds(g, c, &now, 4, nil), ShouldBeNil)
		So(c.state.Phase, ShouldEqual, Idle)

		Convey("a planned map takes effect at all ranks in one pass", func() {
			c.plan(now)
			So(runRounds(g, c, &now, 20, nil), ShouldBeNil)
			So(c.state.Phase, ShouldEqual, Idle)
			for _, r := range g.ranks {
				So(r.version, ShouldEqual, g.ranks[0].version)
				So(r.version, ShouldBeGreaterThan, 0)
				So(r.heldPass, ShouldEqual, 0)
			}
		})

		Convey("a second change follows the first", func() {
			for range 5 {
				c.plan(now)
				So(runRounds(g, c, &now, 20, nil), ShouldBeNil)
			}
			So(c.planCount, ShouldEqual, 5)
		})

		Convey("a hold that takes effect late is released again", func() {
			g.apply(0, topology.Order{Kind: topology.Hold, Epoch: g.epoch, Pass: g.pass + 3})
			before := g.pass
			So(runRounds(g, c, &now, 20, nil), ShouldBeNil)
			So(g.pass, ShouldBeGreaterThan, before+10)
		})

		Convey("a new epoch during a change restarts the survey", func() {
			c.plan(now)
			So(runRounds(g, c, &now, 2, nil), ShouldBeNil)
			g.startEpoch()
			So(runRounds(g, c, &now, 10, nil), ShouldBeNil)
			So(c.state.Phase, ShouldEqual, Idle)
			So(c.state.Epoch, ShouldEqual, 2)
		})
	})
}

func TestBatch(t *testing.T) {
	Convey("A batch of reports has the effects of its reports, with each order sent once", t, func() {
		g, c := newModelGroup(4), newModelCoordinator(1, 0)
		var reads []reduce.Event
		for rank := range g.ranks {
			read := g.report(rank)
			read.RequestedAt = start
			reads = append(reads, read)
		}
		c.handle(Batch{Events: reads}, start)
		So(c.state.Phase, ShouldEqual, Idle)
		c.pending = nil
		c.plan(start)
		orders := map[int]int{}
		c.handle(Batch{Events: reads}, start.Add(time.Millisecond))
		for _, effect := range c.pending {
			if send, ok := effect.(SendOrder); ok {
				orders[send.Rank]++
			}
		}
		So(orders, ShouldResemble, map[int]int{0: 1, 1: 1, 2: 1, 3: 1})
	})
}

func TestCoordinatorCrashesDuringChange(t *testing.T) {
	// Each case lets the first coordinator crash after another number of rounds of the
	// change.
	for rounds := range 12 {
		Convey("Given a coordinator that crashed during a change", t, func() {
			g, first, now := newModelGroup(4), newModelCoordinator(1, 0), start
			So(runRounds(g, first, &now, 4, nil), ShouldBeNil)
			first.plan(now)
			So(runRounds(g, first, &now, rounds, nil), ShouldBeNil)

			Convey("the next coordinator completes or abandons the change, and the group continues", func() {
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

// A superseded coordinator whose calls to agents fail, but which still reaches
// the engines, reads its successor's versions there. It must stop without
// creating a version with a number of its successor.
func TestSupersededCoordinatorReadsEnginesDirectly(t *testing.T) {
	Convey("Given a superseded coordinator that does not know of its successor", t, func() {
		g, first, now := newModelGroup(4), newModelCoordinator(1, 0), start
		So(runRounds(g, first, &now, 4, nil), ShouldBeNil)
		second := newModelCoordinator(2, 1)
		So(runRounds(g, second, &now, 4, nil), ShouldBeNil)
		second.plan(now)
		So(runRounds(g, second, &now, 20, nil), ShouldBeNil)
		So(g.ranks[0].version, ShouldBeGreaterThan, 2*versionsPerFence)

		Convey("it creates no version with its successor's number when it reads the engines", func() {
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

// readRanks passes the current reports of all ranks to the coordinator.
func readRanks(g *modelGroup, c *modelCoordinator, now time.Time) {
	for rank := range g.ranks {
		read := g.report(rank)
		read.RequestedAt = now
		c.handle(read, now)
	}
}

// Guards against two maps of one version: the number of a provisional coordinator may be
// won again in the next epoch.
func TestProvisionalCoordinatorGoesOnInALaterEpoch(t *testing.T) {
	Convey("Given a provisional coordinator with a plan", t, func() {
		g, now := newModelGroup(4), start
		c := modelCoordinatorOf(NewProvisional(3, 0, g.epoch), 1)
		So(runRounds(g, c, &now, 4, nil), ShouldBeNil)
		c.plan(now)
		So(c.state.Phase, ShouldEqual, Preparing)
		Convey("it puts the map in force", func() {
			So(runRounds(g, c, &now, 20, nil), ShouldBeNil)
			So(g.ranks[0].version, ShouldEqual, 3*versionsPerFence+1)
		})
		Convey("it stops at the first report of a later epoch and sends no order there", func() {
			g.startEpoch()
			c.pending = nil
			So(runRounds(g, c, &now, 1, func(int) { So(c.pending, ShouldBeEmpty) }), ShouldBeNil)
			read := g.report(1)
			c.handle(read, now)
			So(c.state.superseded, ShouldBeTrue)
			So(c.state.Epoch, ShouldEqual, g.epoch-1)
		})
		Convey("one that is elected late ignores the reports of earlier epochs", func() {
			late := modelCoordinatorOf(NewProvisional(3, 0, g.epoch+1), 2)
			readRanks(g, late, now)
			So(late.state.Ranks, ShouldBeEmpty)
		})
	})
}

func TestRankArmedByPredecessorAfterSurvey(t *testing.T) {
	Convey("Given a new coordinator that has found a held pass and no armed rank", t, func() {
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

		Convey("a rank that its predecessor arms meanwhile does not stop the group", func() {
			arm := topology.Order{Kind: topology.Arm, Epoch: g.epoch, Version: prepare.Version, Pass: held}
			g.apply(2, arm)
			So(runRounds(g, second, &now, 20, nil), ShouldBeNil)
			So(g.pass, ShouldBeGreaterThan, held+5)
			So(second.state.Phase, ShouldEqual, Idle)

			Convey("and an order of the predecessor to arm that arrives later has no effect", func() {
				g.apply(2, arm)
				So(g.ranks[2].armed, ShouldEqual, 0)
			})
		})

		Convey("a rank that its predecessor arms after others have prepared the fencing version does not stop the group", func() {
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

			Convey("a third coordinator becomes idle as well", func() {
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

		Convey("a stale report of the previous map does not change the base of the next change", func() {
			lagging := g.report(2)
			lagging.State.MapVersion, lagging.AgentUnreachable, lagging.RequestedAt = first, true, now
			c.handle(lagging, now)
			c.plan(now)
			So(runRounds(g, c, &now, 20, nil), ShouldBeNil)
			So(c.state.Phase, ShouldEqual, Idle)
			So(g.ranks[2].version, ShouldEqual, versionsPerFence+3)
			So(g.ranks[2].content[g.ranks[2].version], ShouldEqual, g.ranks[0].content[g.ranks[0].version])
		})
	})
}

// TestOneMapInEveryPass runs coordinators that pause, crash and supersede each
// other over a network that loses reports and orders and delivers orders late. A
// last coordinator then finds the group in an arbitrary state and must get it
// running again. Some coordinators hold a lease, others were elected for one epoch: their
// numbers are unique only there and may be lower than those of coordinators before them.
func TestOneMapInEveryPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newModelGroup(rapid.IntRange(2, 4).Draw(t, "ranks"))
		network := &lossyNetwork{group: g, fences: map[int]uint64{}}
		network.refreshStaleReports()
		coordinators := []*modelCoordinator{modelCoordinatorOf(New(2, 0), 0)}
		highest, lease := uint64(2), uint64(2)
		won := map[mapKey]bool{} // Numbers of provisional coordinators, by epoch.
		now := start
		active := func() *modelCoordinator {
			// A paused predecessor may resume and act on its old state.
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
			"read": func(*rapid.T) { network.read(t, active(), now) },
			"arrive": func(*rapid.T) {
				c := active()
				if len(c.delayedReports) > 0 {
					i := rapid.IntRange(0, len(c.delayedReports)-1).Draw(t, "report")
					read := c.delayedReports[i]
					c.delayedReports = append(c.delayedReports[:i], c.delayedReports[i+1:]...)
					c.handle(read, now)
				}
			},
			"lag":  func(*rapid.T) { network.refreshStaleReports() },
			"tick": func(*rapid.T) { active().handle(reduce.Tick{}, now) },
			"plan": func(*rapid.T) { active().plan(now) },
			"give": func(*rapid.T) { network.send(t, active(), now) },
			"late": func(t *rapid.T) {
				if len(network.delayed) > 0 {
					i := rapid.IntRange(0, len(network.delayed)-1).Draw(t, "delayed order")
					delayed := network.delayed[i]
					network.delayed = append(network.delayed[:i], network.delayed[i+1:]...)
					g.apply(delayed.rank, delayed.order)
				}
			},
			"succeed": func(t *rapid.T) {
				if rapid.IntRange(0, 5).Draw(t, "succeeds") == 0 {
					// An agent that acquires the lease may not know of a provisional coordinator.
					lease = rapid.SampledFrom([]uint64{lease + 2, max(lease+2, highest+highest%2)}).Draw(t, "lease")
					highest = max(highest, lease)
					coordinators = append(coordinators, modelCoordinatorOf(New(lease, rapid.IntRange(0, len(g.ranks)-1).Draw(t, "rank")), len(coordinators)))
				}
			},
			"elect": func(t *rapid.T) {
				if rapid.IntRange(0, 2).Draw(t, "elected") > 0 {
					return
				}
				// The candidate may be slow and the epoch over.
				epoch := max(1, g.epoch-int64(rapid.IntRange(0, 1).Draw(t, "epochs ago")))
				number := (highest + 1) | 1
				for below := rapid.IntRange(0, 3).Draw(t, "below"); below > 0 && number > 2; below-- {
					number -= 2
				}
				key := mapKey{epoch, int64(number)}
				if won[key] {
					return
				}
				won[key] = true
				highest = max(highest, number)
				rank := rapid.IntRange(0, len(g.ranks)-1).Draw(t, "rank")
				coordinators = append(coordinators, modelCoordinatorOf(NewProvisional(number, rank, epoch), len(coordinators)))
				for voter := range g.ranks {
					if rapid.Bool().Draw(t, "voted") {
						network.fences[voter] = max(network.fences[voter], number)
					}
				}
			},
			"progress": func(t *rapid.T) {
				// Rounds with few faults bring changes far enough for coordinators to get in
				// each other's way.
				c := active()
				for range rapid.IntRange(1, 4).Draw(t, "rounds") {
					now = now.Add(50 * time.Millisecond)
					network.runRound(t, c, now)
					c.plan(now)
				}
			},
			"restart an agent": func(t *rapid.T) {
				// The restarted agent forgets which fencing numbers it has seen. A
				// superseded coordinator on the same machine stops as well.
				if rapid.IntRange(0, 3).Draw(t, "restarts") == 0 {
					rank := rapid.IntRange(0, len(g.ranks)-1).Draw(t, "rank")
					delete(network.fences, rank)
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
		last := modelCoordinatorOf(New(highest+2, 0), len(coordinators))
		if err := runRounds(g, last, &now, 60, nil); err != nil {
			t.Fatal(err)
		}
		before := g.pass
		if err := runRounds(g, last, &now, 10, nil); err != nil {
			t.Fatal(err)
		}
		if g.pass != before+10 {
			t.Fatalf("the group stalls before pass %d under a coordinator in phase %v: %s", g.pass+1, last.state.Phase, g)
		}
	})
}

// runRound lets the coordinator read all ranks and send its pending orders, of which
// some are lost. Agents refuse a coordinator with a lower number.
func (n *lossyNetwork) runRound(t *rapid.T, c *modelCoordinator, now time.Time) {
	read := func(rank int) {
		if c.state.Fence < n.fences[rank] {
			return
		}
		n.fences[rank] = c.state.Fence
		report := n.group.report(rank)
		report.RequestedAt = now
		c.handle(report, now)
	}
	for rank := range n.group.ranks {
		read(rank)
	}
	effects := c.pending
	c.pending = nil
	for _, effect := range effects {
		send, ok := effect.(SendOrder)
		if !ok || send.Rank >= len(n.group.ranks) || c.state.Fence < n.fences[send.SenderRank] {
			continue
		}
		if rapid.IntRange(0, 4).Draw(t, "lost order") > 0 {
			n.group.apply(send.Rank, n.group.expand(send))
		}
		c.handle(OrderReturned{Rank: send.Rank, Kind: send.Order.Kind, Answered: true}, now)
		read(send.Rank)
	}
}

// refreshStaleReports updates the reports that callers on other machines read.
func (n *lossyNetwork) refreshStaleReports() {
	n.staleReports = n.staleReports[:0]
	for rank := range n.group.ranks {
		n.staleReports = append(n.staleReports, n.group.report(rank))
	}
}

// read reads all ranks through their agents, which reject a superseded caller,
// or from the engine itself if the agent is unreachable.
func (n *lossyNetwork) read(t *rapid.T, c *modelCoordinator, now time.Time) {
	var batch []reduce.Event // Reports that a relay returns together.
	defer func() {
		if len(batch) > 0 {
			c.handle(Batch{Events: batch}, now)
		}
	}()
	relayed := rapid.Bool().Draw(t, "relayed")
	for rank := range n.group.ranks {
		unreachable := rapid.IntRange(0, 4).Draw(t, "agent unreachable") == 0
		if !unreachable && c.state.Fence < n.fences[rank] {
			continue
		}
		if rapid.IntRange(0, 9).Draw(t, "lost report") == 0 {
			continue
		}
		read := n.group.report(rank)
		if unreachable {
			// A read of the engine itself returns an older state.
			read, read.AgentUnreachable = n.staleReports[rank], true
		} else {
			n.fences[rank] = c.state.Fence
		}
		read.RequestedAt = now
		if rapid.IntRange(0, 3).Draw(t, "slow report") == 0 {
			c.delayedReports = append(c.delayedReports, read)
			continue
		}
		if relayed {
			batch = append(batch, read)
			continue
		}
		c.handle(read, now)
	}
}

// send delivers the coordinator's pending orders, loses them, or keeps them back to be
// delivered late.
func (n *lossyNetwork) send(t *rapid.T, c *modelCoordinator, now time.Time) {
	effects := c.pending
	c.pending = nil
	for _, effect := range effects {
		send, ok := effect.(SendOrder)
		if !ok || send.Rank >= len(n.group.ranks) {
			continue
		}
		fenced := c.state.Fence < n.fences[send.SenderRank]
		unreachable := rapid.IntRange(0, 4).Draw(t, "agent unreachable") == 0
		if (fenced || unreachable) && (send.Order.Kind == topology.Hold || send.Order.Kind == topology.Release) {
			// These are sent only through an agent. Orders to prepare, arm and disarm go
			// directly to the engine if the agent is unreachable.
			continue
		}
		delayed := delayedOrder{rank: send.Rank, order: n.group.expand(send)}
		switch rapid.IntRange(0, 5).Draw(t, "way") {
		case 0:
			n.delayed = append(n.delayed, delayed)
		case 1: // Lost.
		case 2:
			// A relay has stopped with the order in hand and passes it on when it wakes;
			// meanwhile the coordinator sends the order directly.
			n.delayed = append(n.delayed, delayed)
			fallthrough
		default:
			n.group.apply(send.Rank, n.group.expand(send))
			if !fenced && send.SenderRank == send.Rank {
				read := n.group.report(send.Rank)
				read.RequestedAt = now
				c.handle(read, now)
			}
		}
		if rapid.IntRange(0, 3).Draw(t, "call returns") > 0 {
			c.handle(OrderReturned{Rank: send.Rank, Kind: send.Order.Kind, Answered: rapid.Bool().Draw(t, "answered")}, now)
		}
	}
}
