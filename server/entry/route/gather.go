package route

import (
	"context"
	"time"

	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/wire"
)

// Once an agent has offered to take the work, the entry waits for better offers
// only for a fraction of the expected time to first token, so that a dead or
// slow agent among those probed does not delay the work.
const (
	minOfferWait     = 2 * time.Millisecond // Shortest time that the entry waits for further agents' offers after the first offer; longer than a round trip within a region.
	offerWaitDivisor = 20                   // The entry waits for the expected time to first token of the first offer, divided by this.
)

// offerWait returns how long to wait for better offers than the given one.
func offerWait(offer *wire.ProbeReply) time.Duration {
	expected := time.Duration(offer.ExpectedWaitMS * float64(time.Millisecond))
	return max(minOfferWait, expected/offerWaitDivisor)
}

// probeResult is the outcome of probing one agent.
type probeResult struct {
	target   Target
	reply    *wire.ProbeReply // Nil if the agent did not answer.
	timedOut bool             // The agent may be alive, but did not answer in time.
}

// gather probes all targets concurrently. It returns the targets that answered
// before the timeout, or before the wait for better offers ended, and those that
// did not answer within the whole timeout.
func gather(ctx context.Context, timeout time.Duration, targets []Target, probe func(context.Context, Target) probeResult) (answered, timedOut []Target) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan probeResult, len(targets))
	for _, target := range targets {
		go func() { results <- probe(ctx, target) }()
	}
	var offerDeadline <-chan time.Time // Nil until an agent offers to take the work.
	for range targets {
		select {
		case probed := <-results:
			if probed.timedOut {
				timedOut = append(timedOut, probed.target)
			}
			if probed.reply == nil {
				continue
			}
			probed.target.Probe = *probed.reply
			answered = append(answered, probed.target)
			if offerDeadline == nil && probed.reply.Refuses == result.OK {
				offerDeadline = time.After(offerWait(probed.reply))
			}
		case <-offerDeadline:
			return answered, timedOut
		}
	}
	return answered, timedOut
}
