package expertmap

import (
	"time"

	"persimmonwind.dev/policy/reduce"
)

const (
	defaultMarginSteps = 64 // Steps between the newest step reported by a rank and a change's first step.
	retryInterval      = 200 * time.Millisecond
	pollInterval       = 2 * time.Second // Time between two query rounds in the Steady phase.
	prepareTimeout     = 10 * time.Minute
	holdTimeout        = 2 * time.Second
	commitTimeout      = 2 * time.Second // If the outcome of a commit is still unknown after this time, the change is voided.
)

// Phase is the state of a coordinator's protocol.
type Phase string

// Phases of a coordinator.
const (
	Passive    Phase = ""           // The process is not the coordinator.
	Claiming   Phase = "claiming"   // Writes its fencing number to the group's record, so that writes of older coordinators fail.
	Querying   Phase = "querying"   // Collects the state of every rank.
	Steady     Phase = "steady"     // No change is in progress.
	Preparing  Phase = "preparing"  // Ranks load the weights of the next map.
	Holding    Phase = "holding"    // Ranks are ordered to wait before the change's first step.
	Committing Phase = "committing" // The change is being written to the group's record.
	Releasing  Phase = "releasing"  // Ranks are told that the change is committed.
	Voiding    Phase = "voiding"    // Ranks are ordered to refuse the release of the change.
	Aborting   Phase = "aborting"   // Ranks are ordered to drop the change and keep the map in force.
	Installing Phase = "installing" // Ranks without a map are given a state.
)

// orderKindOf maps each phase in which ranks are sent orders to the kind of the order.
var orderKindOf = map[Phase]Kind{
	Querying: Query, Preparing: Prepare, Holding: Hold, Releasing: Release,
	Voiding: Void, Aborting: Abort, Installing: Install,
}

// Coordinator is the state of the process that coordinates a group's map changes.
type Coordinator struct {
	MarginSteps uint64 // Steps between the newest step reported by a rank and a change's first step; 0 for the default.

	Phase                Phase
	Number               Number // Sequence number of the orders that are sent in this round.
	Record               Record // The group's record when it was last read or written.
	RecordVersion        uint64 // Version of the row of Record.
	RecordStale          bool   // A write with unknown outcome may have changed the group's record.
	StoreRequestInFlight bool   // A read or write of the group's record is in flight.

	States     []EngineState // By rank: the engine's state as last reported.
	HasReplied []bool        // By rank: the rank has replied in this query round.
	Before     []EngineState // By rank: the engine's state as last reported before this query round.

	Change         Change // The change in progress.
	ChangeProposed bool   // A change was proposed and has not started.
	Version        uint64 // Highest map version that this coordinator has used for a change.

	RetryAt  time.Time // When the requests of the phase are repeated or, in Steady, the next query round starts.
	Deadline time.Time // When the phase times out; zero if it does not.
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
		return s.Coordinator, nil // The read is retried at the next tick.
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

// becomeCoordinator starts to coordinate with the fencing number of the lease.
func (s *transition) becomeCoordinator(event LeaseAcquired) {
	if s.Phase != Passive && s.Number.Fence >= event.Fence {
		return
	}
	s.Coordinator = Coordinator{
		MarginSteps: s.MarginSteps, Number: Number{Fence: event.Fence},
		States: make([]EngineState, event.Ranks), HasReplied: make([]bool, event.Ranks),
	}
	s.claim()
}

// claim starts to write the coordinator's fencing number to the group's record.
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

// startRound starts a query round: it asks every rank for its state, from which the
// next phase follows.
func (s *transition) startRound() {
	s.Number.Round++
	s.HasReplied = make([]bool, len(s.HasReplied))
	s.Before = s.States
	s.Change = Change{}
	s.enterPhase(Querying, 0)
}

// rankDone reports whether the rank has reached the state that the phase requires.
func (s *transition) rankDone(rank int) bool {
	state := s.States[rank]
	switch s.Phase {
	case Querying:
		return s.HasReplied[rank]
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

// pendingRanks returns the ranks that have not reached the state that the phase
// requires.
func (s *transition) pendingRanks() []int {
	var ranks []int
	for rank := range s.States {
		if !s.rankDone(rank) {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// send sends the order of the phase to every rank that has not reached the state that
// the phase requires.
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

// handleReply records the state that a rank reports. A refusal by a rank that knows a
// newer coordinator stops this one.
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
	s.HasReplied = append([]bool(nil), s.HasReplied...)
	s.States[event.Rank], s.HasReplied[event.Rank] = event.State, true
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

// advance enters the next phase once every rank has reached the state that the phase
// requires.
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

// tick repeats the requests of the phase or ends the phase at its deadline.
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

// handlePhaseTimeout ends a phase whose deadline has passed. The outcome of a commit
// is unknown then, so the change is voided; after other phases a query round starts.
func (s *transition) handlePhaseTimeout() {
	if s.Phase == Committing {
		s.RecordStale = true
		s.enterPhase(Voiding, 0)
		return
	}
	s.startRound()
}

// startProposedChange starts a proposed change once no other is in progress and the
// coordinator knows the group's record; after a write of unknown outcome it reads the
// record first.
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

// newestVersion returns the highest version of a change that a rank uses or has accepted
// a hold for.
func (s *transition) newestVersion() uint64 {
	var version uint64
	for _, state := range s.States {
		version = max(version, state.InForce.ID.Version, state.LastHeld.Version)
	}
	return version
}

// handleAllPrepared commits the first map of a group. For any other change it selects
// the first step and orders the ranks to wait before it.
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
