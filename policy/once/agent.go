package once

import (
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/result"
)

// maxResolveAttempts is the number of reads and cancellations by which an agent tries to
// learn what became of its write before it gives the execution up.
const maxResolveAttempts = 4

// phase is where an agent's execution stands.
type phase uint8

const (
	reading    phase = iota // Learns the version of a cancelled row.
	starting                // The write of the started row is under way.
	resolving               // Learns what became of that write.
	cancelling              // Shuts the write out if it has not landed.
	calling                 // The backend server works.
	releasing               // Frees the row: the work will not run.
	storing                 // Writes the answer.
	finished
)

// Agent carries one execution of a key's work at an agent. It is a value; Step
// returns the next one. Once Step has returned Finish or Refuse, the execution
// is inactive for good.
type Agent struct {
	phase           phase
	epoch           uint64
	execution       Execution
	fingerprint     string
	resolveAttempts int
	answer          Answer
	refusal         result.Code
}

// NewAgent begins an execution of the epoch for admitted work.
func NewAgent(epoch uint64, fingerprint string, execution Execution) (Agent, reduce.Effect) {
	a := Agent{epoch: epoch, fingerprint: fingerprint, execution: execution, refusal: result.StoreUnavailable}
	if epoch > 0 {
		return a, ReadRow{}
	}
	return a.write(Row{}, 0)
}

// Storing reports whether the backend server has answered, and its answer.
func (a Agent) Storing() (Answer, bool) { return a.answer, a.phase == storing }

// Step reduces one event.
func (a Agent) Step(event reduce.Event) (Agent, reduce.Effect) {
	switch a.phase {
	case reading:
		return a.stepReading(event)
	case starting:
		return a.stepStarting(event)
	case resolving:
		return a.stepResolving(event)
	case cancelling:
		return a.stepCancelling(event)
	case calling:
		return a.stepCalling(event)
	case releasing:
		return a.stepReleasing(event)
	default:
		return a.stepStoring(event)
	}
}

func (a Agent) refuse(code result.Code) (Agent, reduce.Effect) {
	a.phase = finished
	return a, Refuse{Code: code}
}

func (a Agent) stepReading(event reduce.Event) (Agent, reduce.Effect) {
	read, ok := event.(RowRead)
	if !ok {
		return a.refuse(result.StoreUnavailable)
	}
	if !read.Row.Startable(a.epoch) || read.Row.belongsToOther(a.fingerprint) {
		return a.refuse(result.Superseded)
	}
	return a.write(read.Row, read.Version)
}

func (a Agent) write(row Row, version uint64) (Agent, reduce.Effect) {
	a.phase = starting
	return a, WriteRow{Version: version, Row: row.start(a.fingerprint, a.execution)}
}

func (a Agent) stepStarting(event reduce.Event) (Agent, reduce.Effect) {
	if won, ok := event.(WriteSucceeded); ok {
		return a.started(won.Late)
	}
	return a.resolveWrite()
}

// started calls the backend server, unless nobody waits for the answer any
// more.
func (a Agent) started(late bool) (Agent, reduce.Effect) {
	if late {
		a.refusal = result.Cancelled
		return a.release()
	}
	a.phase = calling
	return a, CallBackend{}
}

func (a Agent) release() (Agent, reduce.Effect) {
	a.phase = releasing
	return a, ReadRow{}
}

// resolveWrite learns what became of the write. Where the store doesn't tell in
// time, the execution is given up: the write may still land, but the work won't
// run.
func (a Agent) resolveWrite() (Agent, reduce.Effect) {
	a.phase = resolving
	a.resolveAttempts++
	if a.resolveAttempts > maxResolveAttempts {
		return a.refuse(result.StoreUnavailable)
	}
	return a, ReadRow{Delayed: a.resolveAttempts > 1}
}

func (a Agent) stepResolving(event reduce.Event) (Agent, reduce.Effect) {
	read, ok := event.(RowRead)
	switch {
	case !ok:
		return a.resolveWrite()
	case read.Row.heldBy(a.execution):
		return a.started(read.Late)
	case read.Row.Startable(a.epoch) && !read.Row.belongsToOther(a.fingerprint):
		a.phase = cancelling
		return a, WriteRow{Version: read.Version, Row: read.Row.cancel(a.fingerprint, false)}
	}
	return a.refuse(result.Superseded)
}

func (a Agent) stepCancelling(event reduce.Event) (Agent, reduce.Effect) {
	if _, ok := event.(WriteSucceeded); ok {
		return a.refuse(result.StoreUnavailable)
	}
	return a.resolveWrite()
}

func (a Agent) stepCalling(event reduce.Event) (Agent, reduce.Effect) {
	answered, ok := event.(Answered)
	if !ok {
		a.refusal = result.NoBackendServer
		return a.release()
	}
	a.answer = answered.Answer
	return a.store(false)
}

// stepReleasing frees the row if that takes no more than one try: the execution
// is inactive anyhow, which this agent tells whoever asks.
func (a Agent) stepReleasing(event reduce.Event) (Agent, reduce.Effect) {
	read, ok := event.(RowRead)
	if !ok || !read.Row.heldBy(a.execution) {
		return a.refuse(a.refusal)
	}
	return a, WriteRow{Version: read.Version, Row: read.Row.cancel(a.fingerprint, false)}
}

func (a Agent) store(delayed bool) (Agent, reduce.Effect) {
	a.phase = storing
	return a, ReadRow{Delayed: delayed}
}

// stepStoring writes the answer until it is known to be there.
func (a Agent) stepStoring(event reduce.Event) (Agent, reduce.Effect) {
	switch event := event.(type) {
	case RowRead:
		if event.Row.heldBy(a.execution) {
			return a, WriteRow{Version: event.Version, Row: event.Row.finish(a.answer)}
		}
		return a.finish()
	case WriteSucceeded:
		return a.finish()
	}
	return a.store(true)
}

func (a Agent) finish() (Agent, reduce.Effect) {
	a.phase = finished
	return a, Finish{Answer: a.answer}
}
