package mapcontrol

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/election"
)

// Guards against a lease whose fencing number is that of a provisional coordinator, or
// not above every number that the agent's rank has seen or that an earlier lease had.
func TestLeaseNumberCoincidesWithAProvisionalOne(t *testing.T) {
	Convey("Whatever numbers a rank has seen, a lease's number is even, higher than them, and higher in later eras", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			store := newLeaseStore()
			agent := &Agent{InstanceName: "a", Store: store}
			latest := uint64(0)
			for range rapid.IntRange(1, 10).Draw(t, "acquisitions") {
				if rapid.IntRange(0, 2).Draw(t, "restored") == 0 {
					store.rows, store.era = map[string]platform.Row{}, store.era+1
				}
				seen := rapid.SampledFrom([]uint64{0, latest, election.NextNumber(latest), latest + 7}).Draw(t, "seen")
				fence, _, err := agent.acquireFence(t.Context(), "g", seen)
				if err != nil {
					t.Fatal(err)
				}
				if election.IsProvisional(fence) || fence <= seen || fence <= latest {
					t.Fatalf("number %d after lease %d and seen number %d", fence, latest, seen)
				}
				latest = fence
			}
		})
	})
	Convey("The rows of leases are as before: a row with the number 5 is followed by 6, whose holder has number 12", t, func() {
		store := newLeaseStore()
		value, err := json.Marshal(map[string]any{"holder": "b", "fence": 5, "taken_ms": 1})
		So(err, ShouldBeNil)
		_, err = store.Create(t.Context(), platform.Row{Key: leaseKey("g", 5), Value: value})
		So(err, ShouldBeNil)
		fence, _, err := (&Agent{InstanceName: "a", Store: store}).acquireFence(t.Context(), "g", 0)
		So(err, ShouldBeNil)
		So(fence, ShouldEqual, 12)
		var stored leaseRow
		So(json.Unmarshal(store.rows[leaseKey("g", 6)].Value, &stored), ShouldBeNil)
		So(stored, ShouldResemble, leaseRow{Holder: "a", Fence: 6, TakenMS: time.Hour.Milliseconds()})
	})
	Convey("Voters accept the numbers that follow a lease of era 2^21-1", t, func() {
		store := newLeaseStore()
		store.era = 1<<21 - 1
		fence, _, err := (&Agent{InstanceName: "a", Store: store}).acquireFence(t.Context(), "g", 0)
		So(err, ShouldBeNil)
		So(election.NextNumber(fence), ShouldBeLessThan, election.MaxNumber)
	})
}
