// Package view reduces what a process knows about the configuration: the
// snapshot in force, the newest revision heard of, and the latest time at
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
	// EntryPollAfter is the age of an entry's knowledge at which it reads the
	// table service.
	EntryPollAfter = 1500 * time.Millisecond
	// AgentPollAfter is the same for an agent; it hears from entries before.
	AgentPollAfter = 3 * time.Second

	pollJitter      = 500 * time.Millisecond
	behindRetry     = 200 * time.Millisecond
	maxBehindRetry  = 3 * time.Second
	maxRetryDoubles = 4
	outageRetry     = 2500 * time.Millisecond
)

// State is what a process knows about the configuration.
type State struct {
	InForce      *config.Snapshot // Nil until the first snapshot is installed.
	RevisionSeen uint64           // Newest revision heard of.
	// CurrentAt is the latest known start of a read of the table service, of
	// this process or another, that showed InForce as the newest.
	CurrentAt time.Time
	PollAfter time.Duration // Age of CurrentAt at which to read the store.

	Fetching  bool
	NextFetch time.Time
	Failures  int // Fetches that failed in a row.
}

// RevisionSeen tells that a peer has the revision in force.
type RevisionSeen struct{ Revision uint64 }

// EventName implements reduce.Event.
func (RevisionSeen) EventName() string { return "view.heard" }

// Fetched brings a snapshot, read from the store or from a peer.
type Fetched struct{ Snapshot *config.Snapshot }

// EventName implements reduce.Event.
func (Fetched) EventName() string { return "view.fetched" }

// StoreRead tells the newest accepted revision according to a read of the
// table service that began at the time.
type StoreRead struct {
	Revision uint64
	BeganAt  time.Time
}

// EventName implements reduce.Event.
func (StoreRead) EventName() string { return "view.store_read" }

// FetchDone ends a Fetch.
type FetchDone struct{ Failed bool }

// EventName implements reduce.Event.
func (FetchDone) EventName() string { return "view.fetch_done" }

// ExchangeAnswered is a peer's answer to an exchange that this process began at the time.
// Messages that the peer sent by itself are no ExchangeAnswered: their age is unknown.
type ExchangeAnswered struct {
	Peer       string
	DataCentre string
	Revision   uint64 // In force at the peer, 0 for none.
	BeganAt    time.Time
	Current    bool          // The peer knows when its revision was the newest.
	Age        time.Duration // Time since then, at the peer's answer.
	Started    bool          // The peer's start-up bit.
}

// EventName implements reduce.Event.
func (ExchangeAnswered) EventName() string { return "view.met" }

// Fetch asks for the newest snapshot; the answer is any number of Fetched and
// StoreRead, then one FetchDone.
type Fetch struct {
	PeersFirst bool // A peer has it: spare the store.
}

// EffectName implements reduce.Effect.
func (Fetch) EffectName() string { return "view.fetch" }

// Step reduces one input.
func Step(state State, input reduce.Input) (State, []reduce.Effect) {
	switch event := input.Event.(type) {
	case RevisionSeen:
		state.RevisionSeen = max(state.RevisionSeen, event.Revision)
	case Fetched:
		state = install(state, event.Snapshot)
	case StoreRead:
		state = current(state, event.Revision, event.BeganAt)
	case ExchangeAnswered:
		state = meet(state, event)
	case FetchDone:
		state = finish(state, event, input)
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

// current takes in that the revision was the newest at the time. The time is
// kept when a newer revision is installed: nothing newer than that one was
// accepted by then either.
func current(state State, revision uint64, at time.Time) State {
	state.RevisionSeen = max(state.RevisionSeen, revision)
	if revision == state.Revision() && revision > 0 && at.After(state.CurrentAt) {
		state.CurrentAt = at
	}
	return state
}

func meet(state State, event ExchangeAnswered) State {
	if event.Current {
		return current(state, event.Revision, event.BeganAt.Add(-event.Age))
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

// Behind reports whether a newer revision than the one in force is known.
func (s State) Behind() bool { return s.RevisionSeen > s.Revision() }

// Age returns the time since the snapshot in force was known to be the newest.
func (s State) Age(now time.Time) time.Duration { return now.Sub(s.CurrentAt) }

func finish(state State, event FetchDone, input reduce.Input) State {
	state.Fetching = false
	if !event.Failed {
		state.Failures = 0
		state.NextFetch = input.Now.Add(jitter(input.Random, pollJitter))
		return state
	}
	state.Failures++
	wait := outageRetry
	if state.Behind() || state.InForce == nil {
		wait = min(behindRetry<<min(state.Failures, maxRetryDoubles), maxBehindRetry)
	}
	state.NextFetch = input.Now.Add(wait + jitter(input.Random, wait))
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
