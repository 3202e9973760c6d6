// Package share holds organisations' rate and concurrency limits across entry
// instances. Each organisation has one home among the entries, by rendezvous;
// the home leases small shares to the entries that have requests. An entry
// that can't reach the home uses a local share, so that the sum over all
// entries still is the limit.
//
// Invariants, at one home:
//   - The tokens granted over any time are at most the rate times that time,
//     plus one burst.
//   - The unexpired slots of all entries together are at most the concurrency
//     limit.
package share

import (
	"math"
	"time"
)

const (
	// TokenTTL is how long granted tokens last.
	TokenTTL = 2 * time.Second
	// SlotTTL is how long leased slots last without renewal.
	SlotTTL = 10 * time.Second

	burstTime     = time.Second // Of the rate that an idle organisation saves up.
	minBurst      = 10.0        // Tokens that every organisation may save up.
	minRetryAfter = 50 * time.Millisecond
)

// Limits are one organisation's; 0 means no limit.
type Limits struct {
	Rate        float64 // Requests a second.
	Concurrency int     // Requests at a time.
}

// Ask asks the home for a share.
type Ask struct {
	Org    string
	Entry  string
	Want   int // Tokens.
	Unused int // Tokens of the last grant that come back.
	Slots  int // Slots to hold from now on, in all.
	InUse  int // Slots under way.
}

// Grant answers Ask.
type Grant struct {
	Tokens     int
	Slots      int
	RetryAfter time.Duration // When no token or slot was free.
}

// Home keeps the accounts of the organisations whose home an entry is.
type Home struct {
	accounts map[string]*account
	moved    time.Time
}

// NewHome returns a home without accounts; it has just become one.
func NewHome(now time.Time) *Home { return &Home{accounts: map[string]*account{}, moved: now} }

// MarkReassigned tells that organisations may have come from another home, whose leases
// may still last.
func (h *Home) MarkReassigned(now time.Time) { h.moved = now }

// account is one organisation's.
type account struct {
	careful time.Time // Until then leases of a former home may still last.
	filled  time.Time
	rate    float64
	tokens  float64
	leases  map[string]lease
}

type lease struct {
	slots int
	until time.Time
}

// Ask leases a share; entries is the number of entry instances.
func (h *Home) Ask(now time.Time, limits Limits, entries int, ask Ask) Grant {
	a := h.accounts[ask.Org]
	if a == nil {
		a = &account{filled: now, tokens: Burst(limits.Rate), leases: map[string]lease{}}
		if a.careful = h.moved.Add(SlotTTL); now.Before(a.careful) {
			a.tokens = max(1, a.tokens/float64(max(1, entries)))
		}
		h.accounts[ask.Org] = a
	}
	a.fill(now, limits.Rate, ask.Unused)
	grant := Grant{Slots: a.lease(now, limits.Concurrency, entries, ask)}
	if grant.Slots <= ask.InUse && ask.Slots > ask.InUse {
		grant.RetryAfter = minRetryAfter
		return grant
	}
	grant.Tokens, grant.RetryAfter = a.take(limits.Rate, ask.Want)
	return grant
}

// DropIdle drops the accounts that are as good as new: nobody has asked in the
// time of a lease, and the burst is saved up.
func (h *Home) DropIdle(now time.Time) {
	for org, a := range h.accounts {
		idle := now.Sub(a.filled)
		if idle > SlotTTL && a.tokens+a.rate*idle.Seconds() >= Burst(a.rate) {
			delete(h.accounts, org)
		}
	}
}

// Burst returns the tokens that an organisation may save up.
func Burst(rate float64) float64 { return max(minBurst, rate*burstTime.Seconds()) }

func (a *account) fill(now time.Time, rate float64, unused int) {
	elapsed := max(0, now.Sub(a.filled).Seconds())
	a.filled, a.rate = now, rate
	a.tokens = min(Burst(rate), a.tokens+rate*elapsed+float64(unused))
}

func (a *account) take(rate float64, want int) (int, time.Duration) {
	if rate <= 0 {
		return want, 0
	}
	granted := min(want, int(a.tokens))
	a.tokens -= float64(granted)
	if granted > 0 || want == 0 {
		return granted, 0
	}
	missing := time.Duration((1 - a.tokens) / rate * float64(time.Second))
	return 0, missing
}

// lease sets how many slots the entry holds and returns them.
func (a *account) lease(now time.Time, limit, entries int, ask Ask) int {
	if limit <= 0 {
		return ask.Slots
	}
	others := 0
	for entry, l := range a.leases {
		switch {
		case !now.Before(l.until):
			delete(a.leases, entry)
		case entry != ask.Entry:
			others += l.slots
		}
	}
	slots := min(ask.Slots, max(0, limit-others))
	if now.Before(a.careful) {
		slots = min(slots, max(ask.InUse, 1, limit/max(1, entries)))
	}
	a.leases[ask.Entry] = lease{slots: slots, until: now.Add(SlotTTL)}
	return slots
}

// LocalRate returns an entry's part of the rate while the home is unreachable.
func LocalRate(limits Limits, entries int) float64 {
	return limits.Rate / float64(max(1, entries))
}

// LocalSlots returns an entry's part of the slots while the home is
// unreachable; rank is the entry's place among all by rendezvous for the
// organisation, so that the parts sum up to the limit.
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
