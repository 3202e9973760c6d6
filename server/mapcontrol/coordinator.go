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
	// countedRanksPerRound is the number of ranks whose counts are read in one round.
	// Requests are spread evenly over all ranks, so a part of a large group shows the
	// demand of the whole group, and the coordinator's network link has the bandwidth
	// for that part.
	countedRanksPerRound = 12
	// remoteListsInterval is the shortest time between two reads of an engine's lists
	// from another machine. Such a read makes the engine's group pause.
	remoteListsInterval = time.Second
	// readInterval is how often every rank is read. The reads also show the agents
	// that the coordinator is alive.
	readInterval = 100 * time.Millisecond
	// changeReadIntervalPerRank, multiplied by the number of ranks, is the read interval
	// while a change is in progress: 24 ms in a group of twelve. A larger group gets
	// no more calls per second than a smaller one.
	changeReadIntervalPerRank = 2 * time.Millisecond
	// foreignMemberTTL is how long a member that has reported another group is not read
	// again; foreignMemberTTLWhileSearching is the same while ranks of the
	// coordinator's group are missing. Servers join other groups only when they
	// restart, which takes seconds.
	foreignMemberTTL               = 5 * time.Second
	foreignMemberTTLWhileSearching = 500 * time.Millisecond
	// maxUnknownReads limits how many members of unknown groups are read in a round. A
	// large service has dozens of groups, each with a coordinator that searches for its
	// ranks, and each read of another machine opens a connection.
	maxUnknownReads = 128
	// tickInterval is how often the coordinator checks for orders without effect.
	tickInterval = 10 * time.Millisecond
)

// coordinator changes the expert map of one group under one lease.
type coordinator struct {
	fence        uint64
	group        string
	members      func() []Member
	peers        *rpc.Pool
	directEngine func(address string) Engine
	log          *logrus.Entry
	loop         *loop.Loop[mapswitch.State, view]
	planner      *planner
	stop         context.CancelFunc
	metrics      *Metrics

	mu           sync.Mutex
	addresses    map[int]Member       // Ranks of the current epoch.
	foreignSince map[string]time.Time // When members last reported another group, by server.

	nextUnknown     int // Index of the listed member at which the search for unknown members continues.
	epoch           int64
	remoteListsAt   time.Time // When an engine's lists were last read from another machine.
	latestCopyOrder GiveArgs  // The latest prepare order, as changes.
}

// Member is a backend server of the service and the agent beside it.
type Member struct {
	Server string // host:port.
	Agent  string // host:port.
}

// view is the part of the control state that the planner and the reader use.
type view struct {
	Phase   mapswitch.Phase
	Epoch   int64
	Size    int
	Current mapswitch.Map
	Lists   bool

	Slowness []float64 // By rank, as reported.
	Requests int       // At all ranks, including queued ones.
}

// slotUtilization returns the share of the group's request slots that are in use.
func (v view) slotUtilization(engine *topology.Engine) float64 {
	return float64(v.Requests) / float64(max(1, v.Size*engine.Slots))
}

// mayPauseForArming reports whether the group may soon pause until its ranks are armed.
// Counts would then compete with the orders for the network link.
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
	c.addresses, c.foreignSince = map[int]Member{}, map[string]time.Time{}
	c.loop = loop.New(mapswitch.Step, func(s mapswitch.State) view {
		return view{Phase: s.Phase, Epoch: s.Epoch, Size: s.Size, Current: s.Current, Lists: s.NeedsLists(), Slowness: s.Slowness(), Requests: s.Requests()}
	}, func(effect reduce.Effect) { c.execute(ctx, effect) }, nil)
	go c.readAll(ctx)
	go c.planner.run(ctx, c.loop)
	// Run returns no error when its context ends.
	_ = c.loop.Run(ctx, mapswitch.New(c.fence, ownRank), tickInterval)
}

// readAll reads the ranks and members of unknown groups at each interval until ctx
// ends.
func (c *coordinator) readAll(ctx context.Context) {
	var countsAt time.Time
	firstCounted := 0 // Index of the first rank whose counts are read.
	for ctx.Err() == nil {
		interval, now := readInterval, view{Lists: true}
		if known := c.loop.View(); known != nil {
			now = *known
		}
		if now.Phase != mapswitch.Idle && now.Phase != mapswitch.Survey {
			interval = min(interval, time.Duration(now.Size)*changeReadIntervalPerRank)
		}
		counts := time.Since(countsAt) >= readInterval-interval/2 && !now.mayPauseForArming()
		if counts {
			countsAt = time.Now()
		}
		members := c.membersToRead(now.Size)
		for i, member := range members {
			readCounts := counts && (i+len(members)-firstCounted)%len(members) < countedRanksPerRound
			go c.read(ctx, member, now.Lists, readCounts)
		}
		if counts && len(members) > 0 {
			firstCounted = (firstCounted + countedRanksPerRound) % len(members)
		}
		wait.For(ctx, interval)
	}
}

// membersToRead returns the ranks of the epoch, including those that are no longer
// listed, and some of the listed members whose group is unknown.
func (c *coordinator) membersToRead(size int) []Member {
	listed := c.members()
	c.mu.Lock()
	defer c.mu.Unlock()
	ranks := map[string]bool{}
	members := make([]Member, 0, len(c.addresses))
	for _, rank := range slices.Sorted(maps.Keys(c.addresses)) { // A stable order, since counts are read round-robin.
		member := c.addresses[rank]
		ranks[member.Server] = true
		members = append(members, member)
	}
	ttl := foreignMemberTTL
	if len(c.addresses) < size {
		ttl = foreignMemberTTLWhileSearching
	}
	unknown := 0
	for i := range listed {
		// Start where the previous round stopped, so that members that never answer
		// don't keep the others from being read.
		member := listed[(c.nextUnknown+i)%len(listed)]
		if ranks[member.Server] || time.Since(c.foreignSince[member.Server]) < ttl {
			continue
		}
		if unknown == maxUnknownReads {
			c.nextUnknown = (c.nextUnknown + i) % len(listed)
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
func (c *coordinator) read(ctx context.Context, member Member, lists, counts bool) {
	requestedAt, isDirect := time.Now(), false
	args := ReadArgs{Caller: c.caller(), Counts: counts, Lists: lists}
	var reply ReadReply
	if err := c.call(ctx, member.Agent, methodRead, args, &reply); err != nil {
		// A new coordinator must read every rank before it knows the ranks, including
		// one whose agent is unreachable: the group may pause until it has.
		if c.stopIfFenced(err) || !lists && !c.isRank(member) {
			return
		}
		// Reading counts or lists from another machine makes the group pause.
		reply, isDirect = ReadReply{}, true
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := readEngine(callCtx, c.directEngine(member.Server), lists && c.allowRemoteLists(), &reply); err != nil {
			return // A missing answer does not change the control state.
		}
	}
	c.recordReport(member, mapswitch.RankRead{State: reply.State, Lists: reply.Lists, RequestedAt: requestedAt, Direct: isDirect})
	if reply.Gains != nil {
		c.planner.enqueue(rankGains{packed: reply.Gains, elapsed: reply.Elapsed})
	}
}

// allowRemoteLists reports whether an engine's lists may now be read from another
// machine, and if so records the read.
func (c *coordinator) allowRemoteLists() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.remoteListsAt) < remoteListsInterval {
		return false
	}
	c.remoteListsAt = time.Now()
	return true
}

// recordReport updates the known ranks from a report and posts it to the control loop.
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
		c.addresses = map[int]Member{}
	}
	if state.Epoch == c.epoch {
		c.addresses[state.Rank] = member
	}
	c.mu.Unlock()
	c.loop.Post(read)
}

// markForeign records that the member belongs to another group, and closes the
// connection to its agent.
func (c *coordinator) markForeign(member Member) {
	c.mu.Lock()
	c.foreignSince[member.Server] = time.Now()
	c.mu.Unlock()
	c.peers.Drop(member.Agent)
}

// member returns the member with the rank, and false if it is unknown.
func (c *coordinator) member(rank int) (Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	member, ok := c.addresses[rank]
	return member, ok
}

func (c *coordinator) isRank(member Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, known := range c.addresses {
		if known == member {
			return true
		}
	}
	return false
}

func (c *coordinator) execute(ctx context.Context, effect reduce.Effect) {
	switch effect := effect.(type) {
	case mapswitch.SendOrder:
		member, ok := c.member(effect.Rank)
		through, okThrough := c.member(effect.Through)
		if ok && okThrough {
			go c.give(ctx, member, through, effect)
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

// give passes an order to a rank through an agent. If the agent is unreachable, orders
// to prepare, arm or disarm go directly to the engine. Holds are set and released only
// through an agent, which refuses a superseded coordinator.
func (c *coordinator) give(ctx context.Context, member, through Member, give mapswitch.SendOrder) {
	requestedAt, order := time.Now(), give.Order
	returned := mapswitch.OrderReturned{Rank: give.Rank, Kind: order.Kind}
	read := mapswitch.RankRead{RequestedAt: requestedAt}
	defer func() { c.loop.Post(returned) }()
	var reply GiveReply
	if err := c.giveThroughAgent(ctx, member, through, give, &reply); err != nil {
		if c.stopIfFenced(err) || order.Kind == topology.Hold || order.Kind == topology.Release {
			c.logOrderFailure(member, order, err.Error())
			return
		}
		read.Direct = true
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := giveAndReport(callCtx, c.directEngine(member.Server), order, &reply); err != nil {
			c.logOrderFailure(member, order, err.Error())
			return
		}
	}
	returned.Answered = true
	if reply.Problem != "" {
		c.logOrderFailure(member, order, reply.Problem)
	}
	if through != member {
		go c.read(ctx, member, false, false) // Only the rank's own agent reads an up-to-date report.
		return
	}
	read.State = reply.State
	c.recordReport(member, read)
}

// giveThroughAgent passes an order to a rank's agent. A prepare order carries only the
// changes to the map in use, unless the agent doesn't have that map.
func (c *coordinator) giveThroughAgent(ctx context.Context, member, through Member, give mapswitch.SendOrder, reply *GiveReply) error {
	whole := GiveArgs{Caller: c.caller(), Order: give.Order}
	if through != member {
		whole.Server = member.Server
		return c.call(ctx, through.Agent, methodGive, whole, reply)
	}
	if give.BaseMap == nil {
		return c.call(ctx, member.Agent, methodGive, whole, reply)
	}
	args := c.copyOrder(give)
	if !args.hasChanges() {
		return c.call(ctx, member.Agent, methodGive, whole, reply)
	}
	if err := c.call(ctx, member.Agent, methodGive, args, reply); err != nil || !reply.UnknownBase {
		return err
	}
	*reply = GiveReply{}
	return c.call(ctx, member.Agent, methodGive, whole, reply)
}

// copyOrder returns the prepare order as changes to the map in use. The result is
// reused for all ranks, which get the same order: comparing whole maps takes a large
// part of a small machine's processor time.
func (c *coordinator) copyOrder(give mapswitch.SendOrder) GiveArgs {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.latestCopyOrder.Order
	if known.Version == give.Order.Version && known.Epoch == give.Order.Epoch && c.latestCopyOrder.Base == give.BaseVersion {
		return c.latestCopyOrder
	}
	args := GiveArgs{
		Caller: c.caller(), Order: give.Order,
		Base: give.BaseVersion, Changes: mapswitch.Changes(give.BaseMap, give.Order.Map),
	}
	args.InTurn, _ = mapswitch.DealtInTurn(give.BaseMap)
	args.Order.Map = nil
	c.latestCopyOrder = args
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
