package hotexperts

import (
	"math"
	"time"
)

const (
	// forecastTimeConstant is the time constant of the forecast. Demand jumps every few
	// seconds, and the mix of requests under way lasts about a request's length.
	forecastTimeConstant = 500 * time.Millisecond
	// recentTimeConstant is that of the latest counts, about two passes, against which
	// the forecast is checked.
	recentTimeConstant = 120 * time.Millisecond
	// jumpThreshold is the share of choices that must have moved to other experts
	// for the forecast to start over from the latest counts. The mix of requests
	// under way moves about a tenth between two passes.
	jumpThreshold = 0.25
)

// Demand forecasts the load of each expert from what ranks count.
type Demand struct {
	sets, experts int
	forecast      [][]float64 // Within demandMemory.
	recent        [][]float64 // Within latestMemory.
	total         float64     // Choices within demandMemory.
}

// NewDemand returns a forecast that has seen nothing.
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

// Observe takes in what the counts of a rank have gained in the time: set by
// set, how often its requests chose each expert. Gains of another length are
// ignored; it reports whether they were used. Ranks is the number of ranks that
// are observed in turn.
func (d *Demand) Observe(gains []int64, elapsed time.Duration, ranks int) bool {
	if len(gains) != d.sets*d.experts {
		return false
	}
	seconds := elapsed.Seconds() / float64(max(1, ranks))
	decay := math.Exp(-seconds / forecastTimeConstant.Seconds())
	latestDecay := math.Exp(-seconds / recentTimeConstant.Seconds())
	d.total *= decay
	for set := range d.forecast {
		for expert := range d.forecast[set] {
			chosen := float64(gains[set*d.experts+expert])
			d.forecast[set][expert] = d.forecast[set][expert]*decay + chosen
			d.recent[set][expert] = d.recent[set][expert]*latestDecay + chosen
			d.total += chosen
		}
	}
	return true
}

// Load returns the forecast by set and expert; it is the Demand's own. Where
// demand has jumped it starts over from the latest counts.
func (d *Demand) Load() [][]float64 {
	if shareMoved(d.forecast, d.recent) > jumpThreshold {
		for set := range d.forecast {
			copy(d.forecast[set], d.recent[set])
		}
	}
	return d.forecast
}

// shareMoved returns the share of choices that fall on other experts in one table
// than in the other.
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

// Choices returns how many choices the forecast rests on.
func (d *Demand) Choices() float64 { return d.total }
