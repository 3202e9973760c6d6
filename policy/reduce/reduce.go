// Package reduce defines the types that all reducers share. A reducer is a function
// that applies an event, given with its time and a random number, to a state and
// returns the new state and the effects as data. It reads no clock, does no I/O and
// starts no goroutine, so an execution can be replayed from its inputs.
package reduce

import "time"

// Event is an input that a reducer reacts to.
type Event interface {
	// EventName returns the event's stable name for logs and replays.
	EventName() string
}

// Effect is an action that a reducer requests of its caller; the result comes
// back as an event.
type Effect interface {
	// EffectName returns the effect's stable name for logs and replays.
	EffectName() string
}

// Input is one event with the nondeterministic inputs of its processing: the time
// and a random number.
type Input struct {
	Now    time.Time
	Random uint64
	Event  Event
}

// Tick is the event of a periodic timer.
type Tick struct{}

func (Tick) EventName() string { return "tick" }
