package topology

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"persimmonwind.dev/policy/reduce"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// applyEvents applies the events in order, one millisecond apart.
func applyEvents(s State, now *time.Time, events ...reduce.Event) State {
	for _, event := range events {
		*now = now.Add(time.Millisecond)
		s, _ = Step(s, reduce.Input{Now: *now, Event: event})
	}
	return s
}

// server returns a backend server of the service llm in data centre a.
func server(id string) Server {
	return Server{ID: id, Service: "llm", Address: id + ":1", DataCentre: "a", Slots: 2}
}

// candidateIDs returns the IDs of the servers that may receive new work.
func candidateIDs(s State) []string {
	var ids []string
	for _, candidate := range s.Snapshot(nil).Candidates("llm") {
		ids = append(ids, candidate.ID)
	}
	return ids
}

func TestConfiguration(t *testing.T) {
	Convey("A lower version is never installed", t, func() {
		now := start
		s := applyEvents(New(), &now, ConfigurationRead{Config: &Configuration{Version: 7}}, ConfigurationRead{Config: &Configuration{Version: 3}})
		So(s.Config.Version, ShouldEqual, 7)
	})
	Convey("A row that can't be decoded changes nothing", t, func() {
		now := start
		s := applyEvents(New(), &now, ConfigurationRead{Config: &Configuration{Version: 7}}, ConfigurationRead{})
		So(s.Config.Version, ShouldEqual, 7)
	})
	Convey("The version in force never decreases, whatever is read", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			now, s := start, New()
			highest := int64(0)
			for _, version := range rapid.SliceOf(rapid.Int64Range(1, 20)).Draw(t, "versions") {
				s = applyEvents(s, &now, ConfigurationRead{Config: &Configuration{Version: version}})
				highest = max(highest, version)
				if s.Config.Version != highest {
					t.Fatalf("version %d in force, %d was read", s.Config.Version, highest)
				}
			}
		})
	})
}

func TestServers(t *testing.T) {
	Convey("Given three listed servers", t, func() {
		now := start
		s := applyEvents(New(), &now, ServersListed{Servers: []Server{server("x"), server("y"), server("z")}})
		So(candidateIDs(s), ShouldResemble, []string{"x", "y", "z"})

		Convey("a server that is leaving gets no new work but stays listed", func() {
			leaving := server("y")
			leaving.Leaving = true
			s = applyEvents(s, &now, ServerRead{Server: leaving})
			So(candidateIDs(s), ShouldResemble, []string{"x", "z"})
			So(s.Snapshot(nil).ListedServers("llm"), ShouldHaveLength, 3)
		})
		Convey("a server whose row disappears without notice is a last resort, and is dropped before 2 s", func() {
			s = applyEvents(s, &now, ServerGone{ID: "y"})
			So(s.Snapshot(nil).Candidates("llm")[1].Unlisted, ShouldBeTrue)
			now = now.Add(1900 * time.Millisecond)
			s = applyEvents(s, &now, reduce.Tick{})
			So(candidateIDs(s), ShouldResemble, []string{"x", "z"})
		})
		Convey("a server whose row is back within the grace period stays", func() {
			s = applyEvents(s, &now, ServerGone{ID: "y"}, ServerRead{Server: server("y")})
			now = now.Add(5 * time.Second)
			s = applyEvents(s, &now, reduce.Tick{})
			So(candidateIDs(s), ShouldResemble, []string{"x", "y", "z"})
		})
		Convey("servers whose rows expired in an outage are kept for a grace period after the store recovers", func() {
			lostSince := now
			storeReturn := now.Add(700 * time.Millisecond)
			s = applyEvents(s, &now, StoreLost{Watch: "servers"})
			now = storeReturn.Add(100 * time.Millisecond)
			s = applyEvents(s, &now, StoreRegained{Watch: "servers", LostSince: lostSince}, ServersListed{LostSince: lostSince})
			now = storeReturn.Add(2 * time.Second)
			s = applyEvents(s, &now, reduce.Tick{})
			So(candidateIDs(s), ShouldHaveLength, 3)
			now = lostSince.Add(2900 * time.Millisecond)
			s = applyEvents(s, &now, reduce.Tick{})
			So(candidateIDs(s), ShouldBeEmpty)
		})
		Convey("servers whose rows were removed in an outage that was noticed late are dropped at once", func() {
			lostSince := now
			now = now.Add(2900 * time.Millisecond)
			s = applyEvents(s, &now, StoreRegained{Watch: "servers", LostSince: lostSince}, ServerGone{ID: "y", LostSince: lostSince}, reduce.Tick{})
			So(candidateIDs(s), ShouldResemble, []string{"x", "z"})
			s = applyEvents(s, &now, ServerGone{ID: "x"}, reduce.Tick{})
			So(candidateIDs(s), ShouldResemble, []string{"x", "z"})
		})
		Convey("no server in a data centre that is taken out gets work until the data centre is returned", func() {
			s = applyEvents(s, &now, DataCentreRead{DataCentre: "a", TakenOut: true})
			So(candidateIDs(s), ShouldBeEmpty)
			s = applyEvents(s, &now, TakenOutDataCentresListed{})
			So(candidateIDs(s), ShouldHaveLength, 3)
		})
		Convey("a server whose address belongs to a newer server is left out", func() {
			successor := server("w")
			successor.Address, successor.Revision = "y:1", 9
			s = applyEvents(s, &now, ServerRead{Server: successor})
			So(candidateIDs(s), ShouldResemble, []string{"w", "x", "z"})
		})
		Convey("a snapshot does not change when the state does", func() {
			before := s.Snapshot(nil)
			leaving := server("y")
			leaving.Leaving = true
			applyEvents(s, &now, ServerRead{Server: leaving})
			So(before.Candidates("llm"), ShouldHaveLength, 3)
		})
	})
}

func TestRoute(t *testing.T) {
	config := &Configuration{
		Version:  1,
		Services: map[string]Service{},
		Routes: []Route{
			{Name: "short", Host: "h", Prefix: "/a/"},
			{Name: "long", Host: "h", Prefix: "/a/b/"},
			{Name: "other", Host: "i", Prefix: "/a/"},
		},
	}
	now := start
	snapshot := applyEvents(New(), &now, ConfigurationRead{Config: config}).Snapshot(nil)
	Convey("The longest prefix of the host's routes is taken", t, func() {
		for _, c := range []struct{ host, path, want string }{
			{"h", "/a/x", "short"}, {"h", "/a/b/x", "long"}, {"h", "/a/b", "short"},
			{"H", "/a/b/%2f", "long"}, {"h:80", "/a/b//", "long"}, {"i", "/a/b/x", "other"},
			{"h", "/b/", ""}, {"j", "/a/", ""}, {"h", "/a", ""},
		} {
			route := snapshot.Route(c.host, c.path)
			name := ""
			if route != nil {
				name = route.Name
			}
			So(name, ShouldEqual, c.want)
		}
	})
	Convey("A route with several targets is split by their weights", t, func() {
		route := Route{Targets: []Target{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}}}
		So(route.PickService(0), ShouldEqual, "x")
		So(route.PickService(0.89), ShouldEqual, "x")
		So(route.PickService(0.91), ShouldEqual, "y")
		So(route.PickService(0.999999), ShouldEqual, "y")
	})
}

// Guards against opening routes to everybody, or to callers without a key, as something of
// the organisations is empty.
func TestKeys(t *testing.T) {
	now := start
	install := func(s State, config Configuration) (State, *Snapshot) {
		s = applyEvents(s, &now, ServersListed{}, ConfigurationRead{Config: &config})
		return s, s.Snapshot(nil)
	}
	organisation := func(name string, keys ...string) Organisation { return Organisation{Name: name, Keys: keys} }
	Convey("Callers need keys unless organisations are not configured at all", t, func() {
		for _, organisations := range [][]Organisation{nil, {}, {organisation("a")}, {organisation("a", "k")}} {
			_, snapshot := install(New(), Configuration{Version: 1, Organisations: organisations})
			So(snapshot.RequiresKeys(), ShouldBeTrue)
		}
		_, snapshot := install(New(), Configuration{Version: 1, AnonymousCallers: true})
		So(snapshot.RequiresKeys(), ShouldBeFalse)
	})
	Convey("The organisations of an earlier version have no keys in a later one without them", t, func() {
		s, before := install(New(), Configuration{Version: 1, Organisations: []Organisation{organisation("a", "k")}})
		So(before.Organisation("k"), ShouldNotBeNil)
		s = applyEvents(s, &now, ConfigurationRead{Config: &Configuration{Version: 2, Organisations: []Organisation{}}})
		after := s.Snapshot(before)
		So(after.RequiresKeys(), ShouldBeTrue)
		So(after.Organisation("k"), ShouldBeNil)
		So(before.Organisation("k"), ShouldNotBeNil)
	})
	Convey("An empty key and the keys of an organisation without a name are nobody's", t, func() {
		_, snapshot := install(New(), Configuration{Version: 1, Organisations: []Organisation{organisation("a", "", "k"), organisation("", "l")}})
		So(snapshot.Organisation(""), ShouldBeNil)
		So(snapshot.Organisation("l"), ShouldBeNil)
		So(snapshot.Organisation("k").Name, ShouldEqual, "a")
	})
	Convey("A configuration that can't be read changes nothing, and before the first one there is none", t, func() {
		s, _ := install(New(), Configuration{Version: 1})
		s = applyEvents(s, &now, ConfigurationRead{})
		So(s.Snapshot(nil).RequiresKeys(), ShouldBeTrue)
		s = applyEvents(New(), &now, ServersListed{}, ConfigurationRead{})
		So(s.Snapshot(nil).Ready, ShouldBeFalse)
	})
}
