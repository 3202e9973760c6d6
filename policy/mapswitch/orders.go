package mapswitch

import (
	"time"

	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/topology"
)

// order gives the order to all ranks that need it and have not been given one
// a moment ago.
func (s State) order(now time.Time, order topology.Order, needs func(Rank) bool) []reduce.Effect {
	order.Epoch, order.Fence = s.Epoch, s.Fence
	patience := resendAfter
	if order.Kind == topology.Prepare {
		patience = copyResendAfter
	}
	var effects []reduce.Effect
	for id := range s.Size {
		rank := s.Ranks[id]
		waits := now.Sub(rank.OrderAt)
		if !needs(rank) || waits < patience || rank.Pending && waits < pendingLimit {
			continue
		}
		rank.OrderAt, rank.Pending = now, true
		s.Ranks[id] = rank
		give := Give{Rank: id, Order: order}
		if order.Kind == topology.Prepare && s.Current != nil {
			give.From, give.FromVersion = s.Current, rank.State.MapVersion
		}
		effects = append(effects, give)
	}
	return effects
}

func (s State) only(id int) func(Rank) bool {
	return func(r Rank) bool { return r.State.Rank == id }
}

func (s State) all(holds func(Rank) bool) bool {
	for _, rank := range s.Ranks {
		if !holds(rank) {
			return false
		}
	}
	return true
}

// nextHold returns the pass to hold.
func (s State) nextHold() int64 {
	if s.lossy {
		return s.lastPass() + lossyPassLead
	}
	return s.lastPass() + passLead
}

func (s State) lastPass() int64 {
	var last int64
	for _, rank := range s.Ranks {
		last = max(last, rank.State.Pass)
	}
	return last
}

// nextVersion returns a version above all that any rank has shown.
func (s *State) nextVersion() int64 {
	s.made++
	version := int64(s.Fence)*versionsPerFence + s.made
	for _, rank := range s.Ranks {
		version = max(version, rank.State.MapVersion+1, rank.State.Prepared+1)
	}
	return version
}
