package agent

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	policy "persimmonwind.dev/policy/once"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/node"
	"persimmonwind.dev/server/once"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/wire"
)

const (
	maxExecutions      = 4096 // Limit on concurrent executions.
	maxStoreWait       = 2 * time.Second
	defaultCallTimeout = 60 * time.Second
	maxExecutionWait   = 5 * time.Second
)

// executions runs non-idempotent calls at most once per idempotency key. It holds
// every active execution of this boot, that is, of this agent process; any other
// execution of this boot was abandoned or has its answer stored.
type executions struct {
	agent   string
	boot    string
	node    *node.Node
	service ports.Service
	rows    *once.Rows

	mu               sync.Mutex
	activeExecutions map[string]*execution // Active executions, by the nonce in their IDs.
}

func newExecutions(agent string, n *node.Node, service ports.Service) *executions {
	return &executions{
		agent: agent, boot: uuid.NewString(), node: n, service: service,
		rows:             &once.Rows{Table: n.Store, Objects: n.Store.Objects()},
		activeExecutions: map[string]*execution{},
	}
}

// execution is one run of the call with an idempotency key.
type execution struct {
	owner     *executions
	id        policy.Execution
	work      wire.Work
	body      []byte
	onFailure func(error) // Called when the call of the backend server fails.
	answer    policy.Answer
	refusal   *result.Error // Why the call was not run, or nil; set before ended is closed.
	answered  chan struct{} // Closed once answer is set.
	ended     chan struct{} // Closed once the execution is inactive.
}

func (e *executions) begin(work wire.Work, body []byte, onFailure func(error)) (*execution, *result.Error) {
	x := &execution{
		owner: e, work: work, body: body, onFailure: onFailure,
		id:       policy.Execution{Agent: e.agent, Boot: e.boot, Nonce: uuid.NewString()},
		answered: make(chan struct{}), ended: make(chan struct{}),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.activeExecutions) >= maxExecutions {
		return nil, result.Errorf(result.StoreUnavailable, "%d answers wait for the table service", len(e.activeExecutions))
	}
	e.activeExecutions[x.id.Nonce] = x
	return x, nil
}

func (e *executions) end(x *execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.activeExecutions, x.id.Nonce)
	close(x.ended)
}

func (e *executions) find(nonce string) *execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.activeExecutions[nonce]
}

// run runs the execution to its end. It does not depend on a caller's context:
// work that has started is completed.
func (x *execution) run() {
	defer x.owner.end(x)
	ctx := context.Background()
	machine, effect := policy.NewAgent(x.work.Epoch, policy.Fingerprint(x.work.Service, x.work.Operation, x.body), x.id)
	for {
		if refuse, ok := effect.(policy.Refuse); ok {
			x.refusal = result.Errorf(refuse.Code, "attempt of epoch %d was not run", x.work.Epoch)
			return
		}
		if _, ok := effect.(policy.Finish); ok {
			return
		}
		machine, effect = machine.Step(x.execute(ctx, effect))
		if answer, ok := machine.Storing(); ok {
			x.publish(answer)
		}
	}
}

// publish makes the backend server's answer available before it is stored.
func (x *execution) publish(answer policy.Answer) {
	select {
	case <-x.answered:
	default:
		x.answer = answer
		close(x.answered)
	}
}

func (x *execution) execute(ctx context.Context, effect reduce.Effect) reduce.Event {
	switch effect := effect.(type) {
	case policy.ReadRow:
		event := x.owner.rows.Read(ctx, x.work.Key, effect)
		if read, ok := event.(policy.RowRead); ok {
			read.Late = x.pastDeadline()
			return read
		}
		return event
	case policy.WriteRow:
		event := x.owner.rows.Write(ctx, x.work.Key, effect)
		if _, ok := event.(policy.WriteSucceeded); ok {
			return policy.WriteSucceeded{Late: x.pastDeadline()}
		}
		return event
	default:
		return x.call(ctx)
	}
}

func (x *execution) pastDeadline() bool { return time.Now().After(x.work.Deadline) }

func (x *execution) call(ctx context.Context) reduce.Event {
	ctx, cancel := context.WithTimeout(ctx, x.owner.callTimeout(x.work))
	defer cancel()
	answer, err := x.owner.service.Call(ctx, ports.ServiceCall{
		ID: x.work.RequestID, Service: x.work.Service, Operation: x.work.Operation, Body: x.body,
	})
	if err == nil {
		return policy.Answered{Answer: policy.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: string(answer.Body)}}
	}
	x.onFailure(err)
	if errors.Is(err, ports.ErrUnavailable) {
		return policy.BackendNotCalled{}
	}
	logevent.Write(x.owner.node.Log(), logevent.RunOutcomeUnknown, logrus.Fields{"request": x.work.RequestID, "error": err.Error()})
	return policy.Answered{Answer: policy.Answer{Code: int(result.OutcomeUnknown)}}
}

func (e *executions) callTimeout(work wire.Work) time.Duration {
	snapshot := e.node.State().View.InForce
	if snapshot == nil {
		return defaultCallTimeout
	}
	operation, ok := snapshot.Services[work.Service].Operation(work.Operation)
	if !ok || operation.TimeoutMS == 0 {
		return defaultCallTimeout
	}
	return operation.Timeout()
}

// callKeyed runs a non-idempotent call. The slot stays reserved until the
// backend server has answered; the handler returns only after the answer is
// stored, so that a draining agent waits for it.
func (a *Agent) callKeyed(ctx context.Context, w http.ResponseWriter, slot *slot, work wire.Work, body []byte) bool {
	if work.Key == "" {
		refuse(w, result.Errorf(result.BadRequest, "work %q is not idempotent and has no key", work.RequestID))
		return false
	}
	if time.Now().After(work.Deadline) || ctx.Err() != nil {
		refuse(w, result.Errorf(result.Cancelled, "caller of work %q has disconnected, or its deadline has passed", work.RequestID))
		return false
	}
	x, refusal := a.executions.begin(work, body, func(err error) { slot.fail(ctx, err) })
	if refusal != nil {
		refuse(w, refusal)
		return false
	}
	go x.run()
	select {
	case <-x.ended:
	case <-x.answered:
		x.awaitStored()
	}
	if x.refusal != nil {
		refuse(w, x.refusal)
		return false
	}
	complete := writeAnswer(w, x.answer)
	slot.release(complete)
	<-x.ended
	return complete
}

// awaitStored waits for the answer to be stored, at most maxStoreWait, so that a
// slow store does not hold up the answer.
func (x *execution) awaitStored() {
	select {
	case <-x.ended:
	case <-time.After(maxStoreWait):
		logevent.Write(x.owner.node.Log(), logevent.AnswerNotStored, logrus.Fields{"request": x.work.RequestID})
	}
}

// writeAnswer sends the backend server's answer, or a refusal if there is none. It
// reports whether there is an answer.
func writeAnswer(w http.ResponseWriter, answer policy.Answer) bool {
	if answer.Code != 0 {
		refuse(w, result.Errorf(result.Code(answer.Code), "the backend server gave no answer"))
		return false
	}
	w.Header().Set("Content-Type", answer.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write([]byte(answer.Body))
	_ = http.NewResponseController(w).Flush()
	return true
}

// executionReceiver serves the RPC calls with which entries query executions.
type executionReceiver struct{ executions *executions }

// Wait returns the progress of an execution once the execution has ended or its answer
// is available, or after the wait that the request sets.
func (r *executionReceiver) Wait(request wire.ExecutionRequest, reply *wire.ExecutionReply) error {
	e := r.executions
	e.node.ObserveStamp(request.Stamp)
	reply.Stamp = e.node.Stamp()
	if request.Execution.Boot != e.boot {
		reply.Progress = policy.AgentRestarted
		return nil
	}
	x := e.find(request.Execution.Nonce)
	if x == nil {
		reply.Progress = policy.Inactive
		return nil
	}
	reply.Progress = policy.Running
	wait := min(time.Duration(request.WaitMS)*time.Millisecond, maxExecutionWait)
	select {
	case <-x.answered:
		answer := x.answer
		reply.Answer = &answer
	case <-x.ended:
		reply.Progress = policy.Inactive
	case <-time.After(wait):
	}
	return nil
}
