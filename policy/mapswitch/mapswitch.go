// Package mapswitch is the state machine that coordinates changes of one group's
// expert map, which lists the experts that each rank holds. All ranks of a group
// run the passes of the model in lock step, and all must switch to the next version
// of the map before the same pass. A change takes these steps, each an order to the
// ranks:
//
//   - Prepare: every rank copies the experts of the next version.
//   - Hold: one rank does not begin a given pass until it is released, which keeps
//     the whole group from beginning it.
//   - Arm: every rank notes that it switches to the prepared version before the held
//     pass.
//   - Release: that rank stops waiting, so that the group begins the held pass.
//
// A fifth order, disarm, cancels a switch that a rank has been armed for. One
// coordinator, the process that has the group's lease, sends the orders. Its
// predecessor is the coordinator that had the lease before it and whose orders may
// still be in flight. Each time that the group forms anew, an epoch begins.
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
//   - A version number contains the fencing number of the coordinator that created
//     it, so that no version ever has two contents in an epoch. A coordinator stops
//     when a rank reports a version of a higher number.
//   - The number of a provisional coordinator, which agents have elected instead of
//     a lease holder, is unique only in its epoch. It stops in later epochs.
package mapswitch

import (
	"time"

	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/topology"
)

const (
	// passLead is the minimum number of passes by which the held pass is ahead of
	// the last one that the group is known to have begun. A rank rejects an order to
	// hold a pass that has already begun, and its reply tells which pass is next.
	passLead = 1
	// lostOrderPassLead is the minimum lead, instead of passLead, if orders of the
	// same change were lost: the group then has one more pass to run while lost orders
	// to arm are resent.
	lostOrderPassLead = 2
	// maxPassLead is the maximum number of passes by which the held pass is ahead of
	// the last one that the group is known to have begun. The next coordinator only
	// orders holds of passes that are more than maxPassLead after the last pass that
	// it finds begun, so that a delayed order of its predecessor to release a pass
	// never names a pass before which it makes a rank wait.
	maxPassLead = 4
	// armTimePerRank, multiplied by the number of ranks, is the estimated time to make
	// a rank wait before a pass, arm all ranks and release the pass, until a change has
	// been measured. It covers the calls and reports of a small machine.
	armTimePerRank = time.Millisecond
	// defaultResendDelay is how long to wait for an order to take effect before it is
	// resent; engines on the agent's machine reply within a few ms.
	defaultResendDelay = 12 * time.Millisecond
	// copyResendDelay is how long to wait before an order to prepare a version is
	// resent. The order takes effect only when the experts have been copied; a rank
	// that is copying reports that it is busy.
	copyResendDelay = 40 * time.Millisecond
	// orderCallTimeout is how long no further order is sent to a rank while the call
	// that carries the last one has not returned; the calls themselves have shorter
	// timeouts.
	orderCallTimeout = time.Second
	// prepareTimeout is how long ranks may copy before the version is abandoned. A
	// change brings each rank a few experts, and copying one takes about 0.1 s.
	prepareTimeout = 4 * time.Second
	// versionsPerFence is the number of map versions that can be created under one lease.
	versionsPerFence = 1 << 20
)

// Phase is the state in which the coordinator of map changes is.
type Phase int

// The phases of a map change.
const (
	Survey    Phase = iota // Ranks are being read to find the map in use and orders that an earlier coordinator left.
	Idle                   // No change is in progress.
	Preparing              // Ranks copy the experts of the next version.
	Holding                // A rank is being ordered to wait before a pass, so that the group does not begin it.
	Arming                 // Ranks are being armed to switch before the held pass; the group may stall meanwhile.
	Releasing              // The held pass is being released.
	Settling               // The held pass is released, and the group has not yet begun it.
	Fencing                // An earlier coordinator's orders to arm are invalidated, so that the rank that it made wait before a pass can be released.
)

// String returns the phase's name for logs and metrics.
func (p Phase) String() string {
	return [...]string{"survey", "idle", "preparing", "holding", "arming", "releasing", "settling", "fencing"}[p]
}

// Map is an expert map: the experts that each rank holds, indexed by expert set and
// rank. An expert set is a set of layers that share one placement of experts.
type Map = [][][]int

// State is the coordinator's view of its group.
type State struct {
	Fence uint64 // Fencing number of the lease, or the number of a provisional coordinator.
	Epoch int64
	Size  int // Number of ranks in this epoch.
	Ranks map[int]Rank

	Phase          Phase
	PhaseStartedAt time.Time // When the phase began.
	Version        int64     // The map version in force, or being put in force.
	NextMap        Map       // The map of Version while it is being put in force; nil if a predecessor began the change.
	Current        Map       // The map in use; nil while unknown.
	CurrentVersion int64     // The version of Current.
	Hold           Hold

	senderFailedAt       time.Time     // When the sender of a hold last failed to reply in time; zero if never.
	readAgeLimitOverride time.Duration // Replaces the computed read age limit if not 0.
	ownRank              int           // The rank on the coordinator's machine.
	minHoldPass          int64         // The lowest pass that may be held: an order to release a lower one may still be in flight.

	// initialSets and initialExperts are the numbers of expert sets and of experts in each,
	// from which the initial map follows; 0 while unknown.
	initialSets, initialExperts int

	superseded bool // A rank has reported a version of a later lease; all input is ignored from then on.
	// isProvisional means that the number is unique in Epoch only, in which the coordinator
	// was elected. It stops in later epochs.
	isProvisional bool

	versionsMade int64 // Number of versions created under this lease.
	ordersLost   bool  // An order to prepare had to be resent in this change.
	passTiming   passTiming
	// releasablePasses are the passes whose hold may be released at once: those that
	// this coordinator has ordered ranks to wait before, and those for which a
	// predecessor's orders to arm have been invalidated.
	releasablePasses map[int64]bool
}

// Rank is the last reported state of a rank.
type Rank struct {
	State             topology.RankState
	Lists             topology.RankLists // The experts that the rank holds; valid if its MapVersion is that of State.
	ReportRequestedAt time.Time          // When the report was requested.
	AgentUnreachable  bool               // The report was read from the engine itself, as its agent is unreachable.
	OrderedAt         time.Time          // When the last order was sent.
	OrderPending      bool               // The call that carries the last order has not returned.
}

// New returns the state of a coordinator that has just acquired the lease with the
// fencing number and runs on the machine of the rank ownRank.
func New(fence uint64, ownRank int) State {
	return State{Fence: fence, ownRank: ownRank, Ranks: map[int]Rank{}, releasablePasses: map[int64]bool{}}
}

// NewProvisional returns the state of a coordinator that was elected in the epoch and has
// the number as its fencing number there.
func NewProvisional(fence uint64, ownRank int, epoch int64) State {
	s := New(fence, ownRank)
	s.Epoch, s.isProvisional = epoch, true
	return s
}

// RankRead carries a rank's own report and, if they were read, the lists of the
// experts that it holds.
type RankRead struct {
	State topology.RankState
	Lists topology.RankLists
	// RequestedAt is when the report was requested. A report that was requested
	// before the rank's latest report was requested is ignored.
	RequestedAt time.Time
	// AgentUnreachable means that the engine itself was read because its agent is
	// unreachable.
	AgentUnreachable bool
}

func (RankRead) EventName() string { return "mapswitch.rank_read" }

// OrderReturned reports that the call that carried an order has returned, whether or
// not the order succeeded.
type OrderReturned struct {
	Rank     int
	Kind     topology.OrderKind
	Answered bool // The agent, or the engine itself, has replied.
}

func (OrderReturned) EventName() string { return "mapswitch.given" }

// GroupOpened reports that the engine of the coordinator's own rank has begun an epoch, and
// which model the group runs. It is not needed for a coordinator to work: without it, the
// coordinator reads the initial map from the ranks.
type GroupOpened struct {
	Epoch         int64
	Rank          int // The rank on the coordinator's machine in this epoch.
	Sets, Experts int // Number of expert sets and of experts in each set.
}

func (GroupOpened) EventName() string { return "mapswitch.group_opened" }

// Batch carries events that arrived together. Phases are entered and orders are sent
// once, after all of them.
type Batch struct{ Events []reduce.Event }

func (Batch) EventName() string { return "mapswitch.batch" }

// PlanReady carries the map that the planner wants to put in force.
type PlanReady struct {
	Epoch int64
	Map   Map
}

func (PlanReady) EventName() string { return "mapswitch.planned" }

// SendOrder is the effect that sends an order to a rank and then reads the rank.
type SendOrder struct {
	Rank  int
	Order topology.Order
	// BaseMap and BaseVersion are the map in use and its version, from which an order
	// to prepare may be sent as a list of changes; nil and 0 for other orders. A rank's
	// own report may lag behind that version.
	BaseMap     Map
	BaseVersion int64
	// SenderRank is the rank whose agent sends the order to the engine. It is Rank
	// itself, except for an order to hold a pass.
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

// Superseded reports that a rank has a map version which the coordinator of a later
// lease created, so that this coordinator must stop.
type Superseded struct{ Version int64 }

func (Superseded) EffectName() string { return "mapswitch.resigned" }

// EpochEnded reports that a rank is in a later epoch than the one in which this
// provisional coordinator was elected, so that it must stop.
type EpochEnded struct{ Epoch int64 }

func (EpochEnded) EffectName() string { return "mapswitch.epoch_ended" }

// Step applies one input to the state. It modifies the Go maps inside the state, so
// the caller must not share them.
func Step(s State, input reduce.Input) (State, []reduce.Effect) {
	events := []reduce.Event{input.Event}
	if batch, ok := input.Event.(Batch); ok {
		events = batch.Events
	}
	var effects, more []reduce.Effect
	for _, event := range events {
		if s.superseded {
			return s, effects
		}
		s, more = s.apply(event, input.Now)
		effects = append(effects, more...)
	}
	if s.superseded {
		return s, effects
	}
	s, more = s.advance(input.Now)
	return s, append(effects, more...)
}

// apply records one event without acting on it.
func (s State) apply(event reduce.Event, now time.Time) (State, []reduce.Effect) {
	switch event := event.(type) {
	case RankRead:
		return s.applyReport(event, now)
	case OrderReturned:
		if rank, ok := s.Ranks[event.Rank]; ok {
			rank.OrderPending = false
			s.Ranks[event.Rank] = rank
		}
		if event.Kind == topology.Hold && event.Answered && event.Rank == s.Hold.Rank && s.Hold.orderRepliedAt.IsZero() {
			s.Hold.orderRepliedAt = now
		}
	case GroupOpened:
		if event.Epoch >= s.Epoch {
			s.ownRank, s.initialSets, s.initialExperts = event.Rank, event.Sets, event.Experts
		}
	case PlanReady:
		if s.Phase == Idle && event.Epoch == s.Epoch {
			s.NextMap = event.Map
			s.Version = s.nextVersion()
			s.ordersLost = false
			return s.enterPhase(Preparing, "planned", now)
		}
	}
	return s, nil
}

// applyReport stores a rank's report. A report of a new epoch discards what is
// recorded of the ranks, their maps and their holds.
func (s State) applyReport(event RankRead, now time.Time) (State, []reduce.Effect) {
	state := event.State
	var effects []reduce.Effect
	if state.Epoch < s.Epoch {
		return s, nil
	}
	if s.isProvisional && state.Epoch > s.Epoch {
		s.superseded = true
		return s, []reduce.Effect{EpochEnded{Epoch: state.Epoch}}
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
	s.passTiming.observePass(state.Pass, now)
	return s, effects
}

// advance enters the following phases as far as the ranks' reports allow and sends
// the orders of each phase that it enters.
func (s State) advance(now time.Time) (State, []reduce.Effect) {
	var effects []reduce.Effect
	for {
		next, phaseChange, orders := s.stepPhase(now)
		effects = append(effects, phaseChange...)
		effects = append(effects, orders...)
		if next.Phase == s.Phase {
			return next, effects
		}
		s = next
	}
}

// stepPhase sends the orders that the phase still needs, or enters the next phase.
// phaseChange contains the effects of the change of phase, orders those that send
// orders.
func (s State) stepPhase(now time.Time) (next State, phaseChange, orders []reduce.Effect) {
	if !s.allRanksRead() {
		return s, nil, nil
	}
	if (s.Phase == Idle || s.Phase == Preparing) && s.hasPredecessorHold() {
		s, phaseChange = s.enterPhase(Survey, "a predecessor has set a hold", now)
		return s, phaseChange, nil
	}
	switch s.Phase {
	case Survey:
		s, phaseChange = s.survey(now)
	case Idle:
		// An order of this coordinator to hold a pass may have taken effect late. No rank
		// is armed for that pass, which has been abandoned or is over, so it is released.
		s, orders = s.releaseLateHolds(now)
	case Preparing:
		s, phaseChange, orders = s.prepare(now)
		var releases []reduce.Effect
		s, releases = s.releaseLateHolds(now)
		orders = append(orders, releases...)
	case Holding:
		s, phaseChange, orders = s.orderHold(now)
	case Arming:
		s, phaseChange, orders = s.arm(now)
	case Releasing:
		s, phaseChange, orders = s.release(now)
	case Settling:
		// A hold that took effect late is released, since all ranks are armed.
		s, orders = s.releaseLateHolds(now)
		s, phaseChange = s.settle(now)
	case Fencing:
		s, phaseChange, orders = s.fencePredecessor(now)
	}
	return s, phaseChange, orders
}

// allRanksRead reports whether every rank of the epoch has been read.
func (s State) allRanksRead() bool { return s.Size > 0 && len(s.Ranks) == s.Size }

// UsesInitialMap reports whether no change is in progress and the group uses the map with
// which its epoch began.
func (s State) UsesInitialMap() bool {
	return s.Phase == Idle && s.Current != nil && s.CurrentVersion == 0
}

// HasLists reports whether the expert lists of the rank are known for the map that it reports
// to use.
func (s State) HasLists(rank int) bool {
	known, ok := s.Ranks[rank]
	return ok && known.Lists.Experts != nil && known.Lists.MapVersion == known.State.MapVersion
}

// NeedsLists reports whether the lists of the experts that the ranks hold must be
// read along with their state.
func (s State) NeedsLists() bool { return s.Phase == Survey && !s.showsInitialMap() }

// Slowness returns the slowness factor of each rank, by which its passes take longer
// than normal: 1 for a rank of normal speed or one that has not been read.
func (s State) Slowness() []float64 {
	slowness := make([]float64, s.Size)
	for id := range slowness {
		slowness[id] = max(1, s.Ranks[id].State.Pace)
	}
	return slowness
}

// Requests returns the number of requests at all ranks, running or queued.
func (s State) Requests() int {
	total := 0
	for _, rank := range s.Ranks {
		total += rank.State.Active + rank.State.Queued
	}
	return total
}

// enterPhase switches to a phase. It clears the times of earlier orders, so that they
// do not delay the orders of the new phase.
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
