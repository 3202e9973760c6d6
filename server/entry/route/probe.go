package route

import (
	"context"
	"errors"
	"time"

	"persimmonwind.dev/policy/prefix"
	"persimmonwind.dev/server/wire"
)

const probeTimeout = 500 * time.Millisecond

// probeAll probes the targets and returns those that answered and those that
// timed out.
func (r *Router) probeAll(ctx context.Context, targets []Target, prompt prefix.Prompt, query Query) (answered, timedOut []Target) {
	request := wire.ProbeRequest{
		Stamp: r.node.Stamp(), Model: query.Model, Adapter: query.Adapter,
		Tokens: prompt.Tokens, Blocks: len(prompt.Blocks), Prefix: prefix.Sample(prompt.Blocks),
	}
	return gather(ctx, probeTimeout, targets, func(ctx context.Context, target Target) probeResult {
		return r.probe(ctx, target, request)
	})
}

// probe asks one agent for an offer. It continues after the request has been
// routed without the agent, to learn whether the agent answers at all.
func (r *Router) probe(ctx context.Context, target Target, request wire.ProbeRequest) probeResult {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	// Each call needs a reply of its own, since an abandoned call may still write to
	// it later.
	reply := new(wire.ProbeReply)
	err := r.node.Pool.Call(ctx, target.Control, "Agent.Probe", request, reply)
	if err != nil {
		r.suspects.add(target.BackendServer, time.Now())
		return probeResult{target: target, timedOut: errors.Is(err, context.DeadlineExceeded)}
	}
	r.suspects.clear(target.BackendServer)
	r.node.ObserveStamp(reply.Stamp)
	return probeResult{target: target, reply: reply}
}
