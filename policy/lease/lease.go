// Package lease is the state machine of a lease with a fencing number, held in
// one row of the table service through compare-and-set.
//
// Invariant: every holder has its own fencing number, and later holders have
// higher numbers. The lease does not guarantee a single holder at a time: a
// paused holder may resume, so whoever accepts orders from holders must reject
// those with an old fencing number.
//
// Clocks of different machines are never compared: a candidate acquires the
// lease once its row has not changed for some time on the candidate's own clock.
package lease

import (
	"time"

	"persimmonwind.dev/policy/reduce"
)

const (
	renewInterval = 2 * time.Second // Time between two reads of the row; the holder renews the lease after each.
	leaseTimeout  = 6 * time.Second // A lease whose row has not changed for this long is free.
	retryInterval = time.Second     // Time until the next read after a read or write has failed.
)

// Row is the value of the lease's row.
type Row struct {
	Holder string `json:"holder"` // Name of the candidate that holds the lease.
	Fence  uint64 `json:"fence"`  // Fencing number of the holder.
	Nonce  uint64 `json:"nonce"`  // Random number that is different for every write.
}

// State is what a candidate knows about the lease.
type State struct {
	Self          string        // Name of this candidate.
	TakeoverDelay time.Duration // Added to the lease timeout, so that candidates do not race.

	IsHolder     bool      // This candidate holds the lease as far as it knows.
	Fence        uint64    // Highest fencing number seen; the candidate's own one while Held.
	Version      uint64    // Version of the row when it was last read or written.
	Nonce        uint64    // Nonce of this candidate's last write.
	Row          Row       // Content of the row when it was last read or written.
	HolderSeenAt time.Time // When the row last changed or an order of the holder arrived.
	InFlight     bool      // A read or write of the row is in flight.
	NextReadAt   time.Time // When the row is read next.
}

// RowRead carries the row that was read. Version 0 means that the row does not exist.
type RowRead struct {
	Row     Row
	Version uint64
}

func (RowRead) EventName() string { return "lease.read" }

// RowAccessFailed reports that a read failed or that the outcome of a write is unknown.
type RowAccessFailed struct{}

func (RowAccessFailed) EventName() string { return "lease.failed" }

// RowWritten reports that a write of the row was applied, and the row's new version.
type RowWritten struct {
	Row     Row
	Version uint64
}

func (RowWritten) EventName() string { return "lease.written" }

// WriteConflict reports that nothing was written because the row had another version than
// the write required.
type WriteConflict struct{}

func (WriteConflict) EventName() string { return "lease.conflict" }

// HolderSeen reports that an order of the holder with the fencing number has arrived.
// It shows that the holder is alive, so that the candidate need not read the row yet.
type HolderSeen struct{ Fence uint64 }

func (HolderSeen) EventName() string { return "lease.holder_heard" }

// ReadRow is the effect that reads the row; the reply is Read or Failed.
type ReadRow struct{}

func (ReadRow) EffectName() string { return "lease.read_row" }

// WriteRow is the effect that writes the row if it still has the version; the
// reply is Written, Conflict or Failed.
type WriteRow struct {
	Row       Row
	IfVersion uint64
}

func (WriteRow) EffectName() string { return "lease.write_row" }

// Step applies one input to the state.
func Step(s State, input reduce.Input) (State, []reduce.Effect) {
	switch event := input.Event.(type) {
	case reduce.Tick:
		return s.tick(input)
	case HolderSeen:
		return s.holderSeen(event, input.Now), nil
	case RowRead:
		s.InFlight = false
		return s.read(event, input)
	case RowWritten:
		s.InFlight = false
		return s.observe(event.Row, event.Version, input.Now), nil
	case WriteConflict:
		s.InFlight = false
		s.NextReadAt = input.Now
	case RowAccessFailed:
		s.InFlight = false
		s.NextReadAt = input.Now.Add(retryInterval)
	}
	return s, nil
}

// tick reads the row when the next read is due.
func (s State) tick(input reduce.Input) (State, []reduce.Effect) {
	if s.InFlight || input.Now.Before(s.NextReadAt) {
		return s, nil
	}
	s.InFlight = true
	s.NextReadAt = input.Now.Add(renewInterval)
	return s, []reduce.Effect{ReadRow{}}
}

// holderSeen notes that the holder is alive and postpones the next read of the row.
func (s State) holderSeen(event HolderSeen, now time.Time) State {
	if s.IsHolder || event.Fence < s.Fence {
		return s
	}
	s.Fence, s.HolderSeenAt = event.Fence, now
	s.NextReadAt = now.Add(leaseTimeout / 2)
	return s
}

// read handles a read of the row: it renews the lease if this candidate holds it, or
// acquires the lease if it is free.
func (s State) read(event RowRead, input reduce.Input) (State, []reduce.Effect) {
	s = s.observe(event.Row, event.Version, input.Now)
	isFree := event.Version == 0 || input.Now.Sub(s.HolderSeenAt) >= leaseTimeout+s.TakeoverDelay
	row := Row{Holder: s.Self, Fence: event.Row.Fence, Nonce: input.Random}
	switch {
	case s.IsHolder:
	case isFree:
		row.Fence++
	default:
		return s, nil
	}
	s.InFlight, s.Nonce = true, input.Random
	return s, []reduce.Effect{WriteRow{Row: row, IfVersion: event.Version}}
}

// observe records the row and determines whether this candidate holds the lease. If
// the reply to a write was lost, the nonce in the row shows that the write was applied.
func (s State) observe(row Row, version uint64, now time.Time) State {
	if version != s.Version {
		s.HolderSeenAt = now
	}
	wroteRow := version > 0 && s.Nonce != 0 && row.Holder == s.Self && row.Nonce == s.Nonce
	s.IsHolder = wroteRow || (s.IsHolder && row.Fence == s.Fence)
	s.Row, s.Version = row, version
	s.Fence = max(s.Fence, row.Fence)
	return s
}
