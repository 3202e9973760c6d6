package prefix

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "5")
	_ = flag.Set("rapid.checks", "200")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func words(n int, tail string) string {
	var text strings.Builder
	for index := range n {
		fmt.Fprintf(&text, "w%d ", index)
	}
	return text.String() + tail
}

func TestEqualPrefixesHaveEqualLeadingHashes(t *testing.T) {
	one, two := NewPrompt(words(64, strings.Repeat("a ", 32))), NewPrompt(words(64, strings.Repeat("b ", 32)))
	if one.Tokens != 96 || len(one.Blocks) != 6 {
		t.Fatalf("got %d tokens in %d blocks, want 96 in 6", one.Tokens, len(one.Blocks))
	}
	for index := range one.Blocks {
		if equal := one.Blocks[index] == two.Blocks[index]; equal != (index < 4) {
			t.Errorf("block %d: equal = %v", index, equal)
		}
	}
}

func TestSamplePointsIncreaseToLengthInFewSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 10000).Draw(t, "n")
		marks := SamplePoints(n)
		for index := 1; index < len(marks); index++ {
			if marks[index] <= marks[index-1] {
				t.Fatalf("sample points %v do not increase", marks)
			}
		}
		if n > 0 && marks[len(marks)-1] != n || len(marks) > 30 {
			t.Fatalf("sample points of %d blocks are %v", n, marks)
		}
	})
}

// An index that has received every event of the cache reports exactly the prefix
// that the engine has in its cache.
func TestIndexMatchesCacheWithoutEventLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index, cached, seq := NewIndex(), map[uint64]bool{}, uint64(0)
		for range rapid.IntRange(0, 100).Draw(t, "events") {
			seq++
			event := Event{Seq: seq, Block: rapid.Uint64Range(0, 8).Draw(t, "block"), Added: rapid.Bool().Draw(t, "added")}
			cached[event.Block] = event.Added
			index.Apply([]Event{event, event})
		}
		sample := rapid.SliceOfN(rapid.Uint64Range(0, 8), 0, 4).Draw(t, "sample")
		want := 0
		for want < len(sample) && cached[sample[want]] {
			want++
		}
		if got := index.Lookup(sample, len(sample)); got != want || index.Gaps() != 0 {
			t.Fatalf("found %d blocks, want %d; gaps = %d, want 0", got, want, index.Gaps())
		}
	})
}

func TestResizeCorrectsLostEviction(t *testing.T) {
	index := NewIndex()
	index.RecordPrompt([]uint64{1, 2, 3})
	index.Apply([]Event{{Seq: 7, Block: 9, Added: true}})
	if index.Gaps() != 1 {
		t.Fatalf("gaps = %d, want 1", index.Gaps())
	}
	index.Resize(1)
	if got := index.Lookup([]uint64{1, 2, 3}, 3); got != 0 {
		t.Fatalf("found %d blocks that were evicted by Resize", got)
	}
}

func TestResizeEvictsLeastRecentlyUsed(t *testing.T) {
	index := NewIndex()
	index.RecordPrompt([]uint64{1, 2, 3})
	index.RecordPrompt([]uint64{1})
	index.Resize(2)
	if index.Len() != 2 || index.Lookup([]uint64{1}, 1) != 1 || index.Lookup([]uint64{3}, 1) != 1 {
		t.Fatalf("index kept the wrong blocks (%d in all)", index.Len())
	}
}
