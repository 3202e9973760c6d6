package expertmaps

import "persimmonwind.dev/policy/planner"

// planningInput is the input of a policy.
type planningInput struct {
	shape        planner.Shape
	costs        planner.Costs
	observed     [][]float64 // Load in the last interval; nil for layers that were not observed.
	expectedLoad [][]float64 // Load expected in the next interval under the true popularity; only the oracle uses it.
	slowness     []float64   // Time of each rank for one unit of load.
	current      planner.Placement
}

// policy chooses the next placement.
type policy interface {
	name() string
	next(input planningInput) planner.Placement
}

type keepCurrentPolicy struct{}

func (keepCurrentPolicy) name() string                               { return "never change" }
func (keepCurrentPolicy) next(input planningInput) planner.Placement { return input.current }

// recomputePolicy computes a new placement from the last observation of every layer.
type recomputePolicy struct {
	relabel      bool // Reorder the new placement so that fewer experts move.
	lastObserved [][]float64
}

func (r *recomputePolicy) name() string {
	if r.relabel {
		return "recompute, relabelled"
	}
	return "recompute, plain"
}

func (r *recomputePolicy) next(input planningInput) planner.Placement {
	if r.lastObserved == nil {
		r.lastObserved = make([][]float64, input.shape.Layers)
	}
	next := input.current.Clone()
	for layer, observed := range input.observed {
		if observed != nil {
			r.lastObserved[layer] = observed
		}
		if r.lastObserved[layer] != nil {
			next[layer] = planner.Recompute(input.shape, [][]float64{r.lastObserved[layer]}, nil)[0]
		}
	}
	if r.relabel {
		return planner.Relabel(input.shape, input.current, next)
	}
	return next
}

type incrementalPolicy struct{ state planner.State }

func (*incrementalPolicy) name() string { return "incremental" }

func (i *incrementalPolicy) next(input planningInput) planner.Placement {
	return planner.Decide(&i.state, planner.Input{
		Shape: input.shape, Costs: input.costs, Observed: input.observed, Slowness: input.slowness, Current: input.current,
	}).Placement
}

// oraclePolicy plans for the true popularity. Its moves cost nothing.
type oraclePolicy struct{}

func (oraclePolicy) name() string { return "knowing planner" }

func (oraclePolicy) next(input planningInput) planner.Placement {
	fresh := planner.Recompute(input.shape, input.expectedLoad, input.slowness)
	return planner.Refine(input.shape, fresh, input.expectedLoad, input.slowness)
}
