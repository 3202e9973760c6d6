package node

import (
	"context"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/view"
	"persimmonwind.dev/server/upstream/upstreamtest"
)

// inForceEverywhere is the time within which an accepted change must be in force in all
// processes at the size to design for.
const inForceEverywhere = 9 * time.Second

// Guards against waits after an outage of the store that add up beyond the time within which
// a change must be in force: time-outs of the store and of silent peers, and the delay.
func TestConfigurationAfterAnOutage(t *testing.T) {
	snapshot := func(revision uint64) *config.Snapshot { return &config.Snapshot{Revision: revision} }
	for _, pollAfter := range []time.Duration{view.EntryPollAfter, view.AgentPollAfter} {
		for _, behind := range []bool{false, true} {
			for seed := range uint64(400) {
				random := rand.New(rand.NewPCG(seed, 1))
				start := time.Unix(0, 0)
				outageEnd := start.Add(time.Duration(random.Int64N(int64(40 * time.Second))))
				state := view.State{InForce: snapshot(1), RevisionSeen: 1, CurrentAt: start, PollAfter: pollAfter}
				if behind {
					state.RevisionSeen = 2
				}
				var fetchEnd time.Time // When the fetch under way ends; zero for none.
				var began time.Time
				installedAt := time.Time{}
				for now := start; installedAt.IsZero() && now.Before(outageEnd.Add(time.Minute)); now = now.Add(tickInterval) {
					events := []reduce.Event{reduce.Tick{}}
					if !fetchEnd.IsZero() && !now.Before(fetchEnd) {
						fetchEnd = time.Time{}
						if failed := began.Before(outageEnd); failed {
							events = append(events, view.FetchDone{Failed: true})
						} else {
							events = append(events, view.Fetched{Snapshot: snapshot(2)}, view.FetchDone{})
							installedAt = now
						}
					}
					for _, event := range events {
						var effects []reduce.Effect
						state, effects = view.Step(state, reduce.Input{Event: event, Now: now, Random: random.Uint64()})
						for _, effect := range effects {
							if _, ok := effect.(view.Fetch); ok {
								// The peers are silent too, before or after the store is asked.
								began = now
								if behind {
									began = now.Add(peerFetchTimeout)
								}
								fetchEnd = began
								if began.Before(outageEnd) {
									fetchEnd = now.Add(storeTimeout + peerFetchTimeout)
								}
							}
						}
					}
				}
				if took := installedAt.Sub(outageEnd); installedAt.IsZero() || took > inForceEverywhere {
					t.Fatalf("seed %d, newer revision known %t: in force %v after the store's return", seed, behind, took)
				}
			}
		}
	}
}

// Guards against a process that reads the instance list no more, as the answer to one of its
// reads has been lost: the read had no time-out.
func TestInstanceListAfterALostAnswer(t *testing.T) {
	Convey("After a read without an answer, the next one is made within the time of a change", t, func() {
		var answers atomic.Bool
		store := upstreamtest.NewRawServer(func(r upstreamtest.Request) bool {
			const list = `[{"id":"other","role":"agent"}]`
			if answers.Swap(true) {
				r.Send("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
			}
			return true
		})
		defer store.Stop()
		log := logrus.New()
		log.SetOutput(io.Discard)
		n := New(Options{StoreURL: "http://" + store.Address(), Log: logrus.NewEntry(log)})
		ctx, cancel := context.WithTimeout(context.Background(), 2*inForceEverywhere)
		defer cancel()
		started := time.Now()
		n.readInstances(ctx)
		So(n.Instances(), ShouldBeEmpty)
		n.readInstances(ctx)
		So(n.Instances(), ShouldHaveLength, 1)
		So(time.Since(started)+instancesInterval, ShouldBeLessThan, inForceEverywhere)
	})
}
