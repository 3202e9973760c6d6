package mapcontrol

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"persimmonwind.dev/policy/hotexperts"
	"persimmonwind.dev/policy/mapswitch"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/loop"
	"persimmonwind.dev/server/rpc"
)

func TestRelayBatches(t *testing.T) {
	Convey("Batches contain every member once, lie in one data centre and are about as many as they are long", t, func() {
		rapid.Check(t, func(t *rapid.T) {
			var members []Member
			for dataCentre, count := range rapid.SliceOfN(rapid.IntRange(0, 200), 1, 6).Draw(t, "members") {
				for i := range count {
					members = append(members, Member{Server: fmt.Sprint(dataCentre, "-", i), DataCentre: fmt.Sprint(dataCentre)})
				}
			}
			var batched []Member
			batches := relayBatches(members)
			for _, batch := range batches {
				if len(batch) == 0 || (len(batch)-1)*(len(batch)-1) >= len(members) || len(batch) > maxRelayedCalls {
					t.Fatalf("batch of %d out of %d members", len(batch), len(members))
				}
				for _, member := range batch {
					if member.DataCentre != batch[0].DataCentre {
						t.Fatalf("batch spans data centres")
					}
				}
				batched = append(batched, batch...)
			}
			if !slices.Equal(sortedServers(batched), sortedServers(members)) {
				t.Fatalf("batches hold %d of %d members", len(batched), len(members))
			}
		})
	})
	Convey("A coordinator of 129 ranks in five data centres calls at most 15 relays", t, func() {
		var members []Member
		for i := range 129 {
			members = append(members, Member{Server: fmt.Sprint(i), DataCentre: fmt.Sprint(i % 5)})
		}
		So(len(relayBatches(members)), ShouldBeLessThanOrEqualTo, 15)
	})
}

func sortedServers(members []Member) []string {
	var servers []string
	for _, member := range members {
		servers = append(servers, member.Server)
	}
	slices.Sort(servers)
	return servers
}

func TestCollectOrders(t *testing.T) {
	Convey("Equal orders through the ranks' own agents are collected, holds and releases are not", t, func() {
		prepare := topology.Order{Kind: topology.Prepare, Version: 7}
		arm := topology.Order{Kind: topology.Arm, Version: 7, Pass: 40}
		hold := topology.Order{Kind: topology.Hold, Pass: 40}
		effects := collectOrders([]reduce.Effect{
			mapswitch.PhaseChanged{}, mapswitch.SendOrder{Rank: 0, SenderRank: 0, Order: prepare},
			mapswitch.SendOrder{Rank: 2, SenderRank: 2, Order: prepare}, mapswitch.SendOrder{Rank: 1, SenderRank: 5, Order: hold},
			mapswitch.SendOrder{Rank: 3, SenderRank: 3, Order: arm}, mapswitch.ReadRank{Rank: 1},
		})
		So(effects, ShouldHaveLength, 5)
		So(effects[1].(*relayedOrder).ranks, ShouldResemble, []int{0, 2})
		So(effects[1].(*relayedOrder).forRank(2), ShouldResemble, mapswitch.SendOrder{Rank: 2, SenderRank: 2, Order: prepare})
		So(effects[2], ShouldHaveSameTypeAs, mapswitch.SendOrder{})
		So(effects[3].(*relayedOrder).ranks, ShouldResemble, []int{3})
	})
}

// testAgents serves the agents of a simulated group on loopback.
type testAgents struct {
	engines   *modelEngines
	members   []Member
	listeners []*stoppableListener
	log       *logrus.Entry
}

// stoppableListener closes its connections when it is stopped, as the end of a process
// does.
type stoppableListener struct {
	net.Listener

	mu          sync.Mutex
	connections []net.Conn
}

func (l *stoppableListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.connections = append(l.connections, connection)
		l.mu.Unlock()
	}
	return connection, err
}

// accepted returns the number of connections that were accepted.
func (l *stoppableListener) accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.connections)
}

func (l *stoppableListener) stop() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, connection := range l.connections {
		_ = connection.Close()
	}
}

func startTestAgents(t *testing.T, ranks int, model topology.Engine) *testAgents {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	agents := &testAgents{engines: newModelEngines(ranks, model), log: logrus.NewEntry(logger)}
	for rank := range ranks {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		stoppable := &stoppableListener{Listener: listener}
		peers := rpc.NewPool(nil)
		receivers := map[string]any{receiverName: NewRank(modelEngine{agents.engines, rank}, agents.directEngine), relayName: &Relay{peers: peers}}
		go func() { _ = rpc.Serve(stoppable, receivers, agents.log) }()
		t.Cleanup(func() { stoppable.stop(); peers.Close() })
		agents.listeners = append(agents.listeners, stoppable)
		address := listener.Addr().String()
		agents.members = append(agents.members, Member{Server: address, Agent: address, DataCentre: fmt.Sprint(rank % 3)})
	}
	return agents
}

// directEngine returns the engine at the address, whether or not its agent is running.
func (a *testAgents) directEngine(address string) Engine {
	rank := slices.IndexFunc(a.members, func(m Member) bool { return m.Server == address })
	return modelEngine{a.engines, rank}
}

// coordinate runs a coordinator for the duration while the group runs passes, and
// returns the number of map changes that took effect.
func (a *testAgents) coordinate(model topology.Engine, duration time.Duration) int {
	agent := &Agent{
		Members: func() []Member { return a.members }, EngineModel: func() *topology.Engine { return &model },
		DirectEngine: a.directEngine, Log: a.log, Metrics: NewMetrics(prometheus.NewRegistry()), peers: rpc.NewPool(nil),
	}
	defer agent.peers.Close()
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	before := a.engines.mapChanges()
	go func() {
		random := rand.New(rand.NewPCG(1, 1))
		for ctx.Err() == nil {
			time.Sleep(30 * time.Millisecond)
			a.engines.beginPass(random)
		}
	}()
	agent.newCoordinator("g", 1).run(ctx, 0)
	return a.engines.mapChanges() - before
}

func (e *modelEngines) mapChanges() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.switches
}

func TestCoordinateThroughRelays(t *testing.T) {
	model := topology.Engine{Slots: 6, Stride: 4, StepMS: 4, PerSequenceMS: 0.4, Sets: 2, Experts: 72, Places: 4, NewPerSet: 2, ExpertMB: 10, LinkMbps: 180000}
	const ranks = maxDirectRanks + 4
	Convey("Given a group that is too large to be called directly", t, func() {
		agents := startTestAgents(t, ranks, model)
		Convey("its map follows the demand", func() {
			So(agents.coordinate(model, 3*time.Second), ShouldBeGreaterThan, 1)
		})
		Convey("its map follows the demand although the agents of two batches' relays have died", func() {
			batches := relayBatches(agents.members)
			for _, batch := range batches[:2] {
				agents.listeners[slices.Index(agents.members, batch[0])].stop()
			}
			So(agents.coordinate(model, 4*time.Second), ShouldBeGreaterThan, 1)
		})
	})
}

func TestRelayOfAnotherGroup(t *testing.T) {
	Convey("A coordinator that searches for its ranks keeps the connection to a relay of another group", t, func() {
		agents := startTestAgents(t, 2, topology.Engine{Sets: 1, Experts: 4})
		agent := &Agent{Log: agents.log, peers: rpc.NewPool(nil), DirectEngine: agents.directEngine}
		defer agent.peers.Close()
		c := agent.newCoordinator("h", 1)
		c.loop = loop.New(mapswitch.Step, func(mapswitch.State) view { return view{} }, func(reduce.Effect) {}, nil)
		c.readThroughRelay(t.Context(), agents.members, readOptions{})
		So(c.foreignReportedAt, ShouldHaveLength, 2)
		err := agent.peers.Call(t.Context(), agents.members[0].Agent, methodRelayRead, RelayReadArgs{}, &RelayReadReply{})
		So(err, ShouldBeNil)
		So(agents.listeners[0].accepted(), ShouldEqual, 2) // One of the coordinator, one of the relay to itself.
	})
}

func TestRelaysAreNotTheRanksOfAHold(t *testing.T) {
	Convey("Given a batch of three ranks, of which the first two take part in holds", t, func() {
		agent := &Agent{Log: logrus.NewEntry(logrus.New()), peers: rpc.NewPool(nil)}
		c := agent.newCoordinator("g", 1)
		c.loop = loop.New(mapswitch.Step, func(mapswitch.State) view { return view{HoldRanks: [2]int{1, 2}} }, func(reduce.Effect) {}, nil)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = c.loop.Run(ctx, mapswitch.New(1, 0), time.Hour) }()
		for c.loop.View() == nil {
			time.Sleep(time.Millisecond)
		}
		var batch []Member
		for rank := 1; rank <= 3; rank++ {
			member := Member{Server: fmt.Sprint("server-", rank), Agent: fmt.Sprint("agent-", rank)}
			c.membersByRank[rank] = member
			batch = append(batch, member)
		}
		relay, ok := c.chooseRelay(batch)
		So(ok, ShouldBeTrue)
		So(relay, ShouldResemble, batch[2])
		Convey("they serve as relays only if no other agent does", func() {
			c.relayFailedAt[batch[2].Agent] = time.Now()
			relay, ok = c.chooseRelay(batch)
			So(ok, ShouldBeTrue)
			So(relay, ShouldResemble, batch[0])
		})
	})
}

func TestRelayWithUnreachableAgents(t *testing.T) {
	Convey("A relay returns the replies of the agents that answer, and why the others did not", t, func() {
		model := topology.Engine{Sets: 1, Experts: 4}
		agents := startTestAgents(t, 3, model)
		agents.listeners[1].stop()
		relay := &Relay{peers: rpc.NewPool(nil)}
		defer relay.peers.Close()
		args := RelayReadArgs{ReadArgs: ReadArgs{Caller: Caller{Fence: 4, Group: "g"}, Counts: true}, Agents: agentsOf(agents.members)}
		var first, reply RelayReadReply
		So(relay.Read(args, &first), ShouldBeNil)
		agents.engines.beginPass(rand.New(rand.NewPCG(1, 1)))
		So(relay.Read(args, &reply), ShouldBeNil)
		So(reply.Reads[0].Reply.State.Pass, ShouldEqual, 1)
		So(reply.Reads[1].Error, ShouldNotBeEmpty)
		So(reply.Reads[2].Reply.State.Rank, ShouldEqual, 2)
		Convey("and the sum of their counts", func() {
			sums, err := hotexperts.UnpackCounts(reply.Gains)
			So(err, ShouldBeNil)
			counted, err := modelEngine{agents.engines, 0}.Counts(t.Context())
			So(err, ShouldBeNil)
			for i, sum := range sums {
				So(sum, ShouldEqual, 2*counted.Counts[i])
			}
		})
		Convey("and the refusal of a superseded coordinator's order", func() {
			give := RelayGiveArgs{GiveArgs: GiveArgs{Caller: Caller{Fence: 3, Group: "g"}, Order: topology.Order{Kind: topology.Arm, Version: 1, Pass: 9}}, Agents: args.Agents}
			var given RelayGiveReply
			So(relay.Give(give, &given), ShouldBeNil)
			So(given.Gives[0].Error, ShouldContainSubstring, errFenced.Error())
			So(agents.engines.states[0].Armed, ShouldEqual, 0)
		})
	})
	Convey("A relay refuses a call for more agents than a batch has", t, func() {
		relay := &Relay{peers: rpc.NewPool(nil)}
		So(relay.Read(RelayReadArgs{Agents: make([]string, maxRelayedCalls+1)}, &RelayReadReply{}), ShouldNotBeNil)
	})
}

// slowRank is the receiver of an agent that replies late.
type slowRank struct{ replied chan struct{} }

func (r slowRank) Read(_ ReadArgs, reply *ReadReply) error {
	defer close(r.replied)
	time.Sleep(50 * time.Millisecond)
	reply.State.Group = "late"
	return nil
}

// Guards against a late reply that is mixed into what is read afterwards, for instance
// into the report of the engine whose agent has not answered in time.
func TestLateReplyOverwritesALaterRead(t *testing.T) {
	Convey("The reply of a call that has timed out does not change after the call has returned", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = listener.Close() }()
		replied := make(chan struct{})
		go func() {
			_ = rpc.Serve(listener, map[string]any{receiverName: slowRank{replied}}, logrus.NewEntry(logrus.New()))
		}()
		peers := rpc.NewPool(nil)
		defer peers.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		var reply ReadReply
		// Without DropSilent of callAgent, as on a connection on which other replies arrive.
		So(callWithOwnReply(ctx, peers, listener.Addr().String(), methodRead, ReadArgs{}, &reply), ShouldNotBeNil)
		reply.State.Group = "own"
		<-replied
		time.Sleep(50 * time.Millisecond)
		So(reply.State.Group, ShouldEqual, "own")
	})
}
