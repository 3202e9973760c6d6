package hotexperts

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

const (
	// MinChoices is the number of observed expert choices below which a forecast of the
	// demand for experts is noise.
	MinChoices = 2000
	// MaxSavedExperts limits the experts of all expert sets of a saved demand, so that
	// invalid content can't request much memory.
	MaxSavedExperts = 1 << 16
	// savedFormat is the first byte of an encoded demand.
	savedFormat = 1
	// levelsPerDoubling is the number of levels between a load and its double. 255 levels
	// cover loads that differ by a factor of 125,000, each with an error of at most 2.4 %.
	levelsPerDoubling = 15
	maxLevel          = 255
)

// SavedDemand is a forecast of demand as it is stored: one byte for each expert.
type SavedDemand struct {
	Sets, Experts int
	// levels gives the load of each expert by expert set and expert on a logarithmic
	// scale: 0 is no load, maxLevel the highest load.
	levels []byte
}

// Save returns the forecast as it is stored.
func (d *Demand) Save() SavedDemand {
	saved := SavedDemand{Sets: d.sets, Experts: d.experts, levels: make([]byte, 0, d.sets*d.experts)}
	load, highest := d.Load(), 0.0
	for _, experts := range load {
		for _, value := range experts {
			highest = max(highest, value)
		}
	}
	for _, experts := range load {
		for _, value := range experts {
			level := 0
			if value > 0 {
				level = max(1, maxLevel+int(math.Round(levelsPerDoubling*math.Log2(value/highest))))
			}
			saved.levels = append(saved.levels, byte(level))
		}
	}
	return saved
}

// load returns the load relative to the highest one, by expert set and expert.
func (s SavedDemand) load() [][]float64 {
	load := zeroes(s.Sets, s.Experts)
	for i, level := range s.levels {
		if level > 0 {
			load[i/s.Experts][i%s.Experts] = math.Exp2((float64(level) - maxLevel) / levelsPerDoubling)
		}
	}
	return load
}

// IsEmpty reports whether the demand has no load, as the zero value.
func (s SavedDemand) IsEmpty() bool {
	for _, level := range s.levels {
		if level > 0 {
			return false
		}
	}
	return true
}

// Moved returns the share of choices that fall on different experts in the two demands; 1
// if they are of different shapes.
func (s SavedDemand) Moved(other SavedDemand) float64 {
	if s.Sets != other.Sets || s.Experts != other.Experts {
		return 1
	}
	return shareMoved(s.load(), other.load())
}

// NewDemandFrom returns a forecast that begins with the saved one. It has the weight of
// MinChoices choices, so that one round of counts outweighs it.
func NewDemandFrom(saved SavedDemand) *Demand {
	d := NewDemand(saved.Sets, saved.Experts)
	d.forecast = saved.load()
	total := 0.0
	for _, experts := range d.forecast {
		total += sum(experts)
	}
	if total == 0 {
		return d
	}
	for _, experts := range d.forecast {
		for expert := range experts {
			experts[expert] *= MinChoices / total
		}
	}
	d.total = MinChoices
	return d
}

// Encode returns the demand as bytes for DecodeDemand.
func (s SavedDemand) Encode() []byte {
	data := binary.AppendUvarint([]byte{savedFormat}, uint64(s.Sets))
	data = binary.AppendUvarint(data, uint64(s.Experts))
	return append(data, s.levels...)
}

// errSavedDemandMalformed means that bytes are not a demand that Encode returned.
var errSavedDemandMalformed = errors.New("malformed saved demand")

// DecodeDemand decodes a demand that Encode encoded.
func DecodeDemand(data []byte) (SavedDemand, error) {
	if len(data) == 0 || data[0] != savedFormat {
		return SavedDemand{}, fmt.Errorf("%w: unknown format", errSavedDemandMalformed)
	}
	var shape [2]int
	rest := data[1:]
	for i := range shape {
		value, n := binary.Uvarint(rest)
		if n <= 0 || value == 0 || value > MaxSavedExperts || rest[n-1] == 0 {
			return SavedDemand{}, fmt.Errorf("%w: invalid shape", errSavedDemandMalformed)
		}
		shape[i], rest = int(value), rest[n:]
	}
	if shape[0] > MaxSavedExperts/shape[1] || len(rest) != shape[0]*shape[1] {
		return SavedDemand{}, fmt.Errorf("%w: %d bytes for %d sets of %d experts", errSavedDemandMalformed, len(rest), shape[0], shape[1])
	}
	return SavedDemand{Sets: shape[0], Experts: shape[1], levels: rest}, nil
}
