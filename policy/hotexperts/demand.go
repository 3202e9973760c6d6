package hotexperts

import (
	"math"
	"time"
)

// demandMemory is the time constant of the forecast. Demand jumps every few
// seconds, and the mix of requests under way lasts about a request's length.
const demandMemory = 500 * time.Millisecond

// Demand forecasts the load of each expert from counts that only grow while a
// group lives.
type Demand struct {
	sets, experts int
	epoch         int64
	ranks         map[int]seen
	load          [][]float64
	total         float64 // Choices within the memory.
}

type seen struct {
	counts []int64
	at     time.Time
}

// NewDemand returns a forecast that has seen nothing.
func NewDemand(sets, experts int) *Demand {
	d := &Demand{sets: sets, experts: experts, ranks: map[int]seen{}}
	d.load = make([][]float64, sets)
	for set := range d.load {
		d.load[set] = make([]float64, experts)
	}
	return d
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
	decay := math.Exp(-now.Sub(before.at).Seconds() / demandMemory.Seconds() / float64(max(1, len(d.ranks))))
	d.total *= decay
	for set := range d.load {
		for expert := range d.load[set] {
			i := set*d.experts + expert
			chosen := float64(max(0, counts[i]-before.counts[i]))
			d.load[set][expert] = d.load[set][expert]*decay + chosen
			d.total += chosen
		}
	}
	return true
}

// Load returns the forecast by set and expert; it is the Demand's own.
func (d *Demand) Load() [][]float64 { return d.load }

// Choices returns how many choices the forecast rests on.
func (d *Demand) Choices() float64 { return d.total }
