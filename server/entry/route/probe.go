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
// were silent.
func (r *Router) probeAll(ctx context.Context, targets []Target, described prefix.Prompt, query Query) (live, silent []Target) {
	request := wire.ProbeRequest{
		Stamp: r.node.Stamp(), Model: query.Model, Adapter: query.Adapter,
		Tokens: described.Tokens, Blocks: len(described.Blocks), Prefix: prefix.Sample(described.Blocks),
	}
	return gather(ctx, probeTimeout, targets, func(ctx context.Context, target Target) probed {
		return r.probe(ctx, target, request)
	})
}

// probe asks one agent. It goes on after the request was routed without it, to
// learn whether the agent answers at all.
func (r *Router) probe(ctx context.Context, target Target, request wire.ProbeRequest) probed {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	// A reply of a call that was given up on may still be written later.
	reply := new(wire.ProbeReply)
	err := r.node.Pool.Call(ctx, target.Control, "Agent.Probe", request, reply)
	if err != nil {
		r.suspects.add(target.BackendServer, time.Now())
		return probed{target: target, silent: errors.Is(err, context.DeadlineExceeded)}
	}
	r.suspects.clear(target.BackendServer)
	r.node.ObserveStamp(reply.Stamp)
	return probed{target: target, reply: reply}
}
