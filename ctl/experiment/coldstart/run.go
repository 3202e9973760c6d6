package coldstart

import (
	"math/rand/v2"
	"time"

	"persimmonwind.dev/ctl/experiment/model"
	"persimmonwind.dev/policy/prefix"
	"persimmonwind.dev/policy/result"
)

const (
	entries          = 8
	serverCount      = 4
	runLength        = 120 * time.Second
	entryRetry       = 50 * time.Millisecond
	promptBlocks     = 64
	meanAnswerTokens = 60
	requestTimeout   = 10 * time.Second
)

// scenario says which faults are injected into the servers of a run.
type scenario struct {
	name              string
	engineTurnsCold   bool          // Engines fall back into cold start unannounced, and continue their requests.
	engineRestarts    bool          // Engines restart, which breaks off their answers.
	agentRestarts     bool          // Agents restart, sometimes at the moment at which the engine turns cold.
	reportLag         time.Duration // Delay of the engines' load reports.
	coldPrefillFactor float64       // Factor by which cold start prolongs a prefill.
}

var scenarios = []scenario{
	{name: "unannounced cold turns", engineTurnsCold: true, reportLag: 500 * time.Millisecond, coldPrefillFactor: 6},
	{name: "engine restarts", engineRestarts: true, reportLag: 500 * time.Millisecond, coldPrefillFactor: 6},
	{name: "agent restarts and cold turns", engineTurnsCold: true, agentRestarts: true, reportLag: 500 * time.Millisecond, coldPrefillFactor: 6},
	{name: "all, reports 2 s late", engineTurnsCold: true, engineRestarts: true, agentRestarts: true, reportLag: 2 * time.Second, coldPrefillFactor: 6},
}

// runStats holds the results of a run.
type runStats struct {
	requests, completed, refusals, brokenAnswers int
	overloads                                    int
	startsOverLimit                              int // Requests started in cold start while at least the cold limit of requests were running.
}

func (s *runStats) add(other runStats) {
	s.requests += other.requests
	s.completed += other.completed
	s.refusals += other.refusals
	s.brokenAnswers += other.brokenAnswers
	s.overloads += other.overloads
	s.startsOverLimit += other.startsOverLimit
}

// run offers the servers more load than they can handle, from all entries at once,
// and injects the scenario's faults at random times. With oracle, admission knows
// the engine's true limit at each moment.
func run(seed uint64, sc scenario, length time.Duration, oracle bool) runStats {
	clock := &model.Clock{}
	random := rand.New(rand.NewPCG(seed, 11))
	faults := rand.New(rand.NewPCG(seed, 12))
	var stats runStats
	servers := make([]*model.Server, serverCount)
	for index := range servers {
		phase := time.Duration(random.Int64N(int64(model.PollInterval)))
		servers[index] = model.NewServer(clock, "engine", engineConfig(sc), phase)
		if oracle {
			servers[index].UseOracle()
		}
		scheduleFaults(clock, faults, servers[index], sc)
	}
	for range entries {
		startEntry(clock, random, servers, &stats)
	}
	clock.Run(length)
	for _, server := range servers {
		stats.overloads += server.Overloads()
		stats.startsOverLimit += server.ColdStartsOverLimit()
	}
	return stats
}

func engineConfig(sc scenario) model.EngineConfig {
	return model.EngineConfig{
		Full: 32, Cold: 4, WarmUpRequests: 12, PrefillTime: 100 * time.Microsecond, StepTime: 27 * time.Millisecond,
		ColdPrefillFactor: sc.coldPrefillFactor, CacheBlocks: 4096, ReportLag: sc.reportLag,
	}
}

// scheduleFaults injects random faults into one server, some tens of seconds apart.
// An agent may restart at the moment at which its engine turns cold.
func scheduleFaults(clock *model.Clock, random *rand.Rand, server *model.Server, sc scenario) {
	var faults []func()
	if sc.engineTurnsCold {
		faults = append(faults, server.TurnCold)
	}
	if sc.engineRestarts {
		faults = append(faults, server.Restart)
	}
	if sc.agentRestarts {
		faults = append(faults, server.RestartAgent, func() {
			server.RestartAgent()
			server.TurnCold()
		})
	}
	var injectFault func()
	injectFault = func() {
		faults[random.IntN(len(faults))]()
		clock.After(time.Duration((15+random.ExpFloat64()*15)*float64(time.Second)), injectFault)
	}
	clock.After(time.Duration((10+random.Float64()*20)*float64(time.Second)), injectFault)
}

// startEntry simulates one entry with Poisson arrivals. Each request goes to a random
// server and is not retried when refused.
func startEntry(clock *model.Clock, random *rand.Rand, servers []*model.Server, stats *runStats) {
	const requestsPerSecond = 9.0 // Request rate of one entry.
	var arrive func()
	arrive = func() {
		stats.requests++
		server := servers[random.IntN(len(servers))]
		server.Submit(drawRequest(random), model.Callbacks{
			Refused: func(*result.Error) { stats.refusals++ },
			Begun:   func(int) {},
			Done:    func() { stats.completed++ },
			Broken:  func() { stats.brokenAnswers++ },
		})
		clock.After(time.Duration(random.ExpFloat64()/requestsPerSecond*float64(time.Second)), arrive)
	}
	clock.After(time.Duration(random.Int64N(int64(time.Second))), arrive)
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
