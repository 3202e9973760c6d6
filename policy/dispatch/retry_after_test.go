package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// closedGroup returns an entry before a group that is closed and of whose 63 servers some
// have sent no report for longer than missingAfter, and the time.
func closedGroup(missing int) (*Dispatcher, time.Time) {
	d := newSimulation(0, 14, usualLoads(1)).entries[0]
	now := start.Add(missingAfter + time.Millisecond)
	for i := range simRanks {
		at := now
		if i < missing {
			at = start
		}
		d.Report(fmt.Sprint("s", i), Report{Open: false, Group: "g"}, at)
	}
	return d, now
}

func levelTicket(id uint64, level int, now time.Time) Ticket {
	t := ticket(id, now)
	t.Priority = level
	return t
}

// TestOutageOfAZone guards against requests that wait in vain for a group that lacks ranks, and
// against refused callers that all come back at the same time.
func TestOutageOfAZone(t *testing.T) {
	Convey("Given a closed group that lacks a data centre of 21 ranks", t, func() {
		d, now := closedGroup(21)
		byLevel := make([][]time.Duration, 3)
		for i := range 300 {
			decision := d.Submit(levelTicket(uint64(i), i%3, now), float64(i*37%300)/300, now)
			So(decision.Verdict, ShouldEqual, Refuse)
			So(decision.Reason, ShouldEqual, "lacks_ranks")
			So(decision.Level, ShouldEqual, i%3)
			So(decision.RetryAfter, ShouldBeBetweenOrEqual, 1500*time.Millisecond, 2600*time.Millisecond)
			byLevel[i%3] = append(byLevel[i%3], decision.RetryAfter)
		}
		Convey("the most urgent callers are told to come back first", func() {
			for level := range 2 {
				So(slices.Max(byLevel[level]), ShouldBeLessThanOrEqualTo, slices.Min(byLevel[level+1]))
			}
		})
		Convey("at most a twentieth come back within 50 ms", func() {
			within := map[time.Duration]int{}
			for _, times := range byLevel {
				for _, retryAfter := range times {
					within[retryAfter/(50*time.Millisecond)]++
				}
			}
			for _, count := range within {
				So(count, ShouldBeLessThanOrEqualTo, 300/20)
			}
		})
	})
	for _, missing := range []int{0, 3} {
		Convey("Requests wait for a closed group all or nearly all of whose servers report, as it forms", t, func() {
			d, now := closedGroup(missing)
			So(d.Submit(ticket(1, now), 0, now).Verdict, ShouldEqual, Wait)
		})
	}
	Convey("A queued request that can't be started before its deadline is refused when the group lacks ranks", t, func() {
		d, now := closedGroup(0)
		So(d.Submit(ticket(1, now), 0, now).Verdict, ShouldEqual, Wait)
		later := now.Add(missingAfter + time.Millisecond)
		for i := range simRanks - 21 {
			d.Report(fmt.Sprint("s", i), Report{Open: false, Group: "g"}, later)
		}
		So(d.DispatchQueued(noRandom, later), ShouldBeEmpty)
		later = now.Add(1700*time.Millisecond - formingTime)
		decisions := d.DispatchQueued(noRandom, later)
		So(decisions, ShouldHaveLength, 1)
		So(decisions[0].Reason, ShouldEqual, "lacks_ranks")
	})
}

// TestRefusalsOfABacklogAreSpread guards against refused callers of an overload that all come
// back in the same instant.
func TestRefusalsOfABacklogAreSpread(t *testing.T) {
	Convey("Callers refused in the same overload get different times, the most urgent the earliest", t, func() {
		earliest := Decision{RetryAfter: time.Second}
		d := newSimulation(0, 14, usualLoads(1)).entries[0]
		times := map[time.Duration]bool{}
		for i := range 100 {
			decision := earliest
			decision.Verdict, decision.Level = Refuse, i%3
			d.completeRefusal(&decision, float64(i)/100)
			So(decision.RetryAfter, ShouldBeBetweenOrEqual, time.Second, time.Second*3/2)
			times[decision.RetryAfter] = true
		}
		So(len(times), ShouldBeGreaterThan, 90)
	})
}
