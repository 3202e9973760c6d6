package choose

import (
	"time"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/result"
)

// Round trips between an entry instance and an agent.
const (
	sameCentreTrip  = 200 * time.Microsecond
	sameRegionTrip  = time.Millisecond
	otherRegionTrip = 80 * time.Millisecond
)

// fullBatchCost is the delay that counts against an agent at its limit.
const fullBatchCost = 400 * time.Millisecond

// tieMargin is the difference in expected time below which two offers count as
// equal, so that load spreads between them.
const tieMargin = 2 * time.Millisecond

// defaultRetryAfter is told where no offer names a time.
const defaultRetryAfter = time.Second

// Offer is an agent's answer to a probe, seen from the entry instance.
type Offer struct {
	Refuses    result.Code // OK, or why the agent takes no new work.
	RetryAfter time.Duration
	FirstToken time.Duration // Expected at the agent: queue, cold state, and prompt tokens not cached.
	RTT        time.Duration // Round trip to the agent.
	Running    int
	Headroom   int // Requests below the agent's limit.
}

// expected returns the expected time to first token, and what the work costs
// the work that runs beside it: the fuller the batch, the slower its steps.
func (o Offer) expected() time.Duration {
	limit := max(1, o.Running+o.Headroom)
	used := float64(o.Running) / float64(limit)
	return o.FirstToken + o.RTT + time.Duration(used*used*float64(fullBatchCost))
}

// RTT returns the expected round trip between two data centres.
func RTT(snapshot *config.Snapshot, from, to string) time.Duration {
	switch {
	case from == to:
		return sameCentreTrip
	case snapshot.DataCentres[from].Region == snapshot.DataCentres[to].Region:
		return sameRegionTrip
	default:
		return otherRegionTrip
	}
}

// Best returns the index of the offer with the least expected time to first
// token that is within remaining, the time until the caller's deadline. Among
// offers that are about equal it takes the one with more headroom, then one by
// random. If no offer will do, the error tells why and when to come back.
func Best(offers []Offer, remaining time.Duration, random uint64) (int, *result.Error) {
	fastest := -1
	for index, offer := range offers {
		if offer.Refuses != result.OK {
			continue
		}
		if fastest < 0 || offer.expected() < offers[fastest].expected() {
			fastest = index
		}
	}
	if fastest < 0 {
		return -1, refusal(offers)
	}
	if expected := offers[fastest].FirstToken + offers[fastest].RTT; expected > remaining {
		return -1, &result.Error{Code: result.DeadlineTooShort, RetryAfter: expected}
	}
	return spread(offers, offers[fastest].expected()+tieMargin, random), nil
}

func spread(offers []Offer, limit time.Duration, random uint64) int {
	chosen, headroom := -1, 0
	start := int(random % uint64(len(offers)))
	for step := range offers {
		index := (start + step) % len(offers)
		offer := offers[index]
		if offer.Refuses != result.OK || offer.expected() > limit {
			continue
		}
		if chosen < 0 || offer.Headroom > headroom {
			chosen, headroom = index, offer.Headroom
		}
	}
	return chosen
}

// refusal returns the refusal that ends first.
func refusal(offers []Offer) *result.Error {
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
