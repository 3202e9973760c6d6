// Package planner decides on which ranks the replicas of a group's experts are
// placed. It follows the observed popularity and moves an expert only if that
// saves more time than it costs.
//
// Layers run one after another and every layer waits for its slowest rank, so
// the time of a layer is that of its slowest rank. A replicated expert's tokens
// are spread evenly over its replicas.
package planner

import (
	"fmt"
	"math"
	"sort"
)

// Shape is the size of a group.
type Shape struct {
	Ranks   int
	Slots   int // Number of experts that a rank holds in each layer.
	Experts int // Number of experts in each layer.
	Layers  int
}

// Placement lists the expert in every slot, by layer and slot. Slot i of a layer belongs
// to rank i / Shape.Slots.
type Placement [][]uint16

// Clone returns a deep copy.
func (p Placement) Clone() Placement {
	clone := make(Placement, len(p))
	for layer := range p {
		clone[layer] = append([]uint16(nil), p[layer]...)
	}
	return clone
}

// Costs are the parameters by which a change of the map is weighed against the
// time that it saves.
type Costs struct {
	SecondsPerLoad float64 // Time that one unit of load adds to the slowest rank in a step.
	MoveSeconds    float64 // Total delay of the steps that loading one expert causes.
	SwitchSeconds  float64 // Time that a change of the map takes.
	HorizonSteps   float64 // Number of steps for which the forecast is assumed to hold.
	MaxMoves       int     // Maximum number of experts that the weight store can deliver until the next plan.
}

// Input is the input of one planning round.
type Input struct {
	Shape    Shape
	Costs    Costs
	Observed [][]float64 // Tokens per step by layer and expert; a nil layer was not observed.
	Slowness []float64   // By rank: compute time for one unit of load, relative to a rank of normal speed; nil means 1 for all.
	Current  Placement
}

// Move loads one expert into a slot.
type Move struct {
	Layer, Slot int
	Expert      uint16
}

// Plan is the result of a planning round, with its reason.
type Plan struct {
	Placement    Placement // The current placement if no change is worthwhile.
	Moves        []Move    // Moves from the current placement, those of the layer with the highest value per move first.
	Reason       string    // Why the placement is changed or kept, for the log.
	SkewBefore   float64   // Forecast skew of the current placement.
	SkewAfter    float64   // Forecast skew of Placement.
	SavedSeconds float64   // Seconds saved over the horizon, minus the cost of the change.
}

// paybackFactor is the factor by which the time that a change saves must exceed the
// cost of its moves.
const paybackFactor = 1.5

// layerPlan is the most valuable change of one layer.
type layerPlan struct {
	layer   int
	changes []change
	moves   int
	saved   float64 // Reduction of the slowest rank's time in the layer.
	value   float64 // Seconds saved over the horizon, minus the weighted cost of the moves.
}

// value returns the seconds that a change saves over the horizon, minus paybackFactor
// times the cost of its moves. saved is the reduction of the slowest rank's time
// in each step, in units of load.
func (c Costs) value(saved float64, moves int) float64 {
	return saved*c.SecondsPerLoad*c.HorizonSteps - paybackFactor*float64(moves)*c.MoveSeconds
}

// Decide updates the forecast with the observed load and returns the plan that follows
// from it.
func Decide(state *State, input Input) Plan {
	state.observe(input)
	plan := Plan{Placement: input.Current, SkewBefore: Skew(input.Shape, input.Current, state.forecast, input.Slowness)}
	plan.SkewAfter = plan.SkewBefore
	changed := state.changedLayers(input)
	if len(changed) == 0 {
		plan.Reason = "the popularity has changed by no more than noise since the last plan"
		return plan
	}
	var worthwhile []layerPlan
	for _, layer := range changed {
		p := planLayer(state, input, layer)
		if state.searchStuck(p, input) {
			if fresh := planFromScratch(state, input, layer); fresh.value > p.value {
				p = fresh
			}
		}
		if p.value > 0 && state.exceedsNoise(p, input) {
			worthwhile = append(worthwhile, p)
		}
	}
	sort.SliceStable(worthwhile, func(i, j int) bool {
		return worthwhile[i].value*float64(worthwhile[j].moves) > worthwhile[j].value*float64(worthwhile[i].moves)
	})
	return state.selectLayers(plan, input, worthwhile, len(changed))
}

// planLayer searches for the change of the layer with the highest value.
func planLayer(state *State, input Input, layer int) layerPlan {
	search := newSearch(input.Shape, input.Current[layer], state.forecast[layer], input.Slowness)
	timeBefore := search.slowestTime()
	best := layerPlan{layer: layer}
	moves := 0
	for moves < len(input.Current[layer]) {
		step, ok := search.improve()
		if !ok {
			break
		}
		moves += len(step)
		saved := timeBefore - search.slowestTime()
		if value := input.Costs.value(saved, moves); value > best.value {
			best.value, best.moves, best.saved = value, moves, saved
			best.changes = append([]change(nil), search.changes...)
		}
	}
	return best
}

// selectLayers adds the changes of the worthwhile layers to the plan, which are sorted
// by value per move. It skips layers whose moves would exceed the number of experts
// that the weight store can deliver.
func (s *State) selectLayers(plan Plan, input Input, worthwhile []layerPlan, changed int) Plan {
	var value float64
	next := input.Current.Clone()
	for _, p := range worthwhile {
		if len(plan.Moves)+p.moves > input.Costs.MaxMoves {
			continue
		}
		value += p.value
		s.setReference(p.layer)
		for _, c := range p.changes {
			next[p.layer][c.slot] = c.expert
			plan.Moves = append(plan.Moves, Move{Layer: p.layer, Slot: c.slot, Expert: c.expert})
		}
	}
	if value <= input.Costs.SwitchSeconds {
		plan.Moves = nil
		plan.Reason = fmt.Sprintf("%d layers changed, but no move saves more time than it costs", changed)
		return plan
	}
	s.setSlowness(input.Slowness)
	plan.Placement = next
	plan.SkewAfter = Skew(input.Shape, next, s.forecast, input.Slowness)
	plan.SavedSeconds = value - input.Costs.SwitchSeconds
	plan.Reason = fmt.Sprintf("%d moves in %d of %d changed layers lower the skew from %.3f to %.3f and save %.1f s over %.0f steps",
		len(plan.Moves), len(worthwhile), changed, plan.SkewBefore, plan.SkewAfter, plan.SavedSeconds, input.Costs.HorizonSteps)
	return plan
}

// Skew returns the sum over layers of the slowest rank's time, divided by the sum over
// layers of the time that they take if the load is spread evenly. Layers without a load
// are left out.
func Skew(shape Shape, placement Placement, load [][]float64, slowness []float64) float64 {
	var slowestTime, evenlySpreadTime float64
	for layer := range placement {
		if load[layer] == nil {
			continue
		}
		s := newSearch(shape, placement[layer], load[layer], slowness)
		slowestTime += s.slowestTime()
		evenlySpreadTime += evenTime(load[layer], s.slowness)
	}
	if evenlySpreadTime == 0 {
		return 1
	}
	return slowestTime / evenlySpreadTime
}

// evenTime returns the time of a layer whose ranks all finish at the same time.
func evenTime(load, slowness []float64) float64 {
	var total, speed float64
	for _, tokens := range load {
		total += tokens
	}
	for _, slow := range slowness {
		speed += 1 / slow
	}
	return total / math.Max(speed, math.SmallestNonzeroFloat64)
}
