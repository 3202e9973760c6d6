package share

import (
	"math"
	"time"

	"persimmonwind.dev/policy/result"
)

const (
	batchWindow      = 200 * time.Millisecond // One lease request asks for the tokens of a period this long.
	demandWeight     = 0.2                    // Weight of a new sample in the moving average of the demand.
	renewInterval    = 4 * time.Second        // Time between two renewals of the slots in use.
	maxBatch         = 1000                   // Upper bound of the tokens in one lease request and of one sample of the demand.
	maxLeaseRequests = 4                      // Lease requests that one request waits for; the tokens of a grant may go to other requests.
)

// Local is the share of one organisation's limits that an entry holds, and the
// entry's demand.
type Local struct {
	tokens          int         // Unused tokens of the last grant.
	slots           int         // Slots that requests may hold in all, until expiresAt.
	leasedSlots     int         // Slots that the home has leased to this entry.
	inUse           int         // Slots held by requests in flight.
	expiresAt       time.Time   // When tokens and slots expire.
	renewAt         time.Time   // When to renew the slots in use.
	deniedUntil     time.Time   // Until then requests are refused, because the home had nothing to grant.
	deniedCode      result.Code // Code of these refusals.
	demand          float64     // Requests per second that arrive at this entry.
	lastRequest     time.Time
	localTokens     float64 // Tokens of the local share, used while the home is unreachable.
	localRefilledAt time.Time
}

// Decision says what to do with a request.
type Decision int

// The values of Decision.
const (
	Admitted   Decision = iota // The request holds a slot until Release.
	Refused                    // The request is refused because of a limit.
	NeedsLease                 // Send a lease request to the home, then call TryAdmit again.
)

// TryAdmit decides about one request. leaseRequests is the number of lease requests
// whose answers the request has already waited for.
func (l *Local) TryAdmit(now time.Time, limits Limits, leaseRequests int) (Decision, *result.Error) {
	if leaseRequests == 0 {
		l.observeDemand(now)
	}
	if !now.Before(l.expiresAt) {
		l.tokens, l.slots = 0, 0
	}
	if l.tokens > 0 && (limits.Concurrency <= 0 || l.inUse < l.slots) {
		l.tokens--
		l.inUse++
		return Admitted, nil
	}
	if now.Before(l.deniedUntil) {
		return Refused, &result.Error{Code: l.deniedCode, RetryAfter: max(minRetryAfter, l.deniedUntil.Sub(now))}
	}
	if leaseRequests < maxLeaseRequests {
		return NeedsLease, nil
	}
	return Refused, &result.Error{Code: result.RateLimited, RetryAfter: minRetryAfter}
}

// observeDemand updates the moving average of the request rate with a new request.
func (l *Local) observeDemand(now time.Time) {
	if elapsed := now.Sub(l.lastRequest).Seconds(); elapsed > 0 && !l.lastRequest.IsZero() {
		l.demand += demandWeight * (min(1/elapsed, maxBatch) - l.demand)
	}
	l.lastRequest = now
}

// Ask builds the lease request for the waiting requests and those expected within
// batchWindow. At most one lease request of an organisation may be in flight.
func (l *Local) Ask(now time.Time, org, entry string, waiting int) Ask {
	demand := int(math.Ceil(l.demand * batchWindow.Seconds()))
	want := min(maxBatch, max(1, waiting, demand))
	unused := l.tokens
	if !now.Before(l.expiresAt) {
		unused = 0
	}
	l.tokens = 0
	return Ask{Org: org, Entry: entry, Want: want, Unused: unused, Slots: l.inUse + want, InUse: l.inUse}
}

// ApplyGrant records the home's answer to a lease request.
func (l *Local) ApplyGrant(now time.Time, grant Grant) {
	l.tokens, l.slots, l.leasedSlots = l.tokens+grant.Tokens, grant.Slots, grant.Slots
	l.expiresAt = now.Add(TokenTTL)
	l.renewAt = now.Add(renewInterval)
	if grant.Tokens > 0 {
		return
	}
	l.deniedUntil = now.Add(grant.RetryAfter)
	l.deniedCode = result.RateLimited
	if grant.Slots <= l.inUse {
		l.deniedCode = result.ConcurrencyLimited
	}
}

// AdmitLocally admits or refuses one request by the local share, while the home is
// unreachable.
func (l *Local) AdmitLocally(now time.Time, limits Limits, entries, rank int) (Decision, *result.Error) {
	rate := LocalRate(limits, entries)
	if !l.localRefilledAt.IsZero() {
		l.localTokens = min(max(1, rate*burstWindow.Seconds()), l.localTokens+rate*now.Sub(l.localRefilledAt).Seconds())
	}
	l.localRefilledAt = now
	if l.inUse >= LocalSlots(limits, entries, rank) {
		return Refused, &result.Error{Code: result.ConcurrencyLimited, RetryAfter: time.Second}
	}
	if limits.Rate > 0 && l.localTokens < 1 {
		retryAfter := time.Duration((1 - l.localTokens) / rate * float64(time.Second))
		return Refused, &result.Error{Code: result.RateLimited, RetryAfter: max(minRetryAfter, retryAfter)}
	}
	l.localTokens = max(0, l.localTokens-1)
	l.inUse++
	return Admitted, nil
}

// Release returns the slot of an admitted request.
func (l *Local) Release() { l.inUse-- }

// NeedsRenewal reports whether the entry should send a RenewalRequest, either to
// renew the slots in use or to return unused ones.
func (l *Local) NeedsRenewal(now time.Time) bool {
	return l.leasedSlots > l.inUse || l.inUse > 0 && !now.Before(l.renewAt)
}

// RenewalRequest builds the lease request that renews the slots in use and returns
// the others.
func (l *Local) RenewalRequest(org, entry string) Ask {
	l.slots = min(l.slots, l.inUse)
	return Ask{Org: org, Entry: entry, Slots: l.inUse, InUse: l.inUse}
}

// ApplyRenewal records the home's answer to a RenewalRequest.
func (l *Local) ApplyRenewal(now time.Time, grant Grant) {
	l.leasedSlots = grant.Slots
	l.renewAt = now.Add(renewInterval)
}

// Idle reports whether the share is unused, so that it can be deleted.
func (l *Local) Idle(now time.Time) bool {
	return l.inUse == 0 && l.leasedSlots == 0 && now.Sub(l.lastRequest) > SlotTTL
}
