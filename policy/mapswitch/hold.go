package mapswitch

import (
	"time"

	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/topology"
)

const (
	// holdPatience is how long a hold stands at most before ranks are armed for it:
	// several calls between small machines.
	holdPatience = 100*time.Millisecond + holdSettle
	// holdSettle is how long after the answer to an order to hold its giver is looked
	// at again. A machine that stops because of the order, or with its answer, has
	// done so by then: the call itself takes about 5 ms.
	holdSettle = 20 * time.Millisecond
	// heardWithin and heardPerRank bound the age of the latest read of every rank
	// before a hold: ranks are read every 24 ms, and every 2 ms a rank in large
	// groups; two reads may be lost.
	heardWithin  = 60 * time.Millisecond
	heardPerRank = 4 * time.Millisecond
)

// Hold is the hold of the change under way.
type Hold struct {
	Rank int // At which it is put.
	Pass int64

	firstAt    time.Time // When it was first ordered, at whatever rank.
	giver      int       // The rank whose agent gives the order.
	answeredAt time.Time // When its call returned; zero before.
	lookedAt   time.Time // When the giver was looked at again; zero before.
}

// hold puts the hold. Ranks are armed only when it is in place and the machine
// that gave the order still answers: one that stopped just then could not be armed.
func (s State) hold(now time.Time) (State, []reduce.Effect, []reduce.Effect) {
	holder := s.Ranks[s.Hold.Rank]
	held := holder.State.HeldPass
	switch {
	case held == s.Hold.Pass && s.giverLives():
		s, moved := s.move(Arming, "hold is in place", now)
		return s, moved, nil
	case held == s.Hold.Pass && now.Sub(s.Since) > holdPatience:
		// No rank has been armed for the pass, so the group may go on.
		s, orders := s.releaseHolds(held, now)
		s.silentAt = now
		s, moved := s.move(Preparing, "the machine that gave the order to hold does not answer", now)
		return s, moved, orders
	case held == s.Hold.Pass:
		s, look := s.lookAgain(now)
		return s, nil, look
	case held != 0:
		// An earlier hold took effect late; all ranks have prepared a later version than
		// any that was to be armed for it.
		s, orders := s.releaseHolds(held, now)
		return s, nil, orders
	case s.lastPass() >= s.Hold.Pass || s.holderAway():
		if pass, ok := s.nextHold(); ok {
			s.Hold.Pass = pass
		}
		s = s.takeHolder()
	}
	s.harmless[s.Hold.Pass] = true
	return s, nil, s.order(now, topology.Order{Kind: topology.Hold, Pass: s.Hold.Pass}, s.only(s.Hold.Rank))
}

// takeHolder takes the next rank for the hold: the hold before was refused or came
// too late, or an agent is away.
func (s State) takeHolder() State {
	s.Hold.Rank, s.Hold.giver = s.nextHolder()
	s.Hold.answeredAt, s.Hold.lookedAt = time.Time{}, time.Time{}
	holder := s.Ranks[s.Hold.Rank]
	holder.OrderedAt, holder.OrderPending = time.Time{}, false
	s.Ranks[s.Hold.Rank] = holder
	return s
}

// lookAgain asks to look at the giver of the order to hold some time after its
// answer: a machine that stops with the order may still have answered it.
func (s State) lookAgain(now time.Time) (State, []reduce.Effect) {
	if s.Hold.answeredAt.IsZero() || !s.Hold.lookedAt.IsZero() || now.Sub(s.Hold.answeredAt) < holdSettle {
		return s, nil
	}
	s.Hold.lookedAt = now
	return s, []reduce.Effect{ReadRank{Rank: s.Hold.giver}}
}

// giverLives reports whether the agent that gave the order to hold has answered a
// call that was made some time after that.
func (s State) giverLives() bool {
	giver := s.Ranks[s.Hold.giver]
	return !s.Hold.answeredAt.IsZero() && !giver.Direct && giver.ReportRequestedAt.Sub(s.Hold.answeredAt) >= holdSettle
}

// holderAway reports whether another rank, or another agent to give the order, is
// to be taken.
func (s State) holderAway() bool {
	holder, giver := s.nextHolder()
	return (s.Ranks[s.Hold.Rank].Direct || s.Ranks[s.Hold.giver].Direct) && (holder != s.Hold.Rank || giver != s.Hold.giver)
}

// nextHold returns the pass to hold; not ok while the group has not got far
// enough.
func (s State) nextHold() (pass int64, ok bool) {
	lead := s.tempo.lead(s.Size)
	if s.lossy {
		lead = max(lead, lossyPassLead)
	}
	pass = max(s.lastPass()+lead, s.holdFloor)
	return pass, pass <= s.lastPass()+maxPassLead
}

// nextHolder returns the rank at which to put a hold, and the one whose agent gives
// the order. Both are on other machines than the coordinator where there are enough
// whose agents can be called: whichever of the three machines stops just then, the
// hold can be released.
func (s State) nextHolder() (holder, giver int) {
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

// allHeard reports whether every rank has been read a moment ago, and since a giver
// was last silent. A rank whose machine stands still can't be armed, and the group
// would rest until that machine moves again.
func (s State) allHeard(now time.Time) bool {
	return s.all(func(r Rank) bool {
		return now.Sub(r.ReportRequestedAt) < s.hearingLimit() && r.ReportRequestedAt.After(s.silentAt)
	})
}

func (s State) hearingLimit() time.Duration {
	if s.hearing != 0 {
		return s.hearing
	}
	return heardWithin + time.Duration(s.Size)*heardPerRank
}
