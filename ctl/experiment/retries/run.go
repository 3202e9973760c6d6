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
	servers      = 24
	entries      = 6
	perEntry     = 16.0 // Requests a second; the fleet carries about 105 in all.
	stopAt       = 60 * time.Second
	settled      = 5 * time.Second // After the stop, until goodput is counted.
	runLength    = 120 * time.Second
	trip         = time.Millisecond
	deadline     = 10 * time.Second
	promptBlocks = 32
	meanAnswer   = 250
	probeRounds  = 2
)

// policy is a way of retrying.
type policy struct {
	name    string
	blind   bool // Choose any server without asking.
	retries func(b retry.Budget, attempt retry.Attempt) (retry.Budget, bool)
}

var policies = []policy{
	{name: "no retries", retries: func(b retry.Budget, _ retry.Attempt) (retry.Budget, bool) { return b, false }},
	{name: "up to 3 attempts", retries: always},
	{name: "up to 3 attempts, chosen at random", retries: always, blind: true},
	{name: "persimmonwind", retries: budgeted},
}

func always(b retry.Budget, attempt retry.Attempt) (retry.Budget, bool) {
	return b, retry.Retriable(attempt)
}

func budgeted(b retry.Budget, attempt retry.Attempt) (retry.Budget, bool) {
	if !retry.Retriable(attempt) {
		return b, false
	}
	if retry.SkipsBudget(attempt.Err.Code) {
		return b, true
	}
	return b.Withdraw()
}

// figures are what a run shows of the requests that arrive after the stop.
type figures struct {
	asked, attempts, refused, broken int
	late                             int // Refusals without a time to come back.
	done                             int // Answered after the fleet has settled.
	slowest                          time.Duration
}

func (f *figures) add(other figures) {
	f.asked += other.asked
	f.attempts += other.attempts
	f.refused += other.refused
	f.broken += other.broken
	f.late += other.late
	f.done += other.done
	f.slowest = max(f.slowest, other.slowest)
}

func (f figures) attemptsPerRequest() float64 { return float64(f.attempts) / float64(f.asked) }

// runner is one run.
type runner struct {
	clock   *model.Clock
	random  *rand.Rand
	servers []*model.Server
	names   []string
	policy  policy
	found   figures
}

// run offers requests to the servers, of which half stop at stopAt, or, where
// halved, were never there.
func run(seed uint64, p policy, halved bool) figures {
	r := &runner{clock: &model.Clock{}, random: rand.New(rand.NewPCG(seed, 21)), policy: p}
	for index := range servers {
		phase := time.Duration(r.random.Int64N(int64(model.PollInterval)))
		if halved && index%2 == 1 {
			continue
		}
		name := fmt.Sprintf("engine-%d", index)
		server := model.NewServer(r.clock, name, shape(), phase)
		server.WarmUp()
		r.servers = append(r.servers, server)
		r.names = append(r.names, name)
		if index%2 == 1 {
			r.clock.After(stopAt, server.Stop)
		}
	}
	for entry := range entries {
		r.load(rand.New(rand.NewPCG(seed, uint64(100+entry))))
	}
	r.clock.Run(runLength)
	return r.found
}

func shape() model.EngineConfig {
	return model.EngineConfig{
		FullLimit: 32, ColdLimit: 4, WarmAfter: 8, PrefillTime: 100 * time.Microsecond, StepTime: 27 * time.Millisecond,
		ColdPrefillFactor: 4, CacheBlocks: 4096, ReportLag: 500 * time.Millisecond,
	}
}

// load is one entry with its own retry budget.
func (r *runner) load(arrivals *rand.Rand) {
	budget := retry.NewBudget()
	var arrive func()
	arrive = func() {
		budget = budget.Deposit()
		q := &request{runner: r, budget: &budget, arrived: r.clock.Now(), work: draw(arrivals), excluded: map[int]bool{}}
		q.counted = q.arrived >= stopAt && q.arrived < runLength-deadline
		if q.counted {
			r.found.asked++
		}
		q.attempt(1)
		r.clock.After(time.Duration(arrivals.ExpFloat64()/perEntry*float64(time.Second)), arrive)
	}
	r.clock.After(0, arrive)
}

func draw(random *rand.Rand) model.Request {
	blocks := make([]uint64, promptBlocks)
	for index := range blocks {
		blocks[index] = random.Uint64()
	}
	return model.Request{
		Org: "org", Weight: 1, Timeout: deadline, AnswerTokens: 10 + int(random.ExpFloat64()*meanAnswer),
		Prompt: prefix.Prompt{Tokens: promptBlocks * prefix.BlockTokens, Blocks: blocks},
	}
}

// request is one caller's request.
type request struct {
	runner   *runner
	budget   *retry.Budget
	arrived  time.Duration
	counted  bool
	work     model.Request
	excluded map[int]bool
}

func (q *request) attempt(number int) {
	r := q.runner
	server, refusal := q.choose()
	if refusal != nil {
		q.giveUp(refusal)
		return
	}
	if q.counted {
		r.found.attempts++
	}
	begun := false
	r.clock.After(trip, func() {
		r.servers[server].Submit(q.work, model.Callbacks{
			Refused:    func(err *result.Error) { q.failed(number, server, err, false) },
			FirstToken: func(int) { begun = true },
			Done: func() {
				if r.clock.Now() >= stopAt+settled {
					r.found.done++
				}
			},
			Broken: func() { q.failed(number, server, &result.Error{Code: result.CutAnswer}, begun) },
		})
	})
}

func (q *request) failed(number, server int, err *result.Error, begun bool) {
	attempt := retry.Attempt{
		Number: number, Err: err, ResponseStarted: begun, Idempotent: true, Waited: q.runner.clock.Now() - q.arrived,
		Remaining: q.work.Timeout - (q.runner.clock.Now() - q.arrived),
	}
	var again bool
	if *q.budget, again = q.runner.policy.retries(*q.budget, attempt); !again {
		q.giveUp(err)
		return
	}
	q.excluded[server] = true
	q.attempt(number + 1)
}

func (q *request) giveUp(err *result.Error) {
	if !q.counted {
		return
	}
	found := &q.runner.found
	if err.Code == result.CutAnswer {
		found.broken++
		return
	}
	found.refused++
	if retry.FinalError(err, q.runner.random.Uint64()).RetryAfter <= 0 {
		found.late++
	}
	found.slowest = max(found.slowest, q.runner.clock.Now()-q.arrived)
}

// choose asks a few agents as an entry does, in up to probeRounds rounds.
func (q *request) choose() (int, *result.Error) {
	r := q.runner
	free := q.free()
	var refusal *result.Error
	for range probeRounds {
		if len(free) == 0 {
			break
		}
		if r.policy.blind {
			return free[r.random.IntN(len(free))], nil
		}
		asked, rest := q.few(free)
		offers := make([]choose.Offer, len(asked))
		for index, server := range asked {
			offer := r.servers[server].Probe(q.work.Prompt)
			offers[index] = choose.Offer{
				Refuses: offer.Refuses, RetryAfter: offer.RetryAfter, FirstToken: offer.FirstToken,
				RTT: trip, Running: offer.Running, Headroom: offer.Headroom,
			}
		}
		index, err := choose.Best(offers, deadline, r.random.Uint64())
		if err == nil {
			return asked[index], nil
		}
		refusal, free = err, rest
	}
	if refusal == nil {
		refusal = &result.Error{Code: result.NoBackendServer}
	}
	return 0, refusal
}

func (q *request) free() []int {
	var free []int
	for index := range q.runner.servers {
		if !q.excluded[index] {
			free = append(free, index)
		}
	}
	return free
}

// few splits the servers into those to ask and the rest.
func (q *request) few(free []int) (asked, rest []int) {
	names := make([]string, len(free))
	for index, server := range free {
		names[index] = q.runner.names[server]
	}
	chosen := map[int]bool{}
	for _, index := range choose.Candidates(names, choose.Work{Model: "m", Prompt: q.work.Prompt}, q.runner.random.Uint64()) {
		chosen[index] = true
	}
	for index, server := range free {
		if chosen[index] {
			asked = append(asked, server)
		} else {
			rest = append(rest, server)
		}
	}
	return asked, rest
}
