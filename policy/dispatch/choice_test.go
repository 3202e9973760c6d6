package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/topology"
)

// busyGroup simulates a group of engines to which several entries send requests.
// The load reports that the entries use are up to reportEvery old.
type busyGroup struct {
	entries  []*Dispatcher
	active   []int         // Number of requests in flight, by server.
	endTimes [][]time.Time // When the streams in flight end, by server.
	arrivals [][]time.Time // When requests arrived, by server.
	random   *rand.Rand
}

const (
	reportEvery       = 100 * time.Millisecond
	groupPassDuration = 70 * time.Millisecond
	streamDuration    = 1600 * time.Millisecond
)

func newBusyGroup(entries, servers int) *busyGroup {
	g := &busyGroup{
		active: make([]int, servers), endTimes: make([][]time.Time, servers), arrivals: make([][]time.Time, servers),
		random: rand.New(rand.NewPCG(1, 2)),
	}
	for range entries {
		d := NewDispatcher(WarmUpLimit{Entries: entries})
		d.Configure(candidates(servers, 10), topology.Service{Engine: engine()}, 120*time.Millisecond, start)
		g.entries = append(g.entries, d)
	}
	return g
}

// report passes the load of all servers to all entries.
func (g *busyGroup) report(now time.Time) {
	for server := range g.active {
		for _, d := range g.entries {
			d.Report(fmt.Sprint("s", server), Report{Active: g.active[server], Open: true}, now)
		}
	}
}

// endStreams ends the streams whose end time has passed. The slot of each is released
// at the first entry that has a request at the server.
func (g *busyGroup) endStreams(now time.Time) {
	for server := range g.endTimes {
		for len(g.endTimes[server]) > 0 && !g.endTimes[server][0].After(now) {
			g.endTimes[server] = g.endTimes[server][1:]
			g.active[server]--
			id := fmt.Sprint("s", server)
			for _, d := range g.entries {
				if d.byID[id].ownRequests > 0 {
					d.Done(id, Served, now)
					break
				}
			}
		}
	}
}

// crowded returns the share of requests that reached a server within one pass of
// at least three others.
func (g *busyGroup) crowded() float64 {
	crowded, all := 0, 0
	for _, arrivals := range g.arrivals {
		for _, at := range arrivals {
			others := -1
			for _, other := range arrivals {
				if distance := at.Sub(other); distance > -groupPassDuration/2 && distance < groupPassDuration/2 {
					others++
				}
			}
			all++
			if others >= 3 {
				crowded++
			}
		}
	}
	return float64(crowded) / float64(all)
}

func TestStaleReportsDoNotCrowdOneServer(t *testing.T) {
	sizes := map[string]struct{ entries, servers, perSecond int }{
		"today":        {4, 12, 57},
		"after growth": {12, 63, 240},
	}
	for name, size := range sizes {
		Convey("Entries with load reports one pass old don't overload one server: "+name, t, func() {
			g := newBusyGroup(size.entries, size.servers)
			now := start
			const seconds = 20
			for i := range seconds * size.perSecond {
				now = now.Add(time.Second / time.Duration(size.perSecond))
				g.endStreams(now)
				if i%max(1, size.perSecond/int(time.Second/reportEvery)) == 0 {
					g.report(now)
				}
				decision := g.entries[g.random.IntN(size.entries)].Submit(ticket(uint64(i), now), g.random.Float64(), now)
				if decision.Verdict != Go {
					continue
				}
				var server int
				_, err := fmt.Sscanf(decision.Server.ID, "s%d", &server)
				So(err, ShouldBeNil)
				g.active[server]++
				g.endTimes[server] = append(g.endTimes[server], now.Add(streamDuration))
				g.arrivals[server] = append(g.arrivals[server], now)
			}
			// A server reads about three prompts of the usual length in one pass.
			So(g.crowded(), ShouldBeLessThan, 0.02)
		})
	}
}
