package expertmap_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/expertmap"
	"persimmonwind.dev/policy/reduce"
)

// deliverKind delivers every order of the kind from the node's coordinator and every
// reply to such an order.
func (w *world) deliverKind(node int, kind expertmap.Kind) {
	for index := 0; index < len(w.inFlight); {
		m := w.inFlight[index]
		messageKind := m.Order.Kind
		if m.Reply != nil {
			messageKind = m.Reply.Kind
		}
		if m.Node != node || messageKind != kind {
			index++
			continue
		}
		w.deliver(index, false)
		index = 0
	}
}

// deliverTo delivers the node's orders of the kind to the rank, but no replies.
func (w *world) deliverTo(node, rank int, kind expertmap.Kind) {
	for index := len(w.inFlight) - 1; index >= 0; index-- {
		m := w.inFlight[index]
		if m.Node == node && m.Rank == rank && m.Reply == nil && m.Order.Kind == kind {
			w.deliver(index, false)
		}
	}
}

// newCommittingWorld returns a group whose first node coordinates a change and has the
// write that commits it in flight.
func newCommittingWorld() *world {
	w := newPreparedWorld()
	w.deliverKind(0, expertmap.Hold)
	return w
}

// runSteps runs every rank as far as its state allows, up to the number of steps.
func (w *world) runSteps(steps uint64) {
	for range 4 * steps {
		for rank := range w.engines {
			if w.canRun(rank) && w.engines[rank].State.Next < steps {
				w.runStep(rank)
			}
		}
	}
}

// recover drops all messages, gives the lease to the node and runs the group
// until the node has resolved the change.
func (w *world) recover(node int) {
	w.inFlight = nil
	w.takeLease(node)
	for range 6 {
		w.deliverAll()
		w.tick(node)
	}
	w.deliverAll()
	w.runSteps(6)
}

// TestHalfDoneByAPausedHolder guards against ranks on different maps after a
// coordinator has stopped before its change is complete. Each case needs more faults
// than the enumeration in TestEveryInterleavingOfAChange allows.
func TestHalfDoneByAPausedHolder(t *testing.T) {
	Convey("Given a commit that the table service has not applied yet", t, func() {
		w := newCommittingWorld()
		So(w.coords[0].Phase, ShouldEqual, expertmap.Committing)
		So(len(w.writes), ShouldEqual, 1)

		Convey("the next lease holder's claim prevents it from being applied after a rank has continued without it", func() {
			w.takeLease(1)
			for len(w.writes) > 1 {
				w.applyWrite(1)
			}
			w.deliverKind(1, expertmap.Query)
			w.deliverTo(1, 0, expertmap.Abort)
			w.runSteps(3)
			w.applyWrite(0)
			w.loseEngineState(0)
			w.recover(1)
			So(w.violation, ShouldBeEmpty)
			So(w.engines[0].State.Next, ShouldEqual, 6)
		})

		Convey("every rank voids the change before any rank continues without it", func() {
			w.loseWriteResult(0)
			w.tick(0)
			So(w.coords[0].Phase, ShouldEqual, expertmap.Voiding)
			w.applyWrite(0)
			w.deliverKind(0, expertmap.Void)
			w.deliverTo(0, 0, expertmap.Abort)
			w.runSteps(3)
			w.loseEngineState(0)
			w.recover(1)
			So(w.violation, ShouldBeEmpty)
			So(w.engines[0].State.Next, ShouldEqual, 6)
		})

		Convey("a void that reached only one rank does not leave ranks on different maps", func() {
			w.loseWriteResult(0)
			w.tick(0)
			w.applyWrite(0)
			w.deliverTo(0, 0, expertmap.Void)
			w.recover(1)
			So(w.violation, ShouldBeEmpty)
			So(w.engines[0].State.InForce, ShouldResemble, w.engines[1].State.InForce)
		})

		Convey("a lease holder that takes over during a void voids every rank before any continues", func() {
			w.loseWriteResult(0)
			w.tick(0)
			w.applyWrite(0)
			w.deliverTo(0, 0, expertmap.Void)
			w.inFlight = nil
			w.takeLease(1)
			w.applyWrite(0)
			w.deliverKind(1, expertmap.Query)
			w.deliverTo(1, 0, expertmap.Abort)
			w.runSteps(3)
			w.loseEngineState(0)
			w.recover(1)
			So(w.violation, ShouldBeEmpty)
			So(w.engines[0].State.Next, ShouldEqual, 6)
		})

		Convey("a commit whose reply was lost is detected and completed", func() {
			w.loseWriteResult(0)
			w.applyWrite(0)
			w.recover(1)
			So(w.violation, ShouldBeEmpty)
			So(w.engines[1].State.InForce, ShouldResemble, w.record.Change)
			So(w.record.Change.ID.Version, ShouldEqual, 2)
		})

		Convey("a rank that loses its state while holding gets the change installed", func() {
			w.applyWrite(0)
			w.loseEngineState(1)
			w.recover(1)
			So(w.violation, ShouldBeEmpty)
			So(w.engines[1].State.InForce.ID.Version, ShouldEqual, 2)
		})
	})
}

func TestEngineConditions(t *testing.T) {
	Convey("Given an engine with a prepared change", t, func() {
		held := expertmap.Change{ID: expertmap.ID{Fence: 2, Version: 2}, FirstStep: 5}
		first := expertmap.Change{ID: expertmap.ID{Fence: 1, Version: 1}}
		ready := expertmap.EngineState{Boot: "a", Next: 3, InForce: first, LastHeld: first.ID, Prepared: held.ID}
		order := func(kind expertmap.Kind, fence uint64) expertmap.Order {
			return expertmap.Order{Kind: kind, Number: expertmap.Number{Fence: fence}, Change: held}
		}
		Convey("it does not hold a change whose first step it has run", func() {
			ready.Next = 6
			So(ready.Apply(order(expertmap.Hold, 2)).Hold.IsNone(), ShouldBeTrue)
		})
		Convey("it does not hold a change whose weights are not loaded", func() {
			ready.Prepared = first.ID
			So(ready.Apply(order(expertmap.Hold, 2)).Hold.IsNone(), ShouldBeTrue)
		})
		Convey("it does not hold a change again after an abort", func() {
			state := ready.Apply(order(expertmap.Hold, 2)).Apply(order(expertmap.Abort, 2))
			So(state.Apply(order(expertmap.Hold, 2)).Hold.IsNone(), ShouldBeTrue)
		})
		Convey("it is not released for a change that it does not hold", func() {
			So(ready.Apply(order(expertmap.Release, 2)).Pending.IsNone(), ShouldBeTrue)
		})
		Convey("it is not released after a void by the same coordinator, but by a newer one", func() {
			state := ready.Apply(order(expertmap.Hold, 2)).Apply(order(expertmap.Void, 2))
			So(state.Apply(order(expertmap.Release, 2)).Pending.IsNone(), ShouldBeTrue)
			So(state.Apply(order(expertmap.Release, 3)).Pending, ShouldResemble, held)
		})
		Convey("it adopts a state only if it has no map, and only a state for its own boot", func() {
			install := expertmap.Order{Kind: expertmap.Install, State: expertmap.EngineState{Boot: "b", InForce: held}}
			install.State.Boot = ready.Boot
			So(ready.Apply(install).InForce, ShouldResemble, first)
			install.State.Boot = "b"
			lost := expertmap.EngineState{Boot: "c"}
			So(lost.Apply(install).HasNoMap(), ShouldBeTrue)
			lost.Boot = "b"
			So(lost.Apply(install).InForce, ShouldResemble, held)
		})
	})
	Convey("A restarted agent accepts no order before it has read the fencing number", t, func() {
		w := newWorld(1, false)
		w.processOnForward, w.fence = true, 5
		w.inFlight = append(w.inFlight, message{Order: expertmap.Order{Kind: expertmap.Query, Number: expertmap.Number{Fence: 4}}})
		w.deliver(0, true)
		w.deliver(0, false)
		for _, m := range w.inFlight {
			So(m.Reply.Refused, ShouldBeTrue)
		}
	})
}

func TestBlockedMember(t *testing.T) {
	Convey("A member whose engine can't run for longer than the timeout is blocked until it can", t, func() {
		m := expertmap.Member{}.Configure("agent-1", "g", 0, 2)
		at := func(seconds int64, state expertmap.EngineState) bool {
			input := reduce.Input{Now: time.Unix(seconds, 0), Event: expertmap.EngineReported{State: state}}
			m, _ = expertmap.StepMember(m, input)
			return m.Blocked
		}
		running := expertmap.EngineState{InForce: expertmap.Change{ID: expertmap.ID{Version: 1}}}
		So(at(1, running), ShouldBeFalse)
		So(at(2, expertmap.EngineState{}), ShouldBeFalse)
		So(at(6, expertmap.EngineState{}), ShouldBeTrue)
		So(at(7, running), ShouldBeFalse)
	})
}
