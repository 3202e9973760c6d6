package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Shape is how requests arrive over time.
type Shape string

// Shapes of arrivals.
const (
	Constant Shape = "constant" // Equal gaps.
	Poisson  Shape = "poisson"  // Independent arrivals at a constant rate.
	Surge    Shape = "surge"    // Poisson, with a higher rate for a while.
)

// Arrivals describe the intended starts of requests.
type Arrivals struct {
	Shape         Shape         `json:"shape"`
	Rate          float64       `json:"rate"` // Requests a second.
	SurgeAt       time.Duration `json:"surge_at,omitempty"`
	SurgeDuration time.Duration `json:"surge_for,omitempty"`
	SurgeFactor   float64       `json:"surge_factor,omitempty"` // Multiplies Rate during the surge.
}

func (a Arrivals) validate() error {
	switch a.Shape {
	case Constant, Poisson, Surge:
	default:
		return fmt.Errorf("arrivals %q do not exist, only constant, poisson and surge do", a.Shape)
	}
	if a.Rate <= 0 {
		return fmt.Errorf("rate %v must be above 0 requests a second", a.Rate)
	}
	if a.Shape == Surge && (a.SurgeFactor <= 0 || a.SurgeDuration <= 0) {
		return fmt.Errorf("a surge needs a factor above 0, not %v, and a length above 0, not %v", a.SurgeFactor, a.SurgeDuration)
	}
	return nil
}

// schedule yields the intended starts, as offsets from the start of the run.
type schedule struct {
	arrivals Arrivals
	random   *rand.Rand
	seconds  float64 // Offset of the last arrival.
}

func newSchedule(arrivals Arrivals, random *rand.Rand) *schedule {
	return &schedule{arrivals: arrivals, random: random}
}

// next returns the offset of the next arrival.
func (s *schedule) next() time.Duration {
	if s.arrivals.Shape == Constant {
		s.seconds += 1 / s.arrivals.Rate
	} else {
		s.advance(s.random.ExpFloat64())
	}
	return time.Duration(s.seconds * float64(time.Second))
}

// advance moves on until the integral of the rate has grown by the number of
// expected arrivals: a Poisson process whose rate changes in steps.
func (s *schedule) advance(expected float64) {
	for {
		rate, end, bounded := s.rateAt(s.seconds)
		if !bounded || expected <= (end-s.seconds)*rate {
			s.seconds += expected / rate
			return
		}
		expected -= (end - s.seconds) * rate
		s.seconds = end
	}
}

// rateAt returns the rate at the offset and, if bounded, where it ends.
func (s *schedule) rateAt(seconds float64) (rate, end float64, bounded bool) {
	a := s.arrivals
	start, stop := a.SurgeAt.Seconds(), (a.SurgeAt + a.SurgeDuration).Seconds()
	switch {
	case a.Shape != Surge || seconds >= stop:
		return a.Rate, 0, false
	case seconds < start:
		return a.Rate, start, true
	default:
		return a.Rate * a.SurgeFactor, stop, true
	}
}
