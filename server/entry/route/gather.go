package route

import (
	"context"
	"time"

	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/wire"
)

// Once an agent would take the work, the entry waits for better offers no
// longer than a share of the first token's expected time, so that a dead or
// slow agent among those asked does not hold up the work.
const (
	minOfferWait     = 2 * time.Millisecond // Above the round trip within a region.
	offerWaitDivisor = 20                   // Of the expected time to first token.
)

// offerWait returns how long to wait for better offers than this one.
func offerWait(offer *wire.ProbeReply) time.Duration {
	expected := time.Duration(offer.ExpectedWaitMS * float64(time.Millisecond))
	return max(minOfferWait, expected/offerWaitDivisor)
}

// probeResult is what one probe brought.
type probeResult struct {
	target   Target
	reply    *wire.ProbeReply // Nil where the agent did not probed.
	timedOut bool             // The agent may live, but did not probed in time.
}

// gather asks all targets at once. It returns those that answered before the
// timeout, or in time for an offer, and those that were timedOut for the whole
// timeout.
func gather(ctx context.Context, timeout time.Duration, targets []Target, probe func(context.Context, Target) probeResult) (live, timedOut []Target) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan probeResult, len(targets))
	for _, target := range targets {
		go func() { results <- probe(ctx, target) }()
	}
	var offerDeadline <-chan time.Time // Nil until an agent would take the work.
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
			live = append(live, probed.target)
			if offerDeadline == nil && probed.reply.Refuses == result.OK {
				offerDeadline = time.After(offerWait(probed.reply))
			}
		case <-offerDeadline:
			return live, timedOut
		}
	}
	return live, timedOut
}
