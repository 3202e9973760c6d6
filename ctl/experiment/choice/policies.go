package choice

import (
	"math/rand/v2"
	"time"

	"persimmonwind.dev/ctl/experiment/model"
	"persimmonwind.dev/policy/choose"
	"persimmonwind.dev/policy/result"
)

const (
	trip          = time.Millisecond // One round trip between an entry and an agent.
	staleInterval = time.Second      // Between two load reports to every entry.
)

// decision is the choice for one attempt.
type decision struct {
	server int
	wait   time.Duration // Time that the choice took.
	bytes  int           // Control bytes that it cost.
}

// policy chooses a server for the work; excluded servers were tried before.
type policy interface {
	name() string
	choose(work model.Request, excluded map[int]bool) (decision, bool)
}

// fleet is what the policies choose from.
type fleet struct {
	clock   *model.Clock
	servers []*model.Server
	names   []string
	random  *rand.Rand
	entries int
	rate    float64 // Requests a second at all entries together.
}

func (f *fleet) free(excluded map[int]bool) []int {
	var free []int
	for index := range f.servers {
		if !excluded[index] {
			free = append(free, index)
		}
	}
	return free
}

// randomly takes any server.
type randomly struct{ *fleet }

func (randomly) name() string { return "random" }

func (p randomly) choose(_ model.Request, excluded map[int]bool) (decision, bool) {
	free := p.free(excluded)
	if len(free) == 0 {
		return decision{}, false
	}
	return decision{server: free[p.random.IntN(len(free))]}, true
}

// stale takes the least loaded by reports that every agent sends to every
// entry at an interval.
type stale struct {
	*fleet
	loads []int
}

func newStale(f *fleet) *stale {
	p := &stale{fleet: f, loads: make([]int, len(f.servers))}
	f.clock.Every(0, staleInterval, func() {
		for index, server := range f.servers {
			p.loads[index] = server.Running() + server.Queued()
		}
	})
	return p
}

func (*stale) name() string { return "least loaded, stale reports" }

func (p *stale) choose(_ model.Request, excluded map[int]bool) (decision, bool) {
	free := p.free(excluded)
	best, ties := -1, 0
	for _, index := range free {
		switch {
		case best < 0 || p.loads[index] < p.loads[best]:
			best, ties = index, 1
		case p.loads[index] == p.loads[best]:
			ties++
			if p.random.IntN(ties) == 0 {
				best = index
			}
		}
	}
	perSecond := float64(len(p.servers)*p.entries*reportBytes()) / staleInterval.Seconds()
	return decision{server: best, bytes: int(perSecond / p.rate)}, best >= 0
}

// twoChoices asks two random agents and takes the less loaded.
type twoChoices struct{ *fleet }

func (twoChoices) name() string { return "power of two" }

func (p twoChoices) choose(work model.Request, excluded map[int]bool) (decision, bool) {
	free := p.free(excluded)
	if len(free) == 0 {
		return decision{}, false
	}
	one, two := free[p.random.IntN(len(free))], free[p.random.IntN(len(free))]
	if p.load(two) < p.load(one) {
		one = two
	}
	return decision{server: one, wait: trip, bytes: 2 * probeBytes(0)}, true
}

func (p twoChoices) load(index int) int {
	return p.servers[index].Running() + p.servers[index].Queued()
}

// ours asks the few agents that package choose names.
type ours struct{ *fleet }

func (ours) name() string { return "persimmonwind" }

func (p ours) choose(work model.Request, excluded map[int]bool) (decision, bool) {
	free := p.free(excluded)
	names := make([]string, len(free))
	for index, server := range free {
		names[index] = p.names[server]
	}
	asked := choose.Candidates(names, choose.Work{Model: "m", Prompt: work.Prompt}, p.random.Uint64())
	offers := make([]choose.Offer, len(asked))
	for index, candidate := range asked {
		offer := p.servers[free[candidate]].Probe(work.Prompt)
		offers[index] = choose.Offer{
			Refuses: offer.Refuses, RetryAfter: offer.RetryAfter,
			FirstToken: offer.FirstToken, RTT: trip, Running: offer.Running, Headroom: offer.Headroom,
		}
	}
	cost := len(asked) * probeBytes(len(work.Prompt.Blocks))
	index, err := choose.Best(offers, work.Timeout, p.random.Uint64())
	if err != nil && err.Code != result.OK {
		return decision{bytes: cost}, false
	}
	return decision{server: free[asked[index]], wait: trip, bytes: cost}, true
}
