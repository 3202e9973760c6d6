package once

import (
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/result"
)

const (
	maxAttempts           = 3 // Attempts sent for one request.
	maxReads              = 6 // Reads of the row for one request.
	maxUnreachableReplies = 5 // Progress queries without a reply, for one request.
)

// intent is what an entry does next with the row that it reads.
type intent uint8

const (
	admit   intent = iota // Admit the request.
	retry                 // Send another attempt after a failed one.
	abandon               // End the request without running the work.
)

// Entry is the state machine of one request with a key at an entry instance. It
// is a value; Step returns its successor.
type Entry struct {
	callerKey          bool // The caller chose the key, so other requests may use it too.
	fingerprint        string
	intent             intent
	admittedEpoch      uint64 // Epoch of the row when the request was admitted.
	epoch              uint64 // Epoch of the latest attempt.
	attempts           int
	reads              int
	unreachableReplies int         // Progress queries that got no reply.
	mayBeInFlight      bool        // An attempt that this entry sent, or that the row names, may still run.
	pendingWrite       Row         // Cancelled row that is being written.
	queriedExecution   Execution   // Execution whose progress was queried last.
	inactiveExecution  Execution   // Execution that its agent has reported as inactive.
	orphanedExecution  Execution   // Execution whose agent has restarted since it began.
	refusalCode        result.Code // Reason why the latest attempt did not run.
}

// NewEntry admits a request. callerKey reports whether the caller chose the key.
// No other request knows a generated key, so its row is not read.
func NewEntry(callerKey bool, fingerprint string) (Entry, reduce.Effect) {
	e := Entry{callerKey: callerKey, fingerprint: fingerprint, refusalCode: result.Cancelled}
	if callerKey {
		return e.read()
	}
	return e.send(0)
}

// Step processes one event and returns the successor and the next effect.
func (e Entry) Step(event reduce.Event) (Entry, reduce.Effect) {
	switch event := event.(type) {
	case RowRead:
		return e.resolve(event.Row, event.Version)
	case Answered:
		return e, Finish(event)
	case Refused:
		return e.refused(event.Code)
	case NoTarget:
		if e.refusalCode == result.Cancelled { // No attempt was refused before.
			e.refusalCode = event.Code
		}
		return e.giveUp()
	case Superseded:
		e.intent = retry
		return e.read()
	case NoReply:
		e.mayBeInFlight = true
		e.intent = e.nextIntent()
		return e.read()
	case WriteSucceeded:
		return e.cancelled()
	case WriteConflict, WriteUnknown:
		return e.read()
	case ProgressReported:
		return e.progressReported(event.Progress)
	case Expired:
		e.mayBeInFlight = e.mayBeInFlight || e.attempts > 0
	}
	return e.endUnknown() // ReadFailed, WriteSkipped, Expired.
}

// nextIntent returns what the entry does next if no attempt is in flight: another
// attempt, unless maxAttempts were made.
func (e Entry) nextIntent() intent {
	if e.attempts < maxAttempts {
		return retry
	}
	return abandon
}

func (e Entry) send(epoch uint64) (Entry, reduce.Effect) {
	e.epoch = epoch
	e.mayBeInFlight = false
	e.intent = retry
	e.attempts++
	return e, SendAttempt{Epoch: epoch}
}

func (e Entry) read() (Entry, reduce.Effect) {
	e.reads++
	if e.reads > maxReads {
		return e.endUnknown()
	}
	return e, ReadRow{}
}

// refused sends the next attempt, or gives up, after an attempt that did not run
// and never will.
func (e Entry) refused(code result.Code) (Entry, reduce.Effect) {
	e.refusalCode = code
	if e.attempts < maxAttempts && code != result.StoreUnavailable {
		return e.send(e.epoch)
	}
	return e.giveUp()
}

// giveUp refuses the request while none of its attempts is in flight. If other
// requests may use the key, only a final cancellation guarantees that the work
// did not run.
func (e Entry) giveUp() (Entry, reduce.Effect) {
	if !e.callerKey {
		return e, Refuse{Code: e.refusalCode, NotRunBefore: MaxEpoch}
	}
	e.intent = abandon
	return e.read()
}

// endUnknown refuses the request without a guarantee that the work did not run.
func (e Entry) endUnknown() (Entry, reduce.Effect) {
	if e.mayBeInFlight {
		return e, Refuse{Code: result.OutcomeUnknown}
	}
	return e, Refuse{Code: result.KeyStateUnknown}
}

func (e Entry) resolve(row Row, version uint64) (Entry, reduce.Effect) {
	switch {
	case row.belongsToOther(e.fingerprint):
		return e, Refuse{Code: result.KeyReused}
	case row.State == Done:
		return e, Finish{Answer: row.Answer}
	case e.intent == admit:
		e.admittedEpoch = row.Epoch
	}
	if row.State == Started {
		return e.resolveStarted(row, version)
	}
	return e.resolveOpen(row, version)
}

func (e Entry) resolveStarted(row Row, version uint64) (Entry, reduce.Effect) {
	e.mayBeInFlight = true
	switch row.Execution {
	case e.orphanedExecution:
		return e, Refuse{Code: result.OutcomeUnknown}
	case e.inactiveExecution:
		return e.cancel(row, version)
	}
	e.queriedExecution = row.Execution
	return e, QueryProgress{Execution: row.Execution}
}

func (e Entry) resolveOpen(row Row, version uint64) (Entry, reduce.Effect) {
	switch {
	case row.Ended > e.admittedEpoch && row.finallyCancelled():
		return e, Refuse{Code: e.refusalCode, NotRunBefore: row.Ended}
	case row.Ended > e.admittedEpoch:
		e.mayBeInFlight = false
		return e.endUnknown()
	case e.intent == admit:
		return e.send(row.Epoch)
	case e.intent == retry && !e.attemptInFlight(row):
		return e.sendOrGiveUp(row, version)
	}
	return e.cancel(row, version)
}

// attemptInFlight reports whether an attempt of this entry may still start from
// the row.
func (e Entry) attemptInFlight(row Row) bool {
	return e.mayBeInFlight && row.Epoch == e.epoch
}

func (e Entry) sendOrGiveUp(row Row, version uint64) (Entry, reduce.Effect) {
	if e.attempts < maxAttempts {
		return e.send(row.Epoch)
	}
	e.intent = abandon
	return e.cancel(row, version)
}

// cancel writes the row as cancelled at the next epoch, so that earlier attempts
// cannot start. The cancellation is final if the request ends with it.
func (e Entry) cancel(row Row, version uint64) (Entry, reduce.Effect) {
	if row.Ended > e.admittedEpoch {
		return e.endUnknown()
	}
	final := e.nextIntent() == abandon || e.intent == abandon
	e.pendingWrite = row.cancel(e.fingerprint, final)
	return e, WriteRow{Version: version, Row: e.pendingWrite, Budgeted: final}
}

func (e Entry) cancelled() (Entry, reduce.Effect) {
	if e.pendingWrite.finallyCancelled() {
		return e, Refuse{Code: e.refusalCode, NotRunBefore: e.pendingWrite.Ended}
	}
	return e.send(e.pendingWrite.Epoch)
}

// progressReported handles the progress of a started execution as its agent
// reports it.
func (e Entry) progressReported(progress Progress) (Entry, reduce.Effect) {
	switch progress {
	case Running:
		return e, QueryProgress{Execution: e.queriedExecution}
	case Inactive:
		e.inactiveExecution = e.queriedExecution
		return e.read()
	case AgentRestarted:
		e.orphanedExecution = e.queriedExecution
		return e.read()
	}
	e.unreachableReplies++
	if e.unreachableReplies >= maxUnreachableReplies {
		return e.endUnknown()
	}
	return e, ReadRow{Delayed: true}
}
