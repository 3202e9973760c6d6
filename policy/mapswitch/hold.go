package mapswitch

import (
	"time"

	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/topology"
)

const (
	// holdTimeout is how long a hold stands at most before ranks are armed for it:
	// several calls between small machines.
	holdTimeout = 100*time.Millisecond + holdSettleTime
	// holdSettleTime is how long after the answer to an order to hold its giver is looked
	// at again. A machine that stops because of the order, or with its answer, has
	// done so by then: the call itself takes about 5 ms.
	holdSettleTime = 20 * time.Millisecond
	// readAgeLimitBase and heardPerRank bound the age of the latest read of every rank
	// before a hold: ranks are read every 24 ms, and every 2 ms a rank in large
	// groups; two reads may be lost.
	readAgeLimitBase    = 60 * time.Millisecond
	readAgeLimitPerRank = 4 * time.Millisecond
)

// Hold is the hold of the change under way.
type Hold struct {
	Rank int // At which it is put.
	Pass int64

	firstOrderedAt time.Time // When it was first ordered, at whatever rank.
	sender         int       // The rank whose agent gives the order.
	answeredAt     time.Time // When its call returned; zero before.
	recheckedAt    time.Time // When the giver was looked at again; zero before.
}

// putHold puts the putHold. Ranks are armed only when it is in place and the machine
// that gave the order still answers: one that stopped just then could not be armed.
func (s State) putHold(now time.Time) (State, []reduce.Effect, []reduce.Effect) {
	holder := s.Ranks[s.Hold.Rank]
	held := holder.State.HeldPass
	switch {
	case held == s.Hold.Pass && s.senderAnswersAgain():
		s, moved := s.enterPhase(Arming, "hold is in place", now)
		return s, moved, nil
	case held == s.Hold.Pass && now.Sub(s.Since) > holdTimeout:
		// No rank has been armed for the pass, so the group may go on.
		s, orders := s.releaseHolds(held, now)
		s.senderFailedAt = now
		s, moved := s.enterPhase(Preparing, "the machine that gave the order to hold does not answer", now)
		return s, moved, orders
	case held == s.Hold.Pass:
		s, look := s.recheckSender(now)
		return s, nil, look
	case held != 0:
		// An earlier hold took effect late; all ranks have prepared a later version than
		// any that was to be armed for it.
		s, orders := s.releaseHolds(held, now)
		return s, nil, orders
	case s.lastPass() >= s.Hold.Pass || s.needsNewHoldRanks():
		if pass, ok := s.nextHoldPass(); ok {
			s.Hold.Pass = pass
		}
		s = s.selectHoldRanks()
	}
	s.releasablePasses[s.Hold.Pass] = true
	return s, nil, s.order(now, topology.Order{Kind: topology.Hold, Pass: s.Hold.Pass}, s.isRank(s.Hold.Rank))
}

// selectHoldRanks takes the next rank for the hold: the hold before was refused or came
// too late, or an agent is away.
func (s State) selectHoldRanks() State {
	s.Hold.Rank, s.Hold.sender = s.nextHoldRanks()
	s.Hold.answeredAt, s.Hold.recheckedAt = time.Time{}, time.Time{}
	holder := s.Ranks[s.Hold.Rank]
	holder.OrderedAt, holder.OrderPending = time.Time{}, false
	s.Ranks[s.Hold.Rank] = holder
	return s
}

// recheckSender asks to look at the giver of the order to hold some time after its
// answer: a machine that stops with the order may still have answered it.
func (s State) recheckSender(now time.Time) (State, []reduce.Effect) {
	if s.Hold.answeredAt.IsZero() || !s.Hold.recheckedAt.IsZero() || now.Sub(s.Hold.answeredAt) < holdSettleTime {
		return s, nil
	}
	s.Hold.recheckedAt = now
	return s, []reduce.Effect{ReadRank{Rank: s.Hold.sender}}
}

// senderAnswersAgain reports whether the agent that gave the order to hold has answered a
// call that was made some time after that.
func (s State) senderAnswersAgain() bool {
	sender := s.Ranks[s.Hold.sender]
	return !s.Hold.answeredAt.IsZero() && !sender.Direct && sender.ReportRequestedAt.Sub(s.Hold.answeredAt) >= holdSettleTime
}

// needsNewHoldRanks reports whether another rank, or another agent to give the order, is
// to be taken.
func (s State) needsNewHoldRanks() bool {
	holder, sender := s.nextHoldRanks()
	return (s.Ranks[s.Hold.Rank].Direct || s.Ranks[s.Hold.sender].Direct) && (holder != s.Hold.Rank || sender != s.Hold.sender)
}

// nextHoldPass returns the pass to hold; not ok while the group has not got far
// enough.
func (s State) nextHoldPass() (pass int64, ok bool) {
	lead := s.passTiming.lead(s.Size)
	if s.ordersLost {
		lead = max(lead, lostOrderPassLead)
	}
	pass = max(s.lastPass()+lead, s.minHoldPass)
	return pass, pass <= s.lastPass()+maxPassLead
}

// nextHoldRanks returns the rank at which to put a hold, and the one whose agent gives
// the order. Both are on other machines than the coordinator where there are enough
// whose agents can be called: whichever of the three machines stops just then, the
// hold can be released.
func (s State) nextHoldRanks() (holder, sender int) {
	var callable []int
	for i := range s.Size {
		if id := (s.ownRank + 1 + i) % s.Size; !s.Ranks[id].Direct {
			callable = append(callable, id)
		}
	}
	switch len(callable) {
	case 0:
		return s.ownRank, s.ownRank
	case 1:
		return callable[0], callable[0]
	default:
		return callable[0], callable[1]
	}
}

// allReadRecently reports whether every rank has been read a moment ago, and since a giver
// was last silent. A rank whose machine stands still can't be armed, and the group
// would rest until that machine moves again.
func (s State) allReadRecently(now time.Time) bool {
	return s.allRanks(func(r Rank) bool {
		return now.Sub(r.ReportRequestedAt) < s.readAgeLimit() && r.ReportRequestedAt.After(s.senderFailedAt)
	})
}

func (s State) readAgeLimit() time.Duration {
	if s.readAgeLimitOverride != 0 {
		return s.readAgeLimitOverride
	}
	return readAgeLimitBase + time.Duration(s.Size)*readAgeLimitPerRank
}
