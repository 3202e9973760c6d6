package mapcontrol

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/topology"
)

// groupEngine is the engine of a rank whose group can be changed.
type groupEngine struct {
	countingEngine
	state topology.RankState
}

func (e *groupEngine) Report(context.Context) (topology.RankState, error) { return e.state, nil }

func TestCallersOfOtherGroups(t *testing.T) {
	Convey("Given a rank of group g whose coordinator has fencing number 3", t, func() {
		engine := &groupEngine{state: topology.RankState{Group: "g", Open: true, Epoch: 1, Rank: 4, Size: 8}}
		rank := NewRank(engine, nil)
		var own ReadReply
		So(rank.Read(ReadArgs{Caller: Caller{Fence: 3, Group: "g"}}, &own), ShouldBeNil)
		calledAt := rank.lastCallAt

		Convey("a coordinator of another group learns the rank's group, and its call is not recorded", func() {
			var reply ReadReply
			So(rank.Read(ReadArgs{Caller: Caller{Fence: 900, Group: "h"}, Counts: true, Lists: true}, &reply), ShouldBeNil)
			So(reply.State.Group, ShouldEqual, "g")
			So(reply.Gains, ShouldBeNil)
			So(reply.Lists.Experts, ShouldBeNil)
			So(rank.lastCallAt, ShouldEqual, calledAt)
			So(rank.Read(ReadArgs{Caller: Caller{Fence: 3, Group: "g"}}, &reply), ShouldBeNil)
		})
		Convey("an order of another group's coordinator is refused", func() {
			var reply GiveReply
			err := rank.Give(GiveArgs{Caller: Caller{Fence: 900, Group: "h"}, Order: topology.Order{Kind: topology.Arm}}, &reply)
			So(errors.Is(err, errForeignGroup), ShouldBeTrue)
			So(engine.orders, ShouldEqual, 0)
		})
		Convey("a rank that joins another group accepts the lower fencing number of its coordinator", func() {
			engine.state.Group = "h"
			var reply ReadReply
			So(rank.Read(ReadArgs{Caller: Caller{Fence: 1, Group: "h"}}, &reply), ShouldBeNil)
			silence, fence := rank.sinceLastCall()
			So(fence, ShouldEqual, 1)
			So(silence, ShouldBeLessThan, coordinatorTimeout)
		})
	})
}

func TestSuccessorOfACoordinatorThatStopsDuringAHold(t *testing.T) {
	Convey("The agent whose rank holds a pass succeeds a silent coordinator long before the others, whatever its rank", t, func() {
		log := logrus.New()
		log.SetOutput(io.Discard)
		store := newLeaseStore()
		state := topology.RankState{Group: "g", Open: true, Epoch: 1, Rank: 11, Size: 12, Pass: 40, HeldPass: 41}
		agent := &Agent{
			InstanceName: "agent-11", Engine: &groupEngine{state: state}, Store: store,
			DirectEngine:   func(string) Engine { return &groupEngine{} },
			FollowTopology: func(ctx context.Context) { <-ctx.Done() },
			Members:        func() []Member { return nil },
			EngineModel:    func() *topology.Engine { return nil },
			Log:            logrus.NewEntry(log), Metrics: NewMetrics(prometheus.NewRegistry()),
		}
		agent.Prepare()
		var reply ReadReply
		So(agent.rank.Read(ReadArgs{Caller: Caller{Fence: 1, Group: "g"}}, &reply), ShouldBeNil)
		ctx, cancel := context.WithTimeout(t.Context(), 2*heldCoordinatorTimeout)
		defer cancel()
		agent.Run(ctx)
		So(store.acquisitions(), ShouldResemble, map[string]int{"g": 1})
		state.HeldPass = 0
		So(silenceLimit(state), ShouldBeGreaterThan, coordinatorTimeout)
	})
}

func TestGroupsKeepTheirCoordinators(t *testing.T) {
	Convey("Agents of three groups, started group by group, acquire one lease each while all is calm", t, func() {
		const groups, ranks, calm = 3, 4, 3 * time.Second
		log := logrus.New()
		log.SetOutput(io.Discard)
		store := newLeaseStore()
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		var members []Member
		var listeners []net.Listener
		for range groups * ranks {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			listeners = append(listeners, listener)
			members = append(members, Member{Server: listener.Addr().String(), Agent: listener.Addr().String()})
		}
		for i, listener := range listeners {
			state := topology.RankState{Group: fmt.Sprint("g-", i/ranks), Open: true, Epoch: 1, Rank: i % ranks, Size: ranks}
			agent := &Agent{
				InstanceName: fmt.Sprint("agent-", i), Engine: &groupEngine{state: state}, Store: store,
				DirectEngine:   func(string) Engine { return &groupEngine{} },
				FollowTopology: func(ctx context.Context) { <-ctx.Done() },
				Members:        func() []Member { return members },
				EngineModel:    func() *topology.Engine { return nil },
				Log:            logrus.NewEntry(log), Metrics: NewMetrics(prometheus.NewRegistry()),
			}
			agent.Prepare()
			running.Go(func() { _ = agent.Serve(listener) })
			running.Go(func() { agent.Run(ctx) })
			if i%ranks == ranks-1 {
				time.Sleep(rankStagger)
			}
		}
		time.Sleep(coordinatorTimeout + calm)
		cancel()
		for _, listener := range listeners {
			_ = listener.Close()
		}
		running.Wait()
		So(store.acquisitions(), ShouldResemble, map[string]int{"g-0": 1, "g-1": 1, "g-2": 1})
	})
}
