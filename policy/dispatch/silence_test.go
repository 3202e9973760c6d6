package dispatch

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/topology"
)

// pass is the time between two events of a stream in these tests.
const pass = 80 * time.Millisecond

// streamingDispatcher returns the dispatcher of an engine service with one stream
// at each server.
func streamingDispatcher(servers int) *Dispatcher {
	d := NewDispatcher(WarmUpLimit{Entries: 1})
	d.Configure(candidates(servers, 12), topology.Service{Engine: engine()}, 120*time.Millisecond, start)
	for _, server := range d.servers {
		server.requestSent(start)
	}
	return d
}

// sendEvents lets the servers send an event in each pass for the given time, and
// returns the servers that FindSilent has reported and the time at the end.
func sendEvents(d *Dispatcher, from time.Time, lasting time.Duration, servers ...string) (silent []string, now time.Time) {
	for now = from; now.Sub(from) < lasting; now = now.Add(pass) {
		for _, id := range servers {
			d.ObserveEvent(id, now)
		}
		silent = append(silent, d.FindSilent(now)...)
	}
	return silent, now
}

func TestOneSilentServer(t *testing.T) {
	Convey("Given a group in which every server sends events", t, func() {
		d := streamingDispatcher(3)
		silent, now := sendEvents(d, start, 2*time.Second, "s0", "s1", "s2")
		So(silent, ShouldBeEmpty)

		Convey("a server that stops sending events while the others send them is reported once", func() {
			silent, now = sendEvents(d, now, silenceTimeout+3*pass, "s0", "s2")
			So(silent, ShouldResemble, []string{"s1"})
			Convey("and gets no new requests for a while", func() {
				for i := range 4 {
					decision := d.Submit(ticket(uint64(i), now), float64(i)/4, now)
					So(decision.Verdict, ShouldEqual, Go)
					So(decision.Server.ID, ShouldNotEqual, "s1")
				}
			})
			Convey("and is tried again after its exclusion", func() {
				d.Done("s1", CallerLeft, now)
				_, now = sendEvents(d, now, initialExclusion, "s0", "s2")
				So(d.byID["s1"].health.excluded(now), ShouldBeFalse)
				Convey("with one request until it sends an event", func() {
					tried := func() (tried int) {
						for i := range 8 {
							if d.Submit(ticket(uint64(i), now), float64(i)/8, now).Server.ID == "s1" {
								tried++
							}
						}
						return tried
					}
					So(tried(), ShouldEqual, 1)
					So(tried(), ShouldEqual, 0)
					d.ObserveEvent("s1", now)
					So(d.hasRoom(d.byID["s1"], now), ShouldBeTrue)
				})
			})
		})
		Convey("a server that sends reports is not silent, however long its prompts wait to be read", func() {
			for range 20 {
				d.Report("s1", Report{Queued: 1, Open: true}, now)
				silent, now = sendEvents(d, now, 2*pass, "s0", "s2")
				So(silent, ShouldBeEmpty)
			}
		})
		Convey("no server is silent while the whole group is stalled", func() {
			silent, _ = sendEvents(d, now, 3*time.Second)
			So(silent, ShouldBeEmpty)
		})
		Convey("a group that resumes after a stall gets time to send events", func() {
			_, now = sendEvents(d, now, 3*time.Second)
			d.ObserveEvent("s0", now)
			So(d.FindSilent(now), ShouldBeEmpty)
			silent, _ = sendEvents(d, now.Add(pass), 2*time.Second, "s0", "s1", "s2")
			So(silent, ShouldBeEmpty)
		})
		Convey("a server without requests of this entry is not silent", func() {
			d.Done("s1", Served, now)
			silent, now = sendEvents(d, now, 2*time.Second, "s0", "s2")
			So(silent, ShouldBeEmpty)
			Convey("and its next request gets the full time to its first event", func() {
				d.byID["s1"].requestSent(now)
				silent, _ = sendEvents(d, now, firstEventSilenceTimeout-pass, "s0", "s2")
				So(silent, ShouldBeEmpty)
			})
		})
	})
	Convey("Servers of a plain service are never silent, as calls may take any time", t, func() {
		d := plainDispatcher(2, 4)
		d.byID["s0"].requestSent(start)
		d.byID["s1"].requestSent(start)
		silent, _ := sendEvents(d, start, 3*time.Second, "s0")
		So(silent, ShouldBeEmpty)
	})
}
