package expertmap

import "persimmonwind.dev/policy/reduce"

// Rank is the state of the agent of a rank. The agent forwards a coordinator's orders
// to its engine and refuses those with old sequence numbers, which also protects
// engines that don't check fencing numbers.
//
// Invariant: Seen never decreases. A restarted agent accepts no order before it
// has read the group's fencing number, which is at least as high as any that it
// had seen before.
type Rank struct {
	FenceKnown   bool   // The group's fencing number has been read since the agent started.
	ReadingFence bool   // A read of the group's fencing number is in flight.
	Seen         Number // Highest sequence number of an accepted order, or the fencing number read if that is higher.
}

// OrderReceived carries a coordinator's order that has arrived at the agent. RequestID
// identifies the coordinator's call; the effect that answers the call, Forward or
// RefuseOrder, carries the same ID.
type OrderReceived struct {
	RequestID uint64
	Order     Order
}

func (OrderReceived) EventName() string { return "expertmap.ordered" }

// FenceRead carries the group's fencing number, which the agent has read.
type FenceRead struct{ Fence uint64 }

func (FenceRead) EventName() string { return "expertmap.fence_read" }

// FenceReadFailed reports that a read of the group's fencing number failed.
type FenceReadFailed struct{}

func (FenceReadFailed) EventName() string { return "expertmap.fence_unread" }

// ReadFence is the effect that reads the group's fencing number; the reply is FenceRead
// or FenceReadFailed.
type ReadFence struct{}

func (ReadFence) EffectName() string { return "expertmap.read_fence" }

// Forward is the effect that passes the order to the engine and returns the engine's
// state to the coordinator as the reply to the call RequestID. Orders reach the engine
// one at a time, in the sequence of these effects.
type Forward struct {
	RequestID uint64
	Order     Order
}

func (Forward) EffectName() string { return "expertmap.forward" }

// RefuseOrder refuses an order in the reply to the call RequestID, without forwarding
// the order to the engine. Seen and FenceKnown are those of the agent's Rank.
type RefuseOrder struct {
	RequestID  uint64
	Seen       Number
	FenceKnown bool
}

func (RefuseOrder) EffectName() string { return "expertmap.refuse_order" }

// StepRank applies one input and returns the new state and its effects.
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

// handleOrder forwards the order unless its sequence number is lower than one seen
// before. Before the agent knows the fencing number, it refuses every order and reads
// the number.
func (r Rank) handleOrder(event OrderReceived) (Rank, []reduce.Effect) {
	refusal := RefuseOrder{RequestID: event.RequestID, Seen: r.Seen, FenceKnown: r.FenceKnown}
	if !r.FenceKnown && r.ReadingFence {
		return r, []reduce.Effect{refusal}
	}
	if !r.FenceKnown {
		r.ReadingFence = true
		return r, []reduce.Effect{refusal, ReadFence{}}
	}
	if event.Order.Number.Less(r.Seen) {
		return r, []reduce.Effect{refusal}
	}
	r.Seen = event.Order.Number
	return r, []reduce.Effect{Forward(event)}
}
