package choose

import (
	"time"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/result"
)

// Expected round-trip times between an entry instance and an agent.
const (
	sameDataCentreRTT = 200 * time.Microsecond
	sameRegionRTT     = time.Millisecond
	otherRegionRTT    = 80 * time.Millisecond
)

// fullBatchPenalty is the delay added to the expected delay of an offer whose
// agent is at its concurrency limit.
const fullBatchPenalty = 400 * time.Millisecond

// tieMargin is the difference in expected delay up to which two offers count as
// equal, so that load spreads between them.
const tieMargin = 2 * time.Millisecond

// defaultRetryAfter is the Retry-After of refusals that carry none.
const defaultRetryAfter = time.Second

// Offer is an agent's answer to a probe, seen from the entry instance.
type Offer struct {
	Refuses          result.Code // OK, or why the agent takes no new work.
	RetryAfter       time.Duration
	TimeToFirstToken time.Duration // Expected at the agent: queueing, cold start and reading the uncached prompt tokens.
	RTT              time.Duration // Round-trip time to the agent.
	Running          int           // Requests in flight at the backend server.
	Headroom         int           // Requests that the agent can take before it reaches its limit.
}

// expectedDelay returns the expected time to first token plus a penalty for
// slowing down the other requests in the batch: the fuller the batch, the slower
// its steps.
func (o Offer) expectedDelay() time.Duration {
	limit := max(1, o.Running+o.Headroom)
	used := float64(o.Running) / float64(limit)
	return o.TimeToFirstToken + o.RTT + time.Duration(used*used*float64(fullBatchPenalty))
}

// RTT returns the expected network round-trip time between the data centres from
// and to.
func RTT(snapshot *config.Snapshot, from, to string) time.Duration {
	switch {
	case from == to:
		return sameDataCentreRTT
	case snapshot.DataCentres[from].Region == snapshot.DataCentres[to].Region:
		return sameRegionRTT
	default:
		return otherRegionRTT
	}
}

// Best returns the index of the offer with the least expected delay, if its time
// to first token is within remaining, the time until the caller's deadline. Among
// offers that are about equal it takes the one with the most headroom, and breaks
// ties by random. If no offer is suitable, the error says why and when to retry.
func Best(offers []Offer, remaining time.Duration, random uint64) (int, *result.Error) {
	fastest := -1
	for index, offer := range offers {
		if offer.Refuses != result.OK {
			continue
		}
		if fastest < 0 || offer.expectedDelay() < offers[fastest].expectedDelay() {
			fastest = index
		}
	}
	if fastest < 0 {
		return -1, earliestRefusal(offers)
	}
	if expectedDelay := offers[fastest].TimeToFirstToken + offers[fastest].RTT; expectedDelay > remaining {
		return -1, &result.Error{Code: result.DeadlineTooShort, RetryAfter: expectedDelay}
	}
	return pickLeastLoaded(offers, offers[fastest].expectedDelay()+tieMargin, random), nil
}

// pickLeastLoaded returns the index of the offer with the most headroom among those
// with an expected delay of at most maxDelay. The search starts at a random offer,
// which breaks ties.
func pickLeastLoaded(offers []Offer, maxDelay time.Duration, random uint64) int {
	chosen, headroom := -1, 0
	start := int(random % uint64(len(offers)))
	for step := range offers {
		index := (start + step) % len(offers)
		offer := offers[index]
		if offer.Refuses != result.OK || offer.expectedDelay() > maxDelay {
			continue
		}
		if chosen < 0 || offer.Headroom > headroom {
			chosen, headroom = index, offer.Headroom
		}
	}
	return chosen
}

// earliestRefusal returns the refusal with the shortest Retry-After.
func earliestRefusal(offers []Offer) *result.Error {
	err := &result.Error{Code: result.NoBackendServer, RetryAfter: defaultRetryAfter}
	for index, offer := range offers {
		after := offer.RetryAfter
		if after <= 0 {
			after = defaultRetryAfter
		}
		if index == 0 || after < err.RetryAfter {
			err.Code, err.RetryAfter = offer.Refuses, after
		}
	}
	return err
}
