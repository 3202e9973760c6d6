package hotexperts

import (
	"math"
	"time"
)

const (
	// demandMemory is the time constant of the forecast. Demand jumps every few
	// seconds, and the mix of requests under way lasts about a request's length.
	demandMemory = 500 * time.Millisecond
	// latestMemory is that of the latest counts, about two passes, against which
	// the forecast is checked.
	latestMemory = 120 * time.Millisecond
	// jumpDistance is the share of choices that must have moved to other experts
	// for the forecast to start over from the latest counts. The mix of requests
	// under way moves about a tenth between two passes.
	jumpDistance = 0.25
)

// Demand forecasts the load of each expert from counts that only grow while a
// group lives.
type Demand struct {
	sets, experts int
	epoch         int64
	ranks         map[int]seen
	load          [][]float64 // Within demandMemory.
	latest        [][]float64 // Within latestMemory.
	total         float64     // Choices within demandMemory.
}

type seen struct {
	counts []int64
	at     time.Time
}

// NewDemand returns a forecast that has seen nothing.
func NewDemand(sets, experts int) *Demand {
	d := &Demand{sets: sets, experts: experts, ranks: map[int]seen{}}
	d.load, d.latest = zeroes(sets, experts), zeroes(sets, experts)
	return d
}

func zeroes(sets, experts int) [][]float64 {
	table := make([][]float64, sets)
	for set := range table {
		table[set] = make([]float64, experts)
	}
	return table
}

// Observe takes in the counts of a rank: set by set, how often its requests
// chose each expert. Counts of another length are ignored; it reports whether
// they were used.
func (d *Demand) Observe(rank int, epoch int64, counts []int64, now time.Time) bool {
	if len(counts) != d.sets*d.experts {
		return false
	}
	if epoch != d.epoch {
		d.epoch = epoch
		d.ranks = map[int]seen{}
	}
	before, known := d.ranks[rank]
	d.ranks[rank] = seen{counts: counts, at: now}
	if !known {
		return true
	}
	elapsed := now.Sub(before.at).Seconds() / float64(len(d.ranks))
	decay := math.Exp(-elapsed / demandMemory.Seconds())
	latestDecay := math.Exp(-elapsed / latestMemory.Seconds())
	d.total *= decay
	for set := range d.load {
		for expert := range d.load[set] {
			i := set*d.experts + expert
			chosen := float64(max(0, counts[i]-before.counts[i]))
			d.load[set][expert] = d.load[set][expert]*decay + chosen
			d.latest[set][expert] = d.latest[set][expert]*latestDecay + chosen
			d.total += chosen
		}
	}
	return true
}

// Load returns the forecast by set and expert; it is the Demand's own. Where
// demand has jumped it starts over from the latest counts.
func (d *Demand) Load() [][]float64 {
	if distance(d.load, d.latest) > jumpDistance {
		for set := range d.load {
			copy(d.load[set], d.latest[set])
		}
	}
	return d.load
}

// distance returns the share of choices that fall on other experts in one table
// than in the other.
func distance(a, b [][]float64) float64 {
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
