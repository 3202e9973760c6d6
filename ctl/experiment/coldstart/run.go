package coldstart

import (
	"math/rand/v2"
	"time"

	"persimmonwind.dev/ctl/experiment/model"
	"persimmonwind.dev/policy/prefix"
	"persimmonwind.dev/policy/result"
)

const (
	entries     = 8
	maxServers  = 4
	runLength   = 120 * time.Second
	entryRetry  = 50 * time.Millisecond
	promptBlock = 64
	meanAnswer  = 60 // Tokens.
	deadline    = 10 * time.Second
)

// kind is what happens to the servers of a run.
type kind struct {
	name       string
	turns      bool // Unannounced cold turns: the engine goes on, cold.
	restarts   bool // The engine restarts: its answers break off.
	agents     bool // Agents restart.
	reportLag  time.Duration
	coldFactor float64
}

var kinds = []kind{
	{name: "unannounced cold turns", turns: true, reportLag: 500 * time.Millisecond, coldFactor: 6},
	{name: "engine restarts", restarts: true, reportLag: 500 * time.Millisecond, coldFactor: 6},
	{name: "agent restarts and cold turns", turns: true, agents: true, reportLag: 500 * time.Millisecond, coldFactor: 6},
	{name: "all, reports 2 s late", turns: true, restarts: true, agents: true, reportLag: 2 * time.Second, coldFactor: 6},
}

// figures are what a run shows.
type figures struct {
	asked, done, refused, broken int
	overloads                    int
	pressed                      int
}

func (f *figures) add(other figures) {
	f.asked += other.asked
	f.done += other.done
	f.refused += other.refused
	f.broken += other.broken
	f.overloads += other.overloads
	f.pressed += other.pressed
}

// run offers the servers more than they can carry, from all entries at once,
// and brings about the failures of the kind at random times. The oracle knows
// the engine's true limit at each moment.
func run(seed uint64, k kind, length time.Duration, oracle bool) figures {
	clock := &model.Clock{}
	random := rand.New(rand.NewPCG(seed, 11))
	faults := rand.New(rand.NewPCG(seed, 12))
	var found figures
	servers := make([]*model.Server, maxServers)
	for index := range servers {
		phase := time.Duration(random.Int64N(int64(model.PollInterval)))
		servers[index] = model.NewServer(clock, "engine", shape(k), phase)
		if oracle {
			servers[index].UseOracle()
		}
		scheduleFaults(clock, faults, servers[index], k)
	}
	for range entries {
		load(clock, random, servers, &found)
	}
	clock.Run(length)
	for _, server := range servers {
		found.overloads += server.Overloads()
		found.pressed += server.ColdStartsOverLimit()
	}
	return found
}

func shape(k kind) model.EngineConfig {
	return model.EngineConfig{
		FullLimit: 32, ColdLimit: 4, WarmAfter: 12, PrefillTime: 100 * time.Microsecond, StepTime: 27 * time.Millisecond,
		ColdPrefillFactor: k.coldFactor, CacheBlocks: 4096, ReportLag: k.reportLag,
	}
}

// scheduleFaults draws the failures of one server, some ten seconds apart, and
// sometimes two at once.
func scheduleFaults(clock *model.Clock, random *rand.Rand, server *model.Server, k kind) {
	var faults []func()
	if k.turns {
		faults = append(faults, server.TurnCold)
	}
	if k.restarts {
		faults = append(faults, server.Restart)
	}
	if k.agents {
		faults = append(faults, server.RestartAgent, func() {
			server.RestartAgent()
			server.TurnCold()
		})
	}
	var next func()
	next = func() {
		faults[random.IntN(len(faults))]()
		clock.After(time.Duration((15+random.ExpFloat64()*15)*float64(time.Second)), next)
	}
	clock.After(time.Duration((10+random.Float64()*20)*float64(time.Second)), next)
}

// load is one entry: Poisson arrivals, each to a random server; a refused
// request is given up on.
func load(clock *model.Clock, random *rand.Rand, servers []*model.Server, found *figures) {
	const perEntry = 9.0 // Requests a second.
	var arrive func()
	arrive = func() {
		found.asked++
		server := servers[random.IntN(len(servers))]
		server.Submit(draw(random), model.Callbacks{
			Refused:    func(*result.Error) { found.refused++ },
			FirstToken: func(int) {},
			Done:       func() { found.done++ },
			Broken:     func() { found.broken++ },
		})
		clock.After(time.Duration(random.ExpFloat64()/perEntry*float64(time.Second)), arrive)
	}
	clock.After(time.Duration(random.Int64N(int64(time.Second))), arrive)
}

func draw(random *rand.Rand) model.Request {
	blocks := make([]uint64, promptBlock)
	for index := range blocks {
		blocks[index] = random.Uint64()
	}
	return model.Request{
		Org: "org", Weight: 1, Timeout: deadline, AnswerTokens: 10 + int(random.ExpFloat64()*meanAnswer),
		Prompt: prefix.Prompt{Tokens: promptBlock * prefix.BlockTokens, Blocks: blocks},
	}
}
