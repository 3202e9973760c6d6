package once

import (
	"fmt"
	"hash/maphash"
	"strings"
	"testing"

	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/result"
)

// explorer visits every reachable world once.
type explorer struct {
	t       testing.TB
	setting setting
	seed    [2]maphash.Seed
	visited map[[2]uint64]struct{}
	trace   []string
	failed  bool
	ends    map[string]int
}

func explore(t testing.TB, s setting) *explorer {
	x := &explorer{
		t: t, setting: s, visited: map[[2]uint64]struct{}{}, ends: map[string]int{},
		seed: [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()},
	}
	x.visit("", world{left: s.faults})
	return x
}

func (x *explorer) visit(step string, w world) {
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
	if problem := w.problem(); problem != "" {
		x.fail(problem)
		return
	}
	x.stepRequests(w)
	x.stepMessages(w)
	x.stepExecs(w)
	x.stepFaults(w)
}

func (x *explorer) fail(problem string) {
	x.failed = true
	x.t.Errorf("%s: %s after%s", x.setting.name, problem, strings.Join(x.trace, "\n  "))
}

func (x *explorer) stepRequests(w world) {
	for i := range x.setting.bodies {
		r := w.requests[i]
		name := fmt.Sprintf("request %d: ", i)
		switch {
		case !r.arrived:
			if i > 0 && !w.requests[i-1].arrived && x.setting.bodies[i] == x.setting.bodies[i-1] {
				continue // Equal requests are interchangeable.
			}
			next := w
			request := &next.requests[i]
			request.arrived = true
			request.machine, request.effect = NewEntry(x.setting.given, x.setting.bodies[i])
			x.visit(name+"arrives", next)
		case !r.over && r.awaiting > 0:
			if w.left.Timeout > 0 {
				next := w
				next.left.Timeout--
				x.feedRequest(name+"silent", next, i, NoReply{})
				x.feedRequest(name+"expires", next, i, Expired{})
			}
		case !r.over:
			x.stepRequest(name, w, i)
		}
	}
}

func (x *explorer) stepRequest(name string, w world, i int) {
	feed := func(step string, next world, event reduce.Event) { x.feedRequest(name+step, next, i, event) }
	switch effect := w.requests[i].effect.(type) {
	case ReadRow:
		x.read(w, feed)
	case WriteRow:
		x.write(w, effect, feed)
		if effect.Budgeted && w.left.StoreDown > 0 {
			next := w
			next.left.StoreDown--
			feed("write skipped", next, WriteSkipped{})
		}
	case SendAttempt:
		x.send(name, w, i, effect)
	case QueryProgress:
		x.ask(w, effect, feed)
	}
}

func (x *explorer) read(w world, feed func(string, world, reduce.Event)) {
	feed("reads", w, RowRead{Row: w.row, Version: w.version})
	if w.left.StoreDown > 0 {
		next := w
		next.left.StoreDown--
		feed("read fails", next, ReadFailed{})
	}
}

func (x *explorer) write(w world, write WriteRow, feed func(string, world, reduce.Event)) {
	next, won := w.apply(write)
	if !won {
		feed("write conflicts", w, WriteConflict{})
	} else {
		feed("writes "+string(write.Row.State), next, WriteSucceeded{})
	}
	if w.left.LostAnswer > 0 {
		next.left.LostAnswer--
		feed("writes "+string(write.Row.State)+", answer lost", next, WriteUnknown{})
	}
	if w.left.LateWrite > 0 {
		next := w
		next.left.LateWrite--
		for i := range next.late {
			if !next.late[i].used {
				next.late[i] = lateWrite{used: true, write: write}
				feed("write of "+string(write.Row.State)+" delayed", next, WriteUnknown{})
				break
			}
		}
	}
}

func (x *explorer) send(name string, w world, i int, effect SendAttempt) {
	if i < x.setting.refused {
		x.feedRequest(name+"no target", w, i, NoTarget{Code: result.Overloaded})
		return
	}
	if w.left.Refusal > 0 {
		next := w
		next.left.Refusal--
		x.feedRequest(name+"no target", next, i, NoTarget{Code: result.Overloaded})
	}
	number := 0
	for number < x.setting.attempts && w.sent[number].used {
		number++
	}
	if number == x.setting.attempts {
		return
	}
	for agent := range uint8(agents) {
		if number == 0 && agent > 0 {
			continue // So are the agents before the first message.
		}
		next := w
		next.sent[number] = sentMessage{
			used: true, request: uint8(i), agent: agent,
			epoch: effect.Epoch, arrival: w.requests[i].machine.arrival,
		}
		next.requests[i].awaiting = uint8(number + 1)
		x.visit(fmt.Sprintf("%ssends message %d of epoch %d to agent %d", name, number, effect.Epoch, agent), next)
	}
}

func (x *explorer) ask(w world, effect QueryProgress, feed func(string, world, reduce.Event)) {
	feed("asks", w, ProgressReported{Progress: w.progress(effect.Execution)})
	if w.left.Timeout > 0 {
		next := w
		next.left.Timeout--
		feed("asks in vain", next, ProgressReported{Progress: Unreachable})
	}
}

func (x *explorer) feedRequest(step string, w world, i int, event reduce.Event) {
	r := &w.requests[i]
	r.awaiting = 0
	r.machine, r.effect = r.machine.Step(event)
	switch effect := r.effect.(type) {
	case Finish:
		x.ends["answered"]++
		if w.runs != 1 || effect.Answer.Body != w.runNonce {
			x.trace = append(x.trace, step)
			x.fail(fmt.Sprintf("answer %q is not that of the run %q", effect.Answer.Body, w.runNonce))
			return
		}
		if x.setting.bodies[w.runRequest] != x.setting.bodies[i] {
			x.trace = append(x.trace, step)
			x.fail("the answer belongs to another body")
			return
		}
		w.end(r)
	case Refuse:
		x.ends[effect.Code.String()]++
		w.notRun = max(w.notRun, effect.NotRunBefore)
		w.notRunBy[i] = effect.NotRunBefore > 0 || effect.Code == result.KeyStateUnknown
		w.end(r)
	}
	x.visit(step, w)
}

func (x *explorer) stepMessages(w world) {
	for number, message := range w.sent {
		if !message.used || (message.delivered && w.left.Duplicate == 0) {
			continue
		}
		next := w
		if message.delivered {
			next.left.Duplicate--
		}
		next.sent[number].delivered = true
		name := fmt.Sprintf("message %d arrives", number)
		x.admit(name, next, number)
		if next.left.Refusal > 0 {
			next.left.Refusal--
			x.reply(name+" and is refused", next, number, Refused{Code: result.Overloaded})
		}
	}
}

func (x *explorer) admit(step string, w world, number int) {
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
		body := x.setting.bodies[message.request]
		exec.machine, exec.effect = NewAgent(message.epoch, body, execution)
		x.visit(fmt.Sprintf("%s: execution %d", step, i), w)
		return
	}
}

// reply feeds the event to the request if it still awaits the message's reply.
func (x *explorer) reply(step string, w world, number int, event reduce.Event) {
	i := int(w.sent[number].request)
	if w.requests[i].over || w.requests[i].awaiting != uint8(number+1) {
		x.visit(step, w)
		return
	}
	x.feedRequest(step, w, i, event)
}

func (x *explorer) stepExecs(w world) {
	for i, exec := range w.execs {
		if exec.active {
			x.stepExec(w, i)
		}
	}
}

func (x *explorer) stepExec(w world, i int) {
	name := fmt.Sprintf("execution %d: ", i)
	feed := func(step string, next world, event reduce.Event) { x.feedExec(name+step, next, i, event) }
	switch effect := w.execs[i].effect.(type) {
	case ReadRow:
		x.read(w, feed)
	case WriteRow:
		x.write(w, effect, feed)
		if next, won := w.apply(effect); won && next.left.LateStart > 0 && effect.Row.State == Started {
			next.left.LateStart--
			feed("starts too late", next, WriteSucceeded{Late: true})
		}
	case CallBackend:
		x.call(w, i, feed)
	}
}

func (x *explorer) call(w world, i int, feed func(string, world, reduce.Event)) {
	if w.left.BackendNotCalled > 0 {
		next := w
		next.left.BackendNotCalled--
		feed("backend server unreached", next, BackendNotCalled{})
	}
	w.runs++
	w.runArrival = w.sent[w.execs[i].message].arrival
	w.runRequest = w.sent[w.execs[i].message].request
	w.runNonce = w.execs[i].machine.execution.Nonce
	feed("runs", w, Answered{Answer: Answer{Body: w.runNonce}})
}

func (x *explorer) feedExec(step string, w world, i int, event reduce.Event) {
	exec := &w.execs[i]
	exec.machine, exec.effect = exec.machine.Step(event)
	switch effect := exec.effect.(type) {
	case Finish:
		w.stop(exec)
		x.reply(step, w, int(exec.message), Answered(effect))
	case Refuse:
		w.stop(exec)
		if effect.Code == result.Superseded {
			x.reply(step, w, int(exec.message), Superseded{})
			return
		}
		x.reply(step, w, int(exec.message), Refused{Code: effect.Code})
	default:
		x.visit(step, w)
	}
}

func (x *explorer) stepFaults(w world) {
	for i, late := range w.late {
		if late.used {
			next, won := w.apply(late.write)
			next.late[i] = lateWrite{}
			x.visit(fmt.Sprintf("delayed write of %s lands: %v", late.write.Row.State, won), next)
		}
	}
	if w.left.EntryCrash > 0 {
		for i, r := range w.requests {
			if r.arrived && !r.over {
				next := w
				next.left.EntryCrash--
				next.end(&next.requests[i])
				x.visit(fmt.Sprintf("entry of request %d dies", i), next)
			}
		}
	}
	if w.left.AgentCrash > 0 {
		for agent := range agents {
			x.visit(fmt.Sprintf("agent %d restarts", agent), w.restart(agent))
		}
	}
}
