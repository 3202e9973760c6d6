package planner

import "math"

const (
	smoothingFactor = 0.4 // Weight of the newest observation in the forecast.
	// significanceFactor is the factor by which the squared change since the last
	// plan must exceed the change that noise alone explains.
	significanceFactor = 2
	// firstCheckObservations is the number of observations after which a layer that has
	// not been planned yet is checked once. The layer is changed if that saves more than
	// noise explains.
	firstCheckObservations = 8
	firstCheckSigmas       = 4.0  // Saving that noise may explain at the first check, in standard deviations of the forecast.
	firstCheckMinSaving    = 0.05 // Minimum saving at the first check, as a share of the layer's time under an evenly spread load.
	slownessChanged        = 0.05 // Relative change of a rank's slowness that triggers a plan.
)

// State is the planner's state between plans. The zero value is ready to use.
type State struct {
	forecast         [][]float64 // By layer and expert: the forecast load, in tokens per step.
	lastObserved     [][]float64 // By layer and expert: the last observation.
	varianceWeight   []float64   // By layer: variance of the forecast as a fraction of noiseVariance.
	noiseVariance    []float64   // By layer: variance of one observation, relative to the squared load.
	reference        [][]float64 // By layer and expert: the forecast at the first observation or the last plan of the layer.
	referenceWeight  []float64   // By layer: varianceWeight when reference was set.
	observationCount []int       // By layer: number of observations.
	slowness         []float64   // By rank: the slowness when the map was last changed.
}

// observe updates the forecast with the observed load of the layers.
func (s *State) observe(input Input) {
	if s.forecast == nil {
		layers := input.Shape.Layers
		s.forecast, s.lastObserved, s.reference = make([][]float64, layers), make([][]float64, layers), make([][]float64, layers)
		s.observationCount = make([]int, layers)
		s.varianceWeight, s.noiseVariance, s.referenceWeight = make([]float64, layers), make([]float64, layers), make([]float64, layers)
	}
	for layer, observed := range input.Observed {
		if observed != nil {
			s.observeLayer(layer, observed)
		}
	}
}

// observeLayer updates the layer's forecast and the estimate of its noise, which is the
// variance between consecutive observations.
func (s *State) observeLayer(layer int, observed []float64) {
	s.observationCount[layer]++
	if s.forecast[layer] == nil {
		s.forecast[layer] = append([]float64(nil), observed...)
		s.lastObserved[layer] = append([]float64(nil), observed...)
		s.varianceWeight[layer] = 1
		s.setReference(layer)
		return
	}
	var squares float64
	for expert, tokens := range observed {
		before := s.lastObserved[layer][expert]
		scale := math.Max((tokens+before)/2, math.SmallestNonzeroFloat64)
		squares += (tokens - before) * (tokens - before) / (2 * scale * scale)
		s.forecast[layer][expert] += smoothingFactor * (tokens - s.forecast[layer][expert])
	}
	noiseVariance := squares / float64(len(observed))
	if s.noiseVariance[layer] > 0 {
		noiseVariance = s.noiseVariance[layer] + smoothingFactor*(noiseVariance-s.noiseVariance[layer])
	}
	s.noiseVariance[layer] = noiseVariance
	s.varianceWeight[layer] = (1-smoothingFactor)*(1-smoothingFactor)*s.varianceWeight[layer] + smoothingFactor*smoothingFactor
	copy(s.lastObserved[layer], observed)
}

// setReference makes the current forecast of the layer the reference that its later
// forecasts are compared with.
func (s *State) setReference(layer int) {
	s.reference[layer] = append(s.reference[layer][:0], s.forecast[layer]...)
	s.referenceWeight[layer] = s.varianceWeight[layer]
}

// setSlowness stores the slowness of the ranks for which the map has been changed.
func (s *State) setSlowness(slowness []float64) {
	s.slowness = append(s.slowness[:0], slowness...)
}

// changedLayers returns the layers whose popularity has changed by more than
// noise since their last plan and those due for their first check. If a rank's
// slowness has changed, it returns all observed layers.
func (s *State) changedLayers(input Input) []int {
	var layers []int
	allLayers := s.slownessChanged(input.Slowness)
	for layer, forecast := range s.forecast {
		if forecast != nil && (allLayers || s.observationCount[layer] == firstCheckObservations || s.popularityChanged(layer)) {
			layers = append(layers, layer)
		}
	}
	return layers
}

// exceedsNoise reports whether the plan of a layer at its first check saves more than
// noise explains. It is true for a layer that is planned for another reason, because
// that reason has passed a test of its own already.
func (s *State) exceedsNoise(p layerPlan, input Input) bool {
	if s.observationCount[p.layer] != firstCheckObservations || s.slownessChanged(input.Slowness) || s.popularityChanged(p.layer) {
		return true
	}
	slowness := input.Slowness
	if slowness == nil {
		slowness = evenSlowness(input.Shape.Ranks)
	}
	minSaving := firstCheckMinSaving + firstCheckSigmas*math.Sqrt(s.noiseVariance[p.layer]*s.varianceWeight[p.layer])
	return p.saved > minSaving*evenTime(s.forecast[p.layer], slowness)
}

// popularityChanged reports whether the layer's forecast differs from its reference by
// more than noise explains.
func (s *State) popularityChanged(layer int) bool {
	if s.noiseVariance[layer] == 0 {
		return false
	}
	var squares float64
	for expert, tokens := range s.forecast[layer] {
		reference := s.reference[layer][expert]
		scale := math.Max((tokens+reference)/2, math.SmallestNonzeroFloat64)
		squares += (tokens - reference) * (tokens - reference) / (scale * scale)
	}
	expectedFromNoise := s.noiseVariance[layer] * (s.varianceWeight[layer] + s.referenceWeight[layer])
	return squares/float64(len(s.forecast[layer])) > significanceFactor*expectedFromNoise
}

// slownessChanged reports whether the relative change of a rank's slowness since the
// map was last changed exceeds the constant slownessChanged.
func (s *State) slownessChanged(slowness []float64) bool {
	for rank, slow := range slowness {
		previous := 1.0
		if s.slowness != nil {
			previous = s.slowness[rank]
		}
		if math.Abs(slow-previous) > slownessChanged*previous {
			return true
		}
	}
	return false
}
