package choice

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"persimmonwind.dev/ctl/experiment/model"
	"persimmonwind.dev/policy/result"
)

const (
	maxAttempts      = 3
	warmUp           = 30 * time.Second // Requests before this time are not counted.
	sampleInterval   = time.Second      // Interval of the samples of the servers' load.
	slowServerFactor = 3.0
	stepTime         = 27 * time.Millisecond
	prefillTime      = 250 * time.Microsecond // Prefill time per prompt token.
)

// size is the size of the simulated system.
type size struct {
	name     string
	servers  int
	entries  int
	orgs     int
	rate     float64 // Requests per second.
	duration time.Duration
}

// scenario says which disturbances a run has.
type scenario struct {
	name             string
	slowServer       bool // One server is slow from the middle of the run.
	surge            bool // One organisation's request rate surges in the middle third of the run.
	unreliableEvents bool // Cache events arrive late, and some are lost.
}

// runStats holds the results of a run.
type runStats struct {
	firstTokenMS []float64 // Time to first token.
	promptTokens int       // Prompt tokens of all requests that got a first token.
	cachedTokens int       // Those of promptTokens that were in the engine's prefix cache.
	requests     int
	refusals     int
	controlBytes int       // Bytes of probes and load reports.
	meanLoad     []float64 // Mean number of running and queued requests of each server.
}

func engineConfig(s scenario) model.EngineConfig {
	config := model.EngineConfig{
		Full: 32, Cold: 4, WarmUpRequests: 8, PrefillTime: prefillTime, StepTime: stepTime, ColdPrefillFactor: 4,
		CacheBlocks: 8192, ReportLag: 500 * time.Millisecond, EventLag: 200 * time.Millisecond,
	}
	if s.unreliableEvents {
		config.EventLag, config.EventLossInterval = 5*time.Second, 3
	}
	return config
}

// runner simulates one run of one policy.
type runner struct {
	fleet    *fleet
	policy   policy
	workload *workload
	runStats runStats
}

func run(seed uint64, sz size, sc scenario, build func(*fleet) policy) runStats {
	clock := &model.Clock{}
	f := &fleet{clock: clock, random: rand.New(rand.NewPCG(seed, 3)), entries: sz.entries, rate: sz.rate}
	for index := range sz.servers {
		name := fmt.Sprintf("engine-%d", index)
		phase := time.Duration(f.random.Int64N(int64(model.PollInterval)))
		server := model.NewServer(clock, name, engineConfig(sc), phase)
		server.WarmUp()
		f.servers = append(f.servers, server)
		f.names = append(f.names, name)
	}
	r := &runner{fleet: f, policy: build(f), workload: newWorkload(seed, sz.orgs)}
	r.runStats.meanLoad = make([]float64, sz.servers)
	r.schedule(sz, sc)
	clock.Run(sz.duration)
	for index := range r.runStats.meanLoad {
		r.runStats.meanLoad[index] /= (sz.duration - warmUp).Seconds() / sampleInterval.Seconds()
	}
	return r.runStats
}

func (r *runner) schedule(sz size, sc scenario) {
	clock := r.fleet.clock
	arrivals := rand.New(rand.NewPCG(r.workload.random.Uint64(), 4))
	var arrive func()
	arrive = func() {
		r.send(r.workload.nextRequest())
		rate := sz.rate
		if r.workload.surgingOrg >= 0 {
			rate *= 1 + surgeFactor
		}
		clock.After(time.Duration(arrivals.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	clock.After(0, arrive)
	clock.Every(driftInterval, driftInterval, r.workload.drift)
	clock.Every(warmUp, sampleInterval, func() {
		for index, server := range r.fleet.servers {
			r.runStats.meanLoad[index] += float64(server.Running() + server.Queued())
		}
	})
	if sc.slowServer {
		clock.After(sz.duration/2, func() { r.fleet.servers[0].SetSlowdown(slowServerFactor) })
	}
	if sc.surge {
		clock.After(sz.duration/3, func() { r.workload.surgingOrg = sz.orgs / 2 })
		clock.After(2*sz.duration/3, func() { r.workload.surgingOrg = -1 })
	}
}

// send sends one request, with up to maxAttempts attempts.
func (r *runner) send(work model.Work) {
	arrived := r.fleet.clock.Now()
	counted := arrived >= warmUp
	if counted {
		r.runStats.requests++
	}
	excluded := map[int]bool{}
	var attempt func(number int)
	countRefusal := func() {
		if counted {
			r.runStats.refusals++
		}
	}
	attempt = func(number int) {
		chosen, ok := r.policy.choose(work, excluded)
		if counted {
			r.runStats.controlBytes += chosen.controlBytes
		}
		if !ok {
			countRefusal()
			return
		}
		retry := func() {
			excluded[chosen.server] = true
			if number == maxAttempts {
				countRefusal()
				return
			}
			r.fleet.clock.After(roundTripTime/2, func() { attempt(number + 1) })
		}
		r.fleet.clock.After(chosen.delay+roundTripTime/2, func() {
			r.fleet.servers[chosen.server].Submit(work, model.Callbacks{
				Refused: func(*result.Error) { retry() },
				Begun: func(cached int) {
					if counted {
						r.recordFirstToken(arrived, work, cached)
					}
				},
				Done:   func() {},
				Broken: countRefusal,
			})
		})
	}
	attempt(1)
}

func (r *runner) recordFirstToken(arrived time.Duration, work model.Work, cachedTokens int) {
	took := r.fleet.clock.Now() + roundTripTime/2 - arrived
	r.runStats.firstTokenMS = append(r.runStats.firstTokenMS, float64(took.Microseconds())/1000)
	r.runStats.promptTokens += work.Prompt.Tokens
	r.runStats.cachedTokens += cachedTokens
}

func (s *runStats) add(other runStats) {
	s.firstTokenMS = append(s.firstTokenMS, other.firstTokenMS...)
	s.promptTokens += other.promptTokens
	s.cachedTokens += other.cachedTokens
	s.requests += other.requests
	s.refusals += other.refusals
	s.controlBytes += other.controlBytes
	s.meanLoad = append(s.meanLoad, other.meanLoad...)
}

func (s *runStats) quantile(q float64) float64 {
	if len(s.firstTokenMS) == 0 {
		return math.NaN()
	}
	slices.Sort(s.firstTokenMS)
	return s.firstTokenMS[int(q*float64(len(s.firstTokenMS)-1))]
}

// loadSpread returns the coefficient of variation of the servers' mean load.
func (s *runStats) loadSpread() float64 {
	mean, variance := 0.0, 0.0
	for _, meanLoad := range s.meanLoad {
		mean += meanLoad / float64(len(s.meanLoad))
	}
	for _, meanLoad := range s.meanLoad {
		variance += (meanLoad - mean) * (meanLoad - mean) / float64(len(s.meanLoad))
	}
	return math.Sqrt(variance) / mean
}
