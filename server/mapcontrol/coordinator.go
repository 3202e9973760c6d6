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
	// callTimeout bounds one call to an agent with its calls to the engine.
	callTimeout = 300 * time.Millisecond
	// countedRanksPerRound is how many ranks' counts are read in one round. Requests are
	// spread over all ranks alike, so a part of a large group tells the demand of
	// all, and the link of the coordinator's machine holds it.
	countedRanksPerRound = 12
	// remoteListsInterval bounds how often an engine's lists are read from afar, which
	// makes its group pause.
	remoteListsInterval = time.Second
	// readInterval is how often every rank is read, which tells the agents too
	// that the coordinator lives.
	readInterval = 100 * time.Millisecond
	// changeReadIntervalPerRank holds while a change is under way, for each rank: 24 ms
	// in a group of twelve, and never more calls a second in a larger one.
	changeReadIntervalPerRank = 2 * time.Millisecond
	// foreignMemberTTL is how long a member that has shown another group is not read again;
	// soughtLife is the same while ranks of the own group are missing. Servers join
	// other groups only when they restart, which takes seconds.
	foreignMemberTTL               = 5 * time.Second
	foreignMemberTTLWhileSearching = 500 * time.Millisecond
	// maxUnknownReads bounds how many members of unknown groups are read in a round. A
	// large service has dozens of groups, each with a coordinator that looks for its
	// ranks; each read of another machine opens a connection.
	maxUnknownReads = 128
	// tickInterval is how often the coordinator looks at orders without effect.
	tickInterval = 10 * time.Millisecond
)

// coordinator runs the map of one group under one lease.
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
	addresses    map[int]Member       // Of the ranks of the epoch.
	foreignSince map[string]time.Time // When members showed another group, by server.

	nextUnknown     int // Index of the listed member from which unknown ones are read.
	epoch           int64
	remoteListsAt   time.Time // When an engine's lists were last read from afar.
	latestCopyOrder GiveArgs  // The latest order to copy, as changes.
}

// Member is a backend server of a group and the agent beside it.
type Member struct {
	Server string // host:port.
	Agent  string // host:port.
}

// view is what the planner and the reader see of the control state.
type view struct {
	Phase   mapswitch.Phase
	Epoch   int64
	Size    int
	Current mapswitch.Map
	Lists   bool

	Slowness []float64 // By rank, as reported.
	Requests int       // At all ranks, waiting ones included.
}

// slotUtilization returns the share of the group's places that are taken.
func (v view) slotUtilization(engine *topology.Engine) float64 {
	return float64(v.Requests) / float64(max(1, v.Size*engine.Slots))
}

// mayPauseForArming reports whether the group may soon rest until its ranks are armed. Counts
// would then fill the link on which the orders go out.
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
	// The loop ends without an error when its context does.
	_ = c.loop.Run(ctx, mapswitch.New(c.fence, ownRank), tickInterval)
}

// readAll reads every member at each interval.
func (c *coordinator) readAll(ctx context.Context) {
	var countsAt time.Time
	round := 0 // Index of the first rank whose counts are read.
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
			counted := counts && (i+len(members)-round)%len(members) < countedRanksPerRound
			go c.read(ctx, member, now.Lists, counted)
		}
		if counts && len(members) > 0 {
			round = (round + countedRanksPerRound) % len(members)
		}
		wait.For(ctx, interval)
	}
}

// membersToRead returns the ranks of the epoch, also those that are listed no more, and
// some of the listed members whose group is not known.
func (c *coordinator) membersToRead(size int) []Member {
	listed := c.members()
	c.mu.Lock()
	defer c.mu.Unlock()
	ranks := map[string]bool{}
	members := make([]Member, 0, len(c.addresses))
	for _, rank := range slices.Sorted(maps.Keys(c.addresses)) { // Counts are read in turn.
		member := c.addresses[rank]
		ranks[member.Server] = true
		members = append(members, member)
	}
	life := foreignMemberTTL
	if len(c.addresses) < size {
		life = foreignMemberTTLWhileSearching
	}
	unknown := 0
	for i := range listed {
		// Members that never answer must not keep the others from being read.
		member := listed[(c.nextUnknown+i)%len(listed)]
		if ranks[member.Server] || time.Since(c.foreignSince[member.Server]) < life {
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

// read reads a rank through its agent, or the engine itself where the agent
// doesn't answer.
func (c *coordinator) read(ctx context.Context, member Member, lists, counts bool) {
	asked, isDirect := time.Now(), false
	args := ReadArgs{Caller: c.caller(), Counts: counts, Lists: lists}
	var reply ReadReply
	if err := c.call(ctx, member.Agent, methodRead, args, &reply); err != nil {
		// A successor must read every rank before it knows them, also one whose
		// agent is away: the group may rest until it has.
		if c.stopIfFenced(err) || !lists && !c.isRank(member) {
			return
		}
		// Counts read from afar make the group pause, and so do lists.
		reply, isDirect = ReadReply{}, true
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := readEngine(callCtx, c.directEngine(member.Server), lists && c.allowRemoteLists(), &reply); err != nil {
			return // Nothing is concluded from silence.
		}
	}
	c.recordReport(member, mapswitch.RankRead{State: reply.State, Lists: reply.Lists, RequestedAt: asked, Direct: isDirect})
	if reply.Gains != nil {
		c.planner.enqueue(rankGains{packed: reply.Gains, elapsed: reply.Elapsed})
	}
}

// allowRemoteLists reports whether an engine's lists may be read from afar now.
func (c *coordinator) allowRemoteLists() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.remoteListsAt) < remoteListsInterval {
		return false
	}
	c.remoteListsAt = time.Now()
	return true
}

// recordReport passes a rank's report on.
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

// markForeign notes that the member belongs to another group, and closes the connection
// to its agent.
func (c *coordinator) markForeign(member Member) {
	c.mu.Lock()
	c.foreignSince[member.Server] = time.Now()
	c.mu.Unlock()
	c.peers.Drop(member.Agent)
}

// member returns the member that is the rank; not ok where it is not known.
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
		logevent.Write(c.log, logevent.LeaseSucceeded, logrus.Fields{"group": c.group, "fence": c.fence, "version": effect.Version})
		c.stop()
	case mapswitch.PhaseChanged:
		c.metrics.CountPhase(effect.To.String())
		logevent.Write(c.log, logevent.MapPhase, logrus.Fields{
			"group": c.group, "epoch": effect.Epoch, "version": effect.Version, "pass": effect.Pass,
			"phase": effect.To.String(), "from": effect.From.String(), "after_ms": effect.TimeInPhase.Milliseconds(), "reason": effect.Reason,
		})
	}
}

// give passes an order to a rank through an agent. Orders that copy, arm or disarm
// may go to the engine itself where the agent is away; a hold is only put and
// released by an agent, which refuses a coordinator that has been succeeded.
func (c *coordinator) give(ctx context.Context, member, through Member, give mapswitch.SendOrder) {
	asked, order := time.Now(), give.Order
	given := mapswitch.OrderReturned{Rank: give.Rank, Kind: order.Kind}
	read := mapswitch.RankRead{RequestedAt: asked}
	defer func() { c.loop.Post(given) }()
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
	given.Answered = true
	if reply.Problem != "" {
		c.logOrderFailure(member, order, reply.Problem)
	}
	if through != member {
		go c.read(ctx, member, false, false) // Only its own agent reads it fresh.
		return
	}
	read.State = reply.State
	c.recordReport(member, read)
}

// giveThroughAgent passes an order to a rank's agent: where the agent knows the map in use,
// what changes in it.
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

// copyOrder returns the order to copy as changes to the map in use. All ranks get
// the same, and comparing whole maps takes a large part of a small machine's
// processor.
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
		c.peers.Drop(agent) // The connection may have gone silent.
	}
	return err
}

// stopIfFenced reports whether the error says that a newer coordinator has called,
// and ends this one then.
func (c *coordinator) stopIfFenced(err error) bool {
	// net/rpc passes errors on as text.
	if !strings.HasPrefix(err.Error(), errFenced.Error()) {
		return false
	}
	c.stop()
	return true
}
