package share

import (
	"math"
	"time"

	"persimmonwind.dev/policy/result"
)

const (
	batchTime    = 200 * time.Millisecond // Of an entry's own demand that one ask covers.
	demandWeight = 0.2                    // Weight of a new sample of the demand.
	renewTime    = 4 * time.Second
	maxBatch     = 1000
	maxAsks      = 4 // Of one request; the tokens of an answer may go to others.
)

// Local is an entry's share of one organisation's limits.
type Local struct {
	tokens   int
	slots    int
	held     int // Slots that the home counts as this entry's.
	inUse    int
	until    time.Time // End of tokens and slots.
	renew    time.Time // When slots in use are to be renewed.
	denied   time.Time // The home has nothing until then.
	reason   result.Code
	demand   float64 // Requests a second asked of this entry.
	last     time.Time
	fallback float64 // Tokens of the local share, while the home is unreachable.
	fellBack time.Time
}

// Decision tells what to do with a request.
type Decision int

// Verdicts.
const (
	Admitted Decision = iota // The request holds a slot until Done.
	Refused
	NeedsLease // Ask the home, then try again.
)

// TryAdmit tries to admit one request. asks is how often the request has waited for
// an answer of the home before.
func (l *Local) TryAdmit(now time.Time, limits Limits, asks int) (Decision, *result.Error) {
	if asks == 0 {
		l.observe(now)
	}
	if !now.Before(l.until) {
		l.tokens, l.slots = 0, 0
	}
	if l.tokens > 0 && (limits.Concurrency <= 0 || l.inUse < l.slots) {
		l.tokens--
		l.inUse++
		return Admitted, nil
	}
	if now.Before(l.denied) {
		return Refused, &result.Error{Code: l.reason, RetryAfter: max(minRetryAfter, l.denied.Sub(now))}
	}
	if asks < maxAsks {
		return NeedsLease, nil
	}
	return Refused, &result.Error{Code: result.RateLimited, RetryAfter: minRetryAfter}
}

func (l *Local) observe(now time.Time) {
	if elapsed := now.Sub(l.last).Seconds(); elapsed > 0 && !l.last.IsZero() {
		l.demand += demandWeight * (min(1/elapsed, maxBatch) - l.demand)
	}
	l.last = now
}

// Ask returns what to ask the home for on behalf of the waiting requests and
// those to come soon. There must be one ask at a time.
func (l *Local) Ask(now time.Time, org, entry string, waiting int) Ask {
	demand := int(math.Ceil(l.demand * batchTime.Seconds()))
	want := min(maxBatch, max(1, waiting, demand))
	unused := l.tokens
	if !now.Before(l.until) {
		unused = 0
	}
	l.tokens = 0
	return Ask{Org: org, Entry: entry, Want: want, Unused: unused, Slots: l.inUse + want, InUse: l.inUse}
}

// ApplyGrant takes in the home's answer.
func (l *Local) ApplyGrant(now time.Time, grant Grant) {
	l.tokens, l.slots, l.held = l.tokens+grant.Tokens, grant.Slots, grant.Slots
	l.until = now.Add(TokenTTL)
	l.renew = now.Add(renewTime)
	if grant.Tokens > 0 {
		return
	}
	l.denied = now.Add(grant.RetryAfter)
	l.reason = result.RateLimited
	if grant.Slots <= l.inUse {
		l.reason = result.ConcurrencyLimited
	}
}

// AdmitLocally admits one request by the local share, or refuses it.
func (l *Local) AdmitLocally(now time.Time, limits Limits, entries, rank int) (Decision, *result.Error) {
	rate := LocalRate(limits, entries)
	if !l.fellBack.IsZero() {
		l.fallback = min(max(1, rate*burstTime.Seconds()), l.fallback+rate*now.Sub(l.fellBack).Seconds())
	}
	l.fellBack = now
	if l.inUse >= LocalSlots(limits, entries, rank) {
		return Refused, &result.Error{Code: result.ConcurrencyLimited, RetryAfter: time.Second}
	}
	if limits.Rate > 0 && l.fallback < 1 {
		after := time.Duration((1 - l.fallback) / rate * float64(time.Second))
		return Refused, &result.Error{Code: result.RateLimited, RetryAfter: max(minRetryAfter, after)}
	}
	l.fallback = max(0, l.fallback-1)
	l.inUse++
	return Admitted, nil
}

// Release gives back the slot of an admitted request.
func (l *Local) Release() { l.inUse-- }

// NeedsRenewal reports whether slots in use are to be renewed at the home, or
// others to be given back.
func (l *Local) NeedsRenewal(now time.Time) bool {
	return l.held > l.inUse || l.inUse > 0 && !now.Before(l.renew)
}

// RenewalRequest returns what to ask the home for to keep just the slots in use.
func (l *Local) RenewalRequest(org, entry string) Ask {
	l.slots = min(l.slots, l.inUse)
	return Ask{Org: org, Entry: entry, Slots: l.inUse, InUse: l.inUse}
}

// ApplyRenewal takes in the home's answer to a Renewal.
func (l *Local) ApplyRenewal(now time.Time, grant Grant) {
	l.held = grant.Slots
	l.renew = now.Add(renewTime)
}

// Idle reports whether the share can be forgotten.
func (l *Local) Idle(now time.Time) bool {
	return l.inUse == 0 && l.held == 0 && now.Sub(l.last) > SlotTTL
}
