package mapcontrol

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/election"
	"persimmonwind.dev/policy/mapswitch"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/rpc"
)

// coordinatorTarget is the time within which a group must have a coordinator while only
// the table of leases is unreachable.
const coordinatorTarget = time.Second

// engineReportTime is how long an engine takes for a report to the agent beside it.
const engineReportTime = 2 * time.Millisecond

// votingEngine is the engine of one rank. Its group can be changed while agents run.
type votingEngine struct {
	countingEngine
	mu      sync.Mutex
	state   topology.RankState
	reading *atomic.Int32 // Reports that are being read at all engines of the test.
	most    *atomic.Int32 // The highest value of reading.
}

func (e *votingEngine) Report(context.Context) (topology.RankState, error) {
	reading := e.reading.Add(1)
	defer e.reading.Add(-1)
	for most := e.most.Load(); reading > most && !e.most.CompareAndSwap(most, reading); most = e.most.Load() {
	}
	time.Sleep(engineReportTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

// resettingStore is a store whose table of leases can be made unreachable.
type resettingStore struct {
	*leaseStore
	unreachable atomic.Bool
}

func (s *resettingStore) ListPrefix(ctx context.Context, table, prefix string) (platform.Rows, error) {
	if s.unreachable.Load() {
		return platform.Rows{}, errors.New("connection reset by peer")
	}
	return s.leaseStore.ListPrefix(ctx, table, prefix)
}

// votingGroup is a group of real agents with fake engines and a store.
type votingGroup struct {
	store     *resettingStore
	engines   []*votingEngine
	agents    []*Agent
	members   []Member
	listeners []*stoppableListener
	competing atomic.Bool
	following atomic.Int32 // Agents that follow the topology.
	most      atomic.Int32
	t         *testing.T
}

// newVotingGroup serves the calls to the agents of a group that is forming.
func newVotingGroup(t *testing.T, ranks int) *votingGroup {
	g := &votingGroup{store: &resettingStore{leaseStore: newLeaseStore()}, t: t}
	g.store.unreachable.Store(true)
	g.competing.Store(true)
	var reading atomic.Int32
	for rank := range ranks {
		state := topology.RankState{Group: "g", Epoch: 1, Rank: rank, Size: ranks}
		g.engines = append(g.engines, &votingEngine{state: state, reading: &reading, most: &g.most})
		g.agents, g.listeners, g.members = append(g.agents, nil), append(g.listeners, nil), append(g.members, Member{})
		g.start(rank, "127.0.0.1:0")
	}
	g.observeAll()
	return g
}

// start starts the agent of the rank and serves calls to it.
func (g *votingGroup) start(rank int, address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		g.t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	agent := &Agent{
		InstanceName: fmt.Sprint("agent-", rank), Engine: g.engines[rank], Store: g.store,
		DirectEngine:   func(string) Engine { return g.engines[rank] },
		FollowTopology: func(ctx context.Context) { g.following.Add(1); <-ctx.Done(); g.following.Add(-1) },
		Members:        func() []Member { return g.members },
		EngineModel:    func() *topology.Engine { return &topology.Engine{} },
		ClassAware:     g.competing.Load,
		Log:            logrus.NewEntry(log), Metrics: NewMetrics(prometheus.NewRegistry()),
	}
	agent.Prepare()
	stoppable := &stoppableListener{Listener: listener}
	go func() { _ = agent.Serve(stoppable) }()
	g.t.Cleanup(func() { stoppable.stop(); agent.peers.Close() })
	g.agents[rank], g.listeners[rank] = agent, stoppable
	g.members[rank] = Member{Server: listener.Addr().String(), Agent: listener.Addr().String()}
}

// restart ends the agent of the rank and starts another one.
func (g *votingGroup) restart(rank int) {
	g.listeners[rank].stop()
	g.start(rank, g.members[rank].Agent)
}

// observeAll lets every agent read its engine.
func (g *votingGroup) observeAll() {
	for rank, agent := range g.agents {
		state, _ := g.engines[rank].Report(g.t.Context())
		agent.rank.observeEpoch(state)
	}
}

// open lets the group take work in the epoch.
func (g *votingGroup) open(epoch int64) {
	for _, engine := range g.engines {
		engine.mu.Lock()
		engine.state.Epoch, engine.state.Open = epoch, true
		engine.mu.Unlock()
	}
}

// run runs the agents until the returned function is called.
func (g *votingGroup) run() (stop func()) {
	ctx, cancel := context.WithCancel(g.t.Context())
	var running sync.WaitGroup
	for _, agent := range g.agents {
		running.Go(func() { agent.Run(ctx) })
	}
	return func() { cancel(); running.Wait() }
}

// coordinator returns the fencing number of the coordinator that has called all agents
// since the time; ok is false if none has.
func (g *votingGroup) coordinator(since time.Time) (fence uint64, ok bool) {
	for rank, agent := range g.agents {
		agent.rank.mu.Lock()
		number, calledAt := agent.rank.fence, agent.rank.lastCallAt
		agent.rank.mu.Unlock()
		if !calledAt.After(since) || rank > 0 && number != fence {
			return 0, false
		}
		fence = number
	}
	return fence, true
}

// await returns the fencing number of a coordinator that fits, and the time until it has
// called all agents, at most the limit.
func (g *votingGroup) await(limit time.Duration, fits func(fence uint64) bool) (uint64, time.Duration) {
	start := time.Now()
	for time.Since(start) < limit {
		if fence, ok := g.coordinator(start); ok && fits(fence) {
			return fence, time.Since(start)
		}
		time.Sleep(time.Millisecond)
	}
	return 0, limit
}

// stand runs a candidacy of the rank's agent in the epoch, in which it reaches only some
// ranks.
func (g *votingGroup) stand(rank int, reached ...int) election.Candidate {
	var members []Member
	for _, other := range reached {
		members = append(members, g.members[other])
	}
	state, _ := g.engines[rank].Report(g.t.Context())
	return g.agents[rank].collectVotes(g.t.Context(), state, members)
}

func TestGroupWithoutCoordinatorWhileLeasesAreUnreachable(t *testing.T) {
	Convey("Given a group that opens while every call to the table of leases is reset", t, func() {
		g := newVotingGroup(t, 5)
		g.open(1)
		Convey("it gets a provisional coordinator within the target, which a later lease replaces", func() {
			stop := g.run()
			defer stop()
			provisional, after := g.await(3*coordinatorTarget, election.IsProvisional)
			t.Logf("provisional coordinator %d after %v", provisional, after)
			So(provisional, ShouldBeGreaterThan, 0)
			So(after, ShouldBeLessThan, coordinatorTarget)
			g.store.unreachable.Store(false)
			lease, after := g.await(3*coordinatorTarget, func(fence uint64) bool { return !election.IsProvisional(fence) })
			t.Logf("lease %d after %v", lease, after)
			So(lease, ShouldBeGreaterThan, provisional)
			So(after, ShouldBeLessThan, coordinatorTarget)
			So(g.following.Load(), ShouldEqual, 1)
			So(g.store.acquisitions(), ShouldResemble, map[string]int{"g": 1})
		})
		Convey("a provisional coordinator does not go on in the next epoch, which elects another one", func() {
			stop := g.run()
			defer stop()
			first, _ := g.await(3*coordinatorTarget, election.IsProvisional)
			So(first, ShouldBeGreaterThan, 0)
			g.open(2)
			second, _ := g.await(3*coordinatorTarget, func(fence uint64) bool { return fence > first })
			So(election.IsProvisional(second), ShouldBeTrue)
		})
		Convey("it gets none, and nobody follows the topology, if the service's routes don't compete", func() {
			g.competing.Store(false)
			stop := g.run()
			defer stop()
			provisional, _ := g.await(coordinatorTarget+leaseRetryInterval, election.IsProvisional)
			So(provisional, ShouldEqual, 0)
			So(g.following.Load(), ShouldEqual, 0)
			fence, _ := g.coordinator(time.Time{})
			So(fence, ShouldEqual, 0)
		})
	})
}

func TestAgentRestartedBetweenTwoVotes(t *testing.T) {
	Convey("Given a candidate elected by two of three ranks, one of whose agents restarts", t, func() {
		g := newVotingGroup(t, 3)
		g.open(1)
		first := g.stand(0, 1)
		So(first.Phase, ShouldEqual, election.Elected)
		So(first.Number, ShouldEqual, 1)
		g.restart(1)
		Convey("a candidate that reaches only the restarted agent is not elected in that epoch", func() {
			So(g.stand(2, 1, 2).Phase, ShouldEqual, election.Defeated)
			So(g.stand(2, 1, 2).Phase, ShouldEqual, election.Defeated)
		})
		Convey("one that reaches the first candidate uses a higher number", func() {
			second := g.stand(2, 0, 1, 2)
			So(second.Phase, ShouldEqual, election.Elected)
			So(second.Number, ShouldEqual, 3)
			err := g.agents[0].rank.Read(ReadArgs{Caller: Caller{Fence: first.Number, Group: "g"}}, &ReadReply{})
			So(errors.Is(err, errFenced), ShouldBeTrue)
		})
		Convey("the restarted agent votes in the next epoch", func() {
			g.observeAll()
			g.open(2)
			So(g.stand(2, 1).Phase, ShouldEqual, election.Elected)
		})
	})
}

func TestCandidatesThatStandAtOnce(t *testing.T) {
	Convey("Given five agents that are candidates at the same time, again and again", t, func() {
		g := newVotingGroup(t, 5)
		g.open(1)
		const rounds = 10
		var mu sync.Mutex
		winners := map[uint64]int{}
		for range rounds {
			var standing sync.WaitGroup
			for rank := range g.agents {
				standing.Go(func() {
					if result := g.stand(rank, 0, 1, 2, 3, 4); result.Phase == election.Elected {
						mu.Lock()
						defer mu.Unlock()
						winners[result.Number]++
					}
				})
			}
			standing.Wait()
		}
		Convey("some are elected, each under a number of its own", func() {
			So(winners, ShouldNotBeEmpty)
			for number, count := range winners {
				So(count, ShouldEqual, 1)
				So(election.IsProvisional(number), ShouldBeTrue)
			}
		})
	})
}

// Guards against a provisional coordinator that takes the epoch of the first report that
// it reads for the one in which it was elected.
func TestCoordinatorElectedInAnEarlierEpoch(t *testing.T) {
	Convey("A provisional coordinator whose group is already in the next epoch ends before it gives an order", t, func() {
		g := newVotingGroup(t, 3)
		g.open(2)
		for range 20 {
			c := g.agents[0].newCoordinator("g", 1)
			electedIn := int64(1)
			c.electedIn = &electedIn
			ctx, cancel := context.WithTimeout(t.Context(), 3*readInterval)
			c.run(ctx, 0)
			So(ctx.Err(), ShouldBeNil)
			cancel()
		}
		for _, engine := range g.engines {
			So(engine.orders, ShouldEqual, 0)
		}
	})
}

// Guards against agents that flood each other with requests for votes while none of them
// can be elected.
func TestCandidatesThatNobodyCanElect(t *testing.T) {
	Convey("Given a group whose agents have all started in the open epoch", t, func() {
		g := newVotingGroup(t, 3)
		g.open(1)
		for rank := range g.agents {
			g.restart(rank)
		}
		agent := g.agents[0]
		agent.rank.lastCallAt = time.Now().Add(-time.Minute)
		stand := func() int {
			state, _ := g.engines[0].Report(t.Context())
			before := agent.candidate.defeats
			agent.standForElection(t.Context(), state, errors.New("connection reset by peer"))
			return agent.candidate.defeats - before
		}
		Convey("a candidate retries once, and then after growing delays", func() {
			So([]int{stand(), stand(), stand()}, ShouldResemble, []int{1, 1, 0})
			for defeats := range 20 {
				So(candidacyDelay(defeats), ShouldBeLessThanOrEqualTo, maxCandidacyDelay)
				So(candidacyDelay(defeats+1), ShouldBeGreaterThan, candidacyDelay(defeats)/2)
			}
			So(candidacyDelay(20), ShouldBeGreaterThan, maxCandidacyDelay/2)
		})
		Convey("the next epoch elects one at once", func() {
			So([]int{stand(), stand(), stand()}, ShouldResemble, []int{1, 1, 0})
			g.observeAll()
			g.open(2)
			So(g.stand(0, 0, 1, 2).Phase, ShouldEqual, election.Elected)
		})
	})
}

// oldRank is the receiver of an agent that does not know elections.
type oldRank struct{}

func (oldRank) Read(ReadArgs, *ReadReply) error { return nil }

func TestAgentsThatCannotVote(t *testing.T) {
	Convey("Given a group of 129 ranks", t, func() {
		const ranks = 129
		g := newVotingGroup(t, ranks)
		g.open(1)
		all := make([]int, ranks)
		for rank := range all {
			all[rank] = rank
		}
		elect := func() time.Duration {
			start := time.Now()
			result := g.stand(0, all...)
			after := time.Since(start)
			t.Logf("number %d, %d votes after %v", result.Number, result.Votes(), after)
			So(result.Phase, ShouldEqual, election.Elected)
			return after
		}
		// The target less the silence after which an agent becomes a candidate.
		const target = coordinatorTarget - coordinatorTimeout
		Convey("a candidate is elected in time and asks a limited number of agents at once", func() {
			g.most.Store(0)
			So(elect(), ShouldBeLessThan, target)
			So(g.most.Load(), ShouldBeLessThanOrEqualTo, maxVoteCalls)
		})
		Convey("also while the 21 agents of a data centre don't answer", func() {
			silent, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer func() { _ = silent.Close() }()
			for rank := 20; rank <= 40; rank++ {
				g.members[rank].Agent = silent.Addr().String()
			}
			So(elect(), ShouldBeLessThan, target)
		})
		Convey("agents of another group don't vote and are asked last afterwards", func() {
			for _, engine := range g.engines[:70] {
				engine.mu.Lock()
				engine.state.Group = "h"
				engine.mu.Unlock()
			}
			result := g.stand(128, all...)
			So(result.Phase, ShouldEqual, election.Defeated)
			So(result.Votes(), ShouldEqual, 59)
			ordered := g.agents[128].candidate.order(g.members)
			So(ordered[:59], ShouldNotContain, g.members[0])
			So(ordered[59:], ShouldNotContain, g.members[128])
		})
		Convey("an agent that does not know elections counts as no vote, and nobody is elected beside it", func() {
			old, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer func() { _ = old.Close() }()
			go func() { _ = rpc.Serve(old, map[string]any{receiverName: oldRank{}}, g.agents[0].Log) }()
			g.members[7].Agent = old.Addr().String()
			So(g.stand(0, all...).Phase, ShouldEqual, election.Defeated)
		})
	})
}

func TestAgentThatKnowsAMapOfAnotherEpoch(t *testing.T) {
	Convey("An agent does not apply changes to the map that had their base version in another epoch", t, func() {
		rank := NewRank(&countingEngine{}, nil)
		var reply GiveReply
		base := topology.Order{Kind: topology.Prepare, Epoch: 1, Version: 1, Map: mapswitch.Map{{{0, 1}, {2}}}}
		So(rank.Give(GiveArgs{Caller: Caller{Group: "g"}, Order: base}, &reply), ShouldBeNil)
		next := GiveArgs{Caller: Caller{Group: "g"}, Order: topology.Order{Kind: topology.Prepare, Epoch: 2, Version: 2}, Base: 1}
		So(rank.Give(next, &reply), ShouldBeNil)
		So(reply.UnknownBase, ShouldBeTrue)
	})
}

func TestCandidateAfterTheStoreHasAnswered(t *testing.T) {
	Convey("Only a store that could not be reached makes an agent a candidate", t, func() {
		for err, want := range map[error]bool{
			errors.New("connection reset by peer"): true, fmt.Errorf("read lease: %w", context.DeadlineExceeded): true,
			errLeaseLost: false, fmt.Errorf("write lease: %w", platform.ErrRefused): false, platform.ErrEraChanged: false,
			context.Canceled: false, fmt.Errorf("read lease: %w", platform.ErrListTooLong): false,
			fmt.Errorf("decode response of store: %w", json.Unmarshal([]byte("{"), &platform.Rows{})):  false,
			fmt.Errorf("decode response of store: %w", json.Unmarshal([]byte(`[]`), &platform.Rows{})): false,
		} {
			So(isStoreUnreachable(err), ShouldEqual, want)
		}
		// A malformed lease doesn't keep the agent from the lease either.
		store := newLeaseStore()
		store.rows[leaseKey("g", 1)] = platform.Row{Key: leaseKey("g", 1), Value: []byte("{")}
		fence, _, err := acquireLease(t.Context(), store, "g", "a", 0)
		So(err, ShouldBeNil)
		So(fence, ShouldEqual, 2)
	})
}
