// Package expertmaps compares policies for the expert map on the same drifting
// expert popularity: a fixed map, full recomputation, the incremental planner, and
// an oracle that knows the true popularity.
package expertmaps

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"persimmonwind.dev/ctl/experiment"
	"persimmonwind.dev/policy/planner"
)

const (
	stepSeconds         = 0.027 // Duration of a step without skew.
	expertFraction      = 0.6   // Fraction of a step's time that the experts take.
	tokensPerStep       = 8192 * 8
	expertBytes         = 44e6 // Size of the weights of one expert.
	storeBytesPerSecond = 2e9
	expertsPerSecond    = 45   // storeBytesPerSecond divided by expertBytes, rounded down.
	loadSlowdown        = 0.02 // Relative slowdown of steps while weights load.
	switchSeconds       = 1e-3
	intervalMinutes     = 5
	horizonMinutes      = 30
	secondsPerMinute    = 60
	sampledSteps        = 4 // Steps per interval that are simulated with sampling noise.
)

// Experiment compares the policies at the target size.
var Experiment = experiment.Experiment{
	Name:    "expert-maps",
	Summary: "step-time skew and cost of expert map policies on a drifting popularity",
	Run:     run,
}

// policyResult holds the results of one policy in one scenario. Skew is the time of
// the slowest rank in each layer divided by the time under an even distribution.
type policyResult struct {
	policy          string
	skew            []float64     // Skew under the expected load, by interval.
	sampledSkew     []float64     // Skew with sampling noise, by sampled step.
	moves           []float64     // Number of experts loaded onto ranks that did not hold them, by interval.
	switches        int           // Number of intervals in which the map was changed.
	meanStepSeconds float64       // Mean time of a step, including moves and switches; holds the total time of all steps until comparePolicies divides it.
	planTime        time.Duration // Time of the slowest planning call.
}

func run(ctx context.Context, options experiment.Options) (experiment.Report, error) {
	report := experiment.Report{Title: "Expert maps", Notes: notes()}
	for _, slots := range []int{4, 5, 6} {
		shape := planner.Shape{Ranks: 64, Slots: slots, Experts: 256, Layers: 60}
		if options.Quick {
			shape.Layers = 4
		}
		table := newTable(slots)
		for seed := range uint64(max(1, options.Seeds)) {
			if ctx.Err() != nil {
				return report, ctx.Err()
			}
			for i, results := range compareScenarios(shape, options.Seed+seed) {
				addRows(&table, scenarios[i], options.Seed+seed, results)
				if slots == 5 && seed == 0 {
					report.Plots = append(report.Plots, plots(scenarios[i], results)...)
				}
			}
		}
		report.Tables = append(report.Tables, table)
	}
	return report, nil
}

// compareScenarios runs the scenarios concurrently.
func compareScenarios(shape planner.Shape, seed uint64) [][]policyResult {
	all := make([][]policyResult, len(scenarios))
	var wg sync.WaitGroup
	for i, scenario := range scenarios {
		wg.Go(func() { all[i] = comparePolicies(scenario, shape, seed) })
	}
	wg.Wait()
	return all
}

func notes() []string {
	return []string{
		fmt.Sprintf("A step without skew takes %.0f ms, %.0f%% of it in experts.", stepSeconds*1e3, expertFraction*100),
		fmt.Sprintf("An expert's weights take %.0f MB; the weight store delivers %.0f GB/s to the group; steps are %.0f%% slower while weights load; a switch takes %.0f ms.",
			expertBytes/1e6, storeBytesPerSecond/1e9, loadSlowdown*100, switchSeconds*1e3),
		"Every policy starts from the same map. Plans are made every 5 minutes from the counts of the previous 5 minutes.",
	}
}

// comparePolicies runs every policy with the same popularity model and the same
// sampling noise.
func comparePolicies(scenario string, shape planner.Shape, seed uint64) []policyResult {
	policies := []policy{keepCurrentPolicy{}, &recomputePolicy{}, &recomputePolicy{relabel: true}, &incrementalPolicy{}, oraclePolicy{}}
	intervals := int(dayHours * secondsPerMinute / intervalMinutes)
	model := newPopularityModel(scenario, shape, seed)
	first := model.trueLoad(0)
	start := planner.Refine(shape, planner.Recompute(shape, first, nil), first, nil)
	results := make([]policyResult, len(policies))
	current := make([]planner.Placement, len(policies))
	for i, p := range policies {
		results[i], current[i] = policyResult{policy: p.name()}, start
	}
	observed := model.observe(first)
	for interval := range intervals {
		hour := float64(interval) * intervalMinutes / secondsPerMinute
		expectedLoad, slowness := model.trueLoad(hour), model.slowness(hour)
		noise := sampleSteps(expectedLoad, seed, uint64(interval))
		for i, p := range policies {
			input := planningInput{shape: shape, costs: costs(shape), observed: observed, expectedLoad: expectedLoad, slowness: slowness, current: current[i]}
			current[i] = results[i].runInterval(p, input, noise)
		}
		observed = model.observe(expectedLoad)
	}
	for i := range results {
		results[i].meanStepSeconds /= float64(intervals) * stepsPerInterval()
	}
	return results
}

func sampleSteps(expectedLoad [][]float64, seed, interval uint64) [][][]float64 {
	random := rand.New(rand.NewPCG(seed, interval+2))
	steps := make([][][]float64, sampledSteps)
	for i := range steps {
		steps[i] = sampleStep(expectedLoad, tokensPerStep, random)
	}
	return steps
}

func stepsPerInterval() float64 { return intervalMinutes * secondsPerMinute / stepSeconds }

func costs(shape planner.Shape) planner.Costs {
	even := float64(shape.Experts) / float64(shape.Ranks) * float64(shape.Layers)
	return planner.Costs{
		SecondsPerLoad: stepSeconds * expertFraction / even,
		MoveSeconds:    expertBytes / storeBytesPerSecond * loadSlowdown,
		SwitchSeconds:  switchSeconds,
		HorizonSteps:   horizonMinutes * secondsPerMinute / stepSeconds,
		MaxMoves:       intervalMinutes * secondsPerMinute * expertsPerSecond,
	}
}

// runInterval calls the policy for a new placement, then measures one interval
// with it.
func (r *policyResult) runInterval(p policy, input planningInput, noise [][][]float64) planner.Placement {
	began := time.Now()
	next := p.next(input)
	r.planTime = max(r.planTime, time.Since(began))
	moves := float64(planner.CountMoves(input.shape, input.current, next))
	skew := planner.Skew(input.shape, next, input.expectedLoad, input.slowness)
	r.skew = append(r.skew, skew)
	r.moves = append(r.moves, moves)
	for _, load := range noise {
		r.sampledSkew = append(r.sampledSkew, planner.Skew(input.shape, next, load, input.slowness))
	}
	r.meanStepSeconds += stepsPerInterval() * stepSeconds * (1 - expertFraction + expertFraction*skew)
	if _, isOracle := p.(oraclePolicy); !isOracle && moves > 0 {
		r.switches++
		r.meanStepSeconds += moves*input.costs.MoveSeconds + switchSeconds
	}
	return next
}

func mean(values []float64) float64 {
	var total float64
	for _, value := range values {
		total += value
	}
	return total / float64(len(values))
}

func sum(values []float64) float64 { return mean(values) * float64(len(values)) }

func percentile(values []float64, fraction float64) float64 {
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	return sorted[int(fraction*float64(len(sorted)-1))]
}
