package expertmap

import "persimmonwind.dev/policy/reduce"

// Rank is the agent's part: it passes a coordinator's orders to its engine and
// refuses those with old numbers, also for engines that take any order.
//
// Invariant: Seen never decreases. A restarted agent takes no order before it
// has read the group's fencing number, which is at least any it had seen.
type Rank struct {
	FenceKnown   bool   // The fencing number was read since the agent started.
	ReadingFence bool   // A read of the fencing number is under way.
	Seen         Number // Highest number of an order taken.
}

// OrderReceived brings a coordinator's order; Ticket names it in the effects.
type OrderReceived struct {
	Ticket uint64
	Order  Order
}

// EventName implements reduce.Event.
func (OrderReceived) EventName() string { return "expertmap.ordered" }

// FenceRead brings the group's fencing number.
type FenceRead struct{ Fence uint64 }

// EventName implements reduce.Event.
func (FenceRead) EventName() string { return "expertmap.fence_read" }

// FenceReadFailed tells that a ReadFence brought nothing.
type FenceReadFailed struct{}

// EventName implements reduce.Event.
func (FenceReadFailed) EventName() string { return "expertmap.fence_unread" }

// ReadFence asks for the group's fencing number; answered by FenceRead or
// FenceUnread.
type ReadFence struct{}

// EffectName implements reduce.Effect.
func (ReadFence) EffectName() string { return "expertmap.read_fence" }

// Forward passes the order to the engine and its state back to the
// coordinator. Orders reach the engine one by one in this sequence.
type Forward struct {
	Ticket uint64
	Order  Order
}

// EffectName implements reduce.Effect.
func (Forward) EffectName() string { return "expertmap.forward" }

// RefuseOrder answers the order without passing it on.
type RefuseOrder struct {
	Ticket     uint64
	Seen       Number
	FenceKnown bool
}

// EffectName implements reduce.Effect.
func (RefuseOrder) EffectName() string { return "expertmap.refuse_order" }

// StepRank reduces one input of an agent.
func StepRank(state Rank, input reduce.Input) (Rank, []reduce.Effect) {
	switch event := input.Event.(type) {
	case FenceRead:
		state.FenceKnown, state.ReadingFence = true, false
		state.Seen.Fence = max(state.Seen.Fence, event.Fence)
	case FenceReadFailed:
		state.ReadingFence = false
	case OrderReceived:
		return state.handleOrder(event)
	}
	return state, nil
}

func (r Rank) handleOrder(event OrderReceived) (Rank, []reduce.Effect) {
	refuse := RefuseOrder{Ticket: event.Ticket, Seen: r.Seen, FenceKnown: r.FenceKnown}
	if !r.FenceKnown && r.ReadingFence {
		return r, []reduce.Effect{refuse}
	}
	if !r.FenceKnown {
		r.ReadingFence = true
		return r, []reduce.Effect{refuse, ReadFence{}}
	}
	if event.Order.Number.Less(r.Seen) {
		return r, []reduce.Effect{refuse}
	}
	r.Seen = event.Order.Number
	return r, []reduce.Effect{Forward(event)}
}
