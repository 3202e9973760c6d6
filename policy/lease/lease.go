// Package lease reduces a lease with a fencing number that is held in one row
// of the table service through compare-and-set.
//
// Invariant: every holder has its own fencing number, and later ones have
// higher numbers. The lease does not promise a single holder at a time: a
// paused one may wake, so whoever obeys holders must refuse old numbers.
//
// No clocks are compared between machines: a candidate takes the lease after
// its row has not changed for a while on the candidate's own clock.
package lease

import (
	"time"

	"persimmonwind.dev/policy/reduce"
)

const (
	renewInterval = 2 * time.Second
	leaseTimeout  = 6 * time.Second // A row unchanged for so long is free.
	retryInterval = time.Second
)

// Row is the value of the lease's row.
type Row struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
	Nonce  uint64 `json:"nonce"` // Differs for every write.
}

// State is what a candidate knows of the lease.
type State struct {
	Self          string
	TakeoverDelay time.Duration // Added to the lapse, so that candidates don't race.

	Held     bool
	Fence    uint64 // Highest fencing number seen; the own one while Held.
	Version  uint64 // Of the row as last seen.
	Nonce    uint64 // Of the own write under way.
	Row      Row    // As last seen.
	SeenAt   time.Time
	InFlight bool // A read or write is under way.
	NextAt   time.Time
}

// Read brings the row; Version 0 means that it does not exist.
type Read struct {
	Row     Row
	Version uint64
}

// EventName implements reduce.Event.
func (Read) EventName() string { return "lease.read" }

// Failed tells that a read brought nothing, or that a write has an unknown
// outcome.
type Failed struct{}

// EventName implements reduce.Event.
func (Failed) EventName() string { return "lease.failed" }

// Written tells that a write was applied.
type Written struct {
	Row     Row
	Version uint64
}

// EventName implements reduce.Event.
func (Written) EventName() string { return "lease.written" }

// Conflict tells that the row had another version; nothing was written.
type Conflict struct{}

// EventName implements reduce.Event.
func (Conflict) EventName() string { return "lease.conflict" }

// HolderHeard tells that an order of the holder with the number arrived, so
// the candidate need not read the row.
type HolderHeard struct{ Fence uint64 }

// EventName implements reduce.Event.
func (HolderHeard) EventName() string { return "lease.holder_heard" }

// ReadRow asks for the row; answered by Read or Failed.
type ReadRow struct{}

// EffectName implements reduce.Effect.
func (ReadRow) EffectName() string { return "lease.read_row" }

// WriteRow writes the row if it has the version; answered by Written, Conflict
// or Failed.
type WriteRow struct {
	Row       Row
	IfVersion uint64
}

// EffectName implements reduce.Effect.
func (WriteRow) EffectName() string { return "lease.write_row" }

// Step reduces one input.
func Step(s State, input reduce.Input) (State, []reduce.Effect) {
	switch event := input.Event.(type) {
	case reduce.Tick:
		return s.tick(input)
	case HolderHeard:
		return s.holderHeard(event, input.Now), nil
	case Read:
		s.InFlight = false
		return s.read(event, input)
	case Written:
		s.InFlight = false
		return s.observe(event.Row, event.Version, input.Now), nil
	case Conflict:
		s.InFlight = false
		s.NextAt = input.Now
	case Failed:
		s.InFlight = false
		s.NextAt = input.Now.Add(retryInterval)
	}
	return s, nil
}

func (s State) tick(input reduce.Input) (State, []reduce.Effect) {
	if s.InFlight || input.Now.Before(s.NextAt) {
		return s, nil
	}
	s.InFlight = true
	s.NextAt = input.Now.Add(renewInterval)
	return s, []reduce.Effect{ReadRow{}}
}

func (s State) holderHeard(event HolderHeard, now time.Time) State {
	if s.Held || event.Fence < s.Fence {
		return s
	}
	s.Fence, s.SeenAt = event.Fence, now
	s.NextAt = now.Add(leaseTimeout / 2)
	return s
}

// read renews the own lease or takes one that has lapsed.
func (s State) read(event Read, input reduce.Input) (State, []reduce.Effect) {
	s = s.observe(event.Row, event.Version, input.Now)
	free := event.Version == 0 || input.Now.Sub(s.SeenAt) >= leaseTimeout+s.TakeoverDelay
	row := Row{Holder: s.Self, Fence: event.Row.Fence, Nonce: input.Random}
	switch {
	case s.Held:
	case free:
		row.Fence++
	default:
		return s, nil
	}
	s.InFlight, s.Nonce = true, input.Random
	return s, []reduce.Effect{WriteRow{Row: row, IfVersion: event.Version}}
}

// observe takes in the row. A write of this process with a lost answer is known by
// its nonce.
func (s State) observe(row Row, version uint64, now time.Time) State {
	if version != s.Version {
		s.SeenAt = now
	}
	own := version > 0 && s.Nonce != 0 && row.Holder == s.Self && row.Nonce == s.Nonce
	s.Held = own || (s.Held && row.Fence == s.Fence)
	s.Row, s.Version = row, version
	s.Fence = max(s.Fence, row.Fence)
	return s
}
