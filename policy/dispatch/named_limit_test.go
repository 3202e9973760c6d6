package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/topology"
)

// limitedFleet is entries before one service whose servers all name the same limit.
type limitedFleet struct {
	entries []*Dispatcher
	servers []topology.Candidate
	sent    map[string][]time.Time
	next    uint64
}

func newLimitedFleet(entries, servers int, perSecond float64) *limitedFleet {
	f := &limitedFleet{servers: candidates(servers, 12), sent: map[string][]time.Time{}}
	for i := range entries {
		d := NewDispatcher(WarmUpLimit{Entries: 8})
		d.turns = turnSeed(i)
		d.SetEntries(entries)
		d.Configure(f.servers, topology.Service{}, 0, start)
		for _, candidate := range f.servers {
			d.LimitNamed(candidate, &NamedLimit{perSecond}, true, start)
		}
		f.entries = append(f.entries, d)
	}
	return f
}

// submit lets a request arrive at an entry.
func (f *limitedFleet) submit(entry int, now time.Time) {
	f.next++
	random := float64(f.next%97) / 97
	d := f.entries[entry]
	decisions := append(d.DispatchQueued(func() float64 { return random }, now), d.Submit(ticket(f.next, now), random, now))
	for _, decision := range decisions {
		if decision.Verdict == Go {
			f.sent[decision.Server.ID] = append(f.sent[decision.Server.ID], now)
			d.Done(decision.Server.ID, Served, now)
		}
	}
}

// dispatchQueued lets all entries reconsider the requests that wait.
func (f *limitedFleet) dispatchQueued(now time.Time) {
	for _, d := range f.entries {
		if d.QueueLen() == 0 {
			continue
		}
		for _, decision := range d.DispatchQueued(func() float64 { return 0.3 }, now) {
			if decision.Verdict == Go {
				f.sent[decision.Server.ID] = append(f.sent[decision.Server.ID], now)
				d.Done(decision.Server.ID, Served, now)
			}
		}
	}
}

// highest returns the largest number of requests to one server in a window, and the
// number of all requests.
func (f *limitedFleet) highest(window time.Duration) (highest, total int) {
	for _, sent := range f.sent {
		total += len(sent)
		for i := range sent {
			n := i
			for n < len(sent) && sent[n].Sub(sent[i]) < window {
				n++
			}
			highest = max(highest, n-i)
		}
	}
	return highest, total
}

// Guards against sending a server more than the limit that it names, summed over all entries (LIMIT).
func TestEntriesShareNamedLimits(t *testing.T) {
	const (
		window  = 4 * time.Second
		minSent = 300 // Requests that the servers would take in the period.
		step    = 20 * time.Millisecond
		servers = 8
	)
	for _, entries := range []int{1, 4, 53, 330} {
		for _, perSecond := range []float64{0.4, 2.3, 15} {
			Convey(fmt.Sprintf("%d entries keep to a limit of %v a second and use a good part of it", entries, perSecond), t, func() {
				f := newLimitedFleet(entries, servers, perSecond)
				period := time.Duration(max(20, minSent/(servers*perSecond)) * float64(time.Second))
				for now := start; now.Before(start.Add(period)); now = now.Add(step) {
					// More than the servers take, wherever the limit is.
					for range 8 {
						f.submit(int(f.next*7919)%entries, now)
					}
					f.dispatchQueued(now)
				}
				highest, total := f.highest(window)
				t.Logf("%d entries, limit %v: at most %d in %v, %.2f of the limits used", entries, perSecond, highest, window, float64(total)/(servers*perSecond*period.Seconds()))
				So(float64(highest), ShouldBeLessThanOrEqualTo, 1.5*perSecond*window.Seconds()+5)
				So(float64(total), ShouldBeGreaterThan, 0.4*servers*perSecond*period.Seconds())
			})
		}
	}
	Convey("Entries that have sent nothing for long don't all send at once", t, func() {
		const perSecond = 2.3
		f := newLimitedFleet(330, 1, perSecond)
		for now := start.Add(time.Minute); now.Before(start.Add(time.Minute + window)); now = now.Add(step) {
			for entry := range f.entries {
				f.submit(entry, now)
			}
		}
		highest, _ := f.highest(window)
		So(float64(highest), ShouldBeLessThanOrEqualTo, 1.5*perSecond*window.Seconds()+5)
	})
	const period = 40 * time.Second
	Convey("An entry that has all the traffic keeps to its share, and gets more as others stop", t, func() {
		const perSecond = 8.0
		f := newLimitedFleet(4, 1, perSecond)
		run := func(from time.Time) int {
			f.sent = map[string][]time.Time{}
			for now := from; now.Before(from.Add(period)); now = now.Add(step) {
				f.submit(0, now)
			}
			_, total := f.highest(window)
			return total
		}
		So(run(start), ShouldBeBetween, int(0.8*perSecond/4*period.Seconds()), int(perSecond*period.Seconds()))
		f.entries[0].SetEntries(1)
		So(run(start.Add(period)), ShouldBeBetween, int(0.8*perSecond*period.Seconds()), int(1.5*perSecond*period.Seconds()))
	})
	Convey("Entries that come and go keep the sum below the limit as soon as the others know", t, func() {
		const perSecond = 2.3
		f := newLimitedFleet(12, 1, perSecond)
		running := 4
		for now := start; now.Before(start.Add(period)); now = now.Add(step) {
			if second := int(now.Sub(start).Seconds()); second%8 < 4 {
				running = 4
			} else {
				running = 12
			}
			for _, d := range f.entries {
				d.SetEntries(running)
			}
			for entry := range running {
				f.submit(entry, now)
			}
		}
		highest, _ := f.highest(window)
		So(float64(highest), ShouldBeLessThanOrEqualTo, 1.5*perSecond*window.Seconds()+5)
	})
}

func TestNamedLimitOfOneServer(t *testing.T) {
	// sends returns how many requests a single entry sends to a single server in 4 s.
	sends := func(d *Dispatcher, from time.Time) int {
		count := 0
		for now := from; now.Before(from.Add(4 * time.Second)); now = now.Add(10 * time.Millisecond) {
			if decision := d.Submit(ticket(1, now), 0, now); decision.Verdict == Go {
				count++
				d.Done(decision.Server.ID, Served, now)
			}
			d.queue = nil
		}
		return count
	}
	const unlimited = 400
	limit := func(perSecond float64) *NamedLimit { return &NamedLimit{perSecond} }
	Convey("Given an entry and a server that names a limit", t, func() {
		d := NewDispatcher(WarmUpLimit{Entries: 1})
		d.SetEntries(1)
		list := candidates(1, 12)
		d.Configure(list, topology.Service{}, 0, start)
		So(d.LimitNamed(list[0], limit(5), true, start), ShouldBeTrue)
		later := start.Add(time.Minute)

		Convey("it holds until an answer names none", func() {
			So(sends(d, start), ShouldBeBetween, 15, 26)
			So(d.LimitNamed(list[0], nil, true, later), ShouldBeTrue)
			So(sends(d, later), ShouldEqual, unlimited)
		})
		Convey("it follows a limit that falls or rises", func() {
			So(d.LimitNamed(list[0], limit(1), true, start), ShouldBeTrue)
			So(sends(d, start), ShouldBeBetween, 2, 6)
			So(d.LimitNamed(list[0], limit(20), true, later), ShouldBeTrue)
			So(sends(d, later), ShouldBeBetween, 60, 101)
		})
		Convey("an answer that may be old only lowers it", func() {
			So(d.LimitNamed(list[0], limit(9), false, start), ShouldBeFalse)
			So(d.LimitNamed(list[0], nil, false, start), ShouldBeFalse)
			So(d.LimitNamed(list[0], limit(2), false, start), ShouldBeTrue)
			So(sends(d, start), ShouldBeLessThan, 10)
		})
		Convey("a limit named again is not new, and gives nothing away", func() {
			for second := range 4 {
				So(d.LimitNamed(list[0], limit(5), true, start.Add(time.Duration(second)*time.Second)), ShouldBeFalse)
			}
			So(sends(d, start.Add(4*time.Second)), ShouldBeLessThan, 26)
		})
		Convey("a limit that changes with each answer starves nobody", func() {
			count := 0
			for now := start; now.Before(start.Add(4 * time.Second)); now = now.Add(10 * time.Millisecond) {
				d.LimitNamed(list[0], limit(5+float64(count%2)/10), true, now)
				if decision := d.Submit(ticket(1, now), 0, now); decision.Verdict == Go {
					count++
					d.Done(decision.Server.ID, Served, now)
				}
				d.queue = nil
			}
			So(count, ShouldBeBetween, 15, 26)
		})
		Convey("a limit of 0 leaves a request now and then, which tells when it ends", func() {
			d.LimitNamed(list[0], limit(0), true, start)
			total := 0
			for i := range 10 {
				total += sends(d, start.Add(time.Duration(4*i)*time.Second))
			}
			So(total, ShouldBeBetween, 1, 6)
		})
		Convey("an absurd limit limits nothing", func() {
			d.LimitNamed(list[0], limit(1e300), true, start)
			So(sends(d, later), ShouldEqual, unlimited)
		})
		Convey("it ends with the server's incarnation", func() {
			list[0].Born = 7
			d.Configure(list, topology.Service{}, 0, later)
			So(sends(d, later), ShouldEqual, unlimited)
		})
		Convey("another server at the address has none", func() {
			list[0].ID = "other"
			d.Configure(list, topology.Service{}, 0, later)
			So(sends(d, later), ShouldEqual, unlimited)
		})
		Convey("a caller beyond it is told when there will be room", func() {
			d.LimitNamed(list[0], limit(0.25), true, start)
			now := start.Add(time.Minute)
			So(d.Submit(ticket(1, now), 0, now).Verdict, ShouldEqual, Go)
			decision := d.Submit(ticket(2, now), 0, now)
			So(decision.Verdict, ShouldEqual, Refuse)
			So(decision.RetryAfter, ShouldBeBetween, 2*time.Second, 5*time.Second)
		})
	})
	Convey("Requests go to servers without a limit if those with one have had theirs", t, func() {
		d := NewDispatcher(WarmUpLimit{Entries: 1})
		d.SetEntries(1)
		list := candidates(3, 12)
		d.Configure(list, topology.Service{}, 0, start)
		d.LimitNamed(list[0], limit(1), true, start)
		d.LimitNamed(list[1], limit(1), true, start)
		So(sends(d, start), ShouldEqual, unlimited)
	})
}
