package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/topology"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func candidates(count, slots int) []topology.Candidate {
	var list []topology.Candidate
	for i := range count {
		list = append(list, topology.Candidate{Server: topology.Server{ID: fmt.Sprint("s", i), Slots: slots}})
	}
	return list
}

// plainDispatcher returns the dispatcher of a plain service.
func plainDispatcher(servers, slots int) *Dispatcher {
	d := NewDispatcher(WarmUpLimit{Entries: 1})
	d.Configure(candidates(servers, slots), topology.Service{}, 0, start)
	return d
}

func engine() *topology.Engine {
	return &topology.Engine{Slots: 12, Stride: 6, StepMS: 4.84, PerSequenceMS: 0.362}
}

func ticket(id uint64, arrived time.Time) Ticket {
	return Ticket{ID: id, Arrived: arrived, SLODeadline: arrived.Add(400 * time.Millisecond), Deadline: arrived.Add(1700 * time.Millisecond)}
}

func noRandom() float64 { return 0 }

func TestBurstIsQueuedOrRefused(t *testing.T) {
	Convey("Given more simultaneous requests than slots", t, func() {
		d := plainDispatcher(2, 2)
		verdicts := map[Verdict]int{}
		now := start
		for i := range 8 {
			now = now.Add(time.Millisecond)
			verdicts[d.Submit(ticket(uint64(i), now), 0, now).Verdict]++
		}
		So(verdicts[Go], ShouldEqual, 4)
		So(d.inFlight(now), ShouldEqual, 4)

		Convey("a freed slot goes to the first request that can still meet its objective", func() {
			So(d.QueueLen(), ShouldBeGreaterThan, 0)
			first := d.queue[0].ID
			d.Done("s0", Served, now)
			decisions := d.DispatchQueued(noRandom, now)
			So(decisions, ShouldHaveLength, 1)
			So(decisions[0].Verdict, ShouldEqual, Go)
			So(decisions[0].Ticket, ShouldEqual, first)
		})
		Convey("a late request gets a slot only when no queued request can meet its objective", func() {
			late := now.Add(380 * time.Millisecond)
			d.queue = append(d.queue, ticket(99, late))
			d.Done("s0", Served, late)
			So(d.DispatchQueued(noRandom, late)[0].Ticket, ShouldEqual, uint64(99))
		})
		Convey("no request stays queued beyond the longest wait", func() {
			later := now.Add(maxWait + time.Millisecond)
			for _, decision := range d.DispatchQueued(noRandom, later) {
				So(decision.Verdict, ShouldEqual, Refuse)
				So(decision.RetryAfter, ShouldBeGreaterThanOrEqualTo, minRetryAfter)
			}
			So(d.QueueLen(), ShouldEqual, 0)
		})
		Convey("a cancelled request is not sent", func() {
			cancelled := d.queue[0].ID
			d.Cancel(cancelled)
			d.Done("s0", Served, now)
			for _, decision := range d.DispatchQueued(noRandom, now) {
				So(decision.Ticket, ShouldNotEqual, cancelled)
			}
		})
	})
	Convey("A request whose predicted wait is too long is refused at once with a Retry-After", t, func() {
		d := plainDispatcher(1, 1)
		now := start
		d.Submit(ticket(0, now), 0, now)
		refused := Decision{}
		for i := range 20 {
			if decision := d.Submit(ticket(uint64(i+1), now), 0, now); decision.Verdict == Refuse {
				refused = decision
				break
			}
		}
		So(refused.Verdict, ShouldEqual, Refuse)
		So(refused.RetryAfter, ShouldBeGreaterThan, 0)
	})
	Convey("Without any server a request is refused at once", t, func() {
		d := plainDispatcher(0, 0)
		So(d.Submit(ticket(1, start), 0, start).Verdict, ShouldEqual, Refuse)
	})
}

func TestLargeGroupReserveForDemandJump(t *testing.T) {
	Convey("A large group reserves more of the longest pause for a jump of demand", t, func() {
		passAtLimit := func(servers int) time.Duration {
			d := NewDispatcher(WarmUpLimit{Entries: 1})
			d.Configure(candidates(servers, 12), topology.Service{Engine: engine()}, 120*time.Millisecond, start)
			baseSeconds := d.groups[""].pace.baseSeconds()
			requests := servers * 5
			slope := 4 * d.groups[""].pace.evenSlope(servers) // So that the pause goal limits, not the slots.
			now := start
			for range 100 {
				now = now.Add(10 * time.Millisecond)
				d.setInFlight(requests, now)
				d.ObserveGap("s0", time.Duration((baseSeconds+slope*float64(requests))*float64(time.Second)), now)
			}
			pass := baseSeconds + slope*float64(d.groups[""].pace.limit(servers))
			return time.Duration(pass * float64(time.Second))
		}
		So(passAtLimit(12), ShouldAlmostEqual, 102*time.Millisecond, 2*time.Millisecond)
		So(passAtLimit(63), ShouldAlmostEqual, 96*time.Millisecond, 2*time.Millisecond)
	})
}

func TestPredictedFirstEvent(t *testing.T) {
	Convey("The time to the first event is predicted from the observed passes", t, func() {
		d := NewDispatcher(WarmUpLimit{Entries: 1})
		d.Configure(candidates(3, 12), topology.Service{Engine: engine()}, 120*time.Millisecond, start)
		unseen := d.Submit(ticket(1, start), 0, start)
		So(unseen.Verdict, ShouldEqual, Go)
		So(unseen.PredictedFirstEvent, ShouldAlmostEqual, 84*time.Millisecond, time.Millisecond) // 2.9 passes of 29 ms without work.
		now := start
		for range 100 {
			now = now.Add(10 * time.Millisecond)
			d.ObserveGap("s0", 60*time.Millisecond, now)
		}
		So(d.Submit(ticket(2, now), 0, now).PredictedFirstEvent, ShouldAlmostEqual, 174*time.Millisecond, time.Millisecond)
	})
}

func TestRequestsAreSpreadEvenly(t *testing.T) {
	Convey("Requests are spread evenly, counting those of other entries", t, func() {
		d := NewDispatcher(WarmUpLimit{Entries: 1})
		d.Configure(candidates(3, 12), topology.Service{Engine: engine()}, 120*time.Millisecond, start)
		d.Report("s0", Report{Queued: 0, Active: 4, Open: true}, start)
		d.Report("s1", Report{Queued: 0, Active: 0, Open: true}, start)
		d.Report("s2", Report{Queued: 0, Active: 0, Open: true}, start)
		random := rand.New(rand.NewPCG(1, 1))
		got := map[string]int{"s0": 4}
		for i := range 800 {
			id := d.Submit(ticket(uint64(i), start), random.Float64(), start).Server.ID
			got[id]++
			least, most := min(got["s0"], got["s1"], got["s2"]), max(got["s0"], got["s1"], got["s2"])
			if got["s1"]+got["s2"] >= 8 {
				So(most-least, ShouldBeLessThanOrEqualTo, 3)
			} else {
				So(id, ShouldNotEqual, "s0")
			}
			if i >= 8 {
				d.Done(id, Served, start)
				got[id]--
			}
		}
	})
	Convey("Ties are broken evenly across servers", t, func() {
		got := map[string]int{}
		for i := range 300 {
			d := plainDispatcher(3, 2)
			got[d.Submit(ticket(1, start), float64(i)/300, start).Server.ID]++
		}
		So(got, ShouldHaveLength, 3)
		for _, count := range got {
			So(count, ShouldBeBetween, 80, 120)
		}
	})
}

func TestLongPassesLowerTheLimit(t *testing.T) {
	Convey("Long passes lower the concurrency limit", t, func() {
		d := NewDispatcher(WarmUpLimit{Entries: 1})
		d.Configure(candidates(12, 12), topology.Service{Engine: engine()}, 120*time.Millisecond, start)
		now := start
		fill := func() int {
			placed := 0
			for i := range 200 {
				if d.Submit(ticket(uint64(1000+i), now), 0, now).Verdict != Go {
					break
				}
				placed++
			}
			return placed
		}
		for i := range 12 {
			d.Report(fmt.Sprint("s", i), Report{Queued: 0, Active: 5, Open: true}, now)
		}
		for range 50 {
			now = now.Add(10 * time.Millisecond)
			d.ObserveGap("s0", 150*time.Millisecond, now) // 60 requests with too much expert skew.
		}
		for i := range 12 {
			d.Report(fmt.Sprint("s", i), Report{Queued: 0, Active: 2, Open: true}, now)
		}
		// (0.85 * 120 - 29) ms are available at (150 - 29) / 60 ms per request.
		So(24+fill(), ShouldBeBetween, 30, 40)
	})
	Convey("A closed group gets no requests until it reports that it is open", t, func() {
		d := NewDispatcher(WarmUpLimit{Entries: 1})
		d.Configure(candidates(1, 12), topology.Service{Engine: engine()}, 120*time.Millisecond, start)
		d.Report("s0", Report{Queued: 0, Active: 0, Open: false}, start)
		So(d.Submit(ticket(1, start), 0, start).Verdict, ShouldEqual, Wait)
		d.Report("s0", Report{Queued: 0, Active: 0, Open: true}, start)
		So(d.DispatchQueued(noRandom, start)[0].Verdict, ShouldEqual, Go)
	})
}

func TestLateBacklogLeavesCapacity(t *testing.T) {
	Convey("A backlog of late requests leaves capacity to new requests", t, func() {
		d := NewDispatcher(WarmUpLimit{Entries: 1})
		d.Configure(candidates(12, 12), topology.Service{Engine: engine()}, 120*time.Millisecond, start)
		now := start
		for i := range 12 {
			d.Report(fmt.Sprint("s", i), Report{Open: false}, now)
		}
		for i := range 200 {
			d.Submit(ticket(uint64(i), now), 0, now)
		}
		later := now.Add(time.Second)
		for i := range 12 {
			d.Report(fmt.Sprint("s", i), Report{Open: true}, later)
		}
		placed := len(d.DispatchQueued(noRandom, later))
		So(placed, ShouldBeBetween, 20, 100)
		So(d.Submit(ticket(1000, later), 0, later).Verdict, ShouldEqual, Go)
	})
}

func TestClosedGroup(t *testing.T) {
	Convey("Given a group that refuses a request despite free slots", t, func() {
		d := NewDispatcher(WarmUpLimit{Entries: 1})
		d.Configure(candidates(4, 12), topology.Service{Engine: engine()}, 120*time.Millisecond, start)
		now := start
		first := d.Submit(ticket(0, now), 0, now)
		d.Done(first.Server.ID, Busy, now)
		for i := range 10 {
			So(d.Submit(ticket(uint64(i+1), now), 0, now).Verdict, ShouldEqual, Wait)
		}

		Convey("one request at a time probes whether it is open again", func() {
			later := now.Add(closedProbeInterval)
			So(d.DispatchQueued(noRandom, later), ShouldHaveLength, 1)
			So(d.DispatchQueued(noRandom, later.Add(closedProbeInterval)), ShouldBeEmpty)

			Convey("and all others are sent when it is", func() {
				d.Accepted("s0")
				So(d.DispatchQueued(noRandom, later), ShouldHaveLength, 9)
			})
			Convey("and a request that has probed does not probe again", func() {
				d.Done("s0", Busy, later)
				tried := ticket(0, now)
				tried.FoundClosed = true
				d.queue = append([]Ticket{tried}, d.queue...)
				decisions := d.DispatchQueued(noRandom, later.Add(closedProbeInterval))
				So(decisions, ShouldHaveLength, 1)
				So(decisions[0].Ticket, ShouldNotEqual, uint64(0))
			})
			Convey("and the next one probes when it isn't", func() {
				d.Done("s0", Busy, later)
				So(d.DispatchQueued(noRandom, later.Add(closedProbeInterval)), ShouldHaveLength, 1)
			})
		})
		Convey("all are sent at once when the reports say that it is open", func() {
			later := now.Add(closedProbeInterval)
			for i := range 4 {
				d.Report(fmt.Sprint("s", i), Report{Open: true}, later)
			}
			So(d.DispatchQueued(noRandom, later), ShouldHaveLength, 10)
		})
		Convey("requests that time out in the queue get a Retry-After", func() {
			for i := range 4 {
				d.Report(fmt.Sprint("s", i), Report{Open: false}, now.Add(1900*time.Millisecond))
			}
			decisions := d.DispatchQueued(noRandom, now.Add(1900*time.Millisecond))
			So(decisions, ShouldHaveLength, 10)
			for _, decision := range decisions {
				So(decision.Verdict, ShouldEqual, Refuse)
				So(decision.RetryAfter, ShouldEqual, closedRetryAfter)
			}
		})
	})
	Convey("A server replaced by another at its address gets no requests", t, func() {
		d := plainDispatcher(2, 100)
		d.Done("s0", Replaced, start)
		for i := range 10 {
			So(d.Submit(ticket(uint64(i), start), 0, start).Server.ID, ShouldEqual, "s1")
		}
	})
}

func TestSlowRankGetsWorkLast(t *testing.T) {
	Convey("Given a group with one rank three times as slow as normal", t, func() {
		d := NewDispatcher(WarmUpLimit{Entries: 1})
		d.Configure(candidates(12, 12), topology.Service{Engine: engine()}, 120*time.Millisecond, start)
		now := start
		for i := range 12 {
			pace := 1.0
			if i == 3 {
				pace = 3
			}
			d.Report(fmt.Sprint("s", i), Report{Open: true, Pace: pace}, now)
		}
		Convey("it gets work only when the others are full", func() {
			for i := range 60 {
				So(d.Submit(ticket(uint64(i), now), 0.3, now).Server.ID, ShouldNotEqual, "s3")
			}
		})
		Convey("streams are moved off that rank only, and off none when most ranks are slow", func() {
			So(d.ShouldMigrateStreams("s3", now), ShouldBeTrue)
			So(d.ShouldMigrateStreams("s4", now), ShouldBeFalse)
			for i := range 12 {
				d.Report(fmt.Sprint("s", i), Report{Open: true, Pace: 3}, now)
			}
			So(d.ShouldMigrateStreams("s3", now), ShouldBeFalse)
		})
		Convey("passes that are long only because of it do not lower the limit", func() {
			for range 50 {
				now = now.Add(10 * time.Millisecond)
				// 3 * 29 ms without work, and 12 ms for 40 requests.
				d.setInFlight(40, now)
				d.ObserveGap("s0", 99*time.Millisecond, now)
			}
			So(d.groups[""].pace.limit(12), ShouldBeGreaterThan, 40)
		})
	})
}

// setInFlight sets the reported load so that the group has total requests.
func (d *Dispatcher) setInFlight(total int, now time.Time) {
	for i, s := range d.servers {
		s.otherRequests, s.reportAt = total/len(d.servers), now
		if i < total%len(d.servers) {
			s.otherRequests++
		}
	}
}

func TestColdServerIsNotOverloaded(t *testing.T) {
	Convey("All entries together stay below the overload limit of a cold server", t, func() {
		const entries = 4
		warmUp := WarmUpLimit{OverloadFactor: 1.5, ExtraPerSecond: 5, Entries: entries}
		service := topology.Service{WarmUpPerSecond: 36}
		total := 0
		for range entries {
			d := NewDispatcher(warmUp)
			cold := candidates(1, 1000)
			d.Configure(cold, service, 0, start)
			for i := range 1000 {
				now := start.Add(time.Duration(i) * time.Millisecond / 2)
				if d.Submit(ticket(uint64(i), now), 0, now).Verdict == Go {
					total++
				}
			}
		}
		So(total, ShouldBeBetweenOrEqual, entries, 36*1.5+5)
	})
}

func TestColdServerIsNotOverloadedByManyEntries(t *testing.T) {
	Convey("Eighteen entries stay below the overload limit of one of 63 servers that turns cold unannounced", t, func() {
		total := 0
		for range 18 {
			d := NewDispatcher(WarmUpLimit{OverloadFactor: 1.5, ExtraPerSecond: 5, Entries: 8})
			d.Configure(candidates(63, 1000), topology.Service{WarmUpPerSecond: 26}, 0, start)
			d.Configure(candidates(1, 1000), topology.Service{WarmUpPerSecond: 26}, 0, start) // All others have left.
			for i := range 1000 {
				now := start.Add(time.Duration(i) * time.Millisecond / 2)
				if d.Submit(ticket(uint64(i), now), 0, now).Verdict == Go {
					total++
				}
			}
		}
		So(total, ShouldBeBetweenOrEqual, 18, 26*1.5+5)
	})
}

func TestFailingServerIsExcluded(t *testing.T) {
	Convey("Given a server that fails every request", t, func() {
		d := plainDispatcher(3, 100)
		now := start
		failures := 0
		for i := range 100 {
			now = now.Add(10 * time.Millisecond)
			id := d.Submit(ticket(uint64(i), now), float64(i*37%100)/100, now).Server.ID
			outcome := Served
			if id == "s0" {
				outcome = Failed
				failures++
			}
			d.Done(id, outcome, now)
		}
		Convey("it is excluded after a few failures and retried from time to time", func() {
			So(failures, ShouldBeBetweenOrEqual, 3, 8)
		})
	})
	Convey("Servers of a service that normally fails a seventh of its calls are not excluded", t, func() {
		d := plainDispatcher(3, 100)
		now, excluded := start, 0
		for i := range 3000 {
			now = now.Add(10 * time.Millisecond)
			id := d.Submit(ticket(uint64(i), now), float64(i*37%100)/100, now).Server.ID
			outcome := Served
			if i%7 == 0 {
				outcome = Failed
			}
			d.Done(id, outcome, now)
			for _, s := range d.servers {
				if s.health.excluded(now) {
					excluded++
				}
			}
		}
		So(excluded, ShouldBeLessThan, 3000*3/100)
	})
	Convey("An unreachable server is excluded at once", t, func() {
		d := plainDispatcher(2, 100)
		d.Done("s0", Unreachable, start)
		for i := range 10 {
			So(d.Submit(ticket(uint64(i), start), 0, start).Server.ID, ShouldEqual, "s1")
		}
	})
}

func TestUnlistedServerIsUsedLast(t *testing.T) {
	Convey("An unlisted server gets work only when no other has room", t, func() {
		d := NewDispatcher(WarmUpLimit{Entries: 1})
		list := candidates(2, 1)
		list[0].Unlisted = true
		d.Configure(list, topology.Service{}, 0, start)
		So(d.Submit(ticket(1, start), 0, start).Server.ID, ShouldEqual, "s1")
		So(d.Submit(ticket(2, start), 0, start).Server.ID, ShouldEqual, "s0")
	})
}
