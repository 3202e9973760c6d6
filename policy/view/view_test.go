package view

import (
	"flag"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/reduce"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "500")
	os.Exit(m.Run())
}

// TestStepMachine applies events in any order, duplicated and delayed, and
// compares the state with the history of accepted revisions and their times of
// acceptance.
func TestStepMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000, 0)
		acceptedAt := []time.Time{now} // Indexed by revision, from 0.
		state := State{PollAfter: AgentPollAfter}
		outstanding := false
		highest := uint64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 3).Draw(t, "accept") == 0 {
				acceptedAt = append(acceptedAt, now)
			}
			newest := uint64(len(acceptedAt) - 1)
			event, installs := drawEvent(t, now, acceptedAt, outstanding)
			if _, done := event.(FetchDone); done {
				outstanding = false
			}
			before := state.Revision()
			var effects []reduce.Effect
			state, effects = Step(state, reduce.Input{Now: now, Random: rapid.Uint64().Draw(t, "random"), Event: event})
			for _, effect := range effects {
				if _, ok := effect.(Fetch); ok && outstanding {
					t.Fatal("second fetch requested while one is outstanding")
				} else if ok {
					outstanding = true
				}
			}
			highest = max(highest, installs)
			if state.Revision() < before || state.Revision() != highest {
				t.Fatalf("revision in force = %d after %d; highest received = %d", state.Revision(), before, highest)
			}
			if state.Revision() > 0 && state.Revision() < newest && state.CurrentAt.After(acceptedAt[state.Revision()+1]) {
				t.Fatalf("revision %d taken as the newest at %v, but the next one was accepted at %v", state.Revision(), state.CurrentAt, acceptedAt[state.Revision()+1])
			}
		}
	})
}

// drawEvent returns an event that a correct table service and correct peers could
// cause, possibly delayed, and the revision that it installs.
func drawEvent(t *rapid.T, now time.Time, acceptedAt []time.Time, outstanding bool) (reduce.Event, uint64) {
	revision := uint64(rapid.IntRange(0, len(acceptedAt)-1).Draw(t, "revision"))
	// at is a time at which the revision was the newest.
	from, until := acceptedAt[revision], now
	if int(revision)+1 < len(acceptedAt) {
		until = acceptedAt[revision+1]
	}
	at := from.Add(time.Duration(rapid.Int64Range(0, max(0, int64(until.Sub(from)))).Draw(t, "at")))
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return RevisionSeen{Revision: revision}, 0
	case 1:
		if revision > 0 {
			return Fetched{Snapshot: &config.Snapshot{Revision: revision}}, revision
		}
	case 2:
		return StoreRead{Revision: revision, BeganAt: at}, 0
	case 3:
		began := at.Add(time.Duration(rapid.Int64Range(0, int64(now.Sub(at))).Draw(t, "began")))
		return ExchangeAnswered{Revision: revision, BeganAt: began, Current: true, Age: began.Sub(at)}, 0
	case 4:
		if outstanding {
			return FetchDone{Failed: rapid.Bool().Draw(t, "failed")}, 0
		}
	}
	return reduce.Tick{}, 0
}

func TestPolling(t *testing.T) {
	Convey("Given an agent that knows that its configuration is current", t, func() {
		now := time.Unix(1_000, 0)
		state := State{PollAfter: AgentPollAfter}
		step := func(event reduce.Event) []reduce.Effect {
			var effects []reduce.Effect
			state, effects = Step(state, reduce.Input{Now: now, Event: event})
			return effects
		}
		step(reduce.Tick{})
		step(Fetched{Snapshot: &config.Snapshot{Revision: 1}})
		step(StoreRead{Revision: 1, BeganAt: now})
		step(FetchDone{})

		Convey("it does not read the store while peers confirm it", func() {
			for range 100 {
				now = now.Add(time.Second)
				So(step(ExchangeAnswered{Revision: 1, BeganAt: now, Current: true, Age: 1500 * time.Millisecond}), ShouldBeEmpty)
			}
		})
		Convey("it reads the store when no peer confirms it", func() {
			now = now.Add(AgentPollAfter)
			So(step(reduce.Tick{}), ShouldResemble, []reduce.Effect{Fetch{}})
		})
		Convey("it asks peers first when a peer has a newer revision", func() {
			now = now.Add(time.Second)
			So(step(RevisionSeen{Revision: 2}), ShouldResemble, []reduce.Effect{Fetch{PeersFirst: true}})
		})
		Convey("it backs off between failed fetches while it is behind", func() {
			fetches := 0
			step(RevisionSeen{Revision: 2})
			for range 600 {
				now = now.Add(100 * time.Millisecond)
				if len(step(reduce.Tick{})) > 0 || state.Fetching {
					fetches++
					step(FetchDone{Failed: true})
				}
			}
			So(fetches, ShouldBeBetween, 5, 40)
		})
	})
}
