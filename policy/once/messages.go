package once

import "persimmonwind.dev/policy/result"

// ReadRow requests a read of the key's row; the result is RowRead or ReadFailed.
type ReadRow struct{ Delayed bool } // Delayed requests a short wait before the read.

// WriteRow requests a compare-and-set of the row against the version; the result
// is WriteSucceeded, WriteConflict, WriteUnknown or, for a final cancellation by an
// entry whose CancelBudget is exhausted, WriteSkipped.
type WriteRow struct {
	Version  uint64
	Row      Row
	Budgeted bool // A final cancellation, which takes a token from the entry's CancelBudget.
}

// SendAttempt requests that an entry choose a backend server and send its agent an
// attempt, which may start only while the row is at this epoch; the result is
// Answered, Refused, Superseded, NoReply or NoTarget.
type SendAttempt struct{ Epoch uint64 }

// QueryProgress requests the execution's progress from its agent; the result is
// ProgressReported.
type QueryProgress struct{ Execution Execution }

// CallBackend requests that an agent call the backend server; the result is
// Answered or BackendNotCalled.
type CallBackend struct{}

// Finish ends the state machine with an answer.
type Finish struct{ Answer Answer }

// Refuse ends the state machine with a refusal. No request that was admitted at
// an epoch below NotRunBefore has run or will run the work. NotRunBefore is 0 if
// the code gives no such guarantee, and MaxEpoch if no other request can have
// the key.
type Refuse struct {
	Code         result.Code
	NotRunBefore uint64
}

// MaxEpoch is greater than the epoch of any row.
const MaxEpoch = ^uint64(0)

func (ReadRow) EffectName() string       { return "once.read_row" }
func (WriteRow) EffectName() string      { return "once.write_row" }
func (SendAttempt) EffectName() string   { return "once.send" }
func (QueryProgress) EffectName() string { return "once.ask" }
func (CallBackend) EffectName() string   { return "once.call" }
func (Finish) EffectName() string        { return "once.finish" }
func (Refuse) EffectName() string        { return "once.refuse" }

// RowRead carries the row and its version, 0 if the row does not exist.
type RowRead struct {
	Row     Row
	Version uint64
	Late    bool // The request's deadline has passed; set for agents only.
}

// ReadFailed reports that the row could not be read.
type ReadFailed struct{}

// WriteSucceeded reports that the row was written.
type WriteSucceeded struct{ Late bool } // Late says that the request's deadline has passed; set for agents only.

// WriteConflict reports that the row had another version.
type WriteConflict struct{}

// WriteUnknown reports that the write may have taken effect or may still do so.
type WriteUnknown struct{}

// WriteSkipped reports that a final cancellation was not written because the
// entry's CancelBudget is exhausted.
type WriteSkipped struct{}

// Answered carries the backend server's answer.
type Answered struct{ Answer Answer }

// Refused reports that an agent refused the attempt: it did not run and never will.
type Refused struct{ Code result.Code }

// NoTarget reports that no backend server is available for an attempt.
type NoTarget struct{ Code result.Code }

// Superseded reports that an agent found a row that does not allow the attempt,
// because another attempt has changed it.
type Superseded struct{}

// NoReply reports that no reply to the attempt arrived, so that it may still be in
// flight.
type NoReply struct{}

// BackendNotCalled reports that the agent could not call the backend server, so
// the work did not run.
type BackendNotCalled struct{}

// Expired reports that the request's deadline has passed or its caller has
// disconnected.
type Expired struct{}

// Progress is the progress of an execution as its agent reports it.
type Progress int

// The values of Progress.
const (
	Unreachable    Progress = iota // The agent did not reply.
	Running                        // It may still start, is running, or its answer is not yet stored.
	Inactive                       // It was given up permanently, or its answer is stored.
	AgentRestarted                 // The agent has restarted since it began; the outcome is unknown.
)

// ProgressReported carries the result of QueryProgress.
type ProgressReported struct{ Progress Progress }

func (RowRead) EventName() string          { return "once.row_read" }
func (ReadFailed) EventName() string       { return "once.read_failed" }
func (WriteSucceeded) EventName() string   { return "once.write_won" }
func (WriteConflict) EventName() string    { return "once.write_lost" }
func (WriteUnknown) EventName() string     { return "once.write_unknown" }
func (WriteSkipped) EventName() string     { return "once.write_skipped" }
func (Answered) EventName() string         { return "once.answered" }
func (Refused) EventName() string          { return "once.refused" }
func (NoTarget) EventName() string         { return "once.no_target" }
func (Superseded) EventName() string       { return "once.superseded" }
func (NoReply) EventName() string          { return "once.silent" }
func (BackendNotCalled) EventName() string { return "once.unreached" }
func (Expired) EventName() string          { return "once.expired" }
func (ProgressReported) EventName() string { return "once.asked" }
