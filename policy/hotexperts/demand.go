package hotexperts

import (
	"math"
	"time"
)

const (
	// forecastTimeConstant is the time constant with which counts decay in the forecast.
	// Demand jumps every few seconds, and the mix of requests in flight lasts about as
	// long as a request.
	forecastTimeConstant = 500 * time.Millisecond
	// recentTimeConstant is the time constant with which counts decay in the recent load,
	// which the forecast is compared with. It is about the duration of two passes of the
	// model.
	recentTimeConstant = 120 * time.Millisecond
	// jumpThreshold is the share of the routing choices that must have moved to other
	// experts for the forecast to restart from the recent load. Changes in the mix of
	// requests in flight move about a tenth of the choices between two passes.
	jumpThreshold = 0.25
)

// Demand forecasts the load of each expert from the ranks' counters of choices, which
// tell how often requests were routed to each expert. Old counts decay exponentially.
type Demand struct {
	sets, experts int
	forecast      [][]float64 // Load by expert set and expert; decays with forecastTimeConstant.
	recent        [][]float64 // Load by expert set and expert; decays with recentTimeConstant.
	total         float64     // Number of choices of all experts; decays with forecastTimeConstant.
}

// NewDemand returns a forecast without observations for a group with this number of
// expert sets and of experts in each set.
func NewDemand(sets, experts int) *Demand {
	d := &Demand{sets: sets, experts: experts}
	d.forecast, d.recent = zeroes(sets, experts), zeroes(sets, experts)
	return d
}

// zeroes returns a table of zeroes by expert set and expert.
func zeroes(sets, experts int) [][]float64 {
	table := make([][]float64, sets)
	for set := range table {
		table[set] = make([]float64, experts)
	}
	return table
}

// Observe adds the increases of the counters of one or more ranks: for each expert set
// and expert, how often their requests chose the expert. elapsed is the time since the
// previous observation. Gains of the wrong length are ignored; it reports whether they
// were used.
func (d *Demand) Observe(gains []int64, elapsed time.Duration) bool {
	if len(gains) != d.sets*d.experts {
		return false
	}
	seconds := elapsed.Seconds()
	decay := math.Exp(-seconds / forecastTimeConstant.Seconds())
	recentDecay := math.Exp(-seconds / recentTimeConstant.Seconds())
	d.total *= decay
	for set := range d.forecast {
		for expert := range d.forecast[set] {
			chosen := float64(gains[set*d.experts+expert])
			d.forecast[set][expert] = d.forecast[set][expert]*decay + chosen
			d.recent[set][expert] = d.recent[set][expert]*recentDecay + chosen
			d.total += chosen
		}
	}
	return true
}

// Load returns the forecast load by expert set and expert. The slices belong to d and
// must not be changed. If demand has jumped, the forecast restarts from the recent
// load.
func (d *Demand) Load() [][]float64 {
	if shareMoved(d.forecast, d.recent) > jumpThreshold {
		for set := range d.forecast {
			copy(d.forecast[set], d.recent[set])
		}
	}
	return d.forecast
}

// shareMoved returns the share of choices that fall on different experts in the two
// tables, averaged over the expert sets that have choices in both.
func shareMoved(a, b [][]float64) float64 {
	moved, sets := 0.0, 0
	for set := range a {
		sumA, sumB := sum(a[set]), sum(b[set])
		if sumA == 0 || sumB == 0 {
			continue
		}
		sets++
		for expert := range a[set] {
			moved += math.Abs(a[set][expert]/sumA-b[set][expert]/sumB) / 2
		}
	}
	if sets == 0 {
		return 0
	}
	return moved / float64(sets)
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

// Choices returns the number of routing choices on which the forecast is based, with
// old ones decayed.
func (d *Demand) Choices() float64 { return d.total }
