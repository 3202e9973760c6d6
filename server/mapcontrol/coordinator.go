package mapcontrol

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/mapswitch"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/loop"
	"persimmonwind.dev/server/rpc"
	"persimmonwind.dev/server/wait"
)

const (
	// callTimeout limits the time of one call to an agent, including the agent's calls
	// to its engine.
	callTimeout = 300 * time.Millisecond
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
	// tickInterval is how often the coordinator checks for orders that have not taken
	// effect and must be sent again.
	tickInterval = 10 * time.Millisecond
)

// coordinator changes the expert map of one group for the holder of the group's lease.
// It stops when it learns of a newer coordinator.
type coordinator struct {
	fence        uint64 // Fencing number of the lease.
	group        string
	members      func() []Member             // Returns the listed members of the service, of all its groups.
	peers        *rpc.Pool                   // Connections to the agents.
	directEngine func(address string) Engine // Returns the client of an engine whose agent is unreachable.
	log          *logrus.Entry
	loop         *loop.Loop[mapswitch.State, view]
	planner      *planner
	stop         context.CancelFunc
	metrics      *Metrics

	mu                sync.Mutex
	membersByRank     map[int]Member       // Members of the group in the current epoch, by rank.
	foreignReportedAt map[string]time.Time // When members last reported another group, by server.

	nextUnknownIndex      int // Index of the listed member at which the search for unknown members continues.
	epoch                 int64
	lastRemoteListsReadAt time.Time // When expert lists were last read directly from an engine on another machine.
	latestPrepareOrder    GiveArgs  // The latest prepare order, with changes instead of a whole map.
}

// Member is a backend server of the service and the agent beside it.
type Member struct {
	Server string // host:port of the backend server.
	Agent  string // host:port of the agent beside the server.
}

// view is the part of the control state that the planner and the reader use.
type view struct {
	Phase         mapswitch.Phase
	Epoch         int64
	Size          int           // Number of ranks in the group.
	Current       mapswitch.Map // The map in use; nil while it is unknown.
	MustReadLists bool          // The expert lists of the ranks must be read.

	Slowness []float64 // Time of each rank for one unit of load, relative to a normal rank, as reported.
	Requests int       // Number of requests at all ranks, including queued ones.
}

// slotUtilization returns the share of the group's request slots that are in use.
func (v view) slotUtilization(engine *topology.Engine) float64 {
	return float64(v.Requests) / float64(max(1, v.Size*engine.Slots))
}

// mayPauseForArming reports whether the group may soon pause until its ranks are armed,
// that is, ordered to switch maps. Reads of expert counts would then compete with the
// orders for the network link.
func (v view) mayPauseForArming() bool {
	switch v.Phase {
	case mapswitch.Holding, mapswitch.Arming, mapswitch.Releasing:
		return true
	default:
		return false
	}
}

// run coordinates until ctx ends or a newer coordinator has called an agent.
func (c *coordinator) run(ctx context.Context, ownRank int) {
	ctx, c.stop = context.WithCancel(ctx)
	defer c.stop()
	c.membersByRank, c.foreignReportedAt = map[int]Member{}, map[string]time.Time{}
	c.loop = loop.New(mapswitch.Step, func(s mapswitch.State) view {
		return view{Phase: s.Phase, Epoch: s.Epoch, Size: s.Size, Current: s.Current, MustReadLists: s.NeedsLists(), Slowness: s.Slowness(), Requests: s.Requests()}
	}, func(effect reduce.Effect) { c.execute(ctx, effect) }, nil)
	go c.readAll(ctx)
	go c.planner.run(ctx, c.loop)
	// Run returns no error when its context ends.
	_ = c.loop.Run(ctx, mapswitch.New(c.fence, ownRank), tickInterval)
}

// readAll reads all ranks of the group, and members whose group is unknown, at each
// interval until ctx ends. The interval is shorter while a change is in progress.
func (c *coordinator) readAll(ctx context.Context) {
	var lastCountsReadAt time.Time
	firstCounted := 0 // Index of the first member whose counts are read in the next round.
	for ctx.Err() == nil {
		interval, current := readInterval, view{MustReadLists: true}
		if lastView := c.loop.View(); lastView != nil {
			current = *lastView
		}
		if current.Phase != mapswitch.Idle && current.Phase != mapswitch.Survey {
			interval = min(interval, time.Duration(current.Size)*changeReadIntervalPerRank)
		}
		countsDue := time.Since(lastCountsReadAt) >= readInterval-interval/2 && !current.mayPauseForArming()
		if countsDue {
			lastCountsReadAt = time.Now()
		}
		members := c.membersToRead(current.Size)
		for i, member := range members {
			readCounts := countsDue && (i+len(members)-firstCounted)%len(members) < countedRanksPerRound
			go c.read(ctx, member, current.MustReadLists, readCounts)
		}
		if countsDue && len(members) > 0 {
			firstCounted = (firstCounted + countedRanksPerRound) % len(members)
		}
		wait.For(ctx, interval)
	}
}

// membersToRead returns the members of the group in the current epoch, including those
// that c.members no longer lists, and some of the listed members whose group is unknown.
func (c *coordinator) membersToRead(size int) []Member {
	listed := c.members()
	c.mu.Lock()
	defer c.mu.Unlock()
	ranks := map[string]bool{}
	members := make([]Member, 0, len(c.membersByRank))
	for _, rank := range slices.Sorted(maps.Keys(c.membersByRank)) { // A stable order, since counts are read round-robin.
		member := c.membersByRank[rank]
		ranks[member.Server] = true
		members = append(members, member)
	}
	ttl := foreignMemberTTL
	if len(c.membersByRank) < size {
		ttl = foreignMemberTTLWhileSearching
	}
	unknown := 0
	for i := range listed {
		// Start where the previous round stopped, so that members that never answer
		// don't keep the others from being read.
		member := listed[(c.nextUnknownIndex+i)%len(listed)]
		if ranks[member.Server] || time.Since(c.foreignReportedAt[member.Server]) < ttl {
			continue
		}
		if unknown == maxUnknownReads {
			c.nextUnknownIndex = (c.nextUnknownIndex + i) % len(listed)
			break
		}
		unknown++
		members = append(members, member)
	}
	return members
}

func (c *coordinator) caller() Caller { return Caller{Fence: c.fence, Group: c.group} }

// read reads a rank through its agent, or directly from the engine if the agent does
// not answer.
func (c *coordinator) read(ctx context.Context, member Member, readLists, readCounts bool) {
	requestedAt, isDirect := time.Now(), false
	args := ReadArgs{Caller: c.caller(), Counts: readCounts, Lists: readLists}
	var reply ReadReply
	if err := c.call(ctx, member.Agent, methodRead, args, &reply); err != nil {
		// A new coordinator must read every rank before it knows the ranks, including
		// one whose agent is unreachable: the group may pause until it has.
		if c.stopIfFenced(err) || !readLists && !c.isRank(member) {
			return
		}
		// Reading counts or lists from another machine makes the group pause, so counts
		// are left out and lists are read rarely.
		reply, isDirect = ReadReply{}, true
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := readEngine(callCtx, c.directEngine(member.Server), readLists && c.allowRemoteLists(), &reply); err != nil {
			return // A read without an answer does not change the control state.
		}
	}
	c.recordReport(member, mapswitch.RankRead{State: reply.State, Lists: reply.Lists, RequestedAt: requestedAt, AgentUnreachable: isDirect})
	if reply.Gains != nil {
		c.planner.enqueue(rankGains{packed: reply.Gains, elapsed: reply.Elapsed})
	}
}

// allowRemoteLists reports whether expert lists may now be read directly from an
// engine on another machine, and if so records the read.
func (c *coordinator) allowRemoteLists() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.lastRemoteListsReadAt) < remoteListsReadInterval {
		return false
	}
	c.lastRemoteListsReadAt = time.Now()
	return true
}

// recordReport updates the known ranks from a rank's report and posts the report to the
// control loop. It only marks a member of another group as foreign, and ignores reports
// of a group that is forming.
func (c *coordinator) recordReport(member Member, read mapswitch.RankRead) {
	state := read.State
	if state.Group != "" && state.Group != c.group {
		c.markForeign(member)
	}
	if state.Group != c.group || !state.Open {
		return
	}
	c.mu.Lock()
	if state.Epoch > c.epoch {
		c.epoch = state.Epoch
		c.membersByRank = map[int]Member{}
	}
	if state.Epoch == c.epoch {
		c.membersByRank[state.Rank] = member
	}
	c.mu.Unlock()
	c.loop.Post(read)
}

// markForeign records that the member belongs to another group, and closes the
// connection to its agent.
func (c *coordinator) markForeign(member Member) {
	c.mu.Lock()
	c.foreignReportedAt[member.Server] = time.Now()
	c.mu.Unlock()
	c.peers.Drop(member.Agent)
}

// member returns the member with the rank, and false if it is unknown.
func (c *coordinator) member(rank int) (Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	member, ok := c.membersByRank[rank]
	return member, ok
}

func (c *coordinator) isRank(member Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, rankMember := range c.membersByRank {
		if rankMember == member {
			return true
		}
	}
	return false
}

func (c *coordinator) execute(ctx context.Context, effect reduce.Effect) {
	switch effect := effect.(type) {
	case mapswitch.SendOrder:
		member, ok := c.member(effect.Rank)
		relay, okRelay := c.member(effect.SenderRank)
		if ok && okRelay {
			go c.sendOrder(ctx, member, relay, effect)
		}
	case mapswitch.ReadRank:
		if member, ok := c.member(effect.Rank); ok {
			go c.read(ctx, member, false, false)
		}
	case mapswitch.Superseded:
		logevent.Write(c.log, logevent.LeaseSuperseded, logrus.Fields{"group": c.group, "fence": c.fence, "version": effect.Version})
		c.stop()
	case mapswitch.PhaseChanged:
		c.metrics.CountPhase(effect.To.String())
		logevent.Write(c.log, logevent.MapPhaseEntered, logrus.Fields{
			"group": c.group, "epoch": effect.Epoch, "version": effect.Version, "pass": effect.Pass,
			"phase": effect.To.String(), "from": effect.From.String(), "after_ms": effect.TimeInPhase.Milliseconds(), "reason": effect.Reason,
		})
	}
}

// sendOrder sends an order to the engine of the rank that member serves. The agent of
// relay passes it on: the rank's own agent, or another rank's for a hold. If that
// agent is unreachable, orders to prepare, arm or disarm go directly to the engine.
// Holds are set and released only through an agent, which refuses a superseded
// coordinator.
func (c *coordinator) sendOrder(ctx context.Context, member, relay Member, sendOrder mapswitch.SendOrder) {
	requestedAt, order := time.Now(), sendOrder.Order
	orderReturned := mapswitch.OrderReturned{Rank: sendOrder.Rank, Kind: order.Kind}
	read := mapswitch.RankRead{RequestedAt: requestedAt}
	defer func() { c.loop.Post(orderReturned) }()
	var reply GiveReply
	if err := c.giveThroughAgent(ctx, member, relay, sendOrder, &reply); err != nil {
		if c.stopIfFenced(err) || order.Kind == topology.Hold || order.Kind == topology.Release {
			c.logOrderFailure(member, order, err.Error())
			return
		}
		read.AgentUnreachable = true
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := giveAndReport(callCtx, c.directEngine(member.Server), order, &reply); err != nil {
			c.logOrderFailure(member, order, err.Error())
			return
		}
	}
	orderReturned.Answered = true
	if reply.Problem != "" {
		c.logOrderFailure(member, order, reply.Problem)
	}
	if relay != member {
		go c.read(ctx, member, false, false) // Only the rank's own agent reads an up-to-date report.
		return
	}
	read.State = reply.State
	c.recordReport(member, read)
}

// giveThroughAgent sends the order for member's rank to the agent of relay, which passes
// it to the rank's engine. A prepare order to the rank's own agent carries only the
// changes to the map in use, unless that agent doesn't have that map.
func (c *coordinator) giveThroughAgent(ctx context.Context, member, relay Member, sendOrder mapswitch.SendOrder, reply *GiveReply) error {
	wholeOrder := GiveArgs{Caller: c.caller(), Order: sendOrder.Order}
	if relay != member {
		wholeOrder.Server = member.Server
		return c.call(ctx, relay.Agent, methodGive, wholeOrder, reply)
	}
	if sendOrder.BaseMap == nil {
		return c.call(ctx, member.Agent, methodGive, wholeOrder, reply)
	}
	args := c.prepareOrderAsChanges(sendOrder)
	if !args.hasChanges() {
		return c.call(ctx, member.Agent, methodGive, wholeOrder, reply)
	}
	if err := c.call(ctx, member.Agent, methodGive, args, reply); err != nil || !reply.UnknownBase {
		return err
	}
	*reply = GiveReply{}
	return c.call(ctx, member.Agent, methodGive, wholeOrder, reply)
}

// prepareOrderAsChanges returns the prepare order with changes to the map in use instead
// of a whole map. The result is reused for all ranks, which get the same order:
// comparing whole maps takes a large part of a small machine's processor time.
func (c *coordinator) prepareOrderAsChanges(sendOrder mapswitch.SendOrder) GiveArgs {
	c.mu.Lock()
	defer c.mu.Unlock()
	latestOrder := c.latestPrepareOrder.Order
	if latestOrder.Version == sendOrder.Order.Version && latestOrder.Epoch == sendOrder.Order.Epoch && c.latestPrepareOrder.Base == sendOrder.BaseVersion {
		return c.latestPrepareOrder
	}
	args := GiveArgs{
		Caller: c.caller(), Order: sendOrder.Order,
		Base: sendOrder.BaseVersion, Changes: mapswitch.Changes(sendOrder.BaseMap, sendOrder.Order.Map),
	}
	args.InTurn, _ = mapswitch.RoundRobinShape(sendOrder.BaseMap)
	args.Order.Map = nil
	c.latestPrepareOrder = args
	return args
}

func (c *coordinator) logOrderFailure(member Member, order topology.Order, problem string) {
	logevent.Write(c.log, logevent.MapOrderFailed, logrus.Fields{
		"group": c.group, "server": member.Server, "order": order.Kind.String(),
		"epoch": order.Epoch, "version": order.Version, "pass": order.Pass, "error": problem,
	})
}

func (c *coordinator) call(ctx context.Context, agent, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.peers.Call(ctx, agent, method, args, reply)
	if errors.Is(err, rpc.ErrUnreachable) {
		c.peers.Drop(agent) // The connection may be dead.
	}
	return err
}

// stopIfFenced reports whether the error means that a newer coordinator has called,
// and stops this coordinator if so.
func (c *coordinator) stopIfFenced(err error) bool {
	// net/rpc transmits errors as text.
	if !strings.HasPrefix(err.Error(), errFenced.Error()) {
		return false
	}
	c.stop()
	return true
}
