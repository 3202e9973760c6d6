package mapswitch

import (
	"time"

	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/topology"
)

const (
	// holdTimeout is the maximum time from ordering a rank to wait before a pass to
	// arming the ranks for that pass. It leaves time for several calls between small
	// machines.
	holdTimeout = 100*time.Millisecond + holdSettleTime
	// holdSettleTime is the delay between the reply to an order to hold and the
	// second check of the agent that sent it. A machine that stops because of the
	// order, or while it replies, has stopped by then: the call itself takes about
	// 5 ms.
	holdSettleTime = 20 * time.Millisecond
	// readAgeLimitBase and readAgeLimitPerRank limit the age that the latest read of
	// any rank may have when a hold is ordered: the base plus the second limit times
	// the number of ranks. Ranks are read every 24 ms, in large groups every 2 ms
	// times the number of ranks; two reads may be lost.
	readAgeLimitBase    = 60 * time.Millisecond
	readAgeLimitPerRank = 4 * time.Millisecond
)

// Hold describes the hold of the change in progress: one rank does not begin the
// given pass until it is released. As all ranks run passes in lock step, this keeps
// the whole group from beginning it.
type Hold struct {
	Rank int   // The rank that is ordered to wait before the pass.
	Pass int64 // The pass that the group must not begin yet.

	firstOrderedAt     time.Time // When a rank was first ordered to wait before a pass for this change.
	senderRank         int       // The rank whose agent sends the order.
	orderRepliedAt     time.Time // When the sender replied to the order; zero until it has.
	recheckRequestedAt time.Time // When the read that checks whether the sender's agent still answers was requested; zero until it has been.
}

// orderHold orders a rank to wait before the pass until it is released, and stays in
// the phase until the rank reports the hold. Ranks are armed only after that, and
// after the agent that sent the order has replied to another call: the rank of a machine
// that stopped just then could not be armed.
func (s State) orderHold(now time.Time) (State, []reduce.Effect, []reduce.Effect) {
	holder := s.Ranks[s.Hold.Rank]
	heldPass := holder.State.HeldPass
	switch {
	case heldPass == s.Hold.Pass && s.senderAnsweredRecheck():
		s, phaseChange := s.enterPhase(Arming, "hold is in place", now)
		return s, phaseChange, nil
	case heldPass == s.Hold.Pass && now.Sub(s.PhaseStartedAt) > holdTimeout:
		// No rank has been armed for the held pass, so the group may begin it.
		s, orders := s.releaseHolds(heldPass, now)
		s.senderFailedAt = now
		s, phaseChange := s.enterPhase(Preparing, "the sender of the hold does not answer", now)
		return s, phaseChange, orders
	case heldPass == s.Hold.Pass:
		s, recheck := s.recheckSender(now)
		return s, nil, recheck
	case heldPass != 0:
		// The rank waits before another pass, because an earlier order to hold took
		// effect late. The hold can be released at once: an order to arm a rank for
		// that pass can only name a version older than s.Version, and no rank accepts
		// it, since all ranks have prepared s.Version and a rank arms only the version
		// that it has prepared last.
		s, orders := s.releaseHolds(heldPass, now)
		return s, nil, orders
	case s.lastPass() >= s.Hold.Pass || s.needsNewHoldRanks():
		if pass, ok := s.nextHoldPass(now); ok {
			s.Hold.Pass = pass
		}
		s = s.selectHoldRanks()
	}
	s.releasablePasses[s.Hold.Pass] = true
	return s, nil, s.order(now, topology.Order{Kind: topology.Hold, Pass: s.Hold.Pass}, s.isRank(s.Hold.Rank))
}

// selectHoldRanks selects the rank that is ordered to wait before the pass, and the
// rank whose agent sends that order. A new selection is needed if the previous order to
// hold was rejected or came too late, or if an agent is unreachable.
func (s State) selectHoldRanks() State {
	s.Hold.Rank, s.Hold.senderRank = s.nextHoldRanks()
	s.Hold.orderRepliedAt, s.Hold.recheckRequestedAt = time.Time{}, time.Time{}
	holder := s.Ranks[s.Hold.Rank]
	holder.OrderedAt, holder.OrderPending = time.Time{}, false
	s.Ranks[s.Hold.Rank] = holder
	return s
}

// recheckSender requests a read of the rank whose agent sent the order to hold,
// holdSettleTime after the reply: a machine that stops because of the order may
// still have replied to it.
func (s State) recheckSender(now time.Time) (State, []reduce.Effect) {
	if s.Hold.orderRepliedAt.IsZero() || !s.Hold.recheckRequestedAt.IsZero() || now.Sub(s.Hold.orderRepliedAt) < holdSettleTime {
		return s, nil
	}
	s.Hold.recheckRequestedAt = now
	return s, []reduce.Effect{ReadRank{Rank: s.Hold.senderRank}}
}

// senderAnsweredRecheck reports whether the agent that sent the order to hold has
// answered a call made at least holdSettleTime after its reply.
func (s State) senderAnsweredRecheck() bool {
	senderRank := s.Ranks[s.Hold.senderRank]
	return !s.Hold.orderRepliedAt.IsZero() && !senderRank.AgentUnreachable && senderRank.ReportRequestedAt.Sub(s.Hold.orderRepliedAt) >= holdSettleTime
}

// needsNewHoldRanks reports whether another rank must be ordered to wait before the
// pass, or another rank's agent must send that order, because an agent is unreachable
// and there is a replacement.
func (s State) needsNewHoldRanks() bool {
	holder, senderRank := s.nextHoldRanks()
	return (s.Ranks[s.Hold.Rank].AgentUnreachable || s.Ranks[s.Hold.senderRank].AgentUnreachable) && (holder != s.Hold.Rank || senderRank != s.Hold.senderRank)
}

// nextHoldPass returns the number of the pass before which a rank is next ordered to
// wait. ok is false while the lowest
// pass that may be held is more than maxPassLead passes after the last one that the
// group has begun.
func (s State) nextHoldPass(now time.Time) (pass int64, ok bool) {
	lead := s.passTiming.lead(s.Size)
	switch {
	case s.replacesInitialMap():
		lead = s.passTiming.soonestLead(s.Size, now)
	case s.ordersLost:
		lead = max(lead, lostOrderPassLead)
	}
	pass = max(s.lastPass()+lead, s.minHoldPass)
	return pass, pass <= s.lastPass()+maxPassLead
}

// replacesInitialMap reports whether the change in progress is the first one of an epoch
// that this coordinator has seen open. The initial map triples the duration of passes at
// times, so that one more of them costs more than a stall of the group for a moment.
func (s State) replacesInitialMap() bool {
	return s.initialSets > 0 && s.Current != nil && s.CurrentVersion == 0
}

// nextHoldRanks returns the rank that is ordered to wait before the pass, and the rank
// whose agent sends that order. If enough agents are reachable, both are on other
// machines than the coordinator, so that the hold can be released whichever of the
// three machines stops at that moment.
func (s State) nextHoldRanks() (holder, sender int) {
	var reachable []int
	for i := range s.Size {
		if id := (s.ownRank + 1 + i) % s.Size; !s.Ranks[id].AgentUnreachable {
			reachable = append(reachable, id)
		}
	}
	switch len(reachable) {
	case 0:
		return s.ownRank, s.ownRank
	case 1:
		return reachable[0], reachable[0]
	default:
		return reachable[0], reachable[1]
	}
}

// HoldRanks returns the rank that is next ordered to wait before a pass, and the rank
// whose agent sends that order. Both have to answer at once: the group may stall until
// they have.
func (s State) HoldRanks() (holder, sender int) {
	if s.Size == 0 {
		return s.ownRank, s.ownRank
	}
	return s.nextHoldRanks()
}

// allReadRecently reports whether every rank has been read recently, and since
// the sender of a hold last failed to reply in time. A rank on a stopped machine cannot
// be armed, and the group would stall until that machine runs again.
func (s State) allReadRecently(now time.Time) bool {
	return s.allRanks(func(r Rank) bool {
		return now.Sub(r.ReportRequestedAt) < s.readAgeLimit() && r.ReportRequestedAt.After(s.senderFailedAt)
	})
}

// readAgeLimit returns the maximum age of the latest read of every rank at which a
// hold may be ordered.
func (s State) readAgeLimit() time.Duration {
	if s.readAgeLimitOverride != 0 {
		return s.readAgeLimitOverride
	}
	return readAgeLimitBase + time.Duration(s.Size)*readAgeLimitPerRank
}
