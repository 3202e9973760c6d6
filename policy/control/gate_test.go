package control

import (
	"testing"
	"time"

	"persimmonwind.dev/policy/admission"
	"persimmonwind.dev/policy/evidence"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/policy/view"
)

// Work that was queued while new work was permitted is refused as soon as new work
// is no longer permitted, even if a slot becomes free at the same time.
func TestQueuedWorkIsRefusedOnceTheGateCloses(t *testing.T) {
	const running, queued = 1, 3 // The cold limit is 2.
	cases := map[string]struct {
		close func(step func(reduce.Event) []reduce.Effect, pass func(time.Duration)) []reduce.Effect
		code  result.Code
	}{
		"leaving": {func(step func(reduce.Event) []reduce.Effect, _ func(time.Duration)) []reduce.Effect {
			return step(Leave{})
		}, result.Leaving},
		"taken out": {func(step func(reduce.Event) []reduce.Effect, _ func(time.Duration)) []reduce.Effect {
			return step(view.Fetched{Snapshot: snapshot(2, true)})
		}, result.DataCentreOut},
		"no evidence": {func(step func(reduce.Event) []reduce.Effect, pass func(time.Duration)) []reduce.Effect {
			pass(time.Second + time.Millisecond)
			return step(admission.Released{Ticket: running, Completed: true})
		}, result.StaleConfiguration},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_000, 0)
			state := New(Self{ID: "a", DataCentre: "dc", BackendServer: "s"})
			step := func(event reduce.Event) []reduce.Effect {
				var effects []reduce.Effect
				state, effects = Step(state, reduce.Input{Now: now, Event: event})
				return effects
			}
			step(view.Fetched{Snapshot: snapshot(1, false)})
			step(view.StoreRead{Revision: 1, BeganAt: now})
			now = now.Add(evidence.MaxStoreAge - time.Second)
			for ticket := uint64(running); ticket <= queued; ticket++ {
				step(admission.SlotRequested{Ticket: ticket, Org: "o", Deadline: now.Add(time.Minute)})
			}
			effects := c.close(step, func(d time.Duration) { now = now.Add(d) })
			effects = append(effects, step(admission.Released{Ticket: running, Completed: true})...)
			refused := false
			for _, effect := range effects {
				switch effect := effect.(type) {
				case admission.Admit:
					t.Errorf("ticket %d was admitted", effect.Ticket)
				case admission.Refuse:
					refused = refused || effect.Ticket == queued && effect.Err.Code == c.code
				}
			}
			if !refused {
				t.Errorf("ticket %d was not refused with code %d", queued, c.code)
			}
		})
	}
}
