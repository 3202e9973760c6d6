package retries

import (
	"fmt"
	"math/rand/v2"
	"time"

	"persimmonwind.dev/ctl/experiment/model"
	"persimmonwind.dev/policy/choose"
	"persimmonwind.dev/policy/prefix"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/policy/retry"
)

const (
	servers           = 24
	entries           = 6
	requestsPerSecond = 16.0             // Requests per second at each entry; the servers can handle about 105 in total.
	stopAt            = 60 * time.Second // Time at which half of the servers stop.
	settleTime        = 5 * time.Second  // Time between stopAt and the start of the goodput measurement.
	runLength         = 120 * time.Second
	roundTripTime     = time.Millisecond
	requestTimeout    = 10 * time.Second
	promptBlocks      = 32
	meanAnswerTokens  = 250
	probeRounds       = 2
)

// policy is a retry policy.
type policy struct {
	name          string
	withoutProbes bool // Choose a random server instead of probing.
	shouldRetry   func(b retry.Budget, attempt retry.Attempt) (retry.Budget, bool)
}

var policies = []policy{
	{name: "no retries", shouldRetry: func(b retry.Budget, _ retry.Attempt) (retry.Budget, bool) { return b, false }},
	{name: "up to 3 attempts", shouldRetry: retryAlways},
	{name: "up to 3 attempts, chosen at random", shouldRetry: retryAlways, withoutProbes: true},
	{name: "persimmonwind", shouldRetry: retryWithinBudget},
}

func retryAlways(b retry.Budget, attempt retry.Attempt) (retry.Budget, bool) {
	return b, retry.Retriable(attempt)
}

func retryWithinBudget(b retry.Budget, attempt retry.Attempt) (retry.Budget, bool) {
	if !retry.Retriable(attempt) {
		return b, false
	}
	if retry.SkipsBudget(attempt.Err.Code) {
		return b, true
	}
	return b.Withdraw()
}

// runStats holds the results of a run. Unless stated otherwise, it counts the requests
// that arrive after stopAt and at least requestTimeout before the end of the run.
type runStats struct {
	requests, attempts, refusals, truncatedAnswers int
	refusalsWithoutRetryAfter                      int // Refusals whose error has no RetryAfter.
	completed                                      int // Requests completed settleTime or more after stopAt, including those that arrived before stopAt.
	slowestRefusal                                 time.Duration
}

func (s *runStats) add(other runStats) {
	s.requests += other.requests
	s.attempts += other.attempts
	s.refusals += other.refusals
	s.truncatedAnswers += other.truncatedAnswers
	s.refusalsWithoutRetryAfter += other.refusalsWithoutRetryAfter
	s.completed += other.completed
	s.slowestRefusal = max(s.slowestRefusal, other.slowestRefusal)
}

func (s runStats) attemptsPerRequest() float64 { return float64(s.attempts) / float64(s.requests) }

// runner simulates one run.
type runner struct {
	clock   *model.Clock
	random  *rand.Rand
	servers []*model.Server
	names   []string
	policy  policy
	stats   runStats
}

// run sends requests to the servers. Half of the servers stop at stopAt. With
// halfFleet, that half does not exist from the start, which is the baseline.
func run(seed uint64, p policy, halfFleet bool) runStats {
	r := &runner{clock: &model.Clock{}, random: rand.New(rand.NewPCG(seed, 21)), policy: p}
	for index := range servers {
		phase := time.Duration(r.random.Int64N(int64(model.PollInterval)))
		if halfFleet && index%2 == 1 {
			continue
		}
		name := fmt.Sprintf("engine-%d", index)
		server := model.NewServer(r.clock, name, engineConfig(), phase)
		server.WarmUp()
		r.servers = append(r.servers, server)
		r.names = append(r.names, name)
		if index%2 == 1 {
			r.clock.After(stopAt, server.Stop)
		}
	}
	for entry := range entries {
		r.startEntry(rand.New(rand.NewPCG(seed, uint64(100+entry))))
	}
	r.clock.Run(runLength)
	return r.stats
}

func engineConfig() model.EngineConfig {
	return model.EngineConfig{
		Full: 32, Cold: 4, WarmUpRequests: 8, PrefillTime: 100 * time.Microsecond, StepTime: 27 * time.Millisecond,
		ColdPrefillFactor: 4, CacheBlocks: 4096, ReportLag: 500 * time.Millisecond,
	}
}

// startEntry simulates one entry with its own retry budget.
func (r *runner) startEntry(arrivals *rand.Rand) {
	budget := retry.NewBudget()
	var arrive func()
	arrive = func() {
		budget = budget.Deposit()
		q := &request{runner: r, budget: &budget, arrivedAt: r.clock.Now(), work: drawRequest(arrivals), excluded: map[int]bool{}}
		q.measured = q.arrivedAt >= stopAt && q.arrivedAt < runLength-requestTimeout
		if q.measured {
			r.stats.requests++
		}
		q.attempt(1)
		r.clock.After(time.Duration(arrivals.ExpFloat64()/requestsPerSecond*float64(time.Second)), arrive)
	}
	r.clock.After(0, arrive)
}

func drawRequest(random *rand.Rand) model.Work {
	blocks := make([]uint64, promptBlocks)
	for index := range blocks {
		blocks[index] = random.Uint64()
	}
	return model.Work{
		Org: "org", Weight: 1, Deadline: requestTimeout, Tokens: 10 + int(random.ExpFloat64()*meanAnswerTokens),
		Prompt: prefix.Prompt{Tokens: promptBlocks * prefix.BlockTokens, Blocks: blocks},
	}
}

// request is one request of a caller with the state of its attempts.
type request struct {
	runner    *runner
	budget    *retry.Budget
	arrivedAt time.Duration
	measured  bool // Whether the request is included in the statistics.
	work      model.Work
	excluded  map[int]bool // Servers that have failed an attempt of this request.
}

func (q *request) attempt(number int) {
	r := q.runner
	server, refusal := q.choose()
	if refusal != nil {
		q.recordFailure(refusal)
		return
	}
	if q.measured {
		r.stats.attempts++
	}
	responseStarted := false
	r.clock.After(roundTripTime, func() {
		r.servers[server].Submit(q.work, model.Callbacks{
			Refused: func(err *result.Error) { q.handleFailure(number, server, err, false) },
			Begun:   func(int) { responseStarted = true },
			Done: func() {
				if r.clock.Now() >= stopAt+settleTime {
					r.stats.completed++
				}
			},
			Broken: func() { q.handleFailure(number, server, &result.Error{Code: result.CutAnswer}, responseStarted) },
		})
	})
}

func (q *request) handleFailure(number, server int, err *result.Error, responseStarted bool) {
	attempt := retry.Attempt{
		Number: number, Err: err, ResponseStarted: responseStarted, Idempotent: true, Waited: q.runner.clock.Now() - q.arrivedAt,
		Remaining: q.work.Deadline - (q.runner.clock.Now() - q.arrivedAt),
	}
	var retryAllowed bool
	if *q.budget, retryAllowed = q.runner.policy.shouldRetry(*q.budget, attempt); !retryAllowed {
		q.recordFailure(err)
		return
	}
	q.excluded[server] = true
	q.attempt(number + 1)
}

func (q *request) recordFailure(err *result.Error) {
	if !q.measured {
		return
	}
	stats := &q.runner.stats
	if err.Code == result.CutAnswer {
		stats.truncatedAnswers++
		return
	}
	stats.refusals++
	if retry.FinalError(err, q.runner.random.Uint64()).RetryAfter <= 0 {
		stats.refusalsWithoutRetryAfter++
	}
	stats.slowestRefusal = max(stats.slowestRefusal, q.runner.clock.Now()-q.arrivedAt)
}

// choose probes a few agents as an entry does, in up to probeRounds rounds.
func (q *request) choose() (int, *result.Error) {
	r := q.runner
	untried := q.untried()
	var refusal *result.Error
	for range probeRounds {
		if len(untried) == 0 {
			break
		}
		if r.policy.withoutProbes {
			return untried[r.random.IntN(len(untried))], nil
		}
		candidates, rest := q.splitCandidates(untried)
		offers := make([]choose.Offer, len(candidates))
		for index, server := range candidates {
			offer := r.servers[server].Probe(q.work.Prompt)
			offers[index] = choose.Offer{
				Refuses: offer.Refuses, RetryAfter: offer.RetryAfter, TimeToFirstToken: offer.TimeToFirstToken,
				RTT: roundTripTime, Running: offer.Running, Headroom: offer.Headroom,
			}
		}
		index, err := choose.Best(offers, requestTimeout, r.random.Uint64())
		if err == nil {
			return candidates[index], nil
		}
		refusal, untried = err, rest
	}
	if refusal == nil {
		refusal = &result.Error{Code: result.NoBackendServer}
	}
	return 0, refusal
}

func (q *request) untried() []int {
	var untried []int
	for index := range q.runner.servers {
		if !q.excluded[index] {
			untried = append(untried, index)
		}
	}
	return untried
}

// splitCandidates splits the servers into those to probe and the rest.
func (q *request) splitCandidates(untried []int) (candidates, rest []int) {
	names := make([]string, len(untried))
	for index, server := range untried {
		names[index] = q.runner.names[server]
	}
	chosen := map[int]bool{}
	for _, index := range choose.Candidates(names, choose.Work{Model: "m", Prompt: q.work.Prompt}, q.runner.random.Uint64()) {
		chosen[index] = true
	}
	for index, server := range untried {
		if chosen[index] {
			candidates = append(candidates, server)
		} else {
			rest = append(rest, server)
		}
	}
	return candidates, rest
}
