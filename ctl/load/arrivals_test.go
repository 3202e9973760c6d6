package load

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func countArrivals(a Arrivals, seed uint64, until time.Duration) (before, during, after int) {
	s := newSchedule(a, rand.New(rand.NewPCG(seed, streamArrivals)))
	for at := s.next(); at < until; at = s.next() {
		switch {
		case at < a.SurgeStart:
			before++
		case at < a.SurgeStart+a.SurgeDuration:
			during++
		default:
			after++
		}
	}
	return before, during, after
}

func TestSchedule(t *testing.T) {
	Convey("A surge multiplies the rate only while it lasts", t, func() {
		a := Arrivals{Shape: Surge, Rate: 1000, SurgeStart: 10 * time.Second, SurgeDuration: 10 * time.Second, SurgeFactor: 3}
		before, during, after := countArrivals(a, 1, 30*time.Second)
		// The tolerances are five standard deviations of a Poisson count.
		So(before, ShouldAlmostEqual, 10000, 500)
		So(during, ShouldAlmostEqual, 30000, 870)
		So(after, ShouldAlmostEqual, 10000, 500)
	})

	Convey("Equal seeds give equal arrivals and requests, and different seeds give different ones", t, func() {
		options := DefaultOptions()
		draw := func(seed uint64) (time.Duration, request) {
			options.Seed = seed
			times := newSchedule(options.Arrivals, rand.New(rand.NewPCG(seed, streamArrivals)))
			return times.next(), newRequestGenerator(options, rand.New(rand.NewPCG(seed, streamRequests))).next()
		}
		at1, request1 := draw(7)
		at2, request2 := draw(7)
		at3, request3 := draw(8)
		So(at1, ShouldEqual, at2)
		So(request1, ShouldResemble, request2)
		So(at3, ShouldNotEqual, at1)
		So(request3.text, ShouldNotEqual, request1.text)
	})
}
