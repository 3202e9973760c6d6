package mapcontrol

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/hotexperts"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/rpc"
)

// deployments are the groups of the users, whose agents are called through relays and
// directly. Copying an expert takes 50 ms.
var deployments = map[string]struct {
	ranks int
	model topology.Engine
}{
	"A": {63, topology.Engine{Slots: 10, Stride: 5, StepMS: 4.55, PerSequenceMS: 1.09, Sets: 8, Experts: 252, Places: 5, NewPerSet: 2, ExpertMB: 312, LinkMbps: 50000}},
	"B": {24, topology.Engine{Slots: 10, Stride: 6, StepMS: 5.85, PerSequenceMS: 0.426, Sets: 16, Experts: 96, Places: 5, NewPerSet: 2, ExpertMB: 312, LinkMbps: 50000}},
}

// returnPasses are durations of passes at a skew of 3.4, with few requests and as measured
// with 350.
var returnPasses = []time.Duration{100 * time.Millisecond, 203 * time.Millisecond}

const (
	// returnCopies is how long ranks took to copy the experts of the first map.
	returnCopies = 209 * time.Millisecond
	// returnTarget is the time within which a map that fits has to be in force.
	returnTarget = 500 * time.Millisecond
	// formingTime is the time that a group takes to form once its servers are back.
	formingTime = 700 * time.Millisecond
)

// returningGroup is a group that closes and opens in new epochs, with its agents.
type returningGroup struct {
	t       *testing.T
	model   topology.Engine
	engines *modelEngines
	members []Member
	lease   *leaseStore
	demand  *demandStore
	log     *safeBuffer

	open    atomic.Bool
	counted []int64   // Choices of all passes, including the current one.
	shown   []int64   // Counters of each rank: choices of the passes that have ended.
	wobble  int64     // Choices that an expert gains at most for a third of a second.
	chosen  [][]int64 // How often a rank's requests choose each expert in a pass, by expert set and expert.
	network *simulatedNetwork
	stop    context.CancelFunc
	running sync.WaitGroup
	aware   bool
	pass    time.Duration // Duration of a pass.
}

// returningEngine is the engine of one rank.
type returningEngine struct {
	modelEngine
	group *returningGroup
}

func (e returningEngine) Report(ctx context.Context) (topology.RankState, error) {
	state, err := e.modelEngine.Report(ctx)
	state.Open = e.group.open.Load()
	return state, err
}

func (e returningEngine) Counts(ctx context.Context) (topology.RankCounts, error) {
	counts, err := e.modelEngine.Counts(ctx)
	e.modelEngine.group.mu.Lock()
	defer e.modelEngine.group.mu.Unlock()
	// The model's own counts have the demand of other tests.
	counts.Epoch, counts.Counts = e.modelEngine.group.states[e.rank].Epoch, slices.Clone(e.group.shown)
	return counts, err
}

// Give copies the experts of a map before the rank reports that it has prepared it.
func (e returningEngine) Give(ctx context.Context, order topology.Order) error {
	states, mu := e.modelEngine.group.states, &e.modelEngine.group.mu
	mu.Lock()
	defer mu.Unlock()
	state := &states[e.rank]
	if order.Epoch != state.Epoch {
		return platform.ErrOrderRejected
	}
	if order.Kind != topology.Prepare {
		mu.Unlock()
		defer mu.Lock()
		return e.modelEngine.Give(ctx, order)
	}
	state.OrderRunning = true
	time.AfterFunc(returnCopies, func() {
		mu.Lock()
		defer mu.Unlock()
		if state.Epoch == order.Epoch {
			state.OrderRunning, state.Prepared = false, order.Version
			e.modelEngine.group.maps[e.rank] = order.Map
		}
	})
	return nil
}

func newReturningGroup(t *testing.T, deployment string, pass time.Duration, aware bool) *returningGroup {
	model := deployments[deployment].model
	g := &returningGroup{t: t, model: model, engines: newModelEngines(deployments[deployment].ranks, model), lease: newLeaseStore(), demand: newDemandStore(), log: &safeBuffer{}, aware: aware, pass: pass, network: &simulatedNetwork{listeners: map[string]*simulatedListener{}}}
	g.drawDemand(0)
	g.shown, g.counted = make([]int64, len(g.engines.counts)), make([]int64, len(g.engines.counts))
	return g
}

// startAgents starts the agents of all ranks, as after the loss of all machines.
func (g *returningGroup) startAgents() {
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	logger := logrus.New()
	logger.SetOutput(g.log)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "05.000"})
	var listeners []net.Listener
	g.members = nil
	engine := func(rank int) Engine { return returningEngine{modelEngine{g.engines, rank}, g} }
	byAddress := map[string]Engine{}
	for rank := range g.engines.size {
		address := fmt.Sprint("machine-", rank)
		listeners = append(listeners, g.network.listen(address))
		byAddress[address] = engine(rank)
		g.members = append(g.members, Member{Server: address, Agent: address, DataCentre: fmt.Sprint(rank % 3)})
	}
	for rank, listener := range listeners {
		// An agent reads the configuration and the list of servers as a coordinator only.
		var follows atomic.Bool
		agent := &Agent{
			InstanceName: fmt.Sprint("agent-", rank), Engine: engine(rank), Store: g.lease, DemandStore: g.demand,
			DirectEngine: func(address string) Engine { return byAddress[address] },
			FollowTopology: func(ctx context.Context) {
				time.Sleep(10 * time.Millisecond)
				follows.Store(true)
				<-ctx.Done()
			},
			Members: func() []Member {
				if !follows.Load() {
					return nil
				}
				return g.members
			},
			EngineModel: func() *topology.Engine {
				if !follows.Load() {
					return nil
				}
				return &g.model
			},
			ClassAware: func() bool { return g.aware && follows.Load() },
			Log:        logrus.NewEntry(logger), Metrics: NewMetrics(prometheus.NewRegistry()),
		}
		agent.Prepare()
		agent.peers = rpc.NewPoolWithDialer(g.network.dial)
		agent.relay.peers = agent.peers
		g.running.Go(func() { _ = agent.Serve(listener) })
		g.running.Go(func() { agent.Run(ctx) })
	}
	g.running.Go(func() {
		random := rand.New(rand.NewPCG(1, 1))
		for ctx.Err() == nil {
			// The first pass begins when the group opens.
			if !g.open.Load() {
				time.Sleep(time.Millisecond)
				continue
			}
			g.beginPass(random)
			time.Sleep(g.pass)
		}
	})
}

// end stops the agents.
func (g *returningGroup) end() {
	if g.t.Failed() {
		g.log.mu.Lock()
		g.t.Log(g.log.buffer.String())
		g.log.mu.Unlock()
	}
	g.stop()
	time.Sleep(2 * time.Second) // The limits of all calls.
	g.network.close()
	g.running.Wait()
}

func (g *returningGroup) beginPass(random *rand.Rand) {
	g.engines.beginPass(random)
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	copy(g.shown, g.counted) // A pass is counted when it ends.
	for i, chosen := range g.countsAfter(1) {
		g.counted[i] += chosen
		if g.wobble > 0 {
			// The mix of requests in flight differs from one third of a second to the next.
			mix := rand.New(rand.NewPCG(uint64(g.engines.pass*int64(g.pass)/int64(time.Second/3)), uint64(i)))
			g.counted[i] += mix.Int64N(g.wobble)
		}
	}
}

// countsAfter returns a rank's counts after a number of passes.
func (g *returningGroup) countsAfter(passes int64) []int64 {
	var counts []int64
	for _, experts := range g.chosen {
		for _, chosen := range experts {
			counts = append(counts, passes*chosen)
		}
	}
	return counts
}

// drawDemand makes requests choose the experts of a few topics, some of which are far more
// frequent than others.
func (g *returningGroup) drawDemand(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	g.chosen = make([][]int64, g.model.Sets)
	for set := range g.chosen {
		g.chosen[set] = make([]int64, g.model.Experts)
		for expert := range g.chosen[set] {
			g.chosen[set][expert] = 3
		}
		for topic := range 9 {
			for range 8 {
				g.chosen[set][random.IntN(g.model.Experts)] += int64(10 / math.Pow(float64(topic+1), 1.3))
			}
		}
	}
}

// load returns the demand by expert set and expert.
func (g *returningGroup) load() [][]float64 {
	load := make([][]float64, len(g.chosen))
	for set, experts := range g.chosen {
		for _, chosen := range experts {
			load[set] = append(load[set], float64(chosen))
		}
	}
	return load
}

// startEpoch closes the group and begins an epoch with the initial map.
func (g *returningGroup) startEpoch() {
	g.open.Store(false)
	g.engines.mu.Lock()
	defer g.engines.mu.Unlock()
	for rank, state := range g.engines.states {
		g.engines.states[rank] = topology.RankState{Group: "g", Epoch: state.Epoch + 1, Rank: rank, Size: g.engines.size, Active: 6, Pace: 1}
		g.engines.maps[rank] = nil
	}
	g.engines.pass = 0
	clear(g.shown)
	clear(g.counted)
}

// awaitMap opens the group and returns how long it takes until a map is in force whose
// skew is below the limit, or the timeout.
func (g *returningGroup) awaitMap(limit float64, timeout time.Duration) time.Duration {
	shape := hotexperts.Shape{Ranks: g.engines.size, Places: g.model.Places, Experts: g.model.Experts, NewPerSet: g.model.NewPerSet}
	openedAt := time.Now()
	g.open.Store(true)
	for time.Since(openedAt) < timeout {
		time.Sleep(2 * time.Millisecond)
		g.engines.mu.Lock()
		inForce, current := g.engines.states[0].MapVersion != 0 && g.engines.states[0].Prepared == 0, g.engines.maps[0]
		g.engines.mu.Unlock()
		if inForce && hotexperts.Skew(shape, current, g.load()) < limit {
			return time.Since(openedAt)
		}
	}
	return timeout
}

// saveDemand writes the demand that the group has as an earlier coordinator would have.
func (g *returningGroup) saveDemand(sets, experts int) {
	demand := hotexperts.NewDemand(sets, experts)
	gains := make([]int64, sets*experts)
	copy(gains, g.countsAfter(1000))
	demand.Observe(gains, 0)
	k := newDemandKeeper(g.demand, "g", logrus.NewEntry(logrus.New()), NewMetrics(prometheus.NewRegistry()))
	if err := k.read(context.Background()); err != nil {
		g.t.Fatal(err)
	}
	k.write(context.Background(), offeredDemand{demand.Save(), 1})
}

// fits is the skew below which a map fits the demand: the one that a new entry assumes for
// the limit of a group.
const fits = 1.5

// forDeployments runs a test with the groups of the users, passes of several durations and
// several moments at which the group opens.
func forDeployments(t *testing.T, test func(t *testing.T, deployment string, pass, forming time.Duration)) {
	for deployment := range deployments {
		for _, pass := range returnPasses {
			t.Run(fmt.Sprint(deployment, ", passes of ", pass), func(t *testing.T) {
				for _, earlier := range []time.Duration{0, 41, 89} {
					synctest.Test(t, func(t *testing.T) { test(t, deployment, pass, formingTime-earlier*time.Millisecond) })
				}
			})
		}
	}
}

func TestGroupReturnsAfterLossOfAllMachines(t *testing.T) {
	forDeployments(t, func(t *testing.T, deployment string, pass, forming time.Duration) {
		g := newReturningGroup(t, deployment, pass, true)
		g.saveDemand(g.model.Sets, g.model.Experts)
		g.startEpoch()
		g.startAgents()
		defer g.end()
		time.Sleep(forming)
		if took := g.awaitMap(fits, 3*time.Second); took > returnTarget {
			t.Errorf("a map that fits is in force after %v", took)
		} else {
			t.Logf("a map that fits is in force after %v", took)
		}
	})
}

func TestCoordinatorOutlivesTheEpoch(t *testing.T) {
	forDeployments(t, func(t *testing.T, deployment string, pass, forming time.Duration) {
		g := newReturningGroup(t, deployment, pass, true)
		g.startAgents()
		defer g.end()
		if took := g.awaitMap(fits, 5*time.Second); took == 5*time.Second {
			t.Fatal("no map fits in the first epoch")
		}
		time.Sleep(300 * time.Millisecond)
		g.demand.set(func(s *demandStore) { s.delay = time.Hour }) // The store is not needed.
		g.startEpoch()
		time.Sleep(forming)
		if took := g.awaitMap(fits, 3*time.Second); took > returnTarget {
			t.Errorf("a map that fits is in force after %v", took)
		} else {
			t.Logf("a map that fits is in force after %v", took)
		}
		if g.lease.acquisitions()["g"] != 1 {
			t.Errorf("%d agents have acquired the lease", g.lease.acquisitions()["g"])
		}
	})
}

func TestSavedDemandThatDoesNotHelp(t *testing.T) {
	// waits is the longest time until a map that fits is in force: that of a group without
	// a saved demand, which waits for counts, and in the first case one change more.
	const byCounts, oneChange = 1100 * time.Millisecond, returnTarget
	for name, test := range map[string]struct {
		prepare func(*returningGroup)
		limit   time.Duration
	}{
		"it no longer fits": {func(g *returningGroup) {
			g.drawDemand(7)
			g.saveDemand(g.model.Sets, g.model.Experts)
			g.drawDemand(0)
		}, byCounts + oneChange},
		"it has another shape": {func(g *returningGroup) { g.saveDemand(g.model.Sets, g.model.Experts+1) }, byCounts},
		"it is garbage":        {func(g *returningGroup) { g.demand.row = platform.Row{Key: "g", Value: []byte("{}")} }, byCounts},
		"the store stands still": {func(g *returningGroup) {
			g.saveDemand(g.model.Sets, g.model.Experts)
			g.demand.delay = time.Hour
		}, byCounts},
		"there is none": {func(*returningGroup) {}, byCounts},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newReturningGroup(t, "B", returnPasses[0], true)
				test.prepare(g)
				g.startEpoch()
				g.startAgents()
				defer g.end()
				time.Sleep(formingTime)
				if took := g.awaitMap(fits, 5*time.Second); took > test.limit {
					t.Errorf("a map that fits is in force after %v", took)
				} else {
					t.Logf("a map that fits is in force after %v", took)
				}
			})
		})
	}
}

func TestReturnOfAGroupThatIsNotScheduledByClass(t *testing.T) {
	synctest.Test(t, testReturnWithoutClasses)
}

func testReturnWithoutClasses(t *testing.T) {
	g := newReturningGroup(t, "B", returnPasses[0], false)
	g.saveDemand(g.model.Sets, g.model.Experts)
	before := g.demand.reads + g.demand.writes()
	g.startEpoch()
	g.startAgents()
	defer g.end()
	time.Sleep(2 * formingTime)
	if len(g.lease.acquisitions()) > 0 {
		t.Error("an agent has acquired the lease of a closed group")
	}
	if took := g.awaitMap(fits, 5*time.Second); took == 5*time.Second {
		t.Error("no map fits")
	}
	if calls := g.demand.reads + g.demand.writes() - before; calls > 0 {
		t.Errorf("%d calls to the demand store", calls)
	}
}

// Guards against waits after an outage of the store that add up beyond the time within which
// a process must be up to date again, before a group has a coordinator with a lease.
func TestLeaseAfterAnOutage(t *testing.T) {
	const contactTime = 3 * time.Second
	for _, aware := range []bool{false, true} {
		for silence := 6 * time.Second; silence < 9*time.Second; silence += 210 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				g := newReturningGroup(t, "B", returnPasses[0], aware)
				g.startEpoch()
				g.lease.silentUntil = time.Now().Add(silence)
				g.startAgents()
				defer g.end()
				g.open.Store(true)
				time.Sleep(silence)
				for returnedAt := time.Now(); len(g.lease.acquisitions()) == 0; time.Sleep(10 * time.Millisecond) {
					if time.Since(returnedAt) > contactTime {
						t.Fatalf("no agent has the lease %v after a silence of %v, scheduled by class: %t", contactTime, silence, aware)
					}
				}
			})
		}
	}
}

func TestBusyGroupIsNotChangedForSmallGains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newReturningGroup(t, "A", returnPasses[0], true)
		g.saveDemand(g.model.Sets, g.model.Experts)
		g.wobble = 8
		g.startEpoch()
		g.startAgents()
		defer g.end()
		time.Sleep(formingTime)
		if took := g.awaitMap(fits, 3*time.Second); took == 3*time.Second {
			t.Fatal("no map fits")
		}
		time.Sleep(500 * time.Millisecond)
		before := g.engines.mapChanges()
		time.Sleep(2200 * time.Millisecond)
		// Seven changes in 2.2 s were seen. Changes take 0.3 s, and one of little gain waits 1 s.
		if changes := g.engines.mapChanges() - before; changes > 2 {
			t.Errorf("%d changes in 2.2 s", changes)
		} else {
			t.Logf("%d changes in 2.2 s", changes)
		}
	})
}

func TestRanksOfANewEpochAreNotSearchedFor(t *testing.T) {
	var members []Member
	for i := range 1900 {
		members = append(members, Member{Server: fmt.Sprint("server-", i), Agent: fmt.Sprint("agent-", i)})
	}
	agent := &Agent{
		Members: func() []Member { return members }, EngineModel: func() *topology.Engine { return nil },
		ClassAware: func() bool { return true }, Log: logrus.NewEntry(logrus.New()), peers: rpc.NewPool(nil),
	}
	report := func(c *coordinator, number int, open bool, epoch int64) {
		c.recordMember(members[number], topology.RankState{Group: fmt.Sprint("g-", number/64), Open: open, Epoch: epoch, Rank: number % 64, Size: 64})
	}
	readsAllRanks := func(c *coordinator) bool {
		read := map[string]bool{}
		for _, member := range c.membersToRead(64) {
			read[member.Server] = true
		}
		for number := 20 * 64; number < 21*64; number++ {
			if !read[members[number].Server] {
				return false
			}
		}
		return true
	}
	outlives := agent.newCoordinator("g-20", 1)
	starts := agent.newCoordinator("g-20", 2)
	for number := range members {
		report(outlives, number, true, 1)
		report(starts, number, false, 1)
	}
	report(outlives, 20*64+7, true, 2) // The first rank of the next epoch.
	if len(outlives.membersByRank) != 1 || !readsAllRanks(outlives) {
		t.Error("a coordinator that outlives its epoch searches for the ranks of the next one")
	}
	if !readsAllRanks(starts) {
		t.Error("a coordinator that began while the group was closed does not read the servers that reported so")
	}
	report(starts, 20*64+7, true, 2)
	starts.recordMember(members[20*64+8], topology.RankState{Group: "g-5", Open: true, Epoch: 1, Size: 64})
	if len(starts.likelyMembers) != 62 {
		t.Errorf("%d likely members", len(starts.likelyMembers))
	}
}
