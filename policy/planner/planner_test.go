package planner_test

import (
	"math"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/planner"
)

// targetShape returns the shape of a group of the target size.
func targetShape(slots int) planner.Shape {
	return planner.Shape{Ranks: 64, Slots: slots, Experts: 256, Layers: 60}
}

func smallShape() planner.Shape {
	return planner.Shape{Ranks: 8, Slots: 5, Experts: 32, Layers: 4}
}

// popularity draws a log-normally distributed load for every expert.
func popularity(shape planner.Shape, random *rand.Rand) [][]float64 {
	load := make([][]float64, shape.Layers)
	for layer := range load {
		load[layer] = make([]float64, shape.Experts)
		for expert := range load[layer] {
			load[layer][expert] = math.Exp(0.8 * random.NormFloat64())
		}
	}
	return load
}

// withNoise multiplies every load by a log-normal factor.
func withNoise(load [][]float64, sigma float64, random *rand.Rand) [][]float64 {
	next := make([][]float64, len(load))
	for layer := range load {
		next[layer] = make([]float64, len(load[layer]))
		for expert, tokens := range load[layer] {
			next[layer][expert] = tokens * math.Exp(sigma*random.NormFloat64())
		}
	}
	return next
}

func costs() planner.Costs {
	return planner.Costs{SecondsPerLoad: 1e-4, MoveSeconds: 1e-3, SwitchSeconds: 1e-3, HorizonSteps: 10000, MaxMoves: 5000}
}

// placesEveryExpert reports whether every expert has a replica in every layer.
func placesEveryExpert(shape planner.Shape, placement planner.Placement) bool {
	for _, layer := range placement {
		seen := map[uint16]bool{}
		for _, expert := range layer {
			seen[expert] = true
		}
		if len(seen) != shape.Experts {
			return false
		}
	}
	return true
}

func TestDecide(t *testing.T) {
	Convey("Given a group whose placement fits its popularity", t, func() {
		shape := smallShape()
		random := rand.New(rand.NewPCG(1, 2))
		load := popularity(shape, random)
		var state planner.State
		input := planner.Input{Shape: shape, Costs: costs(), Observed: load, Current: planner.Recompute(shape, load, nil)}
		So(planner.Decide(&state, input).Moves, ShouldBeEmpty)

		Convey("noise alone causes no moves", func() {
			for range 200 {
				input.Observed = withNoise(load, 0.1, random)
				So(planner.Decide(&state, input).Moves, ShouldBeEmpty)
			}
		})

		Convey("the placement follows a lasting change, the moves produce the placement and every expert keeps a replica", func() {
			input.Observed = withNoise(load, 0.02, random)
			So(planner.Decide(&state, input).Moves, ShouldBeEmpty)
			shifted := withNoise(load, 0.8, random)
			moves := 0
			for range 8 {
				input.Observed = withNoise(shifted, 0.02, random)
				plan := planner.Decide(&state, input)
				applied := input.Current.Clone()
				for _, move := range plan.Moves {
					applied[move.Layer][move.Slot] = move.Expert
				}
				So(applied, ShouldResemble, plan.Placement)
				So(placesEveryExpert(shape, plan.Placement), ShouldBeTrue)
				moves += len(plan.Moves)
				input.Current = plan.Placement
			}
			So(moves, ShouldBeGreaterThan, 0)
			So(planner.Skew(shape, input.Current, shifted, nil), ShouldBeLessThan, 1.25)
		})

		Convey("load is moved away from a slow rank", func() {
			input.Slowness = []float64{1, 1, 1.5, 1, 1, 1, 1, 1}
			before := planner.Skew(shape, input.Current, load, input.Slowness)
			plan := planner.Decide(&state, input)
			So(planner.Skew(shape, plan.Placement, load, input.Slowness), ShouldBeLessThan, before-0.1)
			So(plan.Reason, ShouldNotBeEmpty)
		})

		Convey("a placement that never fitted the popularity is improved", func() {
			var fresh planner.State
			shifted := withNoise(load, 0.8, random)
			moves := 0
			for range 10 {
				input.Observed = shifted
				plan := planner.Decide(&fresh, input)
				moves += len(plan.Moves)
				input.Current = plan.Placement
			}
			So(moves, ShouldBeGreaterThan, 0)
		})

		Convey("a layer that was never observed keeps its placement", func() {
			var fresh planner.State
			input.Observed = [][]float64{load[0], nil, load[2], nil}
			So(planner.Decide(&fresh, input).Placement, ShouldResemble, input.Current)
		})

		Convey("the number of moves stays within what the weight store can deliver", func() {
			input.Costs.MaxMoves = 3
			input.Slowness = []float64{1, 1, 1.5, 1, 1, 1, 1, 1}
			So(len(planner.Decide(&state, input).Moves), ShouldBeLessThanOrEqualTo, 3)
		})
	})
}

func TestRelabelKeepsSkewWithoutMoreMoves(t *testing.T) {
	Convey("A relabelled placement has the same skew and needs no more moves", t, func() {
		shape := smallShape()
		random := rand.New(rand.NewPCG(3, 4))
		load := popularity(shape, random)
		current := planner.Recompute(shape, load, nil)
		next := planner.Recompute(shape, withNoise(load, 0.2, random), nil)
		relabelled := planner.Relabel(shape, current, next)
		So(planner.Skew(shape, relabelled, load, nil), ShouldAlmostEqual, planner.Skew(shape, next, load, nil), 1e-9)
		So(planner.CountMoves(shape, current, relabelled), ShouldBeLessThanOrEqualTo, planner.CountMoves(shape, current, next))
	})
}

// BenchmarkPlanTargetSize measures planning for a group of the target size after the
// popularity of the experts has drifted in every layer.
func BenchmarkPlanTargetSize(b *testing.B) {
	shape := targetShape(5)
	random := rand.New(rand.NewPCG(1, 2))
	load := popularity(shape, random)
	current := planner.Refine(shape, planner.Recompute(shape, load, nil), load, nil)
	drifted := withNoise(load, 0.1, random)
	b.ReportAllocs()
	for b.Loop() {
		var state planner.State
		input := planner.Input{Shape: shape, Costs: costs(), Observed: load, Current: current}
		input.Costs.MaxMoves = 1 << 30
		planner.Decide(&state, input)
		for range 6 {
			input.Observed = withNoise(drifted, 0.01, random)
			plan := planner.Decide(&state, input)
			if len(plan.Moves) > 0 {
				b.ReportMetric(float64(len(plan.Moves)), "moves")
				b.ReportMetric(plan.SkewBefore, "skew-before")
				b.ReportMetric(plan.SkewAfter, "skew-after")
			}
			input.Current = plan.Placement
		}
	}
}
