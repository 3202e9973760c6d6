package share

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "5")
	_ = flag.Set("rapid.checks", "200")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var epoch = time.Unix(1_700_000_000, 0)

func TestHomeGrantsStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Rate: rapid.Float64Range(0.5, 50).Draw(t, "rate"), Concurrency: rapid.IntRange(1, 20).Draw(t, "slots")}
		home, now, granted, returned := NewHome(epoch.Add(-time.Hour)), epoch, 0, 0
		type held struct {
			slots int
			until time.Time
		}
		leases := map[string]held{}
		unused := map[string]int{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			home.DropIdle(now)
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			entry := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "entry"))
			back := rapid.IntRange(0, unused[entry]).Draw(t, "unused")
			grant := home.Ask(now, limits, 5, Ask{
				Org: "org", Entry: entry, Want: rapid.IntRange(0, 30).Draw(t, "want"), Unused: back,
				Slots: rapid.IntRange(0, 10).Draw(t, "hold"),
			})
			granted, returned = granted+grant.Tokens, returned+back
			unused[entry] = grant.Tokens
			leases[entry] = held{grant.Slots, now.Add(SlotTTL)}
			total := 0
			for _, l := range leases {
				if now.Before(l.until) {
					total += l.slots
				}
			}
			if total > limits.Concurrency {
				t.Fatalf("%d slots leased; limit is %d", total, limits.Concurrency)
			}
			allowed := limits.Rate*now.Sub(epoch).Seconds() + max(minBurst, limits.Rate*burstWindow.Seconds())
			if float64(granted-returned) > allowed+1e-6 {
				t.Fatalf("%d tokens granted and %d returned in %v at %v per second", granted, returned, now.Sub(epoch), limits.Rate)
			}
		}
	})
}

func TestLocalSlotsSumToLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 400).Draw(t, "entries")
		limits := Limits{Rate: 7, Concurrency: rapid.IntRange(1, 1000).Draw(t, "slots")}
		slots := 0
		for rank := range entries {
			slots += LocalSlots(limits, entries, rank)
		}
		if slots != limits.Concurrency {
			t.Fatalf("local shares sum to %d slots, want %d", slots, limits.Concurrency)
		}
	})
}

func TestSingleEntryUsesFullRateAndNoMore(t *testing.T) {
	limits := Limits{Rate: 20, Concurrency: 1000}
	home, local, admitted := NewHome(epoch.Add(-time.Hour)), &Local{}, 0
	for step := range 10_000 {
		now := epoch.Add(time.Duration(step) * time.Millisecond)
		decision, _ := local.TryAdmit(now, limits, 0)
		if decision == NeedsLease {
			local.ApplyGrant(now, home.Ask(now, limits, 1, local.Ask(now, "org", "entry", 1)))
			decision, _ = local.TryAdmit(now, limits, maxLeaseRequests)
		}
		if decision == Admitted {
			admitted++
			local.Release()
		}
	}
	if admitted < 180 || admitted > 220 {
		t.Fatalf("admitted %d requests in 10 s at 20 per second", admitted)
	}
}

func TestAdmitLocallyKeepsToEntryShare(t *testing.T) {
	limits, local, admitted := Limits{Rate: 100, Concurrency: 10}, &Local{}, 0
	for step := range 10_000 {
		now := epoch.Add(time.Duration(step) * time.Millisecond)
		decision, err := local.AdmitLocally(now, limits, 10, 3)
		if decision == Admitted {
			admitted++
			local.Release()
		} else if err.RetryAfter <= 0 {
			t.Fatal("refusal has no RetryAfter")
		}
	}
	if admitted < 90 || admitted > 110 {
		t.Fatalf("admitted %d requests in 10 s at a tenth of 100 per second", admitted)
	}
}

// A new home limits each entry to an equal part of the organisation's slots while
// leases of the previous home may still be valid.
func TestNewHomeRestrictsSlotsWhileOldLeasesAreValid(t *testing.T) {
	limits, home := Limits{Concurrency: 10}, NewHome(epoch)
	for entry := range 5 {
		if grant := home.Ask(epoch, limits, 5, Ask{Org: "org", Entry: fmt.Sprint(entry), Slots: 6}); grant.Slots > 2 {
			t.Fatalf("entry %d got %d of 10 slots at once, want at most 2", entry, grant.Slots)
		}
	}
	later := epoch.Add(SlotTTL)
	if grant := home.Ask(later, limits, 5, Ask{Org: "org", Entry: "0", Slots: 6}); grant.Slots != 6 {
		t.Fatalf("got %d slots after the old leases expired, want 6", grant.Slots)
	}
}

func TestDropIdleKeepsAccountUntilBurstIsSavedUp(t *testing.T) {
	limits, home := Limits{Rate: 0.1}, NewHome(epoch.Add(-time.Hour))
	ask := Ask{Org: "org", Entry: "0", Want: 20}
	if grant := home.Ask(epoch, limits, 1, ask); grant.Tokens != minBurst {
		t.Fatalf("got %d tokens in the first grant", grant.Tokens)
	}
	later := epoch.Add(2 * SlotTTL)
	home.DropIdle(later)
	if grant := home.Ask(later, limits, 1, ask); grant.Tokens > 2 {
		t.Fatalf("got %d tokens after %v at 0.1 per second", grant.Tokens, 2*SlotTTL)
	}
}

// Requests of an organisation that is far below a large limit are not refused when
// its home changes to another entry.
func TestNewHomeServesLargeOrganisationAtOnce(t *testing.T) {
	limits, home, now := Limits{Rate: 10_000, Concurrency: 10_000}, NewHome(epoch), epoch
	for request := range 100 {
		grant := home.Ask(now, limits, 3, Ask{Org: "org", Entry: "0", Want: 1, Slots: request + 1, InUse: request})
		if grant.Tokens != 1 {
			t.Fatalf("request %d got no token", request)
		}
	}
}
