package expertmaps

import (
	"math"
	"math/rand/v2"

	"persimmonwind.dev/policy/planner"
)

const (
	logPopularityStdDev  = 0.8  // Standard deviation of an expert's log popularity.
	observationNoise     = 0.02 // Relative noise of the observation of one interval.
	driftAmplitude       = 0.5  // Amplitude of the drift of log popularity.
	periodHours          = 1.0  // Period of the drift in the periodic scenario.
	shiftedFraction      = 0.3  // Fraction of the experts that a sudden shift changes.
	highObservationNoise = 0.1  // Relative noise of the observation of one interval, in the noise scenario.
	unobservedFraction   = 0.05 // Probability that an interval's observation lacks a layer.
	stragglerSlowness    = 1.3  // Time of the straggling rank for one unit of load; 1 for the others.
	dayHours             = 24.0
)

// Names of the scenarios.
const (
	dayDrift       = "day drift"
	suddenShift    = "sudden shift"
	periodic       = "periodic"
	noiseOnly      = "noise"
	stragglingRank = "straggling rank"
)

var scenarios = []string{dayDrift, suddenShift, periodic, noiseOnly, stragglingRank}

// popularityModel is a random model of the experts' popularity over a day.
type popularityModel struct {
	scenario string
	shape    planner.Shape
	base     [][]float64 // Log popularity of each expert without drift, by layer.
	shifted  [][]float64 // Log popularity of each expert after the sudden shift, by layer.
	phase    [][]float64 // Phase of each expert's drift, by layer.
	random   *rand.Rand
}

func newPopularityModel(scenario string, shape planner.Shape, seed uint64) *popularityModel {
	s := &popularityModel{scenario: scenario, shape: shape, random: rand.New(rand.NewPCG(seed, 1))}
	for range shape.Layers {
		base, shifted, phase := make([]float64, shape.Experts), make([]float64, shape.Experts), make([]float64, shape.Experts)
		for expert := range base {
			base[expert] = logPopularityStdDev * s.random.NormFloat64()
			phase[expert] = 2 * math.Pi * s.random.Float64()
			shifted[expert] = base[expert]
			if s.random.Float64() < shiftedFraction {
				shifted[expert] = logPopularityStdDev * s.random.NormFloat64()
			}
		}
		s.base, s.shifted, s.phase = append(s.base, base), append(s.shifted, shifted), append(s.phase, phase)
	}
	return s
}

// trueLoad returns the true popularity of the experts at the hour. The popularity of
// a layer's experts sums to their number.
func (s *popularityModel) trueLoad(hour float64) [][]float64 {
	load := make([][]float64, s.shape.Layers)
	for layer := range load {
		load[layer] = make([]float64, s.shape.Experts)
		for expert := range load[layer] {
			load[layer][expert] = math.Exp(s.logPopularity(layer, expert, hour))
		}
		normalise(load[layer])
	}
	return load
}

func (s *popularityModel) logPopularity(layer, expert int, hour float64) float64 {
	base, phase := s.base[layer][expert], s.phase[layer][expert]
	switch s.scenario {
	case dayDrift, stragglingRank:
		return base + driftAmplitude*math.Sin(2*math.Pi*hour/dayHours+phase)
	case periodic:
		return base + driftAmplitude*math.Sin(2*math.Pi*hour/periodHours+phase)
	case suddenShift:
		if hour >= dayHours/2 {
			return s.shifted[layer][expert]
		}
	}
	return base
}

// slowness returns the time of each rank for one unit of load.
func (s *popularityModel) slowness(hour float64) []float64 {
	slowness := make([]float64, s.shape.Ranks)
	for rank := range slowness {
		slowness[rank] = 1
	}
	if s.scenario == stragglingRank && hour >= dayHours/4 {
		slowness[s.shape.Ranks/2] = stragglerSlowness
	}
	return slowness
}

// observe returns the popularity as the counters report it: with noise, and with
// layers missing.
func (s *popularityModel) observe(load [][]float64) [][]float64 {
	noise := observationNoise
	if s.scenario == noiseOnly {
		noise = highObservationNoise
	}
	observed := make([][]float64, len(load))
	for layer := range load {
		if s.random.Float64() < unobservedFraction {
			continue
		}
		observed[layer] = make([]float64, len(load[layer]))
		for expert, tokens := range load[layer] {
			observed[layer][expert] = tokens * math.Exp(noise*s.random.NormFloat64())
		}
	}
	return observed
}

func normalise(load []float64) {
	var total float64
	for _, tokens := range load {
		total += tokens
	}
	for expert := range load {
		load[expert] *= float64(len(load)) / total
	}
}

// sampleStep draws the tokens of each expert in one step, with Gaussian noise of
// the Poisson variance, and returns them in units of the expected load.
func sampleStep(load [][]float64, tokens float64, random *rand.Rand) [][]float64 {
	drawn := make([][]float64, len(load))
	for layer := range load {
		drawn[layer] = make([]float64, len(load[layer]))
		scale := tokens / float64(len(load[layer]))
		for expert, popularity := range load[layer] {
			mean := popularity * scale
			drawn[layer][expert] = math.Max(0, mean+math.Sqrt(mean)*random.NormFloat64()) / scale
		}
	}
	return drawn
}
