package choose

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"persimmonwind.dev/policy/prefix"
	"persimmonwind.dev/policy/result"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "5")
	_ = flag.Set("rapid.checks", "200")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func serverNames(n int) []string {
	names := make([]string, n)
	for index := range names {
		names[index] = fmt.Sprintf("engine-%d", index)
	}
	return names
}

func drawWork(t *rapid.T) Work {
	return Work{
		Model: "m", Version: "1", Adapter: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "adapter"),
		Prompt: prefix.Prompt{Blocks: rapid.SliceOfN(rapid.Uint64(), 0, 40).Draw(t, "blocks")},
	}
}

func TestCandidatesAreFewAndDistinct(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := serverNames(rapid.IntRange(0, 40).Draw(t, "servers"))
		chosen := Candidates(names, drawWork(t), rapid.Uint64().Draw(t, "random"))
		if len(chosen) > shallowCandidates+deepCandidates+randomCandidates || len(chosen) < min(len(names), randomCandidates) {
			t.Fatalf("%d candidates of %d", len(chosen), len(names))
		}
		slices.Sort(chosen)
		if len(slices.Compact(chosen)) != len(chosen) {
			t.Fatalf("candidates %v contain duplicates", chosen)
		}
	})
}

// When a server is removed, only the keys assigned to it may move to others.
func TestRendezvousMovesFewKeysWhenAServerLeaves(t *testing.T) {
	names := serverNames(20)
	for key := range uint64(500) {
		before := names[Rendezvous(names, mix(key), 1)[0]]
		without := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == "engine-7" })
		after := without[Rendezvous(without, mix(key), 1)[0]]
		if before != "engine-7" && after != before {
			t.Fatalf("key %d moved from %s to %s", key, before, after)
		}
	}
}

func TestRendezvousSpreadsKeysEvenly(t *testing.T) {
	names, counts := serverNames(10), make([]int, 10)
	for key := range uint64(10000) {
		counts[Rendezvous(names, mix(key), 1)[0]]++
	}
	for index, count := range counts {
		if count < 800 || count > 1200 {
			t.Errorf("server %d has %d of 10000 keys", index, count)
		}
	}
}

func TestAffinityKeyIncludesVersionAndAdapter(t *testing.T) {
	work := Work{Model: "m", Version: "1", Prompt: prefix.Prompt{Blocks: []uint64{1, 2}}}
	withVersion := work
	withVersion.Version = "2"
	withAdapter := work
	withAdapter.Adapter = "a"
	if affinityKey(work, 4) == affinityKey(withVersion, 4) || affinityKey(work, 4) == affinityKey(withAdapter, 4) {
		t.Fatal("version or adapter does not change the key")
	}
}

func TestBestTakesNoRefusalOrSlowerOffer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offers := rapid.SliceOfN(rapid.Custom(drawOffer), 0, 6).Draw(t, "offers")
		remaining := time.Duration(rapid.IntRange(0, 300).Draw(t, "remaining")) * time.Millisecond
		index, err := Best(offers, remaining, rapid.Uint64().Draw(t, "random"))
		if err != nil {
			if err.RetryAfter <= 0 || err.Code == result.OK {
				t.Fatalf("refusal %v has no error code or no retry time", err)
			}
			return
		}
		for _, offer := range offers {
			if offer.Refuses == result.OK && offer.expectedDelay()+tieMargin < offers[index].expectedDelay() {
				t.Fatalf("took %v although %v was faster", offers[index], offer)
			}
		}
		if offers[index].Refuses != result.OK || offers[index].TimeToFirstToken+offers[index].RTT > remaining+fullBatchPenalty+tieMargin {
			t.Fatalf("took %v with %v until the deadline", offers[index], remaining)
		}
	})
}

func drawOffer(t *rapid.T) Offer {
	return Offer{
		Refuses:          rapid.SampledFrom([]result.Code{result.OK, result.Overloaded, result.Leaving}).Draw(t, "refuses"),
		TimeToFirstToken: time.Duration(rapid.IntRange(0, 200).Draw(t, "first")) * time.Millisecond,
		RTT:              time.Duration(rapid.IntRange(0, 80).Draw(t, "trip")) * time.Millisecond,
		Headroom:         rapid.IntRange(-3, 10).Draw(t, "headroom"),
	}
}

func TestBestReturnsTheEarliestRefusal(t *testing.T) {
	offers := []Offer{
		{Refuses: result.Leaving, RetryAfter: 3 * time.Second},
		{Refuses: result.ColdStart, RetryAfter: 200 * time.Millisecond},
	}
	_, err := Best(offers, time.Second, 1)
	if err == nil || err.Code != result.ColdStart || err.RetryAfter != 200*time.Millisecond {
		t.Fatalf("got %v", err)
	}
}

func BenchmarkCandidates(b *testing.B) {
	for _, size := range []int{12, 172, 1900} {
		names, work := serverNames(size), Work{Model: "m", Prompt: prefix.Prompt{Blocks: make([]uint64, 62)}}
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for index := range b.N {
				Candidates(names, work, uint64(index))
			}
		})
	}
}
