package once

import (
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/result"
)

const (
	maxAttempts    = 3
	maxRounds      = 6 // Reads of the row to settle one request.
	maxUnreachable = 5 // Unanswered questions about one execution.
)

// intent is what an entry wants with the row that it reads.
type intent uint8

const (
	begin    intent = iota // Take the request in.
	proceed                // Move on from an attempt that failed.
	conclude               // End the request without a run.
)

// Entry carries one request of a key at an entry instance. It is a value; Step
// returns the next one.
type Entry struct {
	given       bool // The caller chose the key, so others may use it too.
	fingerprint string
	intent      intent
	arrival     uint64 // Epoch at which the request was taken in.
	epoch       uint64 // Epoch of the latest attempt.
	attempts    int
	rounds      int
	unreachable int
	pending     bool // An attempt of the epoch may be under way.
	writing     Row  // Cancelled row that is being written.
	asking      Execution
	inactive    Execution
	forgotten   Execution
	refusal     result.Code // Why the latest attempt did not run.
}

// NewEntry takes a request in. given tells that the caller chose the key; a
// generated key is known to no one else, so that its row is not read.
func NewEntry(given bool, fingerprint string) (Entry, reduce.Effect) {
	e := Entry{given: given, fingerprint: fingerprint, refusal: result.Cancelled}
	if given {
		return e.read()
	}
	return e.send(0)
}

// Step reduces one event.
func (e Entry) Step(event reduce.Event) (Entry, reduce.Effect) {
	switch event := event.(type) {
	case RowRead:
		return e.resolve(event.Row, event.Version)
	case Answered:
		return e, Finish(event)
	case Refused:
		return e.refused(event.Code)
	case NoTarget:
		if e.refusal == result.Cancelled { // No attempt was refused before.
			e.refusal = event.Code
		}
		return e.giveUp()
	case Superseded:
		e.intent = proceed
		return e.read()
	case NoReply:
		e.pending = true
		e.intent = e.next()
		return e.read()
	case WriteSucceeded:
		return e.cancelled()
	case WriteConflict, WriteUnknown:
		return e.read()
	case ProgressReported:
		return e.asked(event.Progress)
	case Expired:
		e.pending = e.pending || e.attempts > 0
	}
	return e.unknown() // ReadFailed, WriteSkipped, Expired.
}

// next returns what to do once no attempt is under way.
func (e Entry) next() intent {
	if e.attempts < maxAttempts {
		return proceed
	}
	return conclude
}

func (e Entry) send(epoch uint64) (Entry, reduce.Effect) {
	e.epoch = epoch
	e.pending = false
	e.intent = proceed
	e.attempts++
	return e, SendAttempt{Epoch: epoch}
}

func (e Entry) read() (Entry, reduce.Effect) {
	e.rounds++
	if e.rounds > maxRounds {
		return e.unknown()
	}
	return e, ReadRow{}
}

// refused goes on after an attempt that did not run and never will.
func (e Entry) refused(code result.Code) (Entry, reduce.Effect) {
	e.refusal = code
	if e.attempts < maxAttempts && code != result.StoreUnavailable {
		return e.send(e.epoch)
	}
	return e.giveUp()
}

// giveUp refuses the request while no attempt of its own is under way. Where
// others may use the key, the promise that the work was not run needs a final
// cancellation.
func (e Entry) giveUp() (Entry, reduce.Effect) {
	if !e.given {
		return e, Refuse{Code: e.refusal, NotRunBefore: MaxEpoch}
	}
	e.intent = conclude
	return e.read()
}

// unknown ends the request without a promise.
func (e Entry) unknown() (Entry, reduce.Effect) {
	if e.pending {
		return e, Refuse{Code: result.OutcomeUnknown}
	}
	return e, Refuse{Code: result.KeyStateUnknown}
}

func (e Entry) resolve(row Row, version uint64) (Entry, reduce.Effect) {
	switch {
	case row.foreign(e.fingerprint):
		return e, Refuse{Code: result.KeyReused}
	case row.State == Done:
		return e, Finish{Answer: row.Answer}
	case e.intent == begin:
		e.arrival = row.Epoch
	}
	if row.State == Started {
		return e.resolveStarted(row, version)
	}
	return e.resolveOpen(row, version)
}

func (e Entry) resolveStarted(row Row, version uint64) (Entry, reduce.Effect) {
	e.pending = true
	switch row.Execution {
	case e.forgotten:
		return e, Refuse{Code: result.OutcomeUnknown}
	case e.inactive:
		return e.cancel(row, version)
	}
	e.asking = row.Execution
	return e, QueryProgress{Execution: row.Execution}
}

func (e Entry) resolveOpen(row Row, version uint64) (Entry, reduce.Effect) {
	switch {
	case row.Ended > e.arrival && row.ended():
		return e, Refuse{Code: e.refusal, NotRunBefore: row.Ended}
	case row.Ended > e.arrival:
		e.pending = false
		return e.unknown()
	case e.intent == begin:
		return e.send(row.Epoch)
	case e.intent == proceed && !e.attemptPending(row):
		return e.sendOrGiveUp(row, version)
	}
	return e.cancel(row, version)
}

// attemptPending reports whether an attempt of this entry may still start from
// the row.
func (e Entry) attemptPending(row Row) bool {
	return e.pending && row.Epoch == e.epoch
}

func (e Entry) sendOrGiveUp(row Row, version uint64) (Entry, reduce.Effect) {
	if e.attempts < maxAttempts {
		return e.send(row.Epoch)
	}
	e.intent = conclude
	return e.cancel(row, version)
}

// cancel moves the row to the next epoch: finally where the request ends here.
func (e Entry) cancel(row Row, version uint64) (Entry, reduce.Effect) {
	if row.Ended > e.arrival {
		return e.unknown()
	}
	final := e.next() == conclude || e.intent == conclude
	e.writing = row.cancel(e.fingerprint, final)
	return e, WriteRow{Version: version, Row: e.writing, Budgeted: final}
}

func (e Entry) cancelled() (Entry, reduce.Effect) {
	if e.writing.ended() {
		return e, Refuse{Code: e.refusal, NotRunBefore: e.writing.Ended}
	}
	return e.send(e.writing.Epoch)
}

// asked goes on with what the agent of a started execution tells.
func (e Entry) asked(progress Progress) (Entry, reduce.Effect) {
	switch progress {
	case Running:
		return e, QueryProgress{Execution: e.asking}
	case Inactive:
		e.inactive = e.asking
		return e.read()
	case AgentRestarted:
		e.forgotten = e.asking
		return e.read()
	}
	e.unreachable++
	if e.unreachable >= maxUnreachable {
		return e.unknown()
	}
	return e, ReadRow{Delayed: true}
}
