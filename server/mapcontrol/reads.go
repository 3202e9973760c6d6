package mapcontrol

import (
	"context"
	"time"

	"persimmonwind.dev/policy/mapswitch"
)

// readAll reads all ranks of the group, and members whose group is unknown, at each
// interval until ctx ends. The interval is shorter while a change is in progress.
func (c *coordinator) readAll(ctx context.Context) {
	var lastCountsReadAt time.Time
	firstCounted := 0 // Index of the first member or batch whose counts are read in the next round.
	for ctx.Err() == nil {
		current := view{MustReadLists: true}
		if lastView := c.loop.View(); lastView != nil {
			current = *lastView
		}
		skipsLists := c.checkOpening(ctx, current)
		members := c.membersToRead(current.Size)
		round := c.newReadRound(members)
		interval := readInterval
		if current.Phase != mapswitch.Idle && (current.Phase != mapswitch.Survey || c.opening.isOpen()) {
			interval = min(interval, round.changeInterval)
		}
		countsDue := time.Since(lastCountsReadAt) >= readInterval-interval/2 && !current.needsLinkForOrders()
		if countsDue {
			lastCountsReadAt = time.Now()
		}
		recountAll, recountNumber := false, 0
		if round.isRelayed {
			recountAll, recountNumber = c.planner.recount.nextRound(len(round.calls))
		}
		calls := len(round.calls)
		for i, call := range round.calls {
			readCounts := recountAll || countsDue && (i+calls-firstCounted%calls)%calls < round.countedCalls
			go call(ctx, readOptions{lists: current.MustReadLists && !skipsLists, counts: readCounts, recount: recountNumber})
		}
		if countsDue && !recountAll && calls > 0 {
			firstCounted = (firstCounted + round.countedCalls) % calls
		}
		if len(members) == 0 && c.classAware() {
			interval = openCheckInterval // The list of servers is being read.
		}
		c.waitForRound(ctx, interval)
	}
}

// readOptions select what is read besides the states of ranks.
type readOptions struct {
	lists   bool
	counts  bool
	recount int // Number of the recount to which the counts belong; 0 for none.
}

// readRound is a round of calls that read members directly or in batches.
type readRound struct {
	calls          []func(ctx context.Context, options readOptions)
	isRelayed      bool          // The calls go to relays.
	countedCalls   int           // Number of calls that also read counts.
	changeInterval time.Duration // Interval between rounds while a change is in progress.
}

// newReadRound returns the calls that read the members.
func (c *coordinator) newReadRound(members []Member) readRound {
	if !usesRelays(len(members)) {
		round := readRound{countedCalls: countedRanksPerRound, changeInterval: time.Duration(len(members)) * changeReadIntervalPerRank}
		for _, member := range members {
			round.calls = append(round.calls, func(ctx context.Context, options readOptions) {
				c.read(ctx, member, options.lists, options.counts)
			})
		}
		return round
	}
	batches := relayBatches(members)
	round := readRound{isRelayed: true, countedCalls: countedBatchesPerRound, changeInterval: time.Duration(len(batches)) * changeReadIntervalPerBatch}
	for _, batch := range batches {
		round.calls = append(round.calls, func(ctx context.Context, options readOptions) {
			c.readThroughRelay(ctx, batch, options)
		})
	}
	return round
}

// read reads a rank through its agent, or directly from the engine if the agent does
// not answer.
func (c *coordinator) read(ctx context.Context, member Member, readLists, readCounts bool) {
	requestedAt, isDirect := time.Now(), false
	args := ReadArgs{Caller: c.caller(), Counts: readCounts, Lists: readLists}
	var reply ReadReply
	if err := c.call(ctx, member.Agent, methodRead, args, &reply); err != nil {
		// A new coordinator must read every rank before it knows the ranks, including
		// one whose agent is unreachable: the group may pause until it has.
		if c.stopIfFenced(err) || !readLists && !c.isSurveying() && !c.isRank(member) {
			return
		}
		// Reading counts or lists from another machine makes the group pause, so counts
		// are left out and lists are read rarely.
		select {
		case c.engineReads <- struct{}{}:
			defer func() { <-c.engineReads }()
		default:
			return // A later round reads the engine.
		}
		reply, isDirect = ReadReply{}, true
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := readEngine(callCtx, c.directEngine(member.Server), readLists && !c.hasLists(member) && c.allowRemoteLists(), &reply); err != nil {
			return // A read without an answer does not change the control state.
		}
	}
	c.recordReport(member, mapswitch.RankRead{State: reply.State, Lists: reply.Lists, RequestedAt: requestedAt, AgentUnreachable: isDirect})
	if reply.Gains != nil {
		c.planner.enqueue(countGains{packed: reply.Gains})
	}
}

// hasLists reports whether the expert lists of the member are known: those that are not must
// not wait for reads of those that are.
func (c *coordinator) hasLists(member Member) bool {
	current := c.loop.View()
	if current == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for rank, known := range c.membersByRank {
		if known.Server == member.Server {
			return current.HasLists[rank]
		}
	}
	return false
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
