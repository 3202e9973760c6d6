package workload

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"persimmonwind.dev/policy/topology"
)

// engineA is the engine of deployment A.
func engineA() *topology.Engine {
	return &topology.Engine{Stride: 5, ReadTokensPerSecond: 61400, PairsMSPerMillion: 0.525, Chunk: 512, MemoryTokens: 233333, UsualPrompt: 850, UsualAnswer: 95}
}

func TestCostOfPrompts(t *testing.T) {
	Convey("The cost of a prompt follows the engine's rate, its pairs and what a pass reads", t, func() {
		model := NewModel(engineA())
		for _, c := range []struct {
			prompt   int
			readTime time.Duration
			passes   int
			long     bool
			charge   int
		}{
			{1, 16 * time.Microsecond, 1, false, 425}, {850, 14223 * time.Microsecond, 1, false, 850}, {1280, 21707 * time.Microsecond, 1, false, 1280},
			{1281, 21724 * time.Microsecond, 1, true, 1281}, {2560, 45135 * time.Microsecond, 1, true, 2560}, {2880, 51260 * time.Microsecond, 2, true, 2560},
		} {
			request := Request{PromptTokens: c.prompt}
			So(model.ReadTime(request), ShouldAlmostEqual, c.readTime, 2*time.Microsecond)
			So(model.Passes(request), ShouldEqual, c.passes)
			So(model.IsLong(request), ShouldEqual, c.long)
			So(model.Charge(request), ShouldEqual, c.charge)
		}
	})
	Convey("Absent values count as usual, and huge or negative ones as what the engine can hold or as absent", t, func() {
		model := NewModel(engineA())
		So(model.Bounded(Request{}), ShouldResemble, Request{850, 95})
		So(model.Bounded(Request{-1, math.MinInt}), ShouldResemble, Request{850, 95})
		So(model.Bounded(Request{math.MaxInt, math.MaxInt}), ShouldResemble, Request{233333, 0})
		So(model.Bounded(Request{233000, math.MaxInt}), ShouldResemble, Request{233000, 333})
		So(NewModel(nil).Bounded(Request{}), ShouldResemble, Request{defaultPromptTokens, defaultAnswerTokens})
	})
	Convey("A caller who states one token is charged half of a usual prompt, and one who states a huge one what a pass reads", t, func() {
		model := NewModel(engineA())
		So(model.Charge(Request{PromptTokens: 1}), ShouldEqual, 425)
		So(model.Charge(Request{PromptTokens: math.MaxInt}), ShouldEqual, 2560)
	})
}

// TestInventedValues guards against a panic, an overflow or a negative cost by values that
// a caller or the configuration's author has invented.
func TestInventedValues(t *testing.T) {
	numbers := rapid.OneOf(rapid.Int(), rapid.SampledFrom([]int{0, -1, 1, math.MaxInt, math.MinInt}))
	floats := rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{0, -1, math.NaN(), math.Inf(1), math.MaxFloat64, math.SmallestNonzeroFloat64}))
	rapid.Check(t, func(t *rapid.T) {
		model := NewModel(&topology.Engine{
			Stride: numbers.Draw(t, "stride"), Chunk: numbers.Draw(t, "chunk"), MemoryTokens: numbers.Draw(t, "memory"),
			UsualPrompt: numbers.Draw(t, "usual prompt"), UsualAnswer: numbers.Draw(t, "usual answer"),
			ReadTokensPerSecond: floats.Draw(t, "rate"), PairsMSPerMillion: floats.Draw(t, "pairs"),
		})
		request := Request{numbers.Draw(t, "prompt"), numbers.Draw(t, "output")}
		bounded := model.Bounded(request)
		if bounded.PromptTokens < 1 || bounded.PromptTokens > maxTokens || bounded.OutputTokens < 0 || bounded.OutputTokens > maxTokens {
			t.Fatalf("bounded to %v", bounded)
		}
		if read := model.ReadTime(request); read < 0 || read > maxReadTime {
			t.Fatalf("read time %v", read)
		}
		if passes, charge := model.Passes(request), model.Charge(request); passes < 1 || passes > maxTokens || charge < 1 || charge > maxTokens {
			t.Fatalf("%d passes, charge %d", passes, charge)
		}
	})
}

// TestLedgerFollowsSendsAndReleases guards against sums that drift from the prompts that
// are unread, so that a rank or a group counts as busy forever.
func TestLedgerFollowsSendsAndReleases(t *testing.T) {
	model := NewModel(engineA())
	type sent struct {
		ticket        uint64
		server, group string
		load          Load
		at            time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		ledger, now, seenUntil := &Ledger{}, time.Unix(1, 0), map[string]time.Time{}
		var all []sent
		drop := func(keep func(sent) bool) {
			kept := all[:0]
			for _, s := range all {
				if keep(s) {
					kept = append(kept, s)
				}
			}
			all = kept
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			ticket := uint64(rapid.IntRange(1, 12).Draw(t, "ticket"))
			group := rapid.SampledFrom([]string{"", "g"}).Draw(t, "group")
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				request := Request{PromptTokens: rapid.SampledFrom([]int{0, 1, 700, 2880, math.MaxInt}).Draw(t, "prompt")}
				server := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "server")
				drop(func(s sent) bool { return s.ticket != ticket })
				ledger.Sent(ticket, server, group, model, request, now)
				load := Load{Prompts: 1, Tokens: model.Charge(request), ReadTime: model.ReadTime(request)}
				if model.IsLong(request) {
					load.Long = 1
				}
				all = append(all, sent{ticket, server, group, load, now})
			case 1:
				drop(func(s sent) bool { return s.ticket != ticket })
				ledger.Release(ticket)
			case 2:
				seenUntil[group] = now.Add(-150 * time.Millisecond)
			}
			drop(func(s sent) bool { return now.Sub(s.at) <= maxUnreadTime })
			var total Load
			servers, pending := map[string]Load{}, map[string]Load{}
			for _, s := range all {
				total.add(s.load, 1)
				load := servers[s.server]
				load.add(s.load, 1)
				servers[s.server] = load
				if load := pending[s.group]; s.at.After(seenUntil[s.group]) {
					load.add(s.load, 1)
					pending[s.group] = load
				}
			}
			if got := ledger.Total(now); got != total {
				t.Fatalf("total %v, want %v", got, total)
			}
			for _, server := range []string{"a", "b"} {
				if got := ledger.Server(server, now); got != servers[server] {
					t.Fatalf("server %s: %v, want %v", server, got, servers[server])
				}
			}
			for _, group := range []string{"", "g"} {
				if got := ledger.Pending(group, seenUntil[group], now); got != pending[group] {
					t.Fatalf("group %q: %v pending, want %v", group, got, pending[group])
				}
			}
		}
	})
}

func TestLedgerIsBounded(t *testing.T) {
	Convey("Prompts whose end is never reported neither fill the memory nor stay unread", t, func() {
		ledger, now := &Ledger{}, time.Unix(1, 0)
		for i := range 3 * maxUnreadPrompts {
			ledger.Sent(uint64(i), "a", []string{"", "g"}[i%2], NewModel(engineA()), Request{}, now)
			So(len(ledger.prompts) <= maxUnreadPrompts, ShouldBeTrue)
		}
		So(ledger.Total(now.Add(maxUnreadTime+1)), ShouldResemble, Load{})
		So(ledger.prompts, ShouldBeEmpty)
		So(ledger.servers, ShouldBeEmpty)
		So(ledger.groups, ShouldBeEmpty)
	})
}
