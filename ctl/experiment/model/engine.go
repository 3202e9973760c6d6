package model

import (
	"strconv"
	"time"

	"persimmonwind.dev/policy/admission"
	"persimmonwind.dev/policy/prefix"
)

// EngineConfig holds the parameters of one simulated engine.
type EngineConfig struct {
	Full              int           // Maximum number of concurrent requests of the warm engine.
	Cold              int           // Maximum number of concurrent requests started in the current cold start; one more makes the engine crash and reboot.
	WarmUpRequests    int           // Number of completed requests after which the engine is warm.
	PrefillTime       time.Duration // Prefill time per uncached prompt token.
	StepTime          time.Duration // Time of one decode step, which yields one token.
	ColdPrefillFactor float64       // Factor by which cold start prolongs a prefill.
	CacheBlocks       int           // Capacity of the prefix cache in blocks.
	ReportLag         time.Duration // Delay of load reports.
	EventLag          time.Duration // Delay of cache events.
	EventLossInterval int           // One in this many batches of cache events is lost; 0 loses none.
}

// engine is the state of one simulated engine.
type engine struct {
	EngineConfig
	clock               *Clock
	slowdown            float64
	bootCount           int
	stopped             bool
	cold                bool
	coldRunning         int // Running requests that were started in the current cold start.
	completedRequests   int
	generations         map[uint64]*generation
	prefillBusyUntil    time.Duration
	overloadCrashes     int
	coldStartsOverLimit int // Requests started in cold start while Cold or more were running, including those started before the cold start.
	cache               *cache
	reports             []admission.Reported
}

// generation is one request that runs at the engine.
type generation struct {
	ticket       uint64 // ID of the request between the agent and the engine.
	prompt       prefix.Prompt
	answerTokens int
	cold         bool // The request was started in the current cold start.
	ended        bool
	notify       engineCallbacks
}

// engineCallbacks are called as a generation proceeds. Exactly one of done and broken
// is called.
type engineCallbacks struct {
	firstToken func(cachedTokens int)
	done       func()
	broken     func()
}

func newEngine(clock *Clock, config EngineConfig) *engine {
	e := &engine{EngineConfig: config, clock: clock, slowdown: 1, generations: map[uint64]*generation{}}
	e.cache = newCache(config.CacheBlocks, config.EventLossInterval)
	e.reboot()
	return e
}

// reboot breaks off the running generations and puts the engine into cold start.
func (e *engine) reboot() {
	e.bootCount++
	for _, g := range e.generations {
		g.ended = true
		e.clock.After(0, g.notify.broken)
	}
	clear(e.generations)
	e.prefillBusyUntil = 0
	e.cache.reset()
	e.turnCold()
}

// turnCold empties the cache and puts the engine into cold start. The running
// generations continue.
func (e *engine) turnCold() {
	e.cold, e.coldRunning, e.completedRequests = true, 0, 0
	e.cache.clear()
	for _, g := range e.generations {
		g.cold = false
	}
}

// start starts a generation. An engine in cold start crashes and reboots when it
// already runs Cold requests that were started in that cold start.
func (e *engine) start(g *generation) {
	if e.stopped {
		e.clock.After(0, g.notify.broken)
		return
	}
	if e.cold && len(e.generations) >= e.Cold {
		e.coldStartsOverLimit++
	}
	if e.cold && e.coldRunning >= e.Cold {
		e.overloadCrashes++
		e.generations[g.ticket] = g
		e.reboot()
		return
	}
	e.generations[g.ticket] = g
	if e.cold {
		g.cold = true
		e.coldRunning++
	}
	cached := min(e.cache.access(g.prompt.Blocks)*prefix.BlockTokens, g.prompt.Tokens)
	work := time.Duration(float64(e.PrefillTime) * e.stepSlowdown() * float64(g.prompt.Tokens-cached+prefix.BlockTokens))
	if e.cold {
		work = time.Duration(float64(work) * e.ColdPrefillFactor)
	}
	e.prefillBusyUntil = max(e.prefillBusyUntil, e.clock.Now()) + work
	e.clock.After(e.prefillBusyUntil-e.clock.Now(), func() { e.startDecode(g, cached) })
}

// stepSlowdown returns the factor by which the engine's step and prefill times are
// multiplied.
func (e *engine) stepSlowdown() float64 { return e.slowdown }

func (e *engine) startDecode(g *generation, cached int) {
	if g.ended {
		return
	}
	g.notify.firstToken(cached)
	decode := time.Duration(float64(e.StepTime) * e.stepSlowdown() * float64(g.answerTokens))
	e.clock.After(decode, func() { e.finish(g) })
}

func (e *engine) finish(g *generation) {
	if g.ended {
		return
	}
	g.ended = true
	delete(e.generations, g.ticket)
	if g.cold {
		e.coldRunning--
	}
	e.completedRequests++
	if e.completedRequests >= e.WarmUpRequests {
		e.cold = false
	}
	g.notify.done()
}

// report returns the load report of ReportLag ago, or false if there is none yet.
func (e *engine) report() (admission.Reported, bool) {
	e.reports = append(e.reports, admission.Reported{
		BootID: strconv.Itoa(e.bootCount), Running: len(e.generations), Cold: e.cold,
		CachedTokens: e.cache.len() * prefix.BlockTokens, At: e.clock.Time(),
	})
	visible := -1
	for index, report := range e.reports {
		if e.clock.Time().Sub(report.At) >= e.ReportLag {
			visible = index
		}
	}
	if visible < 0 {
		return admission.Reported{}, false
	}
	e.reports = e.reports[visible:]
	return e.reports[0], true
}
