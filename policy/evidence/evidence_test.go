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

func TestCheckNewWork(t *testing.T) {
	Convey("Given an agent in data centre a with the default rules", t, func() {
		state := State{Policy: DefaultPolicy}
		now := start
		viewState := known(start)
		exchange := func(dataCentre string, revision uint64, started bool) {
			event := view.ExchangeAnswered{DataCentre: dataCentre, Revision: revision, BeganAt: now, Started: started}
			state, _ = Step(state, viewState, reduce.Input{Now: now, Event: event})
		}
		permitted := func() bool { return state.CheckNewWork(viewState, "a", now) == nil }

		Convey("a recent read of the store permits work, an old one does not", func() {
			now = start.Add(MaxStoreAge)
			So(permitted(), ShouldBeTrue)
			now = now.Add(time.Millisecond)
			So(permitted(), ShouldBeFalse)
			So(state.CheckNewWork(viewState, "a", now).Code, ShouldEqual, result.StaleConfiguration)
		})

		Convey("contact in every data centre that is not taken out permits work", func() {
			now = start.Add(time.Minute)
			exchange("a", 5, true)
			So(permitted(), ShouldBeFalse)
			exchange("b", 4, true)
			So(permitted(), ShouldBeTrue)
			now = now.Add(MaxContactAge + time.Millisecond)
			So(permitted(), ShouldBeFalse)
		})

		Convey("an answer is no evidence if it comes from", func() {
			now = start.Add(time.Minute)
			exchange("a", 5, true)
			for _, c := range []struct {
				name     string
				revision uint64
				started  bool
			}{
				{"a process with a newer revision", 6, true},
				{"a process without a configuration", 0, true},
				{"a process that has not passed its start-up check", 5, false},
			} {
				Convey(c.name, func() {
					exchange("b", c.revision, c.started)
					So(permitted(), ShouldBeFalse)
				})
			}
		})

		Convey("a contact is as old as its request, also if the process was paused before it read the answer", func() {
			now = start.Add(time.Minute)
			exchange("a", 5, true)
			exchange("b", 5, true)
			now = now.Add(time.Hour)
			So(permitted(), ShouldBeFalse)
		})

		Convey("contacts are no evidence for a process that knows of a newer revision", func() {
			now = start.Add(time.Minute)
			exchange("a", 5, true)
			exchange("b", 5, true)
			viewState.RevisionSeen = 6
			So(permitted(), ShouldBeFalse)
		})
	})
}

func TestStartedOnlyAfterReadSinceBoot(t *testing.T) {
	Convey("A read of the store from before the start does not set Started", t, func() {
		state := State{Policy: DefaultPolicy}
		state, _ = Step(state, known(start.Add(-time.Second)), reduce.Input{Now: start, Event: reduce.Tick{}})
		So(state.Started, ShouldBeFalse)
		state, _ = Step(state, known(start.Add(time.Second)), reduce.Input{Now: start.Add(time.Second), Event: reduce.Tick{}})
		So(state.Started, ShouldBeTrue)
	})
}

func TestAskPeersInEveryDataCentreWhenReadIsOld(t *testing.T) {
	Convey("One peer is asked each second, or one in every data centre when the newest read is old", t, func() {
		ask := func(age time.Duration) []reduce.Effect {
			_, effects := Step(State{Policy: DefaultPolicy}, known(start.Add(-age)), reduce.Input{Now: start, Event: reduce.Tick{}})
			return effects
		}
		So(ask(time.Second), ShouldResemble, []reduce.Effect{AskPeers{}})
		So(ask(time.Minute), ShouldResemble, []reduce.Effect{AskPeers{DataCentres: []string{"a", "b"}}})
	})
}
