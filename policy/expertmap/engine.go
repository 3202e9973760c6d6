package expertmap

// EngineState is the state that the engine of one rank keeps about its map; its
// methods specify how an engine must behave. If only Boot is set, the ID of the
// engine's run, the engine has just started: it runs no step before a map is
// installed.
type EngineState struct {
	Boot     string `json:"boot"`      // Identifies one run of the engine; changes when the engine loses its state.
	Next     uint64 `json:"next"`      // Next step to run.
	InForce  Change `json:"in_force"`  // Change whose map is in use; it applies to the steps before Pending's first step.
	Pending  Change `json:"pending"`   // Released change whose first step has not been run.
	Hold     Change `json:"hold"`      // Change whose first step must not be run yet.
	VoidedBy uint64 `json:"voided_by"` // Fencing number of the coordinator that voided Hold; 0 for none.
	LastHeld ID     `json:"last_held"` // Newest change for which the engine has ever accepted a hold; it accepts no further hold for that change or an older one.
	Prepared ID     `json:"prepared"`  // Newest map whose weights are loaded.
}

// HasNoMap reports whether the engine has no map.
func (s EngineState) HasNoMap() bool { return s.InForce.IsNone() }

// MapAt returns the change whose map the engine uses at the step.
func (s EngineState) MapAt(step uint64) Change {
	if !s.Pending.IsNone() && step >= s.Pending.FirstStep {
		return s.Pending
	}
	return s.InForce
}

// CanRunNext reports whether the engine may run its next step.
func (s EngineState) CanRunNext() bool {
	if s.HasNoMap() {
		return false
	}
	return s.Hold.IsNone() || s.Next < s.Hold.FirstStep
}

// AfterNextStep returns the state after the engine has run its next step. A pending
// change is in force from its first step on.
func (s EngineState) AfterNextStep() EngineState {
	if s.MapAt(s.Next) == s.Pending {
		s.InForce, s.Pending = s.Pending, Change{}
	}
	s.Next++
	return s
}

// Apply returns the state after the engine has received the order. An order whose
// precondition is not met changes nothing; the coordinator detects that from the
// returned state.
func (s EngineState) Apply(order Order) EngineState {
	switch order.Kind {
	case Prepare:
		return s.prepare(order.Change.ID)
	case Hold:
		return s.hold(order.Change)
	case Release:
		return s.release(order)
	case Void:
		if s.Hold == order.Change {
			s.VoidedBy = order.Number.Fence
		}
	case Abort:
		if s.Hold == order.Change {
			s.Hold, s.VoidedBy = Change{}, 0
		}
	case Install:
		return s.install(order.State)
	}
	return s
}

func (s EngineState) prepare(id ID) EngineState {
	if s.Prepared.Less(id) {
		s.Prepared = id
	}
	return s
}

// hold makes the engine wait before the change's first step, the first that uses the
// new map, until the change is released or aborted. It has no effect unless the engine
// has a map, no other change is in progress, the weights of the new map are loaded, the
// first step has not been run and the change is newer than every change for which the
// engine has accepted a hold before.
func (s EngineState) hold(change Change) EngineState {
	busy := s.HasNoMap() || !s.Hold.IsNone() || !s.Pending.IsNone()
	late := s.Next > change.FirstStep
	if busy || late || s.Prepared != change.ID || !s.LastHeld.Less(change.ID) {
		return s
	}
	s.Hold, s.LastHeld = change, change.ID
	return s
}

// release makes the held change pending, so that the engine switches at its first
// step. A release overrides the void of an older coordinator, because the newer
// coordinator has queried every rank since and decided to complete the change.
func (s EngineState) release(order Order) EngineState {
	if s.Hold != order.Change || s.VoidedBy >= order.Number.Fence {
		return s
	}
	s.Hold, s.VoidedBy, s.Pending = Change{}, 0, order.Change
	return s
}

// install adopts the state if the engine has no map and the state is meant for its
// current run.
func (s EngineState) install(state EngineState) EngineState {
	if !s.HasNoMap() || s.Boot != state.Boot {
		return s
	}
	state.Prepared = s.Prepared
	return state
}
