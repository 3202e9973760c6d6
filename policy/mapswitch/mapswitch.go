// Package mapswitch is the state machine that coordinates changes of one group's
// expert map. Every rank copies the next version, a hold keeps the group from
// beginning a pass until all ranks are armed for it, and then all ranks switch
// in the same pass.
//
// Invariant: no pass begins while two ranks have different maps. Orders may be
// lost, or take effect seconds later and after newer ones. A missing reply
// proves nothing; decisions are based only on the ranks' own reports.
//
//   - The hold is released only when every rank of the epoch has reported that
//     it is armed for the same version and pass, or when no rank is armed and no
//     order to arm for that pass can still take effect.
//   - A rank is disarmed only if another rank can no longer be armed for the
//     version, so that no coordinator ever sees all of them armed. Otherwise a
//     report of any age that shows a rank armed stays valid until the pass
//     begins.
//   - A pass is never held while an order to release it may still be in flight.
//   - A version number contains the fencing number of the lease that created it,
//     so that no version ever has two contents. A coordinator stops when a rank
//     reports a version of a later lease.
package mapswitch

import (
	"time"

	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/topology"
)

const (
	// passLead is the minimum number of passes by which the held pass is ahead of
	// the last known one. A rank rejects a hold that arrives too late for its pass,
	// and its reply tells which pass is next.
	passLead = 1
	// lostOrderPassLead replaces passLead if orders of the same change were lost:
	// the group then has one more pass to run while lost orders to arm are resent.
	lostOrderPassLead = 2
	// maxPassLead is the maximum number of passes by which the held pass is ahead of
	// the last known one. A successor only holds passes more than maxPassLead after
	// the last one that it finds, so that a delayed release order of its predecessor
	// never matches one of its holds.
	maxPassLead = 4
	// armTimePerRank is the estimated time per rank to hold, arm and release until a
	// change has been measured. It covers the calls and reports of a small machine.
	armTimePerRank = time.Millisecond
	// resendAfter is how long to wait for an order to take effect before it is
	// resent; engines on the same machine answer within a few ms.
	resendAfter = 12 * time.Millisecond
	// copyResendAfter is the same for an order to copy, which takes effect only when
	// the copy is complete; a rank that is copying reports that it is busy.
	copyResendAfter = 40 * time.Millisecond
	// pendingLimit is how long to wait for the call of an order to return; the calls
	// themselves have shorter timeouts.
	pendingLimit = time.Second
	// prepareLimit is how long ranks may copy before the version is abandoned. A
	// change brings each rank a few experts, and copying one takes about 0.1 s.
	prepareLimit = 4 * time.Second
	// versionsPerFence is the number of versions that one lease can create.
	versionsPerFence = 1 << 20
)

// Phase is the phase of a map change.
type Phase int

// The phases of a map change.
const (
	Survey    Phase = iota // Not all ranks have been read in this epoch.
	Idle                   // No change is in progress.
	Preparing              // Ranks copy the next version.
	Holding                // The hold is being set.
	Arming                 // Ranks are being armed; the group may stall meanwhile.
	Releasing              // The hold is being released.
	Settling               // The group has not yet begun the held pass.
	Fencing                // A predecessor's orders are invalidated before its hold is released.
)

// String returns the phase's name for logs and metrics.
func (p Phase) String() string {
	return [...]string{"survey", "idle", "preparing", "holding", "arming", "releasing", "settling", "fencing"}[p]
}

// Map lists the experts of each rank, by set and rank.
type Map = [][][]int

// State is the coordinator's view of its group.
type State struct {
	Fence uint64 // Fencing number of the lease.
	Epoch int64
	Size  int // Number of ranks in this epoch.
	Ranks map[int]Rank

	Phase          Phase
	PhaseStartedAt time.Time // When the phase began.
	Version        int64     // The version in force, or being put in force.
	NextMap        Map       // Content of Version while it is put in force; nil for a predecessor's change.
	Current        Map       // The map in use; nil while unknown.
	CurrentVersion int64     // The version of Current.
	Hold           Hold

	senderFailedAt       time.Time     // When the sender of a hold last failed to answer; zero if never.
	readAgeLimitOverride time.Duration // Replaces the computed read age limit if not 0.
	ownRank              int           // The rank on the coordinator's machine.
	minHoldPass          int64         // Lower passes are not held: an order to release one may be in flight.

	superseded bool // A rank has reported a version of a later lease; all input is ignored from then on.

	versionsMade int64 // Number of versions created under this lease.
	ordersLost   bool  // An order to copy had to be resent in this change.
	passTiming   passTiming
	// releasablePasses are the passes whose hold may be released at once: those that
	// this lease has held, and those whose orders to arm have been invalidated.
	releasablePasses map[int64]bool
}

// Rank is the last reported state of a rank.
type Rank struct {
	State             topology.RankState
	Lists             topology.RankLists // Lists for State.MapVersion, if the versions match.
	ReportRequestedAt time.Time          // When the report was requested.
	AgentUnreachable  bool               // The agent is unreachable; the engine itself was read.
	OrderedAt         time.Time          // When the last order was sent.
	OrderPending      bool               // The call of the last order has not returned.
}

// New returns the state of a coordinator that has just acquired the lease and
// runs on the machine of the rank ownRank.
func New(fence uint64, ownRank int) State {
	return State{Fence: fence, ownRank: ownRank, Ranks: map[int]Rank{}, releasablePasses: map[int64]bool{}}
}

// RankRead carries a rank's own report, and its lists if they were read.
type RankRead struct {
	State topology.RankState
	Lists topology.RankLists
	// RequestedAt is when the report was requested. A report that was requested
	// before the latest known one is ignored.
	RequestedAt time.Time
	// AgentUnreachable means that the engine itself was read because its agent is unreachable.
	AgentUnreachable bool
}

func (RankRead) EventName() string { return "mapswitch.rank_read" }

// OrderReturned reports that the call of an order has returned, whether or not
// the order succeeded.
type OrderReturned struct {
	Rank     int
	Kind     topology.OrderKind
	Answered bool // By an agent, or by the engine itself.
}

func (OrderReturned) EventName() string { return "mapswitch.given" }

// PlanReady carries the next map.
type PlanReady struct {
	Epoch int64
	Map   Map
}

func (PlanReady) EventName() string { return "mapswitch.planned" }

// SendOrder is the effect that sends the order to the rank; the rank is read
// after it.
type SendOrder struct {
	Rank  int
	Order topology.Order
	// BaseMap and BaseVersion are the map in use, on which an order to copy builds;
	// nil and 0 for other orders. A rank's own report may lag behind that version.
	BaseMap     Map
	BaseVersion int64
	// SenderRank is the rank whose agent sends the order. It is the rank itself, except
	// for holds.
	SenderRank int
}

func (SendOrder) EffectName() string { return "mapswitch.give" }

// ReadRank is the effect that reads a rank immediately.
type ReadRank struct{ Rank int }

func (ReadRank) EffectName() string { return "mapswitch.look" }

// PhaseChanged reports a change of phase, for the log.
type PhaseChanged struct {
	From, To    Phase
	Epoch       int64
	Version     int64
	Pass        int64
	TimeInPhase time.Duration // Time spent in the previous phase.
	Reason      string
}

func (PhaseChanged) EffectName() string { return "mapswitch.moved" }

// Superseded reports that a later lease has created the version, so that this
// coordinator must stop.
type Superseded struct{ Version int64 }

func (Superseded) EffectName() string { return "mapswitch.resigned" }

// Step applies one input to the state. It modifies the maps inside the state, so
// the caller must not share them.
func Step(s State, input reduce.Input) (State, []reduce.Effect) {
	if s.superseded {
		return s, nil
	}
	var effects []reduce.Effect
	switch event := input.Event.(type) {
	case RankRead:
		s, effects = s.applyReport(event, input.Now)
	case OrderReturned:
		if rank, known := s.Ranks[event.Rank]; known {
			rank.OrderPending = false
			s.Ranks[event.Rank] = rank
		}
		if event.Kind == topology.Hold && event.Answered && event.Rank == s.Hold.Rank && s.Hold.answeredAt.IsZero() {
			s.Hold.answeredAt = input.Now
		}
	case PlanReady:
		if s.Phase == Idle && event.Epoch == s.Epoch {
			s.NextMap = event.Map
			s.Version = s.nextVersion()
			s.ordersLost = false
			s, effects = s.enterPhase(Preparing, "planned", input.Now)
		}
	}
	if s.superseded {
		return s, effects
	}
	s, more := s.advance(input.Now)
	return s, append(effects, more...)
}

// applyReport stores a report. A new epoch invalidates everything known of the
// ranks.
func (s State) applyReport(event RankRead, now time.Time) (State, []reduce.Effect) {
	state := event.State
	var effects []reduce.Effect
	if state.Epoch < s.Epoch {
		return s, nil
	}
	if s.hasSuccessorVersion(state) {
		s.superseded = true
		return s, []reduce.Effect{Superseded{Version: max(state.MapVersion, state.Prepared, state.Armed)}}
	}
	if state.Epoch > s.Epoch || state.Size != s.Size {
		s.Epoch, s.Size = state.Epoch, state.Size
		s.Ranks = map[int]Rank{}
		s.Current, s.NextMap = nil, nil
		s.releasablePasses, s.minHoldPass = map[int64]bool{}, 0
		s.passTiming.pass = 0
		s, effects = s.enterPhase(Survey, "new epoch", now)
	}
	rank := s.Ranks[state.Rank]
	if event.RequestedAt.Before(rank.ReportRequestedAt) {
		return s, effects
	}
	rank.State, rank.ReportRequestedAt, rank.AgentUnreachable = state, event.RequestedAt, event.AgentUnreachable
	if event.Lists.Experts != nil && event.Lists.MapVersion == state.MapVersion {
		rank.Lists = event.Lists
	}
	s.Ranks[state.Rank] = rank
	s.passTiming.observePass(s.lastPass(), now)
	return s, effects
}

// advance goes through the phases as far as the reports allow and sends the
// orders of the phases on the way.
func (s State) advance(now time.Time) (State, []reduce.Effect) {
	var effects []reduce.Effect
	for {
		next, moved, orders := s.stepPhase(now)
		effects = append(effects, moved...)
		effects = append(effects, orders...)
		if next.Phase == s.Phase {
			return next, effects
		}
		s = next
	}
}

func (s State) stepPhase(now time.Time) (next State, moved, orders []reduce.Effect) {
	if !s.allRanksRead() {
		return s, nil, nil
	}
	if (s.Phase == Idle || s.Phase == Preparing) && s.hasForeignHold() {
		s, moved = s.enterPhase(Survey, "a predecessor has set a hold", now)
		return s, moved, nil
	}
	switch s.Phase {
	case Survey:
		s, moved = s.survey(now)
	case Idle:
		// Releases a hold of this lease that took effect late. No rank is armed for its
		// pass, which has been abandoned or is over.
		s, orders = s.releaseLateHolds(now)
	case Preparing:
		s, moved, orders = s.prepare(now)
		var strays []reduce.Effect
		s, strays = s.releaseLateHolds(now)
		orders = append(orders, strays...)
	case Holding:
		s, moved, orders = s.putHold(now)
	case Arming:
		s, moved, orders = s.arm(now)
	case Releasing:
		s, moved, orders = s.release(now)
	case Settling:
		// Releases a hold that took effect late: all ranks are armed.
		s, orders = s.releaseLateHolds(now)
		s, moved = s.settle(now)
	case Fencing:
		s, moved, orders = s.fencePredecessor(now)
	}
	return s, moved, orders
}

// allRanksRead reports whether every rank of the epoch has been read.
func (s State) allRanksRead() bool { return s.Size > 0 && len(s.Ranks) == s.Size }

// NeedsLists reports whether the ranks' lists must be read.
func (s State) NeedsLists() bool { return s.Phase == Survey }

// Slowness returns the slowness factor of each rank: 1 for a rank of normal
// speed or one that has not been read.
func (s State) Slowness() []float64 {
	slowness := make([]float64, s.Size)
	for id := range slowness {
		slowness[id] = max(1, s.Ranks[id].State.Pace)
	}
	return slowness
}

// Requests returns the number of requests at all ranks.
func (s State) Requests() int {
	total := 0
	for _, rank := range s.Ranks {
		total += rank.State.Active + rank.State.Queued
	}
	return total
}

// enterPhase switches to a phase. It clears the record of earlier orders, so
// that they do not delay those of the new phase.
func (s State) enterPhase(to Phase, reason string, now time.Time) (State, []reduce.Effect) {
	effect := PhaseChanged{From: s.Phase, To: to, Epoch: s.Epoch, Version: s.Version, Pass: s.Hold.Pass, Reason: reason}
	if !s.PhaseStartedAt.IsZero() {
		effect.TimeInPhase = now.Sub(s.PhaseStartedAt)
	}
	s.Phase, s.PhaseStartedAt = to, now
	for id, rank := range s.Ranks {
		rank.OrderedAt, rank.OrderPending = time.Time{}, false
		s.Ranks[id] = rank
	}
	return s, []reduce.Effect{effect}
}
