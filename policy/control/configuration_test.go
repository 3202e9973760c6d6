package control

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/admission"
	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/evidence"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/policy/view"
)

func snapshot(revision uint64, takenOut bool) *config.Snapshot {
	return &config.Snapshot{
		Revision:       revision,
		DataCentres:    map[string]config.DataCentre{"dc": {Name: "dc", TakenOut: takenOut}},
		BackendServers: map[string]config.BackendServer{"s": {Name: "s", DataCentre: "dc", Service: "x", FullLimit: 10, ColdLimit: 2}},
	}
}

func TestTakeOutAndReturn(t *testing.T) {
	Convey("Given the agent of a warm backend server", t, func() {
		now := time.Unix(1_000, 0)
		state := New(Self{ID: "a", DataCentre: "dc", BackendServer: "s"})
		ticket := uint64(0)
		step := func(event reduce.Event) []reduce.Effect {
			var effects []reduce.Effect
			state, effects = Step(state, reduce.Input{Now: now, Event: event})
			return effects
		}
		// ask requests a slot and returns the error if it was refused, or nil.
		ask := func() *result.Error {
			ticket++
			for _, effect := range step(admission.SlotRequested{Ticket: ticket, Org: "o", Deadline: now.Add(time.Minute)}) {
				if refusal, ok := effect.(admission.Refuse); ok && refusal.Ticket == ticket {
					return refusal.Err
				}
			}
			return nil
		}
		install := func(revision uint64, takenOut bool) {
			step(view.Fetched{Snapshot: snapshot(revision, takenOut)})
			step(view.StoreRead{Revision: revision, BeganAt: now})
		}
		install(1, false)
		for range 100 {
			So(ask(), ShouldBeNil)
			So(ask(), ShouldBeNil)
			step(admission.Released{Ticket: ticket - 1, Completed: true})
			step(admission.Released{Ticket: ticket, Completed: true})
		}
		So(state.Admission.Limit, ShouldBeGreaterThan, 2)

		Convey("it refuses work while taken out, and restarts with the cold limit when returned", func() {
			install(2, true)
			So(ask().Code, ShouldEqual, result.DataCentreOut)
			install(3, false)
			So(ask(), ShouldBeNil)
			So(state.Admission.Limit, ShouldEqual, 2)
		})

		Convey("it refuses a request that arrives when the evidence has expired", func() {
			now = now.Add(evidence.MaxStoreAge + time.Millisecond)
			So(ask().Code, ShouldEqual, result.StaleConfiguration)
		})
	})
}
