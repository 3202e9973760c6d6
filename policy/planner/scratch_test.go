package planner_test

import (
	"testing"

	"persimmonwind.dev/policy/planner"
)

// loadWithHotExperts returns a load in which three consecutive experts, from first on,
// have 40 times the load of any other.
func loadWithHotExperts(shape planner.Shape, first int) [][]float64 {
	load := make([][]float64, shape.Layers)
	for layer := range load {
		load[layer] = make([]float64, shape.Experts)
		for expert := range load[layer] {
			load[layer][expert] = 1
		}
		for expert := first; expert < first+3; expert++ {
			load[layer][expert] = 40
		}
	}
	return load
}

// planUntilStable lets a planner without state observe the load and plan for 20 rounds
// and returns the resulting placement.
func planUntilStable(shape planner.Shape, current planner.Placement, load [][]float64) planner.Placement {
	var state planner.State
	for range 20 {
		current = planner.Decide(&state, planner.Input{Shape: shape, Costs: costs(), Observed: load, Current: current}).Placement
	}
	return current
}

// TestNewPlannerImprovesPredecessorsMap guards against a planner without state, as
// after a coordinator's restart, that keeps a map which its predecessor made for
// another load.
func TestNewPlannerImprovesPredecessorsMap(t *testing.T) {
	shape := planner.Shape{Ranks: 4, Slots: 5, Experts: 16, Layers: 1}
	for first := range shape.Experts - 2 {
		earlier := planUntilStable(shape, planner.Recompute(shape, loadWithHotExperts(shape, first), nil), loadWithHotExperts(shape, first))
		for next := range shape.Experts - 2 {
			load := loadWithHotExperts(shape, next)
			placement := planUntilStable(shape, earlier, load)
			have := planner.Skew(shape, placement, load, nil)
			want := planner.Skew(shape, planner.Recompute(shape, load, nil), load, nil)
			if have > max(1.1, want+0.01) {
				t.Errorf("hot experts move from %d to %d: skew %.3f, recomputed from scratch %.3f", first, next, have, want)
			}
			if !placesEveryExpert(shape, placement) {
				t.Errorf("hot experts move from %d to %d: an expert has no replica", first, next)
			}
		}
	}
}
