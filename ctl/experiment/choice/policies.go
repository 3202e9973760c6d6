package choice

import (
	"math/rand/v2"
	"time"

	"persimmonwind.dev/ctl/experiment/model"
	"persimmonwind.dev/policy/choose"
	"persimmonwind.dev/policy/result"
)

const (
	roundTripTime  = time.Millisecond // Network round trip between an entry and an agent.
	reportInterval = time.Second      // Interval at which an agent sends its load report to every entry.
)

// decision is the choice of a server for one attempt.
type decision struct {
	server       int
	delay        time.Duration // Time that the decision takes.
	controlBytes int           // Control traffic that the decision causes.
}

// policy chooses a server for a request. Excluded servers have been tried already.
type policy interface {
	name() string
	choose(work model.Work, excluded map[int]bool) (decision, bool)
}

// fleet is the set of servers from which the policies choose.
type fleet struct {
	clock   *model.Clock
	servers []*model.Server
	names   []string
	random  *rand.Rand
	entries int
	rate    float64 // Total requests per second at all entries.
}

func (f *fleet) untried(excluded map[int]bool) []int {
	var untried []int
	for index := range f.servers {
		if !excluded[index] {
			untried = append(untried, index)
		}
	}
	return untried
}

// randomPolicy chooses a random server.
type randomPolicy struct{ *fleet }

func (randomPolicy) name() string { return "random" }

func (p randomPolicy) choose(_ model.Work, excluded map[int]bool) (decision, bool) {
	untried := p.untried(excluded)
	if len(untried) == 0 {
		return decision{}, false
	}
	return decision{server: untried[p.random.IntN(len(untried))]}, true
}

// leastLoadedPolicy chooses the server with the lowest load according to the reports that
// every agent sends to every entry once per reportInterval.
type leastLoadedPolicy struct {
	*fleet
	loads []int
}

func newLeastLoadedPolicy(f *fleet) *leastLoadedPolicy {
	p := &leastLoadedPolicy{fleet: f, loads: make([]int, len(f.servers))}
	f.clock.Every(0, reportInterval, func() {
		for index, server := range f.servers {
			p.loads[index] = server.Running() + server.Queued()
		}
	})
	return p
}

func (*leastLoadedPolicy) name() string { return "least loaded, stale reports" }

func (p *leastLoadedPolicy) choose(_ model.Work, excluded map[int]bool) (decision, bool) {
	untried := p.untried(excluded)
	best, ties := -1, 0
	for _, index := range untried {
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
	bytesPerSecond := float64(len(p.servers)*p.entries*reportBytes()) / reportInterval.Seconds()
	return decision{server: best, controlBytes: int(bytesPerSecond / p.rate)}, best >= 0
}

// twoChoicesPolicy probes two random agents and chooses the less loaded server.
type twoChoicesPolicy struct{ *fleet }

func (twoChoicesPolicy) name() string { return "power of two" }

func (p twoChoicesPolicy) choose(work model.Work, excluded map[int]bool) (decision, bool) {
	untried := p.untried(excluded)
	if len(untried) == 0 {
		return decision{}, false
	}
	one, two := untried[p.random.IntN(len(untried))], untried[p.random.IntN(len(untried))]
	if p.load(two) < p.load(one) {
		one = two
	}
	return decision{server: one, delay: roundTripTime, controlBytes: 2 * probeBytes(0)}, true
}

func (p twoChoicesPolicy) load(index int) int {
	return p.servers[index].Running() + p.servers[index].Queued()
}

// candidateProbesPolicy probes the few agents that choose.Candidates selects and chooses
// by choose.Best.
type candidateProbesPolicy struct{ *fleet }

func (candidateProbesPolicy) name() string { return "persimmonwind" }

func (p candidateProbesPolicy) choose(work model.Work, excluded map[int]bool) (decision, bool) {
	untried := p.untried(excluded)
	names := make([]string, len(untried))
	for index, server := range untried {
		names[index] = p.names[server]
	}
	candidates := choose.Candidates(names, choose.Work{Model: "m", Prompt: work.Prompt}, p.random.Uint64())
	offers := make([]choose.Offer, len(candidates))
	for index, candidate := range candidates {
		offer := p.servers[untried[candidate]].Probe(work.Prompt)
		offers[index] = choose.Offer{
			Refuses: offer.Refuses, RetryAfter: offer.RetryAfter,
			TimeToFirstToken: offer.TimeToFirstToken, RTT: roundTripTime, Running: offer.Running, Headroom: offer.Headroom,
		}
	}
	cost := len(candidates) * probeBytes(len(work.Prompt.Blocks))
	index, err := choose.Best(offers, work.Deadline, p.random.Uint64())
	if err != nil && err.Code != result.OK {
		return decision{controlBytes: cost}, false
	}
	return decision{server: untried[candidates[index]], delay: roundTripTime, controlBytes: cost}, true
}
