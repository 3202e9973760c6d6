// Package view is the reducer for what a process knows about the configuration:
// the snapshot in force, the newest revision known to exist, and the latest time at
// which the snapshot in force was known to be the newest accepted one.
//
// Invariant: the revision in force never decreases.
package view

import (
	"time"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/reduce"
)

const (
	// EntryPollAfter is the age of State.CurrentAt at which an entry reads the
	// table service.
	EntryPollAfter = 1500 * time.Millisecond
	// AgentPollAfter is the age of State.CurrentAt at which an agent reads the table
	// service. It is longer than EntryPollAfter because an agent normally learns of
	// changes from entries first.
	AgentPollAfter = 3 * time.Second

	pollJitter          = 500 * time.Millisecond  // Greatest random delay after a successful fetch before the next one.
	behindRetryDelay    = 200 * time.Millisecond  // Base of the exponential backoff while a newer revision is known or there is no snapshot.
	maxBehindRetryDelay = 2 * time.Second         // Longest backoff, before jitter.
	maxRetryDoublings   = 4                       // Failed fetches after which the backoff no longer doubles.
	outageRetryDelay    = 2500 * time.Millisecond // Retry delay while no newer revision is known, before jitter.
	retryJitterShare    = 0.4                     // Greatest random addition to a retry delay, as a share of it.
)

// State is what a process knows about the configuration.
type State struct {
	InForce      *config.Snapshot // Nil until the first snapshot is installed.
	RevisionSeen uint64           // Newest revision known to exist.
	// CurrentAt is the latest known start of a read of the table service, of
	// this process or another, that showed InForce as the newest.
	CurrentAt time.Time
	PollAfter time.Duration // The table service is read when the configuration has not been confirmed as the newest for this long.

	Fetching  bool
	NextFetch time.Time
	Failures  int // Consecutive failed fetches.
}

// RevisionSeen is the event that a peer has reported the revision that it has in
// force.
type RevisionSeen struct{ Revision uint64 }

func (RevisionSeen) EventName() string { return "view.heard" }

// Fetched delivers a snapshot that was read from the table service or received
// from a peer.
type Fetched struct{ Snapshot *config.Snapshot }

func (Fetched) EventName() string { return "view.fetched" }

// StoreRead reports the newest accepted revision according to a read of the
// table service that began at BeganAt.
type StoreRead struct {
	Revision uint64
	BeganAt  time.Time
}

func (StoreRead) EventName() string { return "view.store_read" }

// FetchDone reports that a fetch requested by the Fetch effect has ended.
type FetchDone struct{ Failed bool }

func (FetchDone) EventName() string { return "view.fetch_done" }

// ExchangeAnswered is a peer's answer to an exchange that this process began at
// BeganAt. It is not used for messages that a peer sends unasked, since their
// age is unknown.
type ExchangeAnswered struct {
	Peer       string
	DataCentre string
	Revision   uint64 // Revision in force at the peer, 0 for none.
	BeganAt    time.Time
	Current    bool          // The peer knows of a read of the table service that showed its revision as the newest.
	Age        time.Duration // Time from the start of the latest such read to the peer's answer; set if Current is.
	Started    bool          // evidence.State.Started of the peer: it has passed its start-up check.
}

func (ExchangeAnswered) EventName() string { return "view.met" }

// Fetch requests the newest snapshot. It is answered by any number of Fetched
// and StoreRead events, then one FetchDone.
type Fetch struct {
	PeersFirst bool // A peer has the newer snapshot: ask peers first to reduce load on the table service.
}

func (Fetch) EffectName() string { return "view.fetch" }

// Step applies one input to the state and returns the resulting effects.
func Step(state State, input reduce.Input) (State, []reduce.Effect) {
	switch event := input.Event.(type) {
	case RevisionSeen:
		state.RevisionSeen = max(state.RevisionSeen, event.Revision)
	case Fetched:
		state = install(state, event.Snapshot)
	case StoreRead:
		state = markCurrent(state, event.Revision, event.BeganAt)
	case ExchangeAnswered:
		state = applyExchange(state, event)
	case FetchDone:
		state = finishFetch(state, event, input)
	case reduce.Tick:
	default:
		return state, nil
	}
	return poll(state, input.Now)
}

func install(state State, snapshot *config.Snapshot) State {
	if state.InForce != nil && snapshot.Revision <= state.InForce.Revision {
		return state
	}
	state.InForce = snapshot
	state.RevisionSeen = max(state.RevisionSeen, snapshot.Revision)
	return state
}

// markCurrent records that the revision was the newest one at the given time.
// CurrentAt remains valid when a newer revision is installed: nothing newer
// than that revision had been accepted by then either.
func markCurrent(state State, revision uint64, at time.Time) State {
	state.RevisionSeen = max(state.RevisionSeen, revision)
	if revision == state.Revision() && revision > 0 && at.After(state.CurrentAt) {
		state.CurrentAt = at
	}
	return state
}

func applyExchange(state State, event ExchangeAnswered) State {
	if event.Current {
		return markCurrent(state, event.Revision, event.BeganAt.Add(-event.Age))
	}
	state.RevisionSeen = max(state.RevisionSeen, event.Revision)
	return state
}

// Revision returns the revision in force, 0 for none.
func (s State) Revision() uint64 {
	if s.InForce == nil {
		return 0
	}
	return s.InForce.Revision
}

// Behind reports whether the process knows of a revision newer than the one in
// force.
func (s State) Behind() bool { return s.RevisionSeen > s.Revision() }

// Age returns the time since the snapshot in force was known to be the newest.
func (s State) Age(now time.Time) time.Duration { return now.Sub(s.CurrentAt) }

// finishFetch schedules the next fetch. After a failure it waits with exponential
// backoff while a newer revision is known or there is no snapshot, and for
// outageRetryDelay otherwise. Every delay has jitter.
func finishFetch(state State, event FetchDone, input reduce.Input) State {
	state.Fetching = false
	if !event.Failed {
		state.Failures = 0
		state.NextFetch = input.Now.Add(jitter(input.Random, pollJitter))
		return state
	}
	state.Failures++
	delay := outageRetryDelay
	if state.Behind() || state.InForce == nil {
		delay = min(behindRetryDelay<<min(state.Failures, maxRetryDoublings), maxBehindRetryDelay)
	}
	state.NextFetch = input.Now.Add(delay + jitter(input.Random, time.Duration(retryJitterShare*float64(delay))))
	return state
}

func jitter(random uint64, limit time.Duration) time.Duration {
	return time.Duration(random % uint64(limit))
}

func poll(state State, now time.Time) (State, []reduce.Effect) {
	due := state.Behind() || state.InForce == nil || state.Age(now) >= state.PollAfter
	if state.Fetching || !due || now.Before(state.NextFetch) {
		return state, nil
	}
	state.Fetching = true
	return state, []reduce.Effect{Fetch{PeersFirst: state.Behind() && state.InForce != nil}}
}
