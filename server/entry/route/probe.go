package route

import (
	"context"
	"errors"
	"time"

	"persimmonwind.dev/policy/prefix"
	"persimmonwind.dev/server/wire"
)

const probeTimeout = 500 * time.Millisecond

// probeAll asks the targets and returns those that answered and those that
// were timedOut.
func (r *Router) probeAll(ctx context.Context, targets []Target, prompt prefix.Prompt, query Query) (live, timedOut []Target) {
	request := wire.ProbeRequest{
		Stamp: r.node.Stamp(), Model: query.Model, Adapter: query.Adapter,
		Tokens: prompt.Tokens, Blocks: len(prompt.Blocks), Prefix: prefix.Sample(prompt.Blocks),
	}
	return gather(ctx, probeTimeout, targets, func(ctx context.Context, target Target) probeResult {
		return r.probe(ctx, target, request)
	})
}

// probe asks one agent. It goes on after the request was routed without it, to
// learn whether the agent answers at all.
func (r *Router) probe(ctx context.Context, target Target, request wire.ProbeRequest) probeResult {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	// A reply of a call that was given up on may still be written later.
	reply := new(wire.ProbeReply)
	err := r.node.Pool.Call(ctx, target.Control, "Agent.Probe", request, reply)
	if err != nil {
		r.suspects.add(target.BackendServer, time.Now())
		return probeResult{target: target, timedOut: errors.Is(err, context.DeadlineExceeded)}
	}
	r.suspects.clear(target.BackendServer)
	r.node.Hear(reply.Stamp)
	return probeResult{target: target, reply: reply}
}
