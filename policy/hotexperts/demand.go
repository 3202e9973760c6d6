package hotexperts

import (
	"math"
	"time"
)

const (
	// forecastTimeConstant is the time constant of the forecast. Demand jumps every
	// few seconds, and the mix of requests in flight lasts about as long as a request.
	forecastTimeConstant = 500 * time.Millisecond
	// recentTimeConstant is the time constant of the recent load, about two passes,
	// against which the forecast is checked.
	recentTimeConstant = 120 * time.Millisecond
	// jumpThreshold is the share of choices that must have moved to other experts
	// for the forecast to restart from the recent load. Changes in the mix of
	// requests in flight move about a tenth of the choices between two passes.
	jumpThreshold = 0.25
)

// Demand forecasts the load of each expert from the ranks' counters of choices: how
// often requests were routed to each expert. Old counts decay exponentially.
type Demand struct {
	sets, experts int
	forecast      [][]float64 // Decays with forecastTimeConstant.
	recent        [][]float64 // Decays with recentTimeConstant.
	total         float64     // All choices; decays with forecastTimeConstant.
}

// NewDemand returns a forecast without observations.
func NewDemand(sets, experts int) *Demand {
	d := &Demand{sets: sets, experts: experts}
	d.forecast, d.recent = zeroes(sets, experts), zeroes(sets, experts)
	return d
}

func zeroes(sets, experts int) [][]float64 {
	table := make([][]float64, sets)
	for set := range table {
		table[set] = make([]float64, experts)
	}
	return table
}

// Observe adds the increases of one rank's counters during the elapsed time: set
// by set, how often its requests chose each expert. Gains of the wrong length are
// ignored; it reports whether they were used. Ranks is the number of ranks that
// are observed in turn.
func (d *Demand) Observe(gains []int64, elapsed time.Duration, ranks int) bool {
	if len(gains) != d.sets*d.experts {
		return false
	}
	seconds := elapsed.Seconds() / float64(max(1, ranks))
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

// Load returns the forecast by set and expert. The slices belong to d and must
// not be changed. If demand has jumped, the forecast restarts from the recent
// load.
func (d *Demand) Load() [][]float64 {
	if shareMoved(d.forecast, d.recent) > jumpThreshold {
		for set := range d.forecast {
			copy(d.forecast[set], d.recent[set])
		}
	}
	return d.forecast
}

// shareMoved returns the share of choices that fall on different experts in the
// two tables, averaged over the sets that have choices in both.
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

// Choices returns the decayed number of choices on which the forecast is based.
func (d *Demand) Choices() float64 { return d.total }
