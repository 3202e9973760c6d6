package planner

import "math"

const (
	smoothingFactor = 0.4 // Weight of the newest observation in the forecast.
	// significanceFactor is the factor by which the squared change since the last
	// plan must exceed the change that noise alone explains.
	significanceFactor = 2
	// A layer that has not been planned yet is checked once, after this many
	// observations, and changed if that saves more than noise explains.
	firstCheckObservations = 8
	firstCheckSigmas       = 4.0  // Standard deviations of the forecast.
	firstCheckMinSaving    = 0.05 // Share of the layer's time under an even spread.
	slownessChanged        = 0.05 // Relative change of a rank's slowness that triggers a plan.
)

// State is the planner's state between plans. The zero value is ready to use.
type State struct {
	forecast        [][]float64 // Tokens per step by layer and expert.
	last            [][]float64 // Last observation.
	weight          []float64   // By layer: variance of the forecast as a fraction of the noise.
	noise           []float64   // By layer: variance of one observation, relative to the squared load.
	reference       [][]float64 // Forecast at the first observation or the last plan of the layer.
	referenceWeight []float64
	count           []int     // By layer: number of observations.
	slowness        []float64 // When the map was last changed.
}

func (s *State) observe(input Input) {
	if s.forecast == nil {
		layers := input.Shape.Layers
		s.forecast, s.last, s.reference = make([][]float64, layers), make([][]float64, layers), make([][]float64, layers)
		s.count = make([]int, layers)
		s.weight, s.noise, s.referenceWeight = make([]float64, layers), make([]float64, layers), make([]float64, layers)
	}
	for layer, observed := range input.Observed {
		if observed != nil {
			s.observeLayer(layer, observed)
		}
	}
}

func (s *State) observeLayer(layer int, observed []float64) {
	s.count[layer]++
	if s.forecast[layer] == nil {
		s.forecast[layer] = append([]float64(nil), observed...)
		s.last[layer] = append([]float64(nil), observed...)
		s.weight[layer] = 1
		s.setReference(layer)
		return
	}
	var squares float64
	for expert, tokens := range observed {
		before := s.last[layer][expert]
		scale := math.Max((tokens+before)/2, math.SmallestNonzeroFloat64)
		squares += (tokens - before) * (tokens - before) / (2 * scale * scale)
		s.forecast[layer][expert] += smoothingFactor * (tokens - s.forecast[layer][expert])
	}
	noise := squares / float64(len(observed))
	if s.noise[layer] > 0 {
		noise = s.noise[layer] + smoothingFactor*(noise-s.noise[layer])
	}
	s.noise[layer] = noise
	s.weight[layer] = (1-smoothingFactor)*(1-smoothingFactor)*s.weight[layer] + smoothingFactor*smoothingFactor
	copy(s.last[layer], observed)
}

// setReference makes the layer's current forecast the reference that later
// forecasts are compared with.
func (s *State) setReference(layer int) {
	s.reference[layer] = append(s.reference[layer][:0], s.forecast[layer]...)
	s.referenceWeight[layer] = s.weight[layer]
}

func (s *State) setSlowness(slowness []float64) {
	s.slowness = append(s.slowness[:0], slowness...)
}

// changedLayers returns the layers whose popularity has changed by more than
// noise since their last plan and those due for their first check. If a rank's
// slowness has changed, it returns all observed layers.
func (s *State) changedLayers(input Input) []int {
	var layers []int
	all := s.slownessChanged(input.Slowness)
	for layer, forecast := range s.forecast {
		if forecast != nil && (all || s.count[layer] == firstCheckObservations || s.changed(layer)) {
			layers = append(layers, layer)
		}
	}
	return layers
}

// exceedsNoise reports whether a plan at the first check saves more than noise
// explains. Plans for other reasons have passed a test already and always count.
func (s *State) exceedsNoise(p layerPlan, input Input) bool {
	if s.count[p.layer] != firstCheckObservations || s.slownessChanged(input.Slowness) || s.changed(p.layer) {
		return true
	}
	slowness := input.Slowness
	if slowness == nil {
		slowness = evenSlowness(input.Shape.Ranks)
	}
	needed := firstCheckMinSaving + firstCheckSigmas*math.Sqrt(s.noise[p.layer]*s.weight[p.layer])
	return p.saved > needed*evenTime(s.forecast[p.layer], slowness)
}

func (s *State) changed(layer int) bool {
	if s.noise[layer] == 0 {
		return false
	}
	var squares float64
	for expert, tokens := range s.forecast[layer] {
		reference := s.reference[layer][expert]
		scale := math.Max((tokens+reference)/2, math.SmallestNonzeroFloat64)
		squares += (tokens - reference) * (tokens - reference) / (scale * scale)
	}
	explained := s.noise[layer] * (s.weight[layer] + s.referenceWeight[layer])
	return squares/float64(len(s.forecast[layer])) > significanceFactor*explained
}

func (s *State) slownessChanged(slowness []float64) bool {
	for rank, slow := range slowness {
		before := 1.0
		if s.slowness != nil {
			before = s.slowness[rank]
		}
		if math.Abs(slow-before) > slownessChanged*before {
			return true
		}
	}
	return false
}
