// Package route chooses the backend server for one attempt: it probes a few
// agents and picks the best of their offers.
package route

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"persimmonwind.dev/policy/choose"
	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/prefix"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/policy/retry"
	"persimmonwind.dev/server/node"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/wire"
)

const (
	retryAfter  = time.Second
	probeRounds = 2 // Rounds of probes, each sent to agents not probed before, until the request is refused.
)

// Query describes the request that needs a backend server.
type Query struct {
	Model           string // Empty for a plain service.
	Adapter         string
	Service         string // Empty for a model.
	Prompt          string
	ExcludedServers map[string]bool // Backend servers not to choose.
	Deadline        time.Time
	RequestID       string
}

// Target is a backend server that may be chosen, with the addresses of its agent.
type Target struct {
	BackendServer string
	Traffic       string          // host:port of the agent's traffic server.
	Control       string          // host:port of the agent's control RPC.
	Probe         wire.ProbeReply // The agent's offer; set once it has answered a probe.
}

// Router chooses the backend server for each attempt of a request.
type Router struct {
	node     *node.Node
	suspects *suspects
}

// New returns a router over the node's configuration and instance list.
func New(n *node.Node) *Router { return &Router{node: n, suspects: newSuspects()} }

// Pick returns the backend server for one attempt. If no agent answers its probe
// in time, Pick returns one that timed out: the agent itself decides whether to
// accept the work.
func (r *Router) Pick(ctx context.Context, query Query) (Target, *result.Error) {
	prompt := prefix.NewPrompt(query.Prompt)
	trustedTargets, suspectedTargets := r.suspects.split(r.candidates(query), time.Now())
	var refusal *result.Error
	var allTimedOut []Target
	for range probeRounds {
		if len(trustedTargets) == 0 {
			trustedTargets, suspectedTargets = suspectedTargets, nil
		}
		if len(trustedTargets) == 0 {
			break
		}
		sampled, rest := r.sampleCandidates(trustedTargets, query, prompt)
		answered, timedOut := r.probeAll(ctx, sampled, prompt, query)
		allTimedOut = append(allTimedOut, timedOut...)
		if len(answered) > 0 {
			target, err := r.best(answered, query)
			if err == nil {
				return target, nil
			}
			refusal = preferredRefusal(refusal, err)
		}
		trustedTargets = rest
	}
	return fallback(allTimedOut, refusal)
}

// fallback returns the result when no agent made an offer. A refusal because of
// load is assumed to hold for the agents that timed out too, and is returned;
// any other refusal says nothing about them, so one of them is chosen.
func fallback(timedOut []Target, refusal *result.Error) (Target, *result.Error) {
	if len(timedOut) > 0 && (refusal == nil || !retry.IsLoadRefusal(refusal.Code)) {
		return timedOut[rand.IntN(len(timedOut))], nil
	}
	if refusal != nil {
		return Target{}, refusal
	}
	return Target{}, &result.Error{Code: result.NoBackendServer, RetryAfter: retryAfter}
}

// preferredRefusal returns the refusal to report: one because of load before
// any other, and among equals the one with the shorter RetryAfter.
func preferredRefusal(a, b *result.Error) *result.Error {
	if a == nil {
		return b
	}
	if retry.IsLoadRefusal(a.Code) != retry.IsLoadRefusal(b.Code) {
		if retry.IsLoadRefusal(a.Code) {
			return a
		}
		return b
	}
	if b.RetryAfter < a.RetryAfter {
		return b
	}
	return a
}

// sampleCandidates splits the candidates into those to probe and the rest.
func (r *Router) sampleCandidates(candidates []Target, query Query, prompt prefix.Prompt) (sampled, rest []Target) {
	names := make([]string, len(candidates))
	for index, candidate := range candidates {
		names[index] = candidate.BackendServer
	}
	work := choose.Work{Model: query.Model + query.Service, Adapter: query.Adapter, Prompt: prompt}
	if snapshot := r.node.State().View.InForce; snapshot != nil {
		work.Version = snapshot.Models[query.Model].Version
	}
	chosen := choose.Candidates(names, work, rand.Uint64())
	for index, candidate := range candidates {
		if slices.Contains(chosen, index) {
			sampled = append(sampled, candidate)
		} else {
			rest = append(rest, candidate)
		}
	}
	return sampled, rest
}

// candidates returns the backend servers in both the configuration and the
// instance list that may serve the query.
func (r *Router) candidates(query Query) []Target {
	snapshot := r.node.State().View.InForce
	if snapshot == nil {
		return nil
	}
	var targets []Target
	for _, instance := range r.node.Instances() {
		server, ok := snapshot.BackendServers[instance.BackendServer]
		if !ok || instance.Leaving || query.ExcludedServers[server.Name] {
			continue
		}
		if canServe(server, query) && !snapshot.TakenOut(server) {
			targets = append(targets, targetOf(instance))
		}
	}
	return targets
}

func canServe(server config.BackendServer, query Query) bool {
	if query.Service != "" {
		return server.Service == query.Service
	}
	return server.Model == query.Model
}

func targetOf(instance ports.Instance) Target {
	return Target{BackendServer: instance.BackendServer, Traffic: instance.Traffic, Control: instance.Control}
}

// best returns the target with the best offer: the least expected delay, and among
// about equal ones the most headroom; see choose.Best.
func (r *Router) best(targets []Target, query Query) (Target, *result.Error) {
	state := r.node.State()
	offers := make([]choose.Offer, len(targets))
	for index, target := range targets {
		probe := target.Probe
		offers[index] = choose.Offer{
			Refuses: probe.Refuses, RetryAfter: time.Duration(probe.RetryAfterMS) * time.Millisecond,
			TimeToFirstToken: time.Duration(probe.ExpectedWaitMS * float64(time.Millisecond)),
			RTT:              choose.RTT(state.View.InForce, state.Self.DataCentre, probe.Stamp.DataCentre),
			Running:          probe.Running,
			Headroom:         probe.Headroom,
		}
	}
	index, err := choose.Best(offers, time.Until(query.Deadline), rand.Uint64())
	if err != nil {
		return Target{}, err
	}
	return targets[index], nil
}
