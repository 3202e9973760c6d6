// Package engine is the stand-in for a model engine: it runs generations
// concurrently and caches prompt prefixes. It can turn cold: in cold start it is
// slower until it has completed some generations, and crashes when it runs more of
// them at once than its cold limit.
package engine

import (
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"persimmonwind.dev/policy/prefix"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/standin/fault"
)

// errCrashed ends every generation of an engine that crashes or is restarted.
var errCrashed = errors.New("engine crashed")

// Options configure an engine's behaviour.
type Options struct {
	FullLimit      int           `json:"full_limit"`       // Concurrent generations when warm; further ones wait.
	ColdLimit      int           `json:"cold_limit"`       // Concurrent generations that were started in cold start; one more crashes the engine.
	WarmAfter      int           `json:"warm_after"`       // Completed generations after which the engine is warm.
	TokenTime      time.Duration `json:"token_time"`       // Time of one decode step.
	PrefillTime    time.Duration `json:"prefill_time"`     // Time for each prompt token that is not cached.
	ColdDelay      time.Duration `json:"cold_delay"`       // Time before the prefill in cold start.
	TokensPerPiece int           `json:"tokens_per_piece"` // Tokens in one piece of an answer's stream.
	CacheBlocks    int           `json:"cache_blocks"`     // Capacity of the prefix cache, in blocks.
	ReportLag      time.Duration `json:"report_lag"`       // Age of the load that the load reports show.
	IgnoreFence    bool          `json:"ignore_fence"`     // Accept orders with outdated fencing numbers.
}

// DefaultOptions returns the options of a small engine that has a cold start.
func DefaultOptions() Options {
	return Options{
		FullLimit:      64,
		ColdLimit:      4,
		WarmAfter:      8,
		TokenTime:      2 * time.Millisecond,
		PrefillTime:    20 * time.Microsecond,
		ColdDelay:      100 * time.Millisecond,
		TokensPerPiece: 4,
		CacheBlocks:    4096,
		ReportLag:      500 * time.Millisecond,
	}
}

// Engine simulates one model engine in memory.
type Engine struct {
	Faults  fault.Injector
	options Options

	mu               sync.Mutex
	bootID           string
	cold             bool
	coldEpoch        int // Number of calls to TurnCold.
	completed        int // Generations completed since the start or the last call to TurnCold.
	startedCount     int // Number of generations submitted.
	overloadCount    int // Number of crashes from overload in cold start.
	runningCount     int
	coldRunningCount int // Running generations that were started in the current cold start.
	slotFreed        *sync.Cond
	waitingCount     int
	stalled          bool
	generations      map[string]*generation
	cache            *blockCache
	reports          []ports.EngineLoad
	fence            uint64
	orders           []ports.Order

	streamFaults   StreamFaults
	sentPieceCount atomic.Int64
}

// New returns an engine in cold start.
func New(options Options) *Engine {
	e := &Engine{options: options, generations: map[string]*generation{}}
	e.slotFreed = sync.NewCond(&e.mu)
	e.boot()
	return e
}

func (e *Engine) boot() {
	e.bootID = uuid.NewString()
	e.cold = true
	e.completed = 0
	e.cache = newBlockCache(e.options.CacheBlocks)
}

// TurnCold puts the engine into cold start without notice to its clients.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = true
	e.completed = 0
	e.coldEpoch++
	e.coldRunningCount = 0
	e.cache.clear()
}

// Stall stops or resumes all token generation.
func (e *Engine) Stall(stalled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = stalled
}

// Restart ends every generation and restarts the engine, which is then in cold
// start.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	for _, g := range e.generations {
		g.fail(errCrashed)
	}
	e.generations = map[string]*generation{}
	e.runningCount, e.coldRunningCount = 0, 0
	e.slotFreed.Broadcast()
	e.boot()
}

// StartedGenerations returns how many generations were submitted.
func (e *Engine) StartedGenerations() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startedCount
}

// OverloadCrashes returns how often the engine crashed from overload in cold start.
func (e *Engine) OverloadCrashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overloadCount
}

// Load returns the engine's load as it was ReportLag ago.
func (e *Engine) Load() ports.EngineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.reports = append(e.reports, ports.EngineLoad{
		BootID: e.bootID, Running: e.runningCount, Waiting: e.waitingCount,
		CachedTokens: e.cache.len() * prefix.BlockTokens, Cold: e.cold, At: now,
	})
	newestVisible := 0
	for i, report := range e.reports {
		if now.Sub(report.At) >= e.options.ReportLag {
			newestVisible = i
		}
	}
	e.reports = e.reports[newestVisible:]
	return e.reports[0]
}

// Order accepts an order. It checks the fencing number unless IgnoreFence is set.
func (e *Engine) Order(order ports.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fence < e.fence && !e.options.IgnoreFence {
		return ports.ErrFenced
	}
	e.fence = max(e.fence, order.Fence)
	e.orders = append(e.orders, order)
	return nil
}

// Orders returns every accepted order.
func (e *Engine) Orders() []ports.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ports.Order(nil), e.orders...)
}

// acquire waits for a slot. If ColdLimit generations are already running in cold
// start, it crashes the engine and fails.
func (e *Engine) acquire(g *generation) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cold && e.coldRunningCount >= e.options.ColdLimit {
		e.overloadCount++
		e.crash()
		return errCrashed
	}
	e.waitingCount++
	for e.runningCount >= e.options.FullLimit && g.failure() == nil {
		e.slotFreed.Wait()
	}
	e.waitingCount--
	if err := g.failure(); err != nil {
		return err
	}
	e.runningCount++
	g.bootID = e.bootID
	g.epochAtStart = e.coldEpoch
	if e.cold {
		g.cold = true
		e.coldRunningCount++
	}
	return nil
}

// release frees the slot, unless the engine has restarted since acquire.
func (e *Engine) release(g *generation, completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.bootID != e.bootID {
		return
	}
	e.runningCount--
	if g.cold && g.epochAtStart == e.coldEpoch {
		e.coldRunningCount--
	}
	e.slotFreed.Signal()
	if !completed {
		return
	}
	e.completed++
	if e.completed >= e.options.WarmAfter {
		e.cold = false
	}
}

func (e *Engine) isStalled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stalled
}

// Token returns the text of the token at the index of an answer. It depends on
// the prompt and the index alone, so that a test can tell which prompt an answer
// belongs to and whether it is complete.
func Token(prompt string, index int) string {
	return promptDigest(prompt) + "-" + strconv.Itoa(index) + " "
}
