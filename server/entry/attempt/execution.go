package attempt

import (
	"context"
	"errors"
	"time"

	policy "persimmonwind.dev/policy/once"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/entry/route"
	"persimmonwind.dev/server/wire"
)

const (
	askPause = 500 * time.Millisecond
	askWait  = 5 * time.Second // Longest wait of the agent before it replies.
)

var errAgentNotListed = errors.New("the execution's agent is not in the instance list")

// sendWatched sends a call and gives it up once its agent is silent: it answers
// neither the call nor heartbeats.
func (r *Runner) sendWatched(ctx context.Context, target route.Target, work wire.Work, body []byte) (Answer, *result.Error) {
	ctx, dog := newWatchdog(ctx, time.Until(work.Deadline))
	defer dog.stop()
	defer r.liveness.watch(target.Control, dog)()
	return r.agents.call(ctx, target, work, body)
}

// askExecution asks an execution's agent about it; the agent replies once it
// knows more, or after askWait.
func (r *Runner) askExecution(ctx context.Context, execution policy.Execution) (*wire.ExecutionReply, error) {
	control, ok := r.controlOf(execution.Agent)
	if !ok {
		return nil, errAgentNotListed
	}
	ctx, dog := newWatchdog(ctx, askWait+heartbeatTimeout)
	defer dog.stop()
	defer r.liveness.watch(control, dog)()
	reply := new(wire.ExecutionReply)
	request := wire.ExecutionRequest{Stamp: r.node.Stamp(), Execution: execution, WaitMS: askWait.Milliseconds()}
	if err := r.node.Pool.Call(ctx, control, "Execution.Wait", request, reply); err != nil {
		return nil, err
	}
	r.node.ObserveStamp(reply.Stamp)
	return reply, nil
}

func (r *Runner) controlOf(agent string) (string, bool) {
	for _, instance := range r.node.Instances() {
		if instance.ID == agent {
			return instance.Control, true
		}
	}
	return "", false
}
