package expertmap

import "persimmonwind.dev/policy/reduce"

// Rank is the state of a rank's agent. It forwards a coordinator's orders to its
// engine and refuses those with old numbers, which also protects engines that
// don't check fencing numbers.
//
// Invariant: Seen never decreases. A restarted agent accepts no order before it
// has read the group's fencing number, which is at least as high as any that it
// had seen before.
type Rank struct {
	FenceKnown   bool   // The fencing number has been read since the agent started.
	ReadingFence bool   // A read of the fencing number is in flight.
	Seen         Number // Highest number of an accepted order or fencing number read.
}

// OrderReceived carries a coordinator's order; Ticket identifies it in the
// effects.
type OrderReceived struct {
	RequestID uint64
	Order     Order
}

func (OrderReceived) EventName() string { return "expertmap.ordered" }

// FenceRead carries the group's fencing number.
type FenceRead struct{ Fence uint64 }

func (FenceRead) EventName() string { return "expertmap.fence_read" }

// FenceReadFailed reports that a ReadFence failed.
type FenceReadFailed struct{}

func (FenceReadFailed) EventName() string { return "expertmap.fence_unread" }

// ReadFence requests the group's fencing number; answered by FenceRead or
// FenceReadFailed.
type ReadFence struct{}

func (ReadFence) EffectName() string { return "expertmap.read_fence" }

// Forward passes the order to the engine and returns the engine's state to the
// coordinator. Orders reach the engine one at a time, in the order of these
// effects.
type Forward struct {
	RequestID uint64
	Order     Order
}

func (Forward) EffectName() string { return "expertmap.forward" }

// RefuseOrder replies to the order without forwarding it.
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

func (r Rank) handleOrder(event OrderReceived) (Rank, []reduce.Effect) {
	refuse := RefuseOrder{RequestID: event.RequestID, Seen: r.Seen, FenceKnown: r.FenceKnown}
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
