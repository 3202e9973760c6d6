package model

import (
	"strconv"
	"time"

	"persimmonwind.dev/policy/admission"
	"persimmonwind.dev/policy/prefix"
)

// EngineConfig shapes one model engine.
type EngineConfig struct {
	FullLimit         int           // Requests at a time when warm.
	ColdLimit         int           // Requests started in cold start that it bears at a time.
	WarmAfter         int           // Requests completed until it is warm.
	PrefillTime       time.Duration // For each prompt token not cached.
	StepTime          time.Duration // One decode step.
	ColdPrefillFactor float64       // Slowness of a prefill in cold start.
	CacheBlocks       int
	ReportLag         time.Duration
	EventLag          time.Duration // Lag of cache events.
	EventLossInterval int           // One in this many batches of cache events is lost; 0 for none.
}

// engine is the state of an Engine.
type engine struct {
	EngineConfig
	clock       *Clock
	slow        float64
	boot        int
	dead        bool
	cold        bool
	coldStarts  int // Running requests that were started since the last cold turn.
	completed   int
	generations map[uint64]*generation
	prefillFree time.Duration
	overloads   int
	pressed     int // Starts in cold start beyond the cold limit, counting all running work.
	cache       *cache
	reports     []admission.Reported
}

type generation struct {
	ticket uint64
	prompt prefix.Prompt
	tokens int
	cold   bool // Started in cold start.
	ended  bool
	on     callbacks
}

type callbacks struct {
	begun  func(cachedTokens int)
	done   func()
	broken func()
}

func newEngine(clock *Clock, shape EngineConfig) *engine {
	e := &engine{EngineConfig: shape, clock: clock, slow: 1, generations: map[uint64]*generation{}}
	e.cache = newCache(shape.CacheBlocks, shape.EventLossInterval)
	e.reboot()
	return e
}

func (e *engine) reboot() {
	e.boot++
	for _, g := range e.generations {
		g.ended = true
		e.clock.After(0, g.on.broken)
	}
	clear(e.generations)
	e.prefillFree = 0
	e.cache.restart()
	e.turnCold()
}

func (e *engine) turnCold() {
	e.cold, e.coldStarts, e.completed = true, 0, 0
	e.cache.clear()
	for _, g := range e.generations {
		g.cold = false
	}
}

// start begins a generation; a cold engine falls over when it is too much.
func (e *engine) start(g *generation) {
	if e.dead {
		e.clock.After(0, g.on.broken)
		return
	}
	if e.cold && len(e.generations) >= e.ColdLimit {
		e.pressed++
	}
	if e.cold && e.coldStarts >= e.ColdLimit {
		e.overloads++
		e.generations[g.ticket] = g
		e.reboot()
		return
	}
	e.generations[g.ticket] = g
	if e.cold {
		g.cold = true
		e.coldStarts++
	}
	cached := min(e.cache.read(g.prompt.Blocks)*prefix.BlockTokens, g.prompt.Tokens)
	work := time.Duration(float64(e.PrefillTime) * e.pace() * float64(g.prompt.Tokens-cached+prefix.BlockTokens))
	if e.cold {
		work = time.Duration(float64(work) * e.ColdPrefillFactor)
	}
	e.prefillFree = max(e.prefillFree, e.clock.Now()) + work
	e.clock.After(e.prefillFree-e.clock.Now(), func() { e.begin(g, cached) })
}

// pace is the slowness of the engine's steps.
func (e *engine) pace() float64 { return e.slow }

func (e *engine) begin(g *generation, cached int) {
	if g.ended {
		return
	}
	g.on.begun(cached)
	decode := time.Duration(float64(e.StepTime) * e.pace() * float64(g.tokens))
	e.clock.After(decode, func() { e.finish(g) })
}

func (e *engine) finish(g *generation) {
	if g.ended {
		return
	}
	g.ended = true
	delete(e.generations, g.ticket)
	if g.cold {
		e.coldStarts--
	}
	e.completed++
	if e.completed >= e.WarmAfter {
		e.cold = false
	}
	g.on.done()
}

// report returns the report as it was ReportLag ago, false for none.
func (e *engine) report() (admission.Reported, bool) {
	e.reports = append(e.reports, admission.Reported{
		BootID: strconv.Itoa(e.boot), Running: len(e.generations), Cold: e.cold,
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
