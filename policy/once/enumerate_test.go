package once

import (
	"fmt"
	"hash/maphash"
	"strings"
	"testing"

	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/result"
)

// explorer is a model checker: it visits every reachable state of the model once
// and checks the invariants in each. It records a visited state by two independent
// hashes.
type explorer struct {
	t        testing.TB
	scenario scenario
	seed     [2]maphash.Seed
	visited  map[[2]uint64]struct{}
	trace    []string
	failed   bool
	outcomes map[string]int
}

func explore(t testing.TB, s scenario) *explorer {
	x := &explorer{
		t: t, scenario: s, visited: map[[2]uint64]struct{}{}, outcomes: map[string]int{},
		seed: [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()},
	}
	x.visit("", modelState{faultsLeft: s.faults})
	return x
}

func (x *explorer) visit(step string, w modelState) {
	if x.failed {
		return
	}
	key := [2]uint64{maphash.Comparable(x.seed[0], w), maphash.Comparable(x.seed[1], w)}
	if _, seen := x.visited[key]; seen {
		return
	}
	x.visited[key] = struct{}{}
	x.trace = append(x.trace, step)
	defer func() { x.trace = x.trace[:len(x.trace)-1] }()
	if violation := w.violation(); violation != "" {
		x.reportViolation(violation)
		return
	}
	x.stepRequests(w)
	x.stepMessages(w)
	x.stepExecs(w)
	x.stepFaults(w)
}

func (x *explorer) reportViolation(violation string) {
	x.failed = true
	x.t.Errorf("%s: %s after%s", x.scenario.name, violation, strings.Join(x.trace, "\n  "))
}

func (x *explorer) stepRequests(w modelState) {
	for i := range x.scenario.bodies {
		r := w.requests[i]
		name := fmt.Sprintf("request %d: ", i)
		switch {
		case !r.arrived:
			if i > 0 && !w.requests[i-1].arrived && x.scenario.bodies[i] == x.scenario.bodies[i-1] {
				continue // Equal requests are interchangeable.
			}
			next := w
			request := &next.requests[i]
			request.arrived = true
			request.machine, request.effect = NewEntry(x.scenario.callerKey, x.scenario.bodies[i])
			x.visit(name+"arrives", next)
		case !r.finished && r.awaiting > 0:
			if w.faultsLeft.Timeout > 0 {
				next := w
				next.faultsLeft.Timeout--
				x.feedRequest(name+"silent", next, i, NoReply{})
				x.feedRequest(name+"expires", next, i, Expired{})
			}
		case !r.finished:
			x.stepRequest(name, w, i)
		}
	}
}

func (x *explorer) stepRequest(name string, w modelState, i int) {
	feed := func(step string, next modelState, event reduce.Event) { x.feedRequest(name+step, next, i, event) }
	switch effect := w.requests[i].effect.(type) {
	case ReadRow:
		x.readRow(w, feed)
	case WriteRow:
		x.writeRow(w, effect, feed)
		if effect.Budgeted && w.faultsLeft.StoreDown > 0 {
			next := w
			next.faultsLeft.StoreDown--
			feed("write skipped", next, WriteSkipped{})
		}
	case SendAttempt:
		x.sendAttempt(name, w, i, effect)
	case QueryProgress:
		x.queryProgress(w, effect, feed)
	}
}

func (x *explorer) readRow(w modelState, feed func(string, modelState, reduce.Event)) {
	feed("reads", w, RowRead{Row: w.row, Version: w.version})
	if w.faultsLeft.StoreDown > 0 {
		next := w
		next.faultsLeft.StoreDown--
		feed("read fails", next, ReadFailed{})
	}
}

func (x *explorer) writeRow(w modelState, writeRow WriteRow, feed func(string, modelState, reduce.Event)) {
	next, applied := w.apply(writeRow)
	if !applied {
		feed("write conflicts", w, WriteConflict{})
	} else {
		feed("writes "+string(writeRow.Row.State), next, WriteSucceeded{})
	}
	if w.faultsLeft.LostAnswer > 0 {
		next.faultsLeft.LostAnswer--
		feed("writes "+string(writeRow.Row.State)+", answer lost", next, WriteUnknown{})
	}
	if w.faultsLeft.DelayedWrite > 0 {
		next := w
		next.faultsLeft.DelayedWrite--
		for i := range next.delayed {
			if !next.delayed[i].used {
				next.delayed[i] = delayedWrite{used: true, writeRow: writeRow}
				feed("write of "+string(writeRow.Row.State)+" delayed", next, WriteUnknown{})
				break
			}
		}
	}
}

func (x *explorer) sendAttempt(name string, w modelState, i int, effect SendAttempt) {
	if i < x.scenario.refused {
		x.feedRequest(name+"no target", w, i, NoTarget{Code: result.Overloaded})
		return
	}
	if w.faultsLeft.Refusal > 0 {
		next := w
		next.faultsLeft.Refusal--
		x.feedRequest(name+"no target", next, i, NoTarget{Code: result.Overloaded})
	}
	number := 0
	for number < x.scenario.attempts && w.sent[number].used {
		number++
	}
	if number == x.scenario.attempts {
		return
	}
	for agent := range uint8(agents) {
		if number == 0 && agent > 0 {
			continue // Before the first message the agents are interchangeable, too.
		}
		next := w
		next.sent[number] = sentMessage{
			used: true, request: uint8(i), agent: agent,
			epoch: effect.Epoch, admittedEpoch: w.requests[i].machine.admittedEpoch,
		}
		next.requests[i].awaiting = uint8(number + 1)
		x.visit(fmt.Sprintf("%ssends message %d of epoch %d to agent %d", name, number, effect.Epoch, agent), next)
	}
}

func (x *explorer) queryProgress(w modelState, effect QueryProgress, feed func(string, modelState, reduce.Event)) {
	feed("asks", w, ProgressReported{Progress: w.progress(effect.Execution)})
	if w.faultsLeft.Timeout > 0 {
		next := w
		next.faultsLeft.Timeout--
		feed("query gets no reply", next, ProgressReported{Progress: Unreachable})
	}
}

func (x *explorer) feedRequest(step string, w modelState, i int, event reduce.Event) {
	r := &w.requests[i]
	r.awaiting = 0
	r.machine, r.effect = r.machine.Step(event)
	switch effect := r.effect.(type) {
	case Finish:
		x.outcomes["answered"]++
		if w.runs != 1 || effect.Answer.Body != w.runNonce {
			x.trace = append(x.trace, step)
			x.reportViolation(fmt.Sprintf("answer %q is not that of the run %q", effect.Answer.Body, w.runNonce))
			return
		}
		if x.scenario.bodies[w.runRequest] != x.scenario.bodies[i] {
			x.trace = append(x.trace, step)
			x.reportViolation("the answer belongs to a request with another body")
			return
		}
		w.endRequest(r)
	case Refuse:
		x.outcomes[effect.Code.String()]++
		w.notRunBefore = max(w.notRunBefore, effect.NotRunBefore)
		w.refusedAsNotRun[i] = effect.NotRunBefore > 0 || effect.Code == result.KeyStateUnknown
		w.endRequest(r)
	}
	x.visit(step, w)
}

func (x *explorer) stepMessages(w modelState) {
	for number, message := range w.sent {
		if !message.used || (message.delivered && w.faultsLeft.Duplicate == 0) {
			continue
		}
		next := w
		if message.delivered {
			next.faultsLeft.Duplicate--
		}
		next.sent[number].delivered = true
		name := fmt.Sprintf("message %d arrives", number)
		x.deliverAttempt(name, next, number)
		if next.faultsLeft.Refusal > 0 {
			next.faultsLeft.Refusal--
			x.reply(name+" and is refused", next, number, Refused{Code: result.Overloaded})
		}
	}
}

func (x *explorer) deliverAttempt(step string, w modelState, number int) {
	message := w.sent[number]
	for i := range w.execs {
		if w.execs[i].used {
			continue
		}
		execution := Execution{
			Agent: fmt.Sprint(message.agent), Boot: fmt.Sprint(w.boots[message.agent]), Nonce: fmt.Sprint(i),
		}
		exec := &w.execs[i]
		exec.used, exec.active, exec.message = true, true, uint8(number)
		body := x.scenario.bodies[message.request]
		exec.machine, exec.effect = NewAgent(message.epoch, body, execution)
		x.visit(fmt.Sprintf("%s: execution %d", step, i), w)
		return
	}
}

// reply delivers the event, as the reply to the message with this number, to the
// request that sent the message if the request still awaits the reply.
func (x *explorer) reply(step string, w modelState, number int, event reduce.Event) {
	i := int(w.sent[number].request)
	if w.requests[i].finished || w.requests[i].awaiting != uint8(number+1) {
		x.visit(step, w)
		return
	}
	x.feedRequest(step, w, i, event)
}

func (x *explorer) stepExecs(w modelState) {
	for i, exec := range w.execs {
		if exec.active {
			x.stepExec(w, i)
		}
	}
}

func (x *explorer) stepExec(w modelState, i int) {
	name := fmt.Sprintf("execution %d: ", i)
	feed := func(step string, next modelState, event reduce.Event) { x.feedExec(name+step, next, i, event) }
	switch effect := w.execs[i].effect.(type) {
	case ReadRow:
		x.readRow(w, feed)
	case WriteRow:
		x.writeRow(w, effect, feed)
		if next, applied := w.apply(effect); applied && next.faultsLeft.LateStart > 0 && effect.Row.State == Started {
			next.faultsLeft.LateStart--
			feed("starts after the deadline", next, WriteSucceeded{Late: true})
		}
	case CallBackend:
		x.callBackend(w, i, feed)
	}
}

func (x *explorer) callBackend(w modelState, i int, feed func(string, modelState, reduce.Event)) {
	if w.faultsLeft.BackendNotCalled > 0 {
		next := w
		next.faultsLeft.BackendNotCalled--
		feed("backend server not called", next, BackendNotCalled{})
	}
	w.runs++
	w.runAdmittedEpoch = w.sent[w.execs[i].message].admittedEpoch
	w.runRequest = w.sent[w.execs[i].message].request
	w.runNonce = w.execs[i].machine.execution.Nonce
	feed("runs", w, Answered{Answer: Answer{Body: w.runNonce}})
}

func (x *explorer) feedExec(step string, w modelState, i int, event reduce.Event) {
	exec := &w.execs[i]
	exec.machine, exec.effect = exec.machine.Step(event)
	switch effect := exec.effect.(type) {
	case Finish:
		w.stopExecution(exec)
		x.reply(step, w, int(exec.message), Answered(effect))
	case Refuse:
		w.stopExecution(exec)
		if effect.Code == result.Superseded {
			x.reply(step, w, int(exec.message), Superseded{})
			return
		}
		x.reply(step, w, int(exec.message), Refused{Code: effect.Code})
	default:
		x.visit(step, w)
	}
}

func (x *explorer) stepFaults(w modelState) {
	for i, delayed := range w.delayed {
		if delayed.used {
			next, applied := w.apply(delayed.writeRow)
			next.delayed[i] = delayedWrite{}
			x.visit(fmt.Sprintf("delayed write of %s arrives, applied: %v", delayed.writeRow.Row.State, applied), next)
		}
	}
	if w.faultsLeft.EntryCrash > 0 {
		for i, r := range w.requests {
			if r.arrived && !r.finished {
				next := w
				next.faultsLeft.EntryCrash--
				next.endRequest(&next.requests[i])
				x.visit(fmt.Sprintf("entry of request %d crashes", i), next)
			}
		}
	}
	if w.faultsLeft.AgentCrash > 0 {
		for agent := range agents {
			x.visit(fmt.Sprintf("agent %d restarts", agent), w.restart(agent))
		}
	}
}
