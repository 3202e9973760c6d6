package once

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/result"
)

// runAgent feeds the events to an agent's state machine and returns all its
// effects.
func runAgent(events ...reduce.Event) []reduce.Effect {
	machine, effect := NewAgent(0, "body", Execution{Nonce: "1"})
	effects := []reduce.Effect{effect}
	for _, event := range events {
		machine, effect = machine.Step(event)
		effects = append(effects, effect)
	}
	return effects
}

func TestStartAfterDeadlineIsReleased(t *testing.T) {
	started := Row{State: Started, Fingerprint: "body", Execution: Execution{Nonce: "1"}}
	freed := WriteRow{Version: 1, Row: Row{State: Cancelled, Epoch: 1, Fingerprint: "body"}}
	Convey("Given an execution whose start becomes known after the deadline", t, func() {
		for _, events := range [][]reduce.Event{
			{WriteSucceeded{Late: true}, RowRead{Row: started, Version: 1}, WriteSucceeded{}},
			{WriteUnknown{}, RowRead{Row: started, Version: 1, Late: true}, RowRead{Row: started, Version: 1}, WriteSucceeded{}},
		} {
			effects := runAgent(events...)
			So(effects, ShouldNotContain, CallBackend{})
			So(effects, ShouldContain, freed)
			So(effects[len(effects)-1], ShouldResemble, Refuse{Code: result.Cancelled})
		}
	})
}

func TestBudgetBoundsAllEntriesCombined(t *testing.T) {
	Convey("Given any number of entries that refuse requests continuously for 20 s", t, func() {
		const seconds, attemptsPerSecond = 20, 200
		for _, entries := range []int{1, 3, 330} {
			budgets := make([]CancelBudget, entries)
			taken := 0
			now := time.Unix(0, 0)
			for range seconds * attemptsPerSecond {
				now = now.Add(time.Second / attemptsPerSecond)
				for index := range budgets {
					var allowed bool
					budgets[index], allowed = budgets[index].Take(now, entries)
					if allowed {
						taken++
					}
				}
			}
			maxTaken := finalCancelsPerSecond*seconds + finalCancelBurst*entries
			So(taken, ShouldBeLessThanOrEqualTo, maxTaken)
			So(taken, ShouldBeGreaterThan, maxTaken*9/10)
		}
	})
}
