package planner

// stuckSkewThreshold is the skew of a planned layer above which the local search is
// assumed to be stuck in a local optimum, so that a placement computed from scratch is
// considered too.
const stuckSkewThreshold = 1.1

// searchStuck reports whether the slowest rank of the planned layer still takes far
// longer than under an evenly spread load.
func (s *State) searchStuck(p layerPlan, input Input) bool {
	slowness := input.Slowness
	if slowness == nil {
		slowness = evenSlowness(input.Shape.Ranks)
	}
	timeBefore := newSearch(input.Shape, input.Current[p.layer], s.forecast[p.layer], slowness).slowestTime()
	return timeBefore-p.saved > stuckSkewThreshold*evenTime(s.forecast[p.layer], slowness)
}

// planFromScratch plans the layer by computing a new placement and relabelling its
// ranks and slots so that few experts move. Ranks are not relabelled if they
// differ in speed.
func planFromScratch(state *State, input Input, layer int) layerPlan {
	current, load := input.Current[layer], state.forecast[layer]
	next := recomputeLayer(input.Shape, load, input.Slowness)
	if input.Slowness == nil {
		next = relabelLayer(input.Shape, current, next)
	}
	plan := layerPlan{layer: layer}
	for slot, expert := range next {
		if current[slot] != expert {
			plan.changes = append(plan.changes, change{slot: slot, expert: expert})
		}
	}
	plan.moves = CountMoves(input.Shape, Placement{current}, Placement{next})
	before := newSearch(input.Shape, current, load, input.Slowness).slowestTime()
	after := newSearch(input.Shape, next, load, input.Slowness).slowestTime()
	plan.saved = before - after
	plan.value = input.Costs.value(plan.saved, plan.moves)
	return plan
}
