package once

import (
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/result"
)

// maxResolveAttempts is how often an agent reads the row, and cancels it, to
// determine the outcome of its write before it gives up the execution.
const maxResolveAttempts = 4

// phase is the phase of an execution at its agent.
type phase uint8

const (
	reading    phase = iota // Reading the version of a cancelled row.
	starting                // Writing the row in state Started.
	resolving               // Determining the outcome of the write of the started row.
	cancelling              // Cancelling the row so that a delayed write cannot take effect.
	calling                 // Waiting for the backend server.
	releasing               // Releasing the row: the work will not run.
	storing                 // Writing the answer to the row.
	finished
)

// Agent is the state machine of one execution of a key's work at an agent. It
// is a value; Step returns its successor. Once Step has returned Finish or
// Refuse, the execution is permanently inactive.
type Agent struct {
	phase           phase
	epoch           uint64
	execution       Execution
	fingerprint     string
	resolveAttempts int
	answer          Answer
	refusalCode     result.Code
}

// NewAgent starts an execution for work that the agent has admitted. The epoch is
// that of the attempt, at which the row must be.
func NewAgent(epoch uint64, fingerprint string, execution Execution) (Agent, reduce.Effect) {
	a := Agent{epoch: epoch, fingerprint: fingerprint, execution: execution, refusalCode: result.StoreUnavailable}
	if epoch > 0 {
		return a, ReadRow{}
	}
	return a.write(Row{}, 0)
}

// Storing returns the backend server's answer, and whether there is one that is
// being stored.
func (a Agent) Storing() (Answer, bool) { return a.answer, a.phase == storing }

// Step processes one event and returns the successor and the next effect.
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
	if succeeded, ok := event.(WriteSucceeded); ok {
		return a.started(succeeded.Late)
	}
	return a.resolveWrite()
}

// started calls the backend server after the started row was written. If that
// became known only after the request's deadline, it releases the row instead,
// because no caller waits for the answer.
func (a Agent) started(late bool) (Agent, reduce.Effect) {
	if late {
		a.refusalCode = result.Cancelled
		return a.release()
	}
	a.phase = calling
	return a, CallBackend{}
}

func (a Agent) release() (Agent, reduce.Effect) {
	a.phase = releasing
	return a, ReadRow{}
}

// resolveWrite determines the outcome of the write. If the table service does
// not answer in time, the agent gives up the execution: the write may still take
// effect, but the work does not run.
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
	case read.Row.startedBy(a.execution):
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
		a.refusalCode = result.NoBackendServer
		return a.release()
	}
	a.answer = answered.Answer
	return a.store(false)
}

// stepReleasing makes at most one attempt to release the row. That is enough
// because the execution is inactive in any case, and this agent answers that it is
// inactive when an entry queries its progress.
func (a Agent) stepReleasing(event reduce.Event) (Agent, reduce.Effect) {
	read, ok := event.(RowRead)
	if !ok || !read.Row.startedBy(a.execution) {
		return a.refuse(a.refusalCode)
	}
	return a, WriteRow{Version: read.Version, Row: read.Row.cancel(a.fingerprint, false)}
}

func (a Agent) store(delayed bool) (Agent, reduce.Effect) {
	a.phase = storing
	return a, ReadRow{Delayed: delayed}
}

// stepStoring retries the write of the answer until it is known to be stored or
// the row no longer names the execution.
func (a Agent) stepStoring(event reduce.Event) (Agent, reduce.Effect) {
	switch event := event.(type) {
	case RowRead:
		if event.Row.startedBy(a.execution) {
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
