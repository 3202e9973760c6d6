// Package share enforces organisations' rate and concurrency limits across entry
// instances. Rendezvous hashing assigns each organisation to one entry, its home.
// The home grants shares of the limits to the entries that have requests: tokens,
// each of which admits one request, and leased slots, each of which is held by one
// request in flight. An entry that can't reach the home falls back to a local
// share; the local shares of all entries sum to the limit.
//
// Invariants, at one home:
//   - The tokens granted over any period are at most the rate times the period,
//     plus one burst.
//   - The unexpired slots of all entries together are at most the concurrency
//     limit.
package share

import (
	"math"
	"time"
)

const (
	// TokenTTL is how long granted tokens are valid.
	TokenTTL = 2 * time.Second
	// SlotTTL is how long leased slots are valid without renewal.
	SlotTTL = 10 * time.Second

	burstWindow   = time.Second // An idle organisation saves up the tokens of a period this long.
	minBurst      = 10.0        // Tokens that any organisation may save up, however low its rate.
	minRetryAfter = 50 * time.Millisecond
)

// Limits are the limits of one organisation; 0 means no limit.
type Limits struct {
	Rate        float64 // Requests per second.
	Concurrency int     // Requests in flight.
}

// Ask is a lease request: the message in which an entry requests tokens and slots
// of an organisation from the organisation's home.
type Ask struct {
	Org    string // Name of the organisation.
	Entry  string // ID of the entry that makes the request.
	Want   int    // Tokens requested.
	Unused int    // Unused tokens of the last grant, which the entry returns.
	Slots  int    // Total slots that the entry wants to hold from now on.
	InUse  int    // Slots of the entry that are in use by requests in flight.
}

// Grant is the home's answer to a lease request.
type Grant struct {
	Tokens     int           // Tokens granted.
	Slots      int           // Total slots that the entry holds from now on.
	RetryAfter time.Duration // When to ask again if no token or slot was free; 0 otherwise.
}

// Home holds the accounts of the organisations whose home this entry is.
type Home struct {
	accounts     map[string]*account // The account of each organisation.
	reassignedAt time.Time           // When organisations may last have moved here from another home.
}

// NewHome returns a home without accounts. Leases that other homes have granted to
// entries may still be valid at now.
func NewHome(now time.Time) *Home { return &Home{accounts: map[string]*account{}, reassignedAt: now} }

// MarkReassigned records that organisations may have moved to this home from
// another one, whose leases may still be valid.
func (h *Home) MarkReassigned(now time.Time) { h.reassignedAt = now }

// account holds the tokens and leases of one organisation.
type account struct {
	restrictedUntil time.Time // Until then leases of the previous home may still be valid, so fewer tokens and slots are granted.
	refilledAt      time.Time
	rate            float64          // Requests per second that the organisation is limited to.
	tokens          float64          // Tokens available to all entries.
	leases          map[string]lease // The lease of each entry.
}

// lease holds the slots that one entry may use until expiresAt.
type lease struct {
	slots     int
	expiresAt time.Time
}

// Ask answers an entry's lease request with a share of the organisation's limits;
// entries is the number of entry instances.
func (h *Home) Ask(now time.Time, limits Limits, entries int, ask Ask) Grant {
	a := h.accounts[ask.Org]
	if a == nil {
		a = &account{refilledAt: now, tokens: Burst(limits.Rate), leases: map[string]lease{}}
		if a.restrictedUntil = h.reassignedAt.Add(SlotTTL); now.Before(a.restrictedUntil) {
			a.tokens = max(1, a.tokens/float64(max(1, entries)))
		}
		h.accounts[ask.Org] = a
	}
	a.refill(now, limits.Rate, ask.Unused)
	grant := Grant{Slots: a.lease(now, limits.Concurrency, entries, ask)}
	if grant.Slots <= ask.InUse && ask.Slots > ask.InUse {
		grant.RetryAfter = minRetryAfter
		return grant
	}
	grant.Tokens, grant.RetryAfter = a.takeTokens(limits.Rate, ask.Want)
	return grant
}

// DropIdle deletes the accounts that are in the same state as a new account: those
// without a lease request for longer than SlotTTL and with the whole burst saved
// up.
func (h *Home) DropIdle(now time.Time) {
	for org, a := range h.accounts {
		idle := now.Sub(a.refilledAt)
		if idle > SlotTTL && a.tokens+a.rate*idle.Seconds() >= Burst(a.rate) {
			delete(h.accounts, org)
		}
	}
}

// Burst returns the number of tokens that an organisation with this rate may save
// up.
func Burst(rate float64) float64 { return max(minBurst, rate*burstWindow.Seconds()) }

func (a *account) refill(now time.Time, rate float64, unused int) {
	elapsed := max(0, now.Sub(a.refilledAt).Seconds())
	a.refilledAt, a.rate = now, rate
	a.tokens = min(Burst(rate), a.tokens+rate*elapsed+float64(unused))
}

// takeTokens grants up to want tokens. If none is available, it returns the time until
// the next token.
func (a *account) takeTokens(rate float64, want int) (int, time.Duration) {
	if rate <= 0 {
		return want, 0
	}
	granted := min(want, int(a.tokens))
	a.tokens -= float64(granted)
	if granted > 0 || want == 0 {
		return granted, 0
	}
	wait := time.Duration((1 - a.tokens) / rate * float64(time.Second))
	return 0, wait
}

// lease decides how many slots the entry holds from now on, records its lease and
// returns the number.
func (a *account) lease(now time.Time, limit, entries int, ask Ask) int {
	if limit <= 0 {
		return ask.Slots
	}
	others := 0
	for entry, l := range a.leases {
		switch {
		case !now.Before(l.expiresAt):
			delete(a.leases, entry)
		case entry != ask.Entry:
			others += l.slots
		}
	}
	slots := min(ask.Slots, max(0, limit-others))
	if now.Before(a.restrictedUntil) {
		slots = min(slots, max(ask.InUse, 1, limit/max(1, entries)))
	}
	a.leases[ask.Entry] = lease{slots: slots, expiresAt: now.Add(SlotTTL)}
	return slots
}

// LocalRate returns the requests per second that one entry may admit while the
// organisation's home is unreachable: the rate divided among the entries.
func LocalRate(limits Limits, entries int) float64 {
	return limits.Rate / float64(max(1, entries))
}

// LocalSlots returns the number of slots that one entry may use while the
// organisation's home is unreachable. rank is the entry's position among all
// entries in the rendezvous order of the organisation; the slots of all ranks sum
// to the concurrency limit.
func LocalSlots(limits Limits, entries, rank int) int {
	if limits.Concurrency <= 0 {
		return math.MaxInt
	}
	entries = max(1, entries)
	slots := limits.Concurrency / entries
	if rank < limits.Concurrency%entries {
		slots++
	}
	return slots
}
