// Package mapswitch reduces the coordination of one group's expert map: every
// rank copies the next version, a hold keeps the group from beginning a pass
// until all ranks are armed for it, and the group switches as one.
//
// Invariant: no pass begins while two ranks have different maps. Orders may be
// lost, or be carried out seconds later, after newer ones; nothing is concluded
// from silence, only from ranks' own reports.
//
//   - The hold is released only when every rank of the epoch has reported that
//     it is armed for the same version and pass, or when no rank is armed and no
//     order to arm for that pass can still take effect.
//   - A rank is disarmed only where another rank can no longer be armed for the
//     version, so that no coordinator ever sees all of them armed. Else a report of
//     any age that shows a rank armed holds until the pass begins.
//   - No pass is held for which an order to release may still be on its way.
//   - A version holds the number of the lease that made it, so that no version
//     ever has two contents. A coordinator that a rank shows a later lease's version
//     ends.
package mapswitch

import (
	"time"

	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/topology"
)

const (
	// passLead is how many passes ahead of the last known one the hold is put at
	// least. A hold that comes too late for its pass is refused, and the answer tells
	// which pass is the next.
	passLead = 1
	// lostOrderPassLead holds where orders of the same change were lost: the group
	// then has a pass to run while lost orders to arm are repeated.
	lostOrderPassLead = 2
	// maxPassLead is how many passes ahead of the last known one a hold is put at
	// most. A successor's holds are beyond all passes that it finds within it, so
	// that a predecessor's release which takes effect late never meets them.
	maxPassLead = 4
	// armTimePerRank is what holding, arming and releasing take for each rank where
	// no change has shown it yet: calls and reports of a small machine.
	armTimePerRank = time.Millisecond
	// resendAfter is how long an order that shows no effect is waited for;
	// engines on the same machine answer within a few ms.
	resendAfter = 12 * time.Millisecond
	// copyResendAfter is the same for an order to copy, whose effect shows only
	// when the copy is complete; a rank that copies says that it is busy.
	copyResendAfter = 40 * time.Millisecond
	// pendingLimit is how long the return of an order's call is waited for; calls
	// have shorter limits of their own.
	pendingLimit = time.Second
	// prepareLimit is how long ranks may copy before the version is given up; a
	// change brings each rank a few experts of about 0.1 s each.
	prepareLimit = 4 * time.Second
	// versionsPerFence is the number of versions that one lease can make.
	versionsPerFence = 1 << 20
)

// Phase is where a change of the map stands.
type Phase int

// The phases.
const (
	Survey    Phase = iota // Not all ranks have been read in this epoch.
	Idle                   // No change is under way.
	Preparing              // Ranks copy the next version.
	Holding                // The hold is being put.
	Arming                 // Ranks are being armed; the group may rest.
	Releasing              // The hold is being released.
	Settling               // The group has not begun the pass yet.
	Fencing                // A predecessor's hold is made harmless before its release.
)

// String returns the phase's name for logs.
func (p Phase) String() string {
	return [...]string{"survey", "idle", "preparing", "holding", "arming", "releasing", "settling", "fencing"}[p]
}

// Map places experts: by set and rank.
type Map = [][][]int

// State is what a coordinator knows of its group.
type State struct {
	Fence uint64 // Number of the lease.
	Epoch int64
	Size  int // Ranks of the group in this epoch.
	Ranks map[int]Rank

	Phase          Phase
	Since          time.Time // Of the phase.
	Version        int64     // Being put in force, or in force.
	Next           Map       // Content of Version while it is put in force.
	Current        Map       // In use; nil while unknown.
	CurrentVersion int64     // The version of Current.
	Hold           Hold

	senderFailedAt       time.Time     // When a giver of a hold did not answer; zero for never.
	readAgeLimitOverride time.Duration // Overrides the hearing limit; 0 for the usual one.
	ownRank              int           // The rank beside the coordinator.
	minHoldPass          int64         // Passes below it are not held: a release may be on its way.

	superseded bool // A rank has shown a version of a later lease; nothing is done any more.

	versionsMade int64 // Versions made under this lease.
	ordersLost   bool  // An order to copy had to be repeated in this change.
	passTiming   passTiming
	// releasablePasses are passes whose hold may be released at once: those that this lease
	// has held, and those whose orders to arm were made void.
	releasablePasses map[int64]bool
}

// Rank is a rank as last reported.
type Rank struct {
	State             topology.RankState
	Lists             topology.RankLists // Of State.MapVersion where the versions agree.
	ReportRequestedAt time.Time          // When the report was asked for.
	Direct            bool               // Its agent is away: the report came from the engine itself.
	OrderedAt         time.Time          // When the last order was given.
	OrderPending      bool               // The call of the last order has not returned.
}

// New returns the state of a coordinator that has just taken the lease, on the
// machine of a rank.
func New(fence uint64, ownRank int) State {
	return State{Fence: fence, ownRank: ownRank, Ranks: map[int]Rank{}, releasablePasses: map[int64]bool{}}
}

// RankRead brings a rank's own report, and its lists where they were read.
type RankRead struct {
	State topology.RankState
	Lists topology.RankLists
	// RequestedAt is when the report was asked for; an older one that arrives late is
	// ignored.
	RequestedAt time.Time
	// Direct tells that the engine itself was read, because its agent is away.
	Direct bool
}

// EventName implements reduce.Event.
func (RankRead) EventName() string { return "mapswitch.rank_read" }

// OrderReturned tells that the call of an order has returned, whatever came of the order.
type OrderReturned struct {
	Rank     int
	Kind     topology.OrderKind
	Answered bool // By an agent, or by the engine itself.
}

// EventName implements reduce.Event.
func (OrderReturned) EventName() string { return "mapswitch.given" }

// Planned brings the next map.
type Planned struct {
	Epoch int64
	Map   Map
}

// EventName implements reduce.Event.
func (Planned) EventName() string { return "mapswitch.planned" }

// SendOrder asks to give the order to the rank; the rank is read after it.
type SendOrder struct {
	Rank  int
	Order topology.Order
	// BaseMap and FromVersion are the map in use where an order to copy builds on it;
	// nil for others. A rank's own report may lag behind that version.
	BaseMap     Map
	BaseVersion int64
	// Through is the rank whose agent gives the order: the rank itself, but for holds.
	Through int
}

// EffectName implements reduce.Effect.
func (SendOrder) EffectName() string { return "mapswitch.give" }

// ReadRank asks to read a rank at once.
type ReadRank struct{ Rank int }

// EffectName implements reduce.Effect.
func (ReadRank) EffectName() string { return "mapswitch.look" }

// PhaseChanged reports a change of phase, for the log.
type PhaseChanged struct {
	From, To    Phase
	Epoch       int64
	Version     int64
	Pass        int64
	TimeInPhase time.Duration // In the phase before.
	Reason      string
}

// EffectName implements reduce.Effect.
func (PhaseChanged) EffectName() string { return "mapswitch.moved" }

// Superseded reports that a later lease has made the version, so that this
// coordinator must end.
type Superseded struct{ Version int64 }

// EffectName implements reduce.Effect.
func (Superseded) EffectName() string { return "mapswitch.resigned" }

// Step reduces one input. The maps inside the state are its own.
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
	case Planned:
		if s.Phase == Idle && event.Epoch == s.Epoch {
			s.Next = event.Map
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

// applyReport takes in a report. A new epoch makes all that is known of ranks void.
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
		s.Current, s.Next = nil, nil
		s.releasablePasses, s.minHoldPass = map[int64]bool{}, 0
		s.passTiming.pass = 0
		s, effects = s.enterPhase(Survey, "new epoch", now)
	}
	rank := s.Ranks[state.Rank]
	if event.RequestedAt.Before(rank.ReportRequestedAt) {
		return s, effects
	}
	rank.State, rank.ReportRequestedAt, rank.Direct = state, event.RequestedAt, event.Direct
	if event.Lists.Experts != nil && event.Lists.MapVersion == state.MapVersion {
		rank.Lists = event.Lists
	}
	s.Ranks[state.Rank] = rank
	s.passTiming.observePass(s.lastPass(), now)
	return s, effects
}

// advance moves through the phases as far as the reports allow and gives the
// orders that the phase asks for.
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
		s, moved = s.enterPhase(Survey, "a predecessor has put a hold", now)
		return s, moved, nil
	}
	switch s.Phase {
	case Survey:
		s, moved = s.survey(now)
	case Idle:
		// A hold of this lease whose order took effect late; nothing is armed for
		// its pass, since that pass was given up or is over.
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
		// A hold that took effect late is released again: all ranks are armed.
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

// Slowness returns each rank's, 1 for a usual or unread one.
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

// enterPhase enters a phase; orders of the phase before don't delay its own.
func (s State) enterPhase(to Phase, reason string, now time.Time) (State, []reduce.Effect) {
	effect := PhaseChanged{From: s.Phase, To: to, Epoch: s.Epoch, Version: s.Version, Pass: s.Hold.Pass, Reason: reason}
	if !s.Since.IsZero() {
		effect.TimeInPhase = now.Sub(s.Since)
	}
	s.Phase, s.Since = to, now
	for id, rank := range s.Ranks {
		rank.OrderedAt, rank.OrderPending = time.Time{}, false
		s.Ranks[id] = rank
	}
	return s, []reduce.Effect{effect}
}
