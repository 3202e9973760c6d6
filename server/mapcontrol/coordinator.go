package mapcontrol

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/mapswitch"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/loop"
	"persimmonwind.dev/server/rpc"
)

const (
	// callTimeout limits the time of one call to an agent, including the agent's calls
	// to its engine.
	callTimeout = 300 * time.Millisecond
	// prepareCallTimeout replaces callTimeout for orders to prepare a map, which are
	// long and don't keep the group from running.
	prepareCallTimeout = 900 * time.Millisecond
	// countedRanksPerRound is the number of ranks whose expert counts are read in one
	// round of reads.
	// Requests are spread evenly over all ranks, so a part of a large group shows the
	// demand of the whole group, and the coordinator's network link has the bandwidth
	// for that part.
	countedRanksPerRound = 12
	// remoteListsReadInterval is the shortest time between two reads of expert lists
	// directly from engines on other machines. Such a read makes the engine's group
	// pause.
	remoteListsReadInterval = time.Second
	// readInterval is how often every rank is read. The reads also show the agents
	// that the coordinator is alive.
	readInterval = 100 * time.Millisecond
	// changeReadIntervalPerRank, multiplied by the number of ranks, is the read interval
	// while a change is in progress: 24 ms in a group of twelve. A larger group gets
	// no more calls per second than a smaller one.
	changeReadIntervalPerRank = 2 * time.Millisecond
	// foreignMemberTTL is how long a member that has reported another group is not read
	// again, and foreignMemberTTLWhileSearching is how long while ranks of the
	// coordinator's group are missing. Servers join other groups only when they
	// restart, which takes seconds.
	foreignMemberTTL               = 5 * time.Second
	foreignMemberTTLWhileSearching = 500 * time.Millisecond
	// maxUnknownReads limits how many members of unknown groups are read in a round. A
	// large service has dozens of groups, each with a coordinator that searches for its
	// ranks, and each read of another machine opens a connection.
	maxUnknownReads = 128
	// changeReadIntervalPerBatch replaces changeReadIntervalPerRank in groups that are
	// read in batches, whose replies are several times as long.
	changeReadIntervalPerBatch = 4 * time.Millisecond
	// countedBatchesPerRound is the number of batches whose expert counts are read in
	// one round. Relays add up the counts of their batch, so all ranks are counted
	// within a few rounds.
	countedBatchesPerRound = 3
	// maxEngineReads limits the number of engines that are read at the same time because
	// their agents don't answer. Each such read opens a connection and takes up to
	// callTimeout.
	maxEngineReads = 16
	// tickInterval is how often the coordinator checks for orders that have not taken
	// effect and must be sent again.
	tickInterval = 10 * time.Millisecond
)

// orderTimeout returns the limit of the time of a call that passes an order.
func orderTimeout(kind topology.OrderKind) time.Duration {
	if kind == topology.Prepare {
		return prepareCallTimeout
	}
	return callTimeout
}

// coordinator changes the expert map of one group for the holder of the group's lease.
// It stops when it learns of a newer coordinator.
type coordinator struct {
	fence        uint64 // Fencing number of the lease, or the number under which the coordinator was elected.
	group        string
	electedIn    *int64                      // The epoch in which the coordinator was elected; nil if it holds the lease.
	members      func() []Member             // Returns the listed members of the service, of all its groups.
	peers        *rpc.Pool                   // Connections to the agents.
	directEngine func(address string) Engine // Returns the client of an engine whose agent is unreachable.
	log          *logrus.Entry
	loop         *loop.Loop[mapswitch.State, view]
	planner      *planner
	stop         context.CancelFunc
	metrics      *Metrics
	ownEngine    Engine
	classAware   func() bool
	demand       *demandKeeper
	opening      opening

	mu                sync.Mutex
	membersByRank     map[int]Member       // Members of the group in the current epoch, by rank.
	likelyMembers     map[string]Member    // Members that were ranks before the group closed, or have reported that it forms, by server.
	foreignReportedAt map[string]time.Time // When members last reported another group, by server.
	relayFailedAt     map[string]time.Time // When agents last failed as relays, by address.

	engineReads chan struct{} // Holds one element for each read of an engine whose agent does not answer.

	nextUnknownIndex      int       // Index of the listed member at which the search for unknown members continues.
	epoch                 int64     // The latest epoch of the known members.
	lastRemoteListsReadAt time.Time // When expert lists were last read directly from an engine on another machine.
	latestPrepareOrder    GiveArgs  // The latest prepare order, with changes instead of a whole map.
}

// Member is a backend server of the service and the agent beside it.
type Member struct {
	Server     string // host:port of the backend server.
	Agent      string // host:port of the agent beside the server.
	DataCentre string
}

// view is the part of the control state that the planner and the reader use.
type view struct {
	Phase         mapswitch.Phase
	Epoch         int64
	Size          int           // Number of ranks in the group.
	Current       mapswitch.Map // The map in use; nil while it is unknown.
	IsInitial     bool          // No change is in progress, and the map in use is that with which the epoch began.
	IdleSince     time.Time     // When the last change ended, if none is in progress.
	IsRelayed     bool          // The ranks are read in batches, through relays.
	HoldRanks     [2]int        // The ranks that take part in the next hold, besides the coordinator's.
	MustReadLists bool          // The expert lists of the ranks must be read.
	HasLists      map[int]bool  // By rank, whether its lists are known, if they must be read.

	Slowness []float64 // Time of each rank for one unit of load, relative to a normal rank, as reported.
	Requests int       // Number of requests at all ranks, including queued ones.
}

// newView returns the view of a control state.
func newView(s mapswitch.State) view {
	holder, sender := s.HoldRanks()
	hasLists := map[int]bool{}
	if s.NeedsLists() {
		for rank := range s.Ranks {
			hasLists[rank] = s.HasLists(rank)
		}
	}
	return view{
		Phase: s.Phase, Epoch: s.Epoch, Size: s.Size, Current: s.Current, IsInitial: s.UsesInitialMap(), IdleSince: s.PhaseStartedAt,
		IsRelayed: usesRelays(s.Size), HoldRanks: [2]int{holder, sender}, MustReadLists: s.NeedsLists(), HasLists: hasLists,
		Slowness: s.Slowness(), Requests: s.Requests(),
	}
}

// slotUtilization returns the share of the group's request slots that are in use.
func (v view) slotUtilization(engine *topology.Engine) float64 {
	return float64(v.Requests) / float64(max(1, v.Size*engine.Slots))
}

// needsLinkForOrders reports whether reads of expert counts would compete with orders for
// the network link: the group may soon pause until its ranks are armed, that is, ordered
// to switch maps, or relays pass on orders to prepare a map, which are long in a large
// group.
func (v view) needsLinkForOrders() bool {
	switch v.Phase {
	case mapswitch.Holding, mapswitch.Arming, mapswitch.Releasing:
		return true
	case mapswitch.Preparing:
		return v.IsRelayed
	default:
		return false
	}
}

// newCoordinator returns a coordinator of the group that the agent has acquired the
// lease of.
func (a *Agent) newCoordinator(group string, fence uint64) *coordinator {
	demand := newDemandKeeper(a.DemandStore, group, a.Log, a.Metrics)
	planner := newPlanner(a.EngineModel, group, a.Log, a.Metrics)
	planner.classAware, planner.saved = a.isClassAware, demand
	return &coordinator{
		fence: fence, group: group, members: a.Members, peers: a.peers, directEngine: a.DirectEngine, log: a.Log,
		planner: planner, metrics: a.Metrics, ownEngine: a.Engine, classAware: a.isClassAware, demand: demand,
		membersByRank: map[int]Member{}, likelyMembers: map[string]Member{}, foreignReportedAt: map[string]time.Time{}, relayFailedAt: map[string]time.Time{},
		engineReads: make(chan struct{}, maxEngineReads),
	}
}

// run coordinates until ctx ends or a newer coordinator has called an agent.
func (c *coordinator) run(ctx context.Context, ownRank int) {
	ctx, c.stop = context.WithCancel(ctx)
	defer c.stop()
	state := mapswitch.New(c.fence, ownRank)
	if c.electedIn != nil {
		state = mapswitch.NewProvisional(c.fence, ownRank, *c.electedIn)
	}
	c.loop = loop.New(stepCollectingOrders, newView, func(effect reduce.Effect) { c.execute(ctx, effect) }, nil)
	go c.readAll(ctx)
	go c.planner.run(ctx, c.loop)
	go c.demand.run(ctx, c.awaitClassAware)
	// Run returns no error when its context ends.
	_ = c.loop.Run(ctx, state, tickInterval)
}

func (c *coordinator) caller() Caller { return Caller{Fence: c.fence, Group: c.group} }

func (c *coordinator) execute(ctx context.Context, effect reduce.Effect) {
	switch effect := effect.(type) {
	case *relayedOrder:
		c.sendToRanks(ctx, effect)
	case mapswitch.SendOrder:
		c.sendToRank(ctx, effect)
	case mapswitch.ReadRank:
		if member, ok := c.member(effect.Rank); ok {
			go c.read(ctx, member, false, false)
		}
	case mapswitch.Superseded:
		logevent.Write(c.log, logevent.LeaseSuperseded, logrus.Fields{"group": c.group, "fence": c.fence, "version": effect.Version})
		c.stop()
	case mapswitch.EpochEnded:
		c.stop() // The agent logs the end of its time as provisional coordinator.
	case mapswitch.PhaseChanged:
		c.observePhase(effect)
		c.metrics.CountPhase(effect.To.String())
		logevent.Write(c.log, logevent.MapPhaseEntered, logrus.Fields{
			"group": c.group, "epoch": effect.Epoch, "version": effect.Version, "pass": effect.Pass,
			"phase": effect.To.String(), "from": effect.From.String(), "after_ms": effect.TimeInPhase.Milliseconds(), "reason": effect.Reason,
		})
	}
}

func (c *coordinator) call(ctx context.Context, agent, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return callAgent(ctx, c.peers, agent, method, args, reply)
}

// stopIfFenced reports whether the error means that a newer coordinator has called,
// and stops this coordinator if so.
func (c *coordinator) stopIfFenced(err error) bool {
	if !isFenced(err) {
		return false
	}
	c.stop()
	return true
}
