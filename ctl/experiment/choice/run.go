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
	maxAttempts = 3
	warmUp      = 30 * time.Second // Not counted.
	sample      = time.Second      // Between two samples of the running work.
	slowness    = 3.0
	stepTime    = 27 * time.Millisecond
	prefillTime = 250 * time.Microsecond // For each prompt token.
)

// size is the number of processes and organisations of a run.
type size struct {
	name    string
	servers int
	entries int
	orgs    int
	rate    float64 // Requests a second.
	length  time.Duration
}

// scenario changes a run.
type scenario struct {
	name      string
	slow      bool // One server is slow from the middle on.
	surge     bool // One organisation surges in the middle third.
	badEvents bool // Cache events come late and with gaps.
}

// figures are what a run shows.
type figures struct {
	first   []float64 // Milliseconds to the first token.
	prompt  int       // Prompt tokens of answered requests.
	cached  int
	asked   int
	refused int
	bytes   int
	running []float64 // Mean running work by server.
}

func engineShape(s scenario) model.EngineConfig {
	shape := model.EngineConfig{
		FullLimit: 32, ColdLimit: 4, WarmAfter: 8, PrefillTime: prefillTime, StepTime: stepTime, ColdPrefillFactor: 4,
		CacheBlocks: 8192, ReportLag: 500 * time.Millisecond, EventLag: 200 * time.Millisecond,
	}
	if s.badEvents {
		shape.EventLag, shape.EventLossInterval = 5*time.Second, 3
	}
	return shape
}

// runner is one run of one policy.
type runner struct {
	fleet    *fleet
	policy   policy
	workload *workload
	figures  figures
}

func run(seed uint64, sz size, sc scenario, build func(*fleet) policy) figures {
	clock := &model.Clock{}
	f := &fleet{clock: clock, random: rand.New(rand.NewPCG(seed, 3)), entries: sz.entries, rate: sz.rate}
	for index := range sz.servers {
		name := fmt.Sprintf("engine-%d", index)
		phase := time.Duration(f.random.Int64N(int64(model.PollInterval)))
		server := model.NewServer(clock, name, engineShape(sc), phase)
		server.WarmUp()
		f.servers = append(f.servers, server)
		f.names = append(f.names, name)
	}
	r := &runner{fleet: f, policy: build(f), workload: newWorkload(seed, sz.orgs)}
	r.figures.running = make([]float64, sz.servers)
	r.schedule(sz, sc)
	clock.Run(sz.length)
	for index := range r.figures.running {
		r.figures.running[index] /= (sz.length - warmUp).Seconds() / sample.Seconds()
	}
	return r.figures
}

func (r *runner) schedule(sz size, sc scenario) {
	clock := r.fleet.clock
	arrivals := rand.New(rand.NewPCG(r.workload.random.Uint64(), 4))
	var arrive func()
	arrive = func() {
		r.request(r.workload.next())
		rate := sz.rate
		if r.workload.surging >= 0 {
			rate *= 1 + surgeFactor
		}
		clock.After(time.Duration(arrivals.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	clock.After(0, arrive)
	clock.Every(driftInterval, driftInterval, r.workload.drift)
	clock.Every(warmUp, sample, func() {
		for index, server := range r.fleet.servers {
			r.figures.running[index] += float64(server.Running() + server.Queued())
		}
	})
	if sc.slow {
		clock.After(sz.length/2, func() { r.fleet.servers[0].SetSlowdown(slowness) })
	}
	if sc.surge {
		clock.After(sz.length/3, func() { r.workload.surging = sz.orgs / 2 })
		clock.After(2*sz.length/3, func() { r.workload.surging = -1 })
	}
}

// request carries one request through up to maxAttempts attempts.
func (r *runner) request(work model.Request) {
	arrived := r.fleet.clock.Now()
	counted := arrived >= warmUp
	if counted {
		r.figures.asked++
	}
	excluded := map[int]bool{}
	var attempt func(number int)
	refuse := func() {
		if counted {
			r.figures.refused++
		}
	}
	attempt = func(number int) {
		chosen, ok := r.policy.choose(work, excluded)
		if counted {
			r.figures.bytes += chosen.bytes
		}
		if !ok {
			refuse()
			return
		}
		again := func() {
			excluded[chosen.server] = true
			if number == maxAttempts {
				refuse()
				return
			}
			r.fleet.clock.After(trip/2, func() { attempt(number + 1) })
		}
		r.fleet.clock.After(chosen.wait+trip/2, func() {
			r.fleet.servers[chosen.server].Submit(work, model.Callbacks{
				Refused: func(*result.Error) { again() },
				FirstToken: func(cached int) {
					if counted {
						r.begun(arrived, work, cached)
					}
				},
				Done:   func() {},
				Broken: refuse,
			})
		})
	}
	attempt(1)
}

func (r *runner) begun(arrived time.Duration, work model.Request, cached int) {
	took := r.fleet.clock.Now() + trip/2 - arrived
	r.figures.first = append(r.figures.first, float64(took.Microseconds())/1000)
	r.figures.prompt += work.Prompt.Tokens
	r.figures.cached += cached
}

func (f *figures) add(other figures) {
	f.first = append(f.first, other.first...)
	f.prompt += other.prompt
	f.cached += other.cached
	f.asked += other.asked
	f.refused += other.refused
	f.bytes += other.bytes
	f.running = append(f.running, other.running...)
}

func (f *figures) quantile(q float64) float64 {
	if len(f.first) == 0 {
		return math.NaN()
	}
	slices.Sort(f.first)
	return f.first[int(q*float64(len(f.first)-1))]
}

// spread returns the coefficient of variation of the running work.
func (f *figures) spread() float64 {
	mean, square := 0.0, 0.0
	for _, running := range f.running {
		mean += running / float64(len(f.running))
	}
	for _, running := range f.running {
		square += (running - mean) * (running - mean) / float64(len(f.running))
	}
	return math.Sqrt(square) / mean
}
