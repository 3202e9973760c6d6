package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	burstBegins = 3 * time.Second
	burstEnds   = 5500 * time.Millisecond
)

// between returns a rate of perSecond, and of burst from 3 to 5.5 s.
func between(perSecond, burst float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= burstBegins && at < burstEnds {
			return burst
		}
		return perSecond
	}
}

func ofLoad(kind int) func(*simRequest) bool {
	return func(r *simRequest) bool { return r.load == kind }
}

// TestUrgentBurstIntoLessUrgentLoad guards against urgent requests that find a group full of
// less urgent ones, which entries sent on load reports that were a pass old.
func TestUrgentBurstIntoLessUrgentLoad(t *testing.T) {
	for seed := range uint64(2) {
		Convey("Given 14 entries near the limit with less urgent requests and a burst of urgent ones", t, func() {
			loads := usualLoads(1)
			loads[0].perSecond = between(10, 120)
			s := newSimulation(seed, 14, loads)
			s.skew = func(time.Duration) float64 { return 3.4 }
			s.reportDelay = 100 * time.Millisecond
			s.run(burstEnds + 3*time.Second)
			urgent, urgentCount := s.share(burstBegins, burstEnds, ofLoad(0))
			least, leastCount := s.share(burstBegins, burstEnds, ofLoad(2))
			t.Logf("seed %d: on time %.3f of %d urgent, %.3f of %d least urgent", seed, urgent, urgentCount, least, leastCount)
			So(urgent, ShouldBeGreaterThanOrEqualTo, least)
			Convey("no pass takes longer than the pause", func() {
				So(s.longestPass(burstBegins, burstEnds), ShouldBeLessThanOrEqualTo, simPause)
			})
		})
	}
}

// TestUrgentOverloadStarvesNobody guards against a level that gets nothing while more urgent
// requests exceed the capacity.
func TestUrgentOverloadStarvesNobody(t *testing.T) {
	for seed := range uint64(2) {
		Convey("Given urgent requests of twice the capacity, each other level gets its guaranteed share of what is sent", t, func() {
			loads := usualLoads(1)
			loads[0].perSecond = steady(260)
			s := newSimulation(seed, 14, loads)
			s.skew = func(time.Duration) float64 { return 3.4 }
			s.run(7 * time.Second)
			sent, total := make([]int, len(loads)), 0
			for _, r := range s.requests {
				if at := r.Arrived.Sub(start); at >= 3*time.Second && at < 7*time.Second && !r.sentAt.IsZero() {
					sent[r.load]++
					total++
				}
			}
			t.Logf("seed %d: sent %v", seed, sent)
			So(float64(sent[1]), ShouldBeGreaterThanOrEqualTo, 0.1*float64(total))
			So(float64(sent[2]), ShouldBeGreaterThanOrEqualTo, 0.1*float64(total))
		})
	}
}

// TestSurgeOfOneOrganisation guards against an organisation that displaces the others of its
// priority by sending more.
func TestSurgeOfOneOrganisation(t *testing.T) {
	const organisations = 24
	for seed := range uint64(2) {
		Convey("Given 24 organisations and a surge of one to twice the capacity", t, func() {
			surging := organisations // Index of its load.
			loads := make([]load, 0, organisations+1)
			for i := range organisations {
				loads = append(loads, load{1, []time.Duration{500 * time.Millisecond, time.Second}[i%2], steady(2.5), 850, fmt.Sprint("o", i)})
			}
			loads = append(loads, load{1, 500 * time.Millisecond, between(2, 260), 850, "large"})
			s := newSimulation(seed, 14, loads)
			s.skew = func(time.Duration) float64 { return 3.4 }
			s.run(burstEnds + 3*time.Second)
			others, count := s.share(burstBegins, burstEnds, func(r *simRequest) bool { return r.load != surging })
			t.Logf("seed %d: on time %.3f of %d requests of the others", seed, others, count)
			So(others, ShouldBeGreaterThanOrEqualTo, 0.97)
		})
	}
}
