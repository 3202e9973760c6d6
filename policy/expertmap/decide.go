package expertmap

// decide finds out from the states of all ranks, all reported in this round,
// and the record what the coordinators before left undone.
//
// A change under way lives if a rank was released for it, or if it is in the
// record and every rank that has a map holds it without a void. Otherwise it
// is dead: no rank was released, and either it can't be committed any more or
// a rank may have gone on without it.
func (s *step) decide() {
	if !s.frozen() {
		s.query()
		return
	}
	if s.allLost() {
		s.decideWithoutMap()
		return
	}
	if change := s.held(); !change.IsNone() {
		s.Change = change
		s.settle(change)
		return
	}
	for _, state := range s.States {
		if state.HasNoMap() {
			s.enter(Installing, 0)
			return
		}
	}
	s.rest()
}

// frozen reports whether every rank without a map was so in the round before:
// the group has then stood still while the other ranks reported their steps.
func (s *step) frozen() bool {
	for rank, state := range s.States {
		if state.HasNoMap() && s.Before[rank].Boot != state.Boot {
			return false
		}
	}
	return true
}

func (s *step) settle(change Change) {
	switch {
	case s.lives(change):
		s.enter(Releasing, 0)
	case change == s.Record.Change:
		s.enter(Voiding, 0)
	default:
		s.enter(Aborting, 0)
	}
}

func (s *step) decideWithoutMap() {
	switch {
	case s.RecordStale:
		s.claim()
	case s.Record.Change.IsNone():
		s.rest()
	default:
		s.enter(Installing, 0)
	}
}

func (s *step) rest() {
	s.Phase = Steady
	s.RetryAt = s.now.Add(pollInterval)
}

// held returns a change that a rank holds.
func (s *step) held() Change {
	for _, state := range s.States {
		if !state.Hold.IsNone() {
			return state.Hold
		}
	}
	return Change{}
}

func (s *step) lives(change Change) bool {
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

// stateFor returns the state to install in a rank that has none: that of the
// rank which is furthest; without any, the committed map. No rank with a state
// is then more than one step behind any rank that ever ran, so a change's first
// step was run by none.
func (s *step) stateFor(rank int) EngineState {
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
