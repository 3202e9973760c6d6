package once

import (
	"fmt"

	"persimmonwind.dev/policy/reduce"
)

const (
	maxRequests = 3
	maxSent     = 4
	maxExecs    = 5
	maxDelayed  = 3
	agents      = 2
)

// faultBudget holds, for each kind of fault, how often it may occur in one execution
// of the model; a fault may occur at any point.
type faultBudget struct {
	StoreDown, LostAnswer, DelayedWrite, Duplicate, Timeout, EntryCrash, AgentCrash, Refusal, BackendNotCalled, LateStart int
}

// scenario is the configuration of one enumeration of the model's states.
type scenario struct {
	name      string
	bodies    []string // One for each request; all requests share the key.
	callerKey bool
	faults    faultBudget
	attempts  int // Maximum number of attempts that are sent.
	refused   int // Number of requests, counted from the first, for which no backend server is available.
}

type requestState struct {
	arrived, finished bool
	machine           Entry
	effect            reduce.Effect
	awaiting          uint8 // Number, from 1, of the message whose reply is awaited; 0 for none.
}

type sentMessage struct {
	used, delivered      bool
	request, agent       uint8
	epoch, admittedEpoch uint64
}

type execState struct {
	used, active bool
	message      uint8
	machine      Agent
	effect       reduce.Effect
}

type delayedWrite struct {
	used     bool
	writeRow WriteRow
}

// modelState is the whole state of the model: the row, the requests at entries, the
// messages, the executions at agents and the faults left. It is comparable.
type modelState struct {
	row        Row
	version    uint64
	requests   [maxRequests]requestState
	sent       [maxSent]sentMessage
	execs      [maxExecs]execState
	delayed    [maxDelayed]delayedWrite
	boots      [agents]uint8
	faultsLeft faultBudget

	runs             uint8
	runAdmittedEpoch uint64 // Epoch at which the request that ran was admitted.
	runNonce         string
	runRequest       uint8
	notRunBefore     uint64            // Highest NotRunBefore that a refusal carried.
	refusedAsNotRun  [maxRequests]bool // Requests whose refusal says that their own attempts did not run.
}

func (w modelState) violation() string {
	switch {
	case w.runs > 1:
		return "the work ran twice"
	case w.runs == 1 && w.runAdmittedEpoch < w.notRunBefore:
		return fmt.Sprintf("the work of a request admitted at epoch %d ran although a refusal said \"not run\" below epoch %d", w.runAdmittedEpoch, w.notRunBefore)
	case w.runs == 1 && w.refusedAsNotRun[w.runRequest]:
		return fmt.Sprintf("request %d ran although its refusal said that its attempts did not run", w.runRequest)
	}
	return ""
}

func (w modelState) apply(write WriteRow) (modelState, bool) {
	if write.Version != w.version {
		return w, false
	}
	w.row = write.Row
	w.version++
	return w, true
}

func (w modelState) progress(execution Execution) Progress {
	agent := execution.Agent[0] - '0'
	if execution.Boot != fmt.Sprint(w.boots[agent]) {
		return AgentRestarted
	}
	for _, exec := range w.execs {
		if exec.active && exec.machine.execution == execution {
			return Running
		}
	}
	return Inactive
}

// endRequest discards the details of a request that has ended, so that model states
// that differ only in them compare equal.
func (w *modelState) endRequest(r *requestState) { *r = requestState{arrived: true, finished: true} }

// stopExecution makes an execution inactive.
func (w *modelState) stopExecution(exec *execState) {
	*exec = execState{used: true, message: exec.message}
}

func (w modelState) restart(agent int) modelState {
	w.faultsLeft.AgentCrash--
	w.boots[agent]++
	for i := range w.execs {
		exec := &w.execs[i]
		if exec.active && int(w.sent[exec.message].agent) == agent {
			w.stopExecution(exec)
		}
	}
	return w
}
