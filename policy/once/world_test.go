package once

import (
	"fmt"

	"persimmonwind.dev/policy/reduce"
)

const (
	maxRequests = 3
	maxSent     = 4
	maxExecs    = 5
	maxLate     = 3
	agents      = 2
)

// budget bounds the faults of one enumeration; each is spent at any moment.
type budget struct {
	StoreDown, LostAnswer, LateWrite, Duplicate, Timeout, EntryCrash, AgentCrash, Refusal, BackendNotCalled, LateStart int
}

// setting is one enumeration.
type setting struct {
	name     string
	bodies   []string // One for each request; they share the key.
	given    bool
	faults   budget
	attempts int // Most attempts that are sent.
	refused  int // The first requests, which find no backend server.
}

type requestState struct {
	arrived, over bool
	machine       Entry
	effect        reduce.Effect
	awaiting      uint8 // Message whose reply is awaited, counted from 1.
}

type sentMessage struct {
	used, delivered bool
	request, agent  uint8
	epoch, arrival  uint64
}

type execState struct {
	used, active bool
	message      uint8
	machine      Agent
	effect       reduce.Effect
}

type lateWrite struct {
	used  bool
	write WriteRow
}

// world is the whole state; it is comparable.
type world struct {
	row      Row
	version  uint64
	requests [maxRequests]requestState
	sent     [maxSent]sentMessage
	execs    [maxExecs]execState
	late     [maxLate]lateWrite
	boots    [agents]uint8
	left     budget

	runs       uint8
	runArrival uint64 // Epoch at which the request that ran was taken in.
	runNonce   string
	runRequest uint8
	notRun     uint64            // Highest epoch below which "not run" was said.
	notRunBy   [maxRequests]bool // Requests that were told that their own attempts did not run.
}

func (w world) problem() string {
	switch {
	case w.runs > 1:
		return "the work ran twice"
	case w.runs == 1 && w.runArrival < w.notRun:
		return fmt.Sprintf("the work of a request taken in at epoch %d ran although \"not run\" was said below epoch %d", w.runArrival, w.notRun)
	case w.runs == 1 && w.notRunBy[w.runRequest]:
		return fmt.Sprintf("request %d ran although its attempts were said not to run", w.runRequest)
	}
	return ""
}

func (w world) apply(write WriteRow) (world, bool) {
	if write.Version != w.version {
		return w, false
	}
	w.row = write.Row
	w.version++
	return w, true
}

func (w world) progress(execution Execution) Progress {
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

// end forgets the state of a request that has ended.
func (w *world) end(r *requestState) { *r = requestState{arrived: true, over: true} }

// stop makes an execution inactive.
func (w *world) stop(exec *execState) {
	*exec = execState{used: true, message: exec.message}
}

func (w world) restart(agent int) world {
	w.left.AgentCrash--
	w.boots[agent]++
	for i := range w.execs {
		exec := &w.execs[i]
		if exec.active && int(w.sent[exec.message].agent) == agent {
			w.stop(exec)
		}
	}
	return w
}
