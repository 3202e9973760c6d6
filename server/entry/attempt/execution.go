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
	queryRetryPause = 500 * time.Millisecond
	maxQueryWait    = 5 * time.Second // Longest time that the agent waits for news before it replies.
)

var errAgentNotListed = errors.New("the execution's agent is not in the instance list")

// sendWatched sends a call and cancels it if its agent responds neither to the call
// nor to heartbeats.
func (r *Runner) sendWatched(ctx context.Context, target route.Target, work wire.Work, body []byte) (Answer, *result.Error) {
	ctx, wd := newWatchdog(ctx, time.Until(work.Deadline))
	defer wd.stop()
	defer r.liveness.watch(target.Control, wd)()
	return r.agents.call(ctx, target, work, body)
}

// queryExecution asks an execution's agent for its progress; the agent replies
// once there is news, or after maxQueryWait.
func (r *Runner) queryExecution(ctx context.Context, execution policy.Execution) (*wire.ExecutionReply, error) {
	control, ok := r.controlAddress(execution.Agent)
	if !ok {
		return nil, errAgentNotListed
	}
	ctx, wd := newWatchdog(ctx, maxQueryWait+heartbeatTimeout)
	defer wd.stop()
	defer r.liveness.watch(control, wd)()
	reply := new(wire.ExecutionReply)
	request := wire.ExecutionRequest{Stamp: r.node.Stamp(), Execution: execution, WaitMS: maxQueryWait.Milliseconds()}
	if err := r.node.Pool.Call(ctx, control, "Execution.Wait", request, reply); err != nil {
		return nil, err
	}
	r.node.ObserveStamp(reply.Stamp)
	return reply, nil
}

func (r *Runner) controlAddress(agent string) (string, bool) {
	for _, instance := range r.node.Instances() {
		if instance.ID == agent {
			return instance.Control, true
		}
	}
	return "", false
}
