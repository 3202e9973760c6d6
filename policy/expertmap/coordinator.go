package expertmap

import (
	"time"

	"persimmonwind.dev/policy/reduce"
)

const (
	defaultMarginSteps = 64 // Steps between the newest step reported by a rank and a change's first step.
	retryInterval      = 200 * time.Millisecond
	pollInterval       = 2 * time.Second // Between two rounds of queries in the Steady phase.
	prepareTimeout     = 10 * time.Minute
	holdTimeout        = 2 * time.Second
	commitTimeout      = 2 * time.Second // A commit whose outcome is still unknown then is voided.
)

// Phase is the state of a coordinator's protocol.
type Phase string

// Phases of a coordinator.
const (
	Passive    Phase = ""           // Not the coordinator.
	Claiming   Phase = "claiming"   // Writes its fencing number to the record, so that writes of older coordinators fail.
	Querying   Phase = "querying"   // Collects the state of every rank.
	Steady     Phase = "steady"     // No change in progress.
	Preparing  Phase = "preparing"  // Ranks load weights.
	Holding    Phase = "holding"    // Ranks agree to wait before the change's first step.
	Committing Phase = "committing" // The change is being written to the record.
	Releasing  Phase = "releasing"  // Ranks are told that the change is committed.
	Voiding    Phase = "voiding"    // Ranks agree to refuse the release of the change.
	Aborting   Phase = "aborting"   // Ranks drop the change and keep the map in force.
	Installing Phase = "installing" // Ranks without a map are given a state.
)

var orderKindOf = map[Phase]Kind{
	Querying: Query, Preparing: Prepare, Holding: Hold, Releasing: Release,
	Voiding: Void, Aborting: Abort, Installing: Install,
}

// Coordinator is the state of the process that coordinates a group's map changes.
type Coordinator struct {
	MarginSteps uint64 // Steps between the newest step reported by a rank and a change's first step; 0 for the default.

	Phase                Phase
	Number               Number
	Record               Record
	RecordVersion        uint64
	RecordStale          bool // A write with unknown outcome may have changed the record.
	StoreRequestInFlight bool // A read or write of the record is in flight.

	States   []EngineState // By rank, as last reported.
	Answered []bool        // By rank: the state was reported in this round.
	Before   []EngineState // By rank, as reported in the previous round.

	Change         Change // Change in progress.
	ChangeProposed bool   // A change was proposed and has not started.
	Version        uint64 // Highest version used for a change.

	RetryAt  time.Time
	Deadline time.Time // Of the phase; zero for none.
}

// StepCoordinator applies one input and returns the new state and its effects.
func StepCoordinator(c Coordinator, input reduce.Input) (Coordinator, []reduce.Effect) {
	s := transition{Coordinator: c, now: input.Now}
	switch event := input.Event.(type) {
	case LeaseAcquired:
		s.becomeCoordinator(event)
	case LeaseLost:
		s.Coordinator = Coordinator{MarginSteps: c.MarginSteps}
	case Propose:
		s.ChangeProposed = s.Phase != Passive
	case ReplyReceived:
		s.handleReply(event)
	case RecordReadFailed:
		s.StoreRequestInFlight = false
		return s.Coordinator, nil // Retried at the next tick.
	case RecordRead, RecordWritten, RecordConflict, RecordWriteUnknown:
		s.StoreRequestInFlight = false
		s.handleStoreResult(event)
	case reduce.Tick:
		s.tick()
	default:
		return c, nil
	}
	s.startProposedChange()
	return s.Coordinator, s.effects
}

// transition applies one input to a coordinator and collects the effects.
type transition struct {
	Coordinator
	now     time.Time
	effects []reduce.Effect
}

func (s *transition) emit(effect reduce.Effect) { s.effects = append(s.effects, effect) }

func (s *transition) becomeCoordinator(event LeaseAcquired) {
	if s.Phase != Passive && s.Number.Fence >= event.Fence {
		return
	}
	s.Coordinator = Coordinator{
		MarginSteps: s.MarginSteps, Number: Number{Fence: event.Fence},
		States: make([]EngineState, event.Ranks), Answered: make([]bool, event.Ranks),
	}
	s.claim()
}

func (s *transition) claim() {
	s.enterPhase(Claiming, 0)
	s.readRecord()
}

// enterPhase starts a phase and sends its orders to the ranks.
func (s *transition) enterPhase(phase Phase, timeout time.Duration) {
	s.Phase = phase
	s.Deadline = time.Time{}
	if timeout > 0 {
		s.Deadline = s.now.Add(timeout)
	}
	s.emit(Notice{Phase: phase, Change: s.Change, Ranks: s.pendingRanks()})
	s.send()
	s.advance()
}

// startRound queries every rank; the next phase follows from their states.
func (s *transition) startRound() {
	s.Number.Round++
	s.Answered = make([]bool, len(s.Answered))
	s.Before = s.States
	s.Change = Change{}
	s.enterPhase(Querying, 0)
}

// rankDone reports whether the rank has reached the state that the phase requires.
func (s *transition) rankDone(rank int) bool {
	state := s.States[rank]
	switch s.Phase {
	case Querying:
		return s.Answered[rank]
	case Preparing:
		return state.Prepared == s.Change.ID
	case Holding:
		return state.Hold == s.Change
	case Voiding:
		return state.Hold != s.Change || state.VoidedBy != 0
	case Releasing, Aborting:
		return state.Hold != s.Change
	case Installing:
		return !state.HasNoMap()
	}
	return true
}

func (s *transition) pendingRanks() []int {
	var ranks []int
	for rank := range s.States {
		if !s.rankDone(rank) {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// send sends the phase's order to every rank that has not reached the required state.
func (s *transition) send() {
	s.RetryAt = s.now.Add(retryInterval)
	for _, rank := range s.pendingRanks() {
		order := Order{Kind: orderKindOf[s.Phase], Number: s.Number, Change: s.Change}
		if s.Phase == Installing {
			order.State = s.stateToInstall(rank)
		}
		s.emit(Send{Rank: rank, Order: order})
	}
}

func (s *transition) handleReply(event ReplyReceived) {
	if event.Refused {
		if event.Seen.Fence > s.Number.Fence {
			s.Coordinator = Coordinator{MarginSteps: s.MarginSteps}
		}
		return
	}
	if s.Phase == Passive || event.Number != s.Number || event.Kind != orderKindOf[s.Phase] {
		return
	}
	s.States = append([]EngineState(nil), s.States...)
	s.Answered = append([]bool(nil), s.Answered...)
	s.States[event.Rank], s.Answered[event.Rank] = event.State, true
	if s.phaseFailed(event.State) {
		s.startRound()
		return
	}
	s.advance()
}

// phaseFailed reports whether the phase can't succeed, given this state of a rank.
func (s *transition) phaseFailed(state EngineState) bool {
	switch s.Phase {
	case Preparing:
		return state.HasNoMap() && !s.installsFirstMap()
	case Holding:
		return state.Hold != s.Change
	case Releasing:
		return state.HasNoMap()
	}
	return false
}

// installsFirstMap reports whether the group has never had a map: none was
// committed and no rank has one.
func (s *transition) installsFirstMap() bool { return s.Record.Change.IsNone() && s.noRankHasMap() }

func (s *transition) noRankHasMap() bool {
	for _, state := range s.States {
		if !state.HasNoMap() {
			return false
		}
	}
	return true
}

// advance enters the next phase once every rank has reached the required state.
func (s *transition) advance() {
	if len(s.pendingRanks()) > 0 {
		return
	}
	switch s.Phase {
	case Querying:
		s.resolveRound()
	case Preparing:
		s.handleAllPrepared()
	case Holding:
		s.commit()
	case Voiding:
		s.enterPhase(Aborting, 0)
	case Releasing, Aborting, Installing:
		s.startRound()
	}
}

func (s *transition) tick() {
	if s.Phase == Passive || s.now.Before(s.RetryAt) {
		return
	}
	if !s.Deadline.IsZero() && !s.now.Before(s.Deadline) {
		s.handlePhaseTimeout()
		return
	}
	switch s.Phase {
	case Claiming:
		s.readRecord()
	case Committing:
		s.writeRecord()
	case Steady:
		s.startRound()
	default:
		s.emit(Notice{Phase: s.Phase, Change: s.Change, Ranks: s.pendingRanks()})
		s.send()
	}
}

// handlePhaseTimeout ends a phase that has passed its deadline. A commit has an
// unknown outcome then and is voided; other phases restart with a query.
func (s *transition) handlePhaseTimeout() {
	if s.Phase == Committing {
		s.RecordStale = true
		s.enterPhase(Voiding, 0)
		return
	}
	s.startRound()
}

// startProposedChange starts a proposed change once the coordinator is steady and
// knows the record; after a write of unknown outcome it reads the record first.
func (s *transition) startProposedChange() {
	if s.Phase != Steady || !s.ChangeProposed {
		return
	}
	if s.RecordStale {
		s.readRecord()
		return
	}
	s.ChangeProposed = false
	s.Version = max(s.Version, s.Record.Change.ID.Version, s.newestVersion()) + 1
	s.Change = Change{ID: ID{Fence: s.Number.Fence, Version: s.Version}}
	s.emit(PublishMap{ID: s.Change.ID})
	s.enterPhase(Preparing, prepareTimeout)
}

func (s *transition) newestVersion() uint64 {
	var version uint64
	for _, state := range s.States {
		version = max(version, state.InForce.ID.Version, state.LastHeld.Version)
	}
	return version
}

func (s *transition) handleAllPrepared() {
	if s.installsFirstMap() {
		s.commit()
		return
	}
	margin := s.MarginSteps
	if margin == 0 {
		margin = defaultMarginSteps
	}
	for _, state := range s.States {
		s.Change.FirstStep = max(s.Change.FirstStep, state.Next+margin)
	}
	s.enterPhase(Holding, holdTimeout)
}
