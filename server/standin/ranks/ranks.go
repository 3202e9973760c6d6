// Package ranks is the stand-in for a group of ranks that run in lock-step with
// an expert map. Its test oracle checks the map of every rank at every step.
package ranks

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"persimmonwind.dev/policy/expertmap"
	"persimmonwind.dev/policy/planner"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/standin/engine"
)

// Options configure a simulated group.
type Options struct {
	Shape       planner.Shape
	StepTime    time.Duration
	IgnoreFence bool // Accept orders with outdated fencing numbers.
}

// DefaultOptions returns the options of a small group.
func DefaultOptions() Options {
	return Options{Shape: planner.Shape{Ranks: 4, Slots: 5, Experts: 16, Layers: 2}, StepTime: 5 * time.Millisecond}
}

// rank is the simulated engine of one rank of the group.
type rank struct {
	state   expertmap.EngineState
	fence   uint64
	stalled bool
	engine  *engine.Engine // Serves all requests except those about the expert map.
}

// Group simulates a model group whose ranks run every step together and use an
// expert map.
type Group struct {
	options Options

	mu           sync.Mutex
	ranks        []rank
	popularity   [][]float64
	lostMapCount int // Number of times that a restart left all ranks without a map.
	oracle       Oracle
	mapByStep    map[uint64]expertmap.Change // Map used by each step since all ranks were last without a map.
}

// Oracle holds what the test oracle observed of the group's steps.
type Oracle struct {
	Steps      int              `json:"steps"`      // Number of steps run, summed over all ranks.
	Violations []string         `json:"violations"` // One message for each step of a rank whose map differs from that of another rank at the same step.
	Maps       []string         `json:"maps"`       // IDs of the maps that the steps used, in order and without consecutive repeats.
	InForce    expertmap.Change `json:"in_force"`   // Map in force at rank 0.
}

// New returns a group whose engines have no map.
func New(options Options) *Group {
	g := &Group{options: options, ranks: make([]rank, options.Shape.Ranks), mapByStep: map[uint64]expertmap.Change{}}
	for i := range g.ranks {
		g.ranks[i].state.Boot = uuid.NewString()
		g.ranks[i].engine = engine.New(engine.DefaultOptions())
	}
	for range options.Shape.Layers {
		uniform := make([]float64, options.Shape.Experts)
		for expert := range uniform {
			uniform[expert] = 1
		}
		g.popularity = append(g.popularity, uniform)
	}
	return g
}

// Run runs steps of the ranks until ctx ends.
func (g *Group) Run(ctx context.Context) {
	ticker := time.NewTicker(g.options.StepTime)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.step()
		case <-ctx.Done():
			return
		}
	}
}

// step runs one step of every rank that can run its next one.
func (g *Group) step() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range g.ranks {
		if g.canRunStep(i) {
			g.runStep(i)
		}
	}
}

func (g *Group) canRunStep(i int) bool {
	state := g.ranks[i].state
	for _, other := range g.ranks {
		if other.state.Next < state.Next {
			return false
		}
	}
	return !g.ranks[i].stalled && state.CanRunNext()
}

func (g *Group) runStep(i int) {
	state := g.ranks[i].state
	used := state.MapAt(state.Next)
	before, ok := g.mapByStep[state.Next]
	if ok && before != used {
		g.oracle.Violations = append(g.oracle.Violations, fmt.Sprintf("step %d: rank %d used map %s, another rank used %s", state.Next, i, used.ID, before.ID))
	}
	if count := len(g.oracle.Maps); count == 0 || g.oracle.Maps[count-1] != used.ID.String() {
		g.oracle.Maps = append(g.oracle.Maps, used.ID.String())
	}
	g.mapByStep[state.Next] = used
	g.ranks[i].state = state.AfterNextStep()
	g.oracle.Steps++
}

// RestartRank restarts the rank's engine, which then has no map.
func (g *Group) RestartRank(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[i].state = expertmap.EngineState{Boot: uuid.NewString()}
	g.ranks[i].fence = 0
	for _, r := range g.ranks {
		if !r.state.HasNoMap() {
			return
		}
	}
	g.lostMapCount++
	g.mapByStep = map[uint64]expertmap.Change{}
}

// Stall stops or resumes the rank's steps.
func (g *Group) Stall(i int, stalled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[i].stalled = stalled
}

// Oracle returns the observations so far.
func (g *Group) Oracle() Oracle {
	g.mu.Lock()
	defer g.mu.Unlock()
	oracle := g.oracle
	oracle.InForce = g.ranks[0].state.InForce
	return oracle
}

// order applies the order to the rank. It returns false if the rank's engine
// refuses the order because its fencing number is outdated.
func (g *Group) order(i int, order ports.RankOrder) (expertmap.EngineState, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &g.ranks[i]
	if order.Fence < r.fence && !g.options.IgnoreFence {
		return r.state, false
	}
	r.fence = max(r.fence, order.Fence)
	r.state = r.state.Apply(order.Order)
	return r.state, true
}

func (g *Group) buildReport(i int) ports.RankReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return ports.RankReport{State: g.ranks[i].state, Shape: g.options.Shape, Popularity: g.popularity}
}

// Handler serves the ranks' HTTP interfaces under /rank/N; see package
// httpapi. The paths under /test are for tests.
func (g *Group) Handler() http.Handler {
	mux := http.NewServeMux()
	for i := range g.ranks {
		prefix := "/rank/" + strconv.Itoa(i)
		mux.HandleFunc("GET "+prefix+"/expert-map", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, g.buildReport(i)) })
		mux.HandleFunc("POST "+prefix+"/expert-map/orders", func(w http.ResponseWriter, r *http.Request) { g.serveOrder(w, r, i) })
		mux.HandleFunc("POST /test"+prefix+"/lose", func(http.ResponseWriter, *http.Request) { g.RestartRank(i) })
		mux.HandleFunc("POST /test"+prefix+"/stall", func(http.ResponseWriter, *http.Request) { g.Stall(i, true) })
		mux.HandleFunc("DELETE /test"+prefix+"/stall", func(http.ResponseWriter, *http.Request) { g.Stall(i, false) })
		mux.Handle(prefix+"/", http.StripPrefix(prefix, g.ranks[i].engine.Handler()))
	}
	mux.HandleFunc("GET /test/oracle", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, g.Oracle()) })
	mux.HandleFunc("PUT /test/popularity", g.servePopularity)
	return mux
}

func (g *Group) serveOrder(w http.ResponseWriter, r *http.Request, i int) {
	var order ports.RankOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	state, ok := g.order(i, order)
	if !ok {
		http.Error(w, ports.ErrFenced.Error(), http.StatusConflict)
		return
	}
	writeJSON(w, state)
}

func (g *Group) servePopularity(w http.ResponseWriter, r *http.Request) {
	var popularity [][]float64
	if err := json.NewDecoder(r.Body).Decode(&popularity); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.popularity = popularity
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
