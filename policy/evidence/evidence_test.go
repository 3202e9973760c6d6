package evidence

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/policy/view"
)

var start = time.Unix(1_000, 0)

func known(currentAt time.Time) view.State {
	return view.State{
		CurrentAt: currentAt,
		InForce: &config.Snapshot{Revision: 5, DataCentres: map[string]config.DataCentre{
			"a": {Name: "a"}, "b": {Name: "b"}, "c": {Name: "c", TakenOut: true},
		}},
	}
}

func TestPermission(t *testing.T) {
	Convey("Given an agent in data centre a with the default rules", t, func() {
		state := State{Policy: DefaultPolicy}
		now := start
		knows := known(start)
		meet := func(dataCentre string, revision uint64, started bool) {
			event := view.ExchangeAnswered{DataCentre: dataCentre, Revision: revision, BeganAt: now, Started: started}
			state, _ = Step(state, knows, reduce.Input{Now: now, Event: event})
		}
		permitted := func() bool { return state.CheckNewWork(knows, "a", now) == nil }

		Convey("a recent read of the store permits work, an old one does not", func() {
			now = start.Add(MaxStoreAge)
			So(permitted(), ShouldBeTrue)
			now = now.Add(time.Millisecond)
			So(permitted(), ShouldBeFalse)
			So(state.CheckNewWork(knows, "a", now).Code, ShouldEqual, result.StaleConfiguration)
		})

		Convey("contact in every data centre that is not taken out permits work", func() {
			now = start.Add(time.Minute)
			meet("a", 5, true)
			So(permitted(), ShouldBeFalse)
			meet("b", 4, true)
			So(permitted(), ShouldBeTrue)
			now = now.Add(MaxContactAge + time.Millisecond)
			So(permitted(), ShouldBeFalse)
		})

		Convey("who does not count as a witness", func() {
			now = start.Add(time.Minute)
			meet("a", 5, true)
			for _, c := range []struct {
				what     string
				revision uint64
				started  bool
			}{
				{"a process that knows something newer", 6, true},
				{"a process without a configuration", 0, true},
				{"a process that has just started", 5, false},
			} {
				Convey(c.what, func() {
					meet("b", c.revision, c.started)
					So(permitted(), ShouldBeFalse)
				})
			}
		})

		Convey("an answer that waited while the process was frozen is as old as its question", func() {
			now = start.Add(time.Minute)
			meet("a", 5, true)
			meet("b", 5, true)
			now = now.Add(time.Hour)
			So(permitted(), ShouldBeFalse)
		})

		Convey("contacts don't help one who knows that it is behind", func() {
			now = start.Add(time.Minute)
			meet("a", 5, true)
			meet("b", 5, true)
			knows.RevisionSeen = 6
			So(permitted(), ShouldBeFalse)
		})
	})
}

func TestStartUpBit(t *testing.T) {
	Convey("Evidence from before the start does not set the bit", t, func() {
		state := State{Policy: DefaultPolicy}
		state, _ = Step(state, known(start.Add(-time.Second)), reduce.Input{Now: start, Event: reduce.Tick{}})
		So(state.Started, ShouldBeFalse)
		state, _ = Step(state, known(start.Add(time.Second)), reduce.Input{Now: start.Add(time.Second), Event: reduce.Tick{}})
		So(state.Started, ShouldBeTrue)
	})
}

func TestWhomToAsk(t *testing.T) {
	Convey("One peer is asked each second, one in each data centre in doubt", t, func() {
		ask := func(age time.Duration) []reduce.Effect {
			_, effects := Step(State{Policy: DefaultPolicy}, known(start.Add(-age)), reduce.Input{Now: start, Event: reduce.Tick{}})
			return effects
		}
		So(ask(time.Second), ShouldResemble, []reduce.Effect{AskPeers{}})
		So(ask(time.Minute), ShouldResemble, []reduce.Effect{AskPeers{DataCentres: []string{"a", "b"}}})
	})
}
