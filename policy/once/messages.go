package once

import "persimmonwind.dev/policy/result"

// ReadRow asks for the key's row; the answer is RowRead or ReadFailed.
type ReadRow struct{ Delayed bool } // Delayed asks for a pause before.

// WriteRow asks to write the row if it still has the version; the answer is
// WriteWon, WriteLost, WriteUnknown or, for an entry's bounded write, WriteSkipped.
type WriteRow struct {
	Version  uint64
	Row      Row
	Budgeted bool // Counts against the budget of final cancellations.
}

// SendAttempt asks an entry to choose a backend server and to send it an attempt of
// the epoch; the answer is Answered, Refused, Superseded, Silent or NoTarget.
type SendAttempt struct{ Epoch uint64 }

// QueryProgress asks the execution's agent about it; the answer is Asked.
type QueryProgress struct{ Execution Execution }

// CallBackend asks an agent to call the backend server; the answer is Answered or
// Unreached.
type CallBackend struct{}

// Finish ends the state machine with an answer.
type Finish struct{ Answer Answer }

// Refuse ends the state machine with a refusal. NotRunBefore is the epoch below
// which no request that was taken in has run or will run the work; 0 where the
// code does not promise it, EveryEpoch where no such request exists.
type Refuse struct {
	Code         result.Code
	NotRunBefore uint64
}

// MaxEpoch is above all epochs.
const MaxEpoch = ^uint64(0)

// EffectName implements reduce.Effect.
func (ReadRow) EffectName() string { return "once.read_row" }

// EffectName implements reduce.Effect.
func (WriteRow) EffectName() string { return "once.write_row" }

// EffectName implements reduce.Effect.
func (SendAttempt) EffectName() string { return "once.send" }

// EffectName implements reduce.Effect.
func (QueryProgress) EffectName() string { return "once.ask" }

// EffectName implements reduce.Effect.
func (CallBackend) EffectName() string { return "once.call" }

// EffectName implements reduce.Effect.
func (Finish) EffectName() string { return "once.finish" }

// EffectName implements reduce.Effect.
func (Refuse) EffectName() string { return "once.refuse" }

// RowRead brings the row and its version, 0 where it does not exist.
type RowRead struct {
	Row     Row
	Version uint64
	Late    bool // Tells an agent that the deadline has passed.
}

// ReadFailed tells that the row could not be read.
type ReadFailed struct{}

// WriteSucceeded tells that the row was written.
type WriteSucceeded struct{ Late bool } // Late tells an agent that the deadline has passed.

// WriteConflict tells that the row had another version.
type WriteConflict struct{}

// WriteUnknown tells that the write may have taken effect or may still do so.
type WriteUnknown struct{}

// WriteSkipped tells that the budget of final cancellations is spent.
type WriteSkipped struct{}

// Answered brings the backend server's answer.
type Answered struct{ Answer Answer }

// Refused tells that the attempt did not run and never will.
type Refused struct{ Code result.Code }

// NoTarget tells that there is no backend server to send an attempt to.
type NoTarget struct{ Code result.Code }

// Superseded tells that the row did not allow the attempt.
type Superseded struct{}

// NoReply tells that the attempt may be under way.
type NoReply struct{}

// BackendNotCalled tells that the backend server was not called.
type BackendNotCalled struct{}

// Expired tells that the request's deadline has passed or its caller has left.
type Expired struct{}

// Progress is what an agent knows of an execution.
type Progress int

// Progress of an execution.
const (
	Unreachable    Progress = iota // The agent did not answer.
	Running                        // It may start, runs, or its answer is not yet stored.
	Inactive                       // It is given up for good, or its answer is stored.
	AgentRestarted                 // The agent has restarted since.
)

// ProgressReported brings the answer to Ask.
type ProgressReported struct{ Progress Progress }

// EventName implements reduce.Event.
func (RowRead) EventName() string { return "once.row_read" }

// EventName implements reduce.Event.
func (ReadFailed) EventName() string { return "once.read_failed" }

// EventName implements reduce.Event.
func (WriteSucceeded) EventName() string { return "once.write_won" }

// EventName implements reduce.Event.
func (WriteConflict) EventName() string { return "once.write_lost" }

// EventName implements reduce.Event.
func (WriteUnknown) EventName() string { return "once.write_unknown" }

// EventName implements reduce.Event.
func (WriteSkipped) EventName() string { return "once.write_skipped" }

// EventName implements reduce.Event.
func (Answered) EventName() string { return "once.answered" }

// EventName implements reduce.Event.
func (Refused) EventName() string { return "once.refused" }

// EventName implements reduce.Event.
func (NoTarget) EventName() string { return "once.no_target" }

// EventName implements reduce.Event.
func (Superseded) EventName() string { return "once.superseded" }

// EventName implements reduce.Event.
func (NoReply) EventName() string { return "once.silent" }

// EventName implements reduce.Event.
func (BackendNotCalled) EventName() string { return "once.unreached" }

// EventName implements reduce.Event.
func (Expired) EventName() string { return "once.expired" }

// EventName implements reduce.Event.
func (ProgressReported) EventName() string { return "once.asked" }
