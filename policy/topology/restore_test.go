package topology

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"persimmonwind.dev/policy/reduce"
)

// follower is a process that follows the model of a store.
type follower struct {
	state State
	now   time.Time
}

func newFollower() *follower {
	return &follower{state: New(), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
}

func (f *follower) handle(event reduce.Event) {
	f.state, _ = Step(f.state, reduce.Input{Now: f.now, Event: event})
}

// advance lets time pass, with the ticks that belong to it.
func (f *follower) advance(duration time.Duration) {
	for end := f.now.Add(duration); f.now.Before(end); {
		f.now = f.now.Add(100 * time.Millisecond)
		f.handle(reduce.Tick{})
	}
}

// candidates returns the IDs of the servers that may get work, without those that are a
// last resort.
func (f *follower) candidates() []string {
	var ids []string
	for _, candidate := range f.state.Snapshot(nil).Candidates("s") {
		if !candidate.Unlisted {
			ids = append(ids, candidate.ID)
		}
	}
	return ids
}

func runningServer(id string) Server {
	return Server{ID: id, Service: "s", Address: id + ":1", DataCentre: "dc", Slots: 1, Born: 7}
}

func leaving(s Server) Server {
	s.Leaving = true
	return s
}

func TestStoreRestoredFromAnOlderCopy(t *testing.T) {
	Convey("Given a process that follows a store with three servers", t, func() {
		f := newFollower()
		f.handle(ServersListed{Servers: []Server{runningServer("a"), runningServer("b"), runningServer("c")}})

		Convey("a server that the copy lacks gets work until it has written its row again", func() {
			f.handle(ServersListed{Servers: []Server{runningServer("a")}, Restored: true})
			So(f.candidates(), ShouldResemble, []string{"a", "b", "c"})
			f.advance(2 * time.Second)
			f.handle(ServerRead{Server: runningServer("b")})
			f.advance(2 * serverRestoreGrace)
			So(f.candidates(), ShouldResemble, []string{"a", "b"})
		})
		Convey("a server that was leaving gets nothing although the copy says that it is ready", func() {
			f.handle(ServerRead{Server: leaving(runningServer("b"))})
			f.handle(ServersListed{Servers: []Server{runningServer("a"), runningServer("b"), runningServer("c")}, Restored: true})
			So(f.candidates(), ShouldResemble, []string{"a", "c"})
			Convey("but a new incarnation with its id does", func() {
				restarted := runningServer("b")
				restarted.Born++
				f.handle(ServerRead{Server: restarted})
				So(f.candidates(), ShouldResemble, []string{"a", "b", "c"})
			})
		})
		Convey("a server that had gone gets nothing although the copy still lists it", func() {
			f.handle(ServerRead{Server: leaving(runningServer("b"))})
			f.handle(ServerGone{ID: "b"})
			f.handle(ServerGone{ID: "c"})
			f.advance(3 * unlistedGrace)
			f.handle(ServersListed{Servers: []Server{runningServer("a"), runningServer("b"), runningServer("c")}, Restored: true})
			So(f.candidates(), ShouldResemble, []string{"a"})
		})
		Convey("an earlier incarnation that the copy lists does not replace the one that runs", func() {
			restarted := runningServer("b")
			restarted.Born++
			f.handle(ServerRead{Server: restarted})
			f.handle(ServersListed{Servers: []Server{runningServer("a"), leaving(runningServer("b")), runningServer("c")}, Restored: true})
			So(f.candidates(), ShouldResemble, []string{"a", "b", "c"})
		})
		Convey("of two servers at one address, the one listed in the later era is used", func() {
			old, reused := runningServer("a"), runningServer("d")
			old.Revision, old.Era = 900, 1
			reused.Address, reused.Revision, reused.Era = old.Address, 40, 2
			f.handle(ServersListed{Servers: []Server{old}})
			f.handle(ServersListed{Servers: []Server{reused}, Restored: true})
			So(f.candidates(), ShouldResemble, []string{"d"})
		})
	})
	Convey("Given a data centre that is taken out", t, func() {
		f := newFollower()
		f.handle(ServersListed{Servers: []Server{runningServer("a")}})
		f.handle(DataCentreRead{DataCentre: "dc", TakenOut: true})
		Convey("it stays out if the copy lacks the order, which is written again", func() {
			f.handle(TakenOutDataCentresListed{Restored: true})
			So(f.candidates(), ShouldBeEmpty)
			f.advance(restoreGrace / 2)
			f.handle(DataCentreRead{DataCentre: "dc", TakenOut: true})
			f.advance(2 * restoreGrace)
			So(f.candidates(), ShouldBeEmpty)
		})
		Convey("it returns after the grace period if the order is not written again", func() {
			f.handle(TakenOutDataCentresListed{Restored: true})
			f.handle(TakenOutDataCentresListed{}) // A later list, for another reason.
			So(f.candidates(), ShouldBeEmpty)
			f.advance(2 * restoreGrace)
			So(f.candidates(), ShouldResemble, []string{"a"})
		})
		Convey("it returns at once if an operator returns it", func() {
			f.handle(TakenOutDataCentresListed{Restored: true})
			f.handle(DataCentreRead{DataCentre: "dc"})
			So(f.candidates(), ShouldResemble, []string{"a"})
		})
	})
	Convey("A configuration of the copy does not replace a later one", t, func() {
		f := newFollower()
		f.handle(ConfigurationRead{Config: &Configuration{Version: 9}})
		f.handle(ConfigurationRead{Config: &Configuration{Version: 5}})
		So(f.state.Config.Version, ShouldEqual, 9)
	})
}

// modelStore is a store whose writers write again what a restore has lost.
type modelStore struct {
	servers  map[string]Server
	takenOut map[string]bool
}

func (m modelStore) copy() modelStore {
	return modelStore{servers: maps.Clone(m.servers), takenOut: maps.Clone(m.takenOut)}
}

func TestAnyRestore(t *testing.T) {
	Convey("Whenever the store is restored, nothing acknowledged is given up meanwhile, and a process agrees with the store in the end", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			f, starts := newFollower(), int64(0)
			truth := modelStore{servers: map[string]Server{}, takenOut: map[string]bool{}}
			copies := []modelStore{truth.copy()}
			list := func(of modelStore, restored bool) {
				f.handle(ServersListed{Servers: slices.Collect(maps.Values(of.servers)), Restored: restored})
				f.handle(TakenOutDataCentresListed{DataCentres: slices.Collect(maps.Keys(of.takenOut)), Restored: restored})
			}
			list(truth, false)
			for range rapid.IntRange(1, 25).Draw(t, "steps") {
				id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server")
				known, exists := truth.servers[id]
				switch rapid.SampledFrom([]string{"start", "leave", "end", "take out", "return", "copy", "restore", "wait"}).Draw(t, "step") {
				case "start":
					if !exists {
						started := runningServer(id)
						starts++
						started.Born = starts
						truth.servers[id] = started
						f.handle(ServerRead{Server: started})
					}
				case "leave":
					if exists {
						truth.servers[id] = leaving(known)
						f.handle(ServerRead{Server: truth.servers[id]})
					}
				case "end":
					if exists && known.Leaving {
						delete(truth.servers, id)
						f.handle(ServerGone{ID: id})
					}
				case "take out":
					truth.takenOut["dc"] = true
					f.handle(DataCentreRead{DataCentre: "dc", TakenOut: true})
				case "return":
					delete(truth.takenOut, "dc")
					f.handle(DataCentreRead{DataCentre: "dc"})
				case "copy":
					copies = append(copies, truth.copy())
				case "restore":
					older := rapid.SampledFrom(copies).Draw(t, "older")
					copies = []modelStore{truth.copy()}
					list(older, true)
					checkNothingGivenUp(t, f, truth)
					f.advance(time.Duration(rapid.IntRange(0, 20).Draw(t, "until written again")) * 100 * time.Millisecond)
					checkNothingGivenUp(t, f, truth)
					rewrite(f, older, truth)
				case "wait":
					f.advance(time.Duration(rapid.IntRange(0, 30).Draw(t, "wait")) * 100 * time.Millisecond)
				}
				checkNothingGivenUp(t, f, truth)
			}
			f.advance(2 * restoreGrace)
			var want []string
			for id, s := range truth.servers {
				if !s.Leaving && !truth.takenOut["dc"] {
					want = append(want, id)
				}
			}
			slices.Sort(want)
			if got := f.candidates(); fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("candidates %v, in the store %v", got, want)
			}
		})
	})
}

// rewrite is what writers and operators do after a restore: they write again what the
// older copy lacks, and remove again what it should not have.
func rewrite(f *follower, older, truth modelStore) {
	for id, s := range truth.servers {
		if older.servers[id] != s {
			f.handle(ServerRead{Server: s})
		}
	}
	for id := range older.servers {
		if _, exists := truth.servers[id]; !exists {
			f.handle(ServerGone{ID: id})
		}
	}
	if older.takenOut["dc"] != truth.takenOut["dc"] {
		f.handle(DataCentreRead{DataCentre: "dc", TakenOut: truth.takenOut["dc"]})
	}
}

// checkNothingGivenUp checks that servers which leave or have left get no work, that a
// data centre that is taken out gets none, and that no server in service is dropped.
func checkNothingGivenUp(t *rapid.T, f *follower, truth modelStore) {
	candidates := f.candidates()
	for _, id := range candidates {
		known, exists := truth.servers[id]
		if truth.takenOut["dc"] {
			t.Fatalf("%s of a data centre that is taken out gets work", id)
		}
		// A server that has just gone without notice may still get work; here all leave
		// before they go.
		if !exists || known.Leaving {
			t.Fatalf("%s gets work although it leaves or has left", id)
		}
	}
	if f.state.TakenOut["dc"] {
		return
	}
	for id, s := range truth.servers {
		if !s.Leaving && !slices.Contains(candidates, id) {
			t.Fatalf("%s gets no work although it is in service", id)
		}
	}
}
