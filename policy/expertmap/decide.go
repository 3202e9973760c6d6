package expertmap

// resolveRound determines from the record and the states of all ranks, all
// reported in this round, which change a previous coordinator left incomplete,
// and completes or aborts it.
//
// A change must be completed if a rank was released for it, or if it is in the group's
// record and every rank that has a map waits before its first step and has not voided
// it. Otherwise it is aborted: no rank was released, and either the change can't be
// committed any more or a rank may have continued without it.
func (s *transition) resolveRound() {
	if !s.groupStopped() {
		s.startRound()
		return
	}
	if s.noRankHasMap() {
		s.resolveWithoutMap()
		return
	}
	if change := s.heldChange(); !change.IsNone() {
		s.Change = change
		s.resolve(change)
		return
	}
	for _, state := range s.States {
		if state.HasNoMap() {
			s.enterPhase(Installing, 0)
			return
		}
	}
	s.becomeSteady()
}

// groupStopped reports whether every rank without a map already had none in the previous
// query round, because its engine has not restarted in between. The group then ran no
// step while the other ranks reported their states.
func (s *transition) groupStopped() bool {
	for rank, state := range s.States {
		if state.HasNoMap() && s.Before[rank].Boot != state.Boot {
			return false
		}
	}
	return true
}

// resolve completes or aborts the change. A change that is in the group's record is
// voided at all ranks before it is aborted.
func (s *transition) resolve(change Change) {
	switch {
	case s.mustComplete(change):
		s.enterPhase(Releasing, 0)
	case change == s.Record.Change:
		s.enterPhase(Voiding, 0)
	default:
		s.enterPhase(Aborting, 0)
	}
}

// resolveWithoutMap handles a group in which no rank has a map: it installs the
// committed map, if there is one, and first reads the record again if it may have
// changed.
func (s *transition) resolveWithoutMap() {
	switch {
	case s.RecordStale:
		s.claim()
	case s.Record.Change.IsNone():
		s.becomeSteady()
	default:
		s.enterPhase(Installing, 0)
	}
}

func (s *transition) becomeSteady() {
	s.Phase = Steady
	s.RetryAt = s.now.Add(pollInterval)
}

// heldChange returns the change before whose first step a rank waits, for the first
// such rank, or the zero value if there is none.
func (s *transition) heldChange() Change {
	for _, state := range s.States {
		if !state.Hold.IsNone() {
			return state.Hold
		}
	}
	return Change{}
}

// mustComplete reports whether the change must be completed, which is so in two cases:
//   - A rank was released for the change.
//   - The change is in the group's record, and every rank that has a map waits before
//     the first step of the change and has received no order that voids the change.
func (s *transition) mustComplete(change Change) bool {
	allHold := true
	for _, state := range s.States {
		if state.Pending == change || state.InForce == change {
			return true
		}
		if !state.HasNoMap() && (state.Hold != change || state.VoidedBy != 0) {
			allHold = false
		}
	}
	return allHold && change == s.Record.Change
}

// stateToInstall returns the state to install in a rank that has none: the state
// of the rank with the highest next step or, if no rank has a state, the
// committed map from its first step. No rank with a state is more than one step
// behind any rank that ever ran, so no rank has run a change's first step.
func (s *transition) stateToInstall(rank int) EngineState {
	state := EngineState{
		InForce: s.Record.Change, LastHeld: s.Record.Change.ID, Next: s.Record.Change.FirstStep,
	}
	for _, other := range s.States {
		if !other.HasNoMap() && (state.Boot == "" || other.Next > state.Next) {
			state = other
		}
	}
	state.Boot = s.States[rank].Boot
	return state
}
