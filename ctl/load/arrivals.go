package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Shape names the distribution of arrivals over time.
type Shape string

// Supported arrival shapes.
const (
	Constant Shape = "constant" // Equal intervals between arrivals.
	Poisson  Shape = "poisson"  // Exponentially distributed intervals at a constant mean rate.
	Surge    Shape = "surge"    // Poisson, with the rate multiplied by SurgeFactor for SurgeDuration.
)

// Arrivals describes the intended start times of requests.
type Arrivals struct {
	Shape         Shape         `json:"shape"`
	Rate          float64       `json:"rate"` // Mean arrival rate in requests per second, outside a surge.
	SurgeStart    time.Duration `json:"surge_at,omitempty"`
	SurgeDuration time.Duration `json:"surge_for,omitempty"`
	SurgeFactor   float64       `json:"surge_factor,omitempty"` // Factor by which the surge multiplies Rate.
}

func (a Arrivals) validate() error {
	switch a.Shape {
	case Constant, Poisson, Surge:
	default:
		return fmt.Errorf("unknown arrivals %q: must be constant, poisson or surge", a.Shape)
	}
	if a.Rate <= 0 {
		return fmt.Errorf("rate %v must be greater than 0 requests per second", a.Rate)
	}
	if a.Shape == Surge && (a.SurgeFactor <= 0 || a.SurgeDuration <= 0) {
		return fmt.Errorf("surge factor %v and surge duration %v must both be greater than 0", a.SurgeFactor, a.SurgeDuration)
	}
	return nil
}

// schedule generates the intended start times, as offsets from the start of the
// run.
type schedule struct {
	arrivals Arrivals
	random   *rand.Rand
	seconds  float64 // Offset of the most recent arrival, in seconds.
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

// advance moves the offset forward until the integral of the rate over the time
// passed equals the expected number of arrivals. With an exponentially
// distributed argument this generates a Poisson process with a piecewise
// constant rate.
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

// rateAt returns the rate at the offset and, if bounded, the offset at which
// that rate ends.
func (s *schedule) rateAt(seconds float64) (rate, end float64, bounded bool) {
	a := s.arrivals
	start, stop := a.SurgeStart.Seconds(), (a.SurgeStart + a.SurgeDuration).Seconds()
	switch {
	case a.Shape != Surge || seconds >= stop:
		return a.Rate, 0, false
	case seconds < start:
		return a.Rate, start, true
	default:
		return a.Rate * a.SurgeFactor, stop, true
	}
}
