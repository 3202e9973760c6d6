package mapswitch

import (
	"time"

	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/topology"
)

// order sends the order to all ranks that need it and to which no order has been sent
// within the resend delay.
func (s State) order(now time.Time, order topology.Order, needs func(Rank) bool) []reduce.Effect {
	order.Epoch, order.Fence = s.Epoch, s.Fence
	resendDelay := defaultResendDelay
	if order.Kind == topology.Prepare {
		resendDelay = copyResendDelay
	}
	var effects []reduce.Effect
	for id := range s.Size {
		rank := s.Ranks[id]
		sinceLastOrder := now.Sub(rank.OrderedAt)
		if !needs(rank) || sinceLastOrder < resendDelay || rank.OrderPending && sinceLastOrder < orderCallTimeout {
			continue
		}
		rank.OrderedAt, rank.OrderPending = now, true
		s.Ranks[id] = rank
		send := SendOrder{Rank: id, Order: order, SenderRank: id}
		switch {
		case order.Kind == topology.Hold:
			send.SenderRank = s.Hold.senderRank
		case order.Kind == topology.Prepare && s.Current != nil:
			send.BaseMap, send.BaseVersion = s.Current, s.CurrentVersion
		}
		effects = append(effects, send)
	}
	return effects
}

// isRank returns the condition that a rank has the given number.
func (s State) isRank(id int) func(Rank) bool {
	return func(r Rank) bool { return r.State.Rank == id }
}

// allRanks reports whether every rank that has been read meets the condition.
func (s State) allRanks(condition func(Rank) bool) bool {
	for _, rank := range s.Ranks {
		if !condition(rank) {
			return false
		}
	}
	return true
}

// releaseHolds sends an order to release the pass to every rank that waits before a
// pass up to and including last.
func (s State) releaseHolds(last int64, now time.Time) (State, []reduce.Effect) {
	var effects []reduce.Effect
	for id := range s.Size {
		heldPass := s.Ranks[id].State.HeldPass
		if heldPass == 0 || heldPass > last {
			continue
		}
		s.minHoldPass = max(s.minHoldPass, heldPass+1)
		effects = append(effects, s.order(now, topology.Order{Kind: topology.Release, Pass: heldPass}, s.isRank(id))...)
	}
	return s, effects
}

// lastPass returns the last pass that any rank has reported to have begun.
func (s State) lastPass() int64 {
	var last int64
	for _, rank := range s.Ranks {
		last = max(last, rank.State.Pass)
	}
	return last
}

// nextVersion returns a new map version. The coordinator of no other lease creates
// it, and it is higher than all versions created under earlier leases.
func (s *State) nextVersion() int64 {
	s.versionsMade++
	return int64(s.Fence)*versionsPerFence + s.versionsMade
}

// cannotComplete reports whether no coordinator can ever see all ranks armed for the
// map version, because a rank that is not armed for it has already prepared a later
// one.
func (s State) cannotComplete(version int64) bool {
	for _, rank := range s.Ranks {
		if rank.State.Prepared > version && rank.State.Armed != version && rank.State.MapVersion != version {
			return true
		}
	}
	return false
}

// armedRank returns a rank that is armed. ok is false if there is none.
func (s State) armedRank() (rank Rank, ok bool) {
	for id := range s.Size {
		if s.Ranks[id].State.Armed != 0 {
			return s.Ranks[id], true
		}
	}
	return Rank{}, false
}

// hasSuccessorVersion reports whether the rank reports a map version that was created
// under a later lease.
func (s State) hasSuccessorVersion(rank topology.RankState) bool {
	latest := max(rank.MapVersion, rank.Prepared, rank.Armed)
	return latest >= int64(s.Fence+1)*versionsPerFence
}
