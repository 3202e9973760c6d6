package expertmap

// resolveRound finds out from the states of all ranks, all reported in this round,
// and the record what the coordinators before left undone.
//
// A change under way lives if a rank was released for it, or if it is in the
// record and every rank that has a map holds it without a void. Otherwise it
// is dead: no rank was released, and either it can't be committed any more or
// a rank may have gone on without it.
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

// groupStopped reports whether every rank without a map was so in the round before:
// the group has then stood still while the other ranks reported their steps.
func (s *transition) groupStopped() bool {
	for rank, state := range s.States {
		if state.HasNoMap() && s.Before[rank].Boot != state.Boot {
			return false
		}
	}
	return true
}

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

// heldChange returns a change that a rank holds.
func (s *transition) heldChange() Change {
	for _, state := range s.States {
		if !state.Hold.IsNone() {
			return state.Hold
		}
	}
	return Change{}
}

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

// stateToInstall returns the state to install in a rank that has none: that of the
// rank which is furthest; without any, the committed map. No rank with a state
// is then more than one step behind any rank that ever ran, so a change's first
// step was run by none.
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
