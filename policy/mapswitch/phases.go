package mapswitch

import (
	"math"
	"time"

	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/topology"
)

// survey determines from the reports of all ranks which map the group uses and which
// orders of a predecessor are still in effect, and enters the phase that follows from
// them.
func (s State) survey(now time.Time) (State, []reduce.Effect) {
	armedRank, isArmed := s.armedRank()
	if isArmed && !s.cannotComplete(armedRank.State.Armed) {
		s.Version, s.Hold.Pass = armedRank.State.Armed, armedRank.State.ArmedPass
		s.NextMap = nil
		return s.enterPhase(Arming, "a predecessor has armed a rank", now)
	}
	current, ok := s.currentMap()
	if !ok {
		current, ok = s.initialMap()
	}
	if !ok {
		return s, nil
	}
	heldPass := int64(0)
	for _, rank := range s.Ranks {
		heldPass = max(heldPass, rank.State.HeldPass)
	}
	if isArmed || heldPass != 0 {
		s.Hold.Pass = heldPass
		s.Version, s.NextMap = s.nextVersion(), current
		return s.enterPhase(Fencing, "a predecessor has left orders behind", now)
	}
	s.Current, s.CurrentVersion = current, s.Ranks[0].Lists.MapVersion
	if !s.noHoldInEpoch() {
		s.minHoldPass = max(s.minHoldPass, s.lastPass()+maxPassLead+1)
	}
	return s.enterPhase(Idle, "all ranks read", now)
}

// noHoldInEpoch reports whether no coordinator can have ordered a hold in this epoch. A
// rank with a hold does not begin the given pass until it is released. A hold is
// ordered only after all ranks have prepared a version, so while none has, no order to
// release a pass can be in flight, and the first change need not skip the maxPassLead
// passes that a predecessor may have held. Demand has usually jumped when a group
// forms, so the first change must not be delayed.
func (s State) noHoldInEpoch() bool {
	return s.allRanks(func(r Rank) bool {
		return !r.AgentUnreachable && r.State.MapVersion == 0 && r.State.Prepared == 0 && r.State.Armed == 0
	})
}

// currentMap assembles the map in use from the lists of the experts that the ranks
// hold. It reports false while lists are missing or differ in version.
func (s State) currentMap() (Map, bool) {
	var current Map
	for id := range s.Size {
		rank := s.Ranks[id]
		if rank.Lists.Experts == nil || rank.Lists.MapVersion != rank.State.MapVersion || rank.State.MapVersion != s.Ranks[0].State.MapVersion {
			return nil, false
		}
		if current == nil {
			current = make(Map, len(rank.Lists.Experts))
		}
		for set, experts := range rank.Lists.Experts {
			current[set] = append(current[set], experts)
		}
	}
	return current, true
}

// initialMap returns the map with which the epoch began. It reports false unless the
// model is known and the group uses that map.
func (s State) initialMap() (Map, bool) {
	if !s.showsInitialMap() {
		return nil, false
	}
	return InTurn(Shape{Sets: s.initialSets, Experts: s.initialExperts, Ranks: s.Size}), true
}

// showsInitialMap reports whether the initial map is known and the ranks that were read use
// it: none reports that a change has begun, and at least one report is not from afar, where
// reports lag. Safety does not depend on the answer, since every version is prepared as a
// whole map.
func (s State) showsInitialMap() bool {
	isRecent := false
	for _, rank := range s.Ranks {
		if hasBegunChange(rank.State) {
			return false
		}
		isRecent = isRecent || !rank.AgentUnreachable
	}
	return isRecent && s.initialSets > 0 && s.initialExperts > 0
}

// hasBegunChange reports whether the rank shows that a change of the epoch's initial map
// has begun.
func hasBegunChange(rank topology.RankState) bool {
	return rank.MapVersion != 0 || rank.Prepared != 0 || rank.Armed != 0
}

// prepare orders all ranks to copy the experts of the next version. Once all have, it
// selects the pass before which a rank is ordered to wait.
func (s State) prepare(now time.Time) (State, []reduce.Effect, []reduce.Effect) {
	if now.Sub(s.PhaseStartedAt) > prepareTimeout {
		s, phaseChange := s.enterPhase(Survey, "ranks did not copy in time", now)
		return s, phaseChange, nil
	}
	if s.allRanks(func(r Rank) bool { return r.State.Prepared == s.Version }) {
		pass, ok := s.nextHoldPass(now)
		if !ok || !s.allReadRecently(now) {
			return s, nil, nil
		}
		s.Hold.Pass, s.Hold.firstOrderedAt = pass, now
		s = s.selectHoldRanks()
		s, phaseChange := s.enterPhase(Holding, "all ranks prepared", now)
		return s, phaseChange, nil
	}
	orders := s.order(now, topology.Order{Kind: topology.Prepare, Version: s.Version, Map: s.NextMap},
		func(r Rank) bool { return r.State.Prepared != s.Version && !r.State.OrderRunning })
	s.ordersLost = s.ordersLost || len(orders) > 0 && now.After(s.PhaseStartedAt)
	return s, nil, orders
}

// arm orders all ranks to switch to the version before the held pass.
func (s State) arm(now time.Time) (State, []reduce.Effect, []reduce.Effect) {
	isArmed := func(r Rank) bool {
		return r.State.MapVersion == s.Version || r.State.Armed == s.Version && r.State.ArmedPass == s.Hold.Pass
	}
	if s.allRanks(isArmed) {
		s, phaseChange := s.enterPhase(Releasing, "all ranks armed", now)
		return s, phaseChange, nil
	}
	if s.cannotComplete(s.Version) {
		s, phaseChange := s.enterPhase(Survey, "a rank can no longer be armed", now)
		return s, phaseChange, nil
	}
	return s, nil, s.order(now, topology.Order{Kind: topology.Arm, Version: s.Version, Pass: s.Hold.Pass},
		func(r Rank) bool { return !isArmed(r) })
}

// release releases the rank that waits before the pass, so that the group begins it.
func (s State) release(now time.Time) (State, []reduce.Effect, []reduce.Effect) {
	s, orders := s.releaseHolds(s.Hold.Pass, now)
	if s.allRanks(func(r Rank) bool { return r.State.HeldPass == 0 || r.State.HeldPass > s.Hold.Pass }) {
		if s.NextMap != nil {
			s.passTiming.observeArming(now.Sub(s.Hold.firstOrderedAt))
		}
		s, phaseChange := s.enterPhase(Settling, "released", now)
		return s, phaseChange, nil
	}
	return s, nil, orders
}

// settle waits until the group has begun the pass before which the ranks switch; an
// idle group runs no passes.
func (s State) settle(now time.Time) (State, []reduce.Effect) {
	if !s.allRanks(func(r Rank) bool { return r.State.MapVersion == s.Version && r.State.Armed == 0 }) {
		return s, nil
	}
	if s.NextMap == nil {
		return s.enterPhase(Survey, "a predecessor's change is in force", now)
	}
	s.Current, s.CurrentVersion, s.NextMap = s.NextMap, s.Version, nil
	return s.enterPhase(Idle, "in force", now)
}

// fencePredecessor prepares a new version at all ranks, with the content of the map in
// use. A predecessor's order to arm a rank then names a version that is no longer
// prepared, so that the rank rejects it.
func (s State) fencePredecessor(now time.Time) (State, []reduce.Effect, []reduce.Effect) {
	armedRank, isArmed := s.armedRank()
	if isArmed && !s.cannotComplete(armedRank.State.Armed) {
		s, phaseChange := s.enterPhase(Survey, "a predecessor has armed a rank", now)
		return s, phaseChange, nil
	}
	if !isArmed && s.allRanks(func(r Rank) bool { return r.State.Prepared == s.Version }) {
		s.Current, s.CurrentVersion, s.NextMap = s.NextMap, s.Ranks[0].Lists.MapVersion, nil
		for _, rank := range s.Ranks {
			s.releasablePasses[rank.State.HeldPass] = true
		}
		s.minHoldPass = max(s.minHoldPass, s.lastPass()+maxPassLead+1)
		s, phaseChange := s.enterPhase(Idle, "predecessor's orders are invalidated", now) // The holds are released in that phase.
		return s, phaseChange, nil
	}
	orders := s.order(now, topology.Order{Kind: topology.Prepare, Version: s.Version, Map: s.NextMap},
		func(r Rank) bool { return r.State.Prepared != s.Version && r.State.Armed == 0 && !r.State.OrderRunning })
	if isArmed {
		version := armedRank.State.Armed
		orders = append(orders, s.order(now, topology.Order{Kind: topology.Disarm, Version: version},
			func(r Rank) bool { return r.State.Armed == version })...)
	}
	return s, nil, orders
}

// releaseLateHolds releases every rank that waits before a pass because an order to
// hold took effect late.
func (s State) releaseLateHolds(now time.Time) (State, []reduce.Effect) {
	return s.releaseHolds(math.MaxInt64, now)
}

// hasPredecessorHold reports whether a rank waits before a pass by order of another
// coordinator. A predecessor that resumed may have sent the order after the survey,
// and its orders to arm ranks for that pass may still take effect.
func (s State) hasPredecessorHold() bool {
	for _, rank := range s.Ranks {
		if rank.State.HeldPass != 0 && !s.releasablePasses[rank.State.HeldPass] {
			return true
		}
	}
	return false
}
