package lease_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"persimmonwind.dev/policy/lease"
	"persimmonwind.dev/policy/reduce"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.checks", "500")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// tableRow models the row in the table service.
type tableRow struct {
	lease.Row
	version uint64
}

// write applies the write if the row still has the required version. It returns the
// event that tells the candidate the result.
func (r *tableRow) write(effect lease.WriteRow) reduce.Event {
	if r.version != effect.IfVersion {
		return lease.WriteConflict{}
	}
	r.Row, r.version = effect.Row, r.version+1
	return lease.RowWritten{Row: r.Row, Version: r.version}
}

// stepCandidate applies the input to the candidate's state and executes the
// effects; each reply is lost with a probability of 1/4.
func stepCandidate(t *rapid.T, table *tableRow, state lease.State, input reduce.Input) lease.State {
	state, effects := lease.Step(state, input)
	for _, effect := range effects {
		lost := rapid.IntRange(0, 3).Draw(t, "lost") == 0
		var answer reduce.Event = lease.RowRead{Row: table.Row, Version: table.version}
		if write, ok := effect.(lease.WriteRow); ok {
			answer = table.write(write)
		}
		if lost {
			answer = lease.RowAccessFailed{}
		}
		input.Event, input.Random = answer, rapid.Uint64Min(1).Draw(t, "random")
		state = stepCandidate(t, table, state, input)
	}
	return state
}

func TestFencingNumbersAreUnique(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &tableRow{}
		states := []lease.State{{Self: "a"}, {Self: "b"}, {Self: "c"}}
		holders := map[uint64]string{}
		now := time.Unix(0, 0)
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
			index := rapid.IntRange(0, len(states)-1).Draw(t, "candidate")
			state := stepCandidate(t, table, states[index], reduce.Input{Now: now, Event: reduce.Tick{}})
			states[index] = state
			if !state.IsHolder {
				continue
			}
			if before, ok := holders[state.Fence]; ok && before != state.Self {
				t.Fatalf("fencing number %d is held by %q and %q", state.Fence, before, state.Self)
			}
			holders[state.Fence] = state.Self
		}
	})
}
