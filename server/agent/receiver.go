package agent

import (
	"persimmonwind.dev/policy/admission"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/wire"
)

// receiver serves the control RPC calls of entries.
type receiver struct{ agent *Agent }

// Probe returns whether and how soon the agent could serve a request.
func (r *receiver) Probe(request wire.ProbeRequest, reply *wire.ProbeReply) error {
	r.agent.node.ObserveStamp(request.Stamp)
	reply.Stamp = r.agent.node.Stamp()
	reply.BackendServer = r.agent.settings.BackendServer
	if err := r.agent.node.State().CheckNewWork(); err != nil {
		refuseProbe(reply, err)
		return nil
	}
	offer, err := r.agent.admitter.probe(admission.Probed{Tokens: request.Tokens, Blocks: request.Blocks, Sample: request.Prefix})
	if err != nil {
		refuseProbe(reply, err)
		return nil
	}
	reply.Refuses, reply.RetryAfterMS = offer.Refuses, offer.RetryAfter.Milliseconds()
	reply.Headroom, reply.Queued, reply.Running = offer.Headroom, offer.Queued, offer.Running
	reply.Cold, reply.CachedBlocks = offer.Cold, offer.CachedBlocks
	reply.ExpectedWaitMS = float64(offer.TimeToFirstToken.Microseconds()) / 1000
	return nil
}

func refuseProbe(reply *wire.ProbeReply, err *result.Error) {
	reply.Refuses, reply.RetryAfterMS = err.Code, err.RetryAfter.Milliseconds()
}
