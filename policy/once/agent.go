package once

import (
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/result"
)

// maxResolveAttempts is the number of reads and cancellations that an agent
// makes to determine the outcome of its write before it gives up the execution.
const maxResolveAttempts = 4

// phase is the phase of an execution at its agent.
type phase uint8

const (
	reading    phase = iota // Reading the version of a cancelled row.
	starting                // Writing the started row.
	resolving               // Determining the outcome of that write.
	cancelling              // Cancelling the row so that a delayed write cannot take effect.
	calling                 // Waiting for the backend server.
	releasing               // Releasing the row: the work will not run.
	storing                 // Writing the answer.
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
	refusal         result.Code
}

// NewAgent starts an execution in the epoch for work that the agent has
// admitted.
func NewAgent(epoch uint64, fingerprint string, execution Execution) (Agent, reduce.Effect) {
	a := Agent{epoch: epoch, fingerprint: fingerprint, execution: execution, refusal: result.StoreUnavailable}
	if epoch > 0 {
		return a, ReadRow{}
	}
	return a.write(Row{}, 0)
}

// Storing returns the backend server's answer and whether it has answered and
// the answer is being stored.
func (a Agent) Storing() (Answer, bool) { return a.answer, a.phase == storing }

// Step processes one event.
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

// started calls the backend server. A start that became known only after the
// deadline is released instead, because no caller waits for the answer.
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

// stepReleasing makes at most one attempt to release the row. That is enough
// because the execution is inactive in any case, and this agent reports so when
// it is queried.
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

// stepStoring retries the write until the answer is known to be stored.
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
