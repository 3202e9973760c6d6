package mapcontrol

import (
	"context"
	"errors"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/mapswitch"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/logevent"
)

const (
	// maxDirectRanks is the number of ranks up to which a coordinator calls their agents
	// itself. In a larger group it calls one agent for each batch of ranks, a relay,
	// which calls the others.
	maxDirectRanks = 32
	// minRelayedOrders is the number of ranks from which an order is sent through
	// relays. Resent orders usually concern few ranks, whose agents are called directly.
	minRelayedOrders = 8
	// relayRetryInterval is how long an agent that has failed as a relay is not used as
	// one again.
	relayRetryInterval = 2 * time.Second
	// relaySwitchLimit is the time within which a relay must have failed for the call to
	// be made through another one.
	relaySwitchLimit = 100 * time.Millisecond
)

// relayBatches divides the members into batches of up to about the square root of their
// number, so that a coordinator and its relays have about as many calls to make. A batch
// lies in one data centre, as traffic between data centres is charged for.
func relayBatches(members []Member) [][]Member {
	byDataCentre := map[string][]Member{}
	for _, member := range members {
		byDataCentre[member.DataCentre] = append(byDataCentre[member.DataCentre], member)
	}
	limit := max(1, int(math.Ceil(math.Sqrt(float64(len(members))))))
	var batches [][]Member
	for _, dataCentre := range slices.Sorted(maps.Keys(byDataCentre)) {
		local := byDataCentre[dataCentre]
		count := (len(local) + limit - 1) / limit
		for i := range count {
			batches = append(batches, local[i*len(local)/count:(i+1)*len(local)/count])
		}
	}
	return batches
}

// usesRelays reports whether calls to this number of ranks go through relays.
func usesRelays(ranks int) bool { return ranks > maxDirectRanks }

// chooseRelay returns the first member of the batch that has not failed as a relay
// recently; ok is false if all have. The members that take part in holds are used only if
// there is no other: while a relay passes on orders to prepare a map, it answers late.
func (c *coordinator) chooseRelay(batch []Member) (relay Member, ok bool) {
	var holdRanks [2]int
	if current := c.loop.View(); current != nil {
		holdRanks = current.HoldRanks
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, member := range batch {
		if time.Since(c.relayFailedAt[member.Agent]) < relayRetryInterval {
			continue
		}
		if member != c.membersByRank[holdRanks[0]] && member != c.membersByRank[holdRanks[1]] {
			return member, true
		}
		if !ok {
			relay, ok = member, true
		}
	}
	return relay, ok
}

// callRelay calls a method of a relay of the batch. If the relay fails at once, as one
// whose process has ended does, it tries the next one.
func (c *coordinator) callRelay(ctx context.Context, batch []Member, timeout time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	startedAt, err := time.Now(), errNoRelay
	for {
		relay, ok := c.chooseRelay(batch)
		if !ok {
			return err
		}
		if err = callAgent(ctx, c.peers, relay.Agent, method, args, reply); err == nil {
			return nil
		}
		c.markRelayFailed(relay, method, err)
		if time.Since(startedAt) > relaySwitchLimit {
			return err
		}
	}
}

// markRelayFailed keeps the agent from being used as a relay for a while.
func (c *coordinator) markRelayFailed(relay Member, method string, err error) {
	c.mu.Lock()
	isKnown := time.Since(c.relayFailedAt[relay.Agent]) < relayRetryInterval
	c.relayFailedAt[relay.Agent] = time.Now()
	c.mu.Unlock()
	if !isKnown {
		logevent.Write(c.log, logevent.RelayFailed, logrus.Fields{
			"group": c.group, "agent": relay.Agent, "method": method, "error": err.Error(),
		})
	}
}

// errNoRelay means that all members of a batch have failed as relays recently.
var errNoRelay = errors.New("no agent of the batch serves as a relay")

// readThroughRelay reads the ranks of a batch through a relay. Ranks that the relay
// can't reach are read directly.
func (c *coordinator) readThroughRelay(ctx context.Context, batch []Member, options readOptions) {
	requestedAt := time.Now()
	args := RelayReadArgs{ReadArgs: ReadArgs{Caller: c.caller(), Counts: options.counts, Lists: options.lists}, Agents: agentsOf(batch)}
	var reply RelayReadReply
	if err := c.callRelay(ctx, batch, callTimeout, methodRelayRead, args, &reply); err != nil || len(reply.Reads) != len(batch) {
		if errors.Is(err, errNoRelay) {
			c.readUnreached(ctx, batch, options.lists)
		}
		return // The next round uses another relay.
	}
	var events []reduce.Event
	var unreached []Member
	for i, read := range reply.Reads {
		if read.Error != "" {
			if c.stopIfFenced(errors.New(read.Error)) {
				return
			}
			unreached = append(unreached, batch[i])
			continue
		}
		if c.recordMember(batch[i], read.Reply.State) {
			events = append(events, mapswitch.RankRead{State: read.Reply.State, Lists: read.Reply.Lists, RequestedAt: requestedAt})
		}
	}
	if len(events) > 0 {
		c.loop.Post(mapswitch.Batch{Events: events})
	}
	if reply.Gains != nil {
		c.planner.enqueue(countGains{packed: reply.Gains, recount: options.recount})
	}
	c.readUnreached(ctx, unreached, options.lists)
}

// readUnreached reads ranks directly whose agents a relay did not reach.
func (c *coordinator) readUnreached(ctx context.Context, members []Member, readLists bool) {
	for _, member := range members {
		go c.read(ctx, member, readLists, false)
	}
}

// relayedOrder is the effect that sends one order to several ranks, through their own
// agents.
type relayedOrder struct {
	mapswitch.SendOrder // The order to the first of the ranks.

	ranks []int
}

func (relayedOrder) EffectName() string { return "mapcontrol.relayed_order" }

// collectOrders replaces the effects that send the same order to several ranks, through
// their own agents, by one effect.
func collectOrders(effects []reduce.Effect) []reduce.Effect {
	var collected []reduce.Effect
	var latest *relayedOrder
	for _, effect := range effects {
		send, ok := effect.(mapswitch.SendOrder)
		if !ok || send.SenderRank != send.Rank || send.Order.Kind == topology.Hold || send.Order.Kind == topology.Release {
			collected = append(collected, effect)
			continue
		}
		if latest != nil && latest.Order.Kind == send.Order.Kind && latest.Order.Version == send.Order.Version && latest.Order.Pass == send.Order.Pass {
			latest.ranks = append(latest.ranks, send.Rank)
			continue
		}
		latest = &relayedOrder{SendOrder: send, ranks: []int{send.Rank}}
		collected = append(collected, latest)
	}
	return collected
}

// stepCollectingOrders is mapswitch.Step with equal orders collected.
func stepCollectingOrders(s mapswitch.State, input reduce.Input) (mapswitch.State, []reduce.Effect) {
	s, effects := mapswitch.Step(s, input)
	return s, collectOrders(effects)
}

// sendToRanks sends the order to its ranks, through relays if there are many.
func (c *coordinator) sendToRanks(ctx context.Context, order *relayedOrder) {
	members, ranks := c.knownMembers()
	if !usesRelays(len(members)) || len(order.ranks) < minRelayedOrders {
		for _, rank := range order.ranks {
			c.sendToRank(ctx, order.forRank(rank))
		}
		return
	}
	// The batches are those of the reads, so that relays are already connected to the
	// agents that they call.
	for _, batch := range relayBatches(members) {
		receivers := slices.DeleteFunc(slices.Clone(batch), func(member Member) bool {
			return !slices.Contains(order.ranks, ranks[member.Server])
		})
		if len(receivers) > 0 {
			go c.giveThroughRelay(ctx, batch, receivers, ranks, order)
		}
	}
}

// forRank returns the order to one of the ranks.
func (o *relayedOrder) forRank(rank int) mapswitch.SendOrder {
	send := o.SendOrder
	send.Rank, send.SenderRank = rank, rank
	return send
}

// knownMembers returns the members of the group in the order of their ranks, and their
// ranks by server.
func (c *coordinator) knownMembers() (members []Member, ranks map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ranks = make(map[string]int, len(c.membersByRank))
	for _, rank := range slices.Sorted(maps.Keys(c.membersByRank)) {
		member := c.membersByRank[rank]
		members, ranks[member.Server] = append(members, member), rank
	}
	return members, ranks
}

// giveThroughRelay sends the order to some ranks of a batch through the batch's relay.
// It sends the order directly to ranks that the relay can't reach, and to ranks whose
// agents don't have the map to which the order's changes apply.
func (c *coordinator) giveThroughRelay(ctx context.Context, batch, receivers []Member, ranks map[string]int, order *relayedOrder) {
	requestedAt := time.Now()
	args := RelayGiveArgs{GiveArgs: GiveArgs{Caller: c.caller(), Order: order.Order}, Agents: agentsOf(receivers)}
	if order.BaseMap != nil {
		args.GiveArgs = c.prepareOrderAsChanges(order.SendOrder)
	}
	var reply RelayGiveReply
	if err := c.callRelay(ctx, batch, orderTimeout(order.Order.Kind), methodRelayGive, args, &reply); err != nil || len(reply.Gives) != len(receivers) {
		for _, member := range receivers {
			c.sendToRank(ctx, order.forRank(ranks[member.Server]))
		}
		return
	}
	var events []reduce.Event
	for i, give := range reply.Gives {
		rank := ranks[receivers[i].Server]
		switch {
		case give.Error != "" && c.stopIfFenced(errors.New(give.Error)):
			return
		case give.Error != "" || give.Reply.UnknownBase:
			c.sendToRank(ctx, order.forRank(rank))
			continue
		case give.Reply.Problem != "":
			c.logOrderFailure(receivers[i], order.Order, give.Reply.Problem)
		}
		events = append(events, mapswitch.OrderReturned{Rank: rank, Kind: order.Order.Kind, Answered: true})
		if c.recordMember(receivers[i], give.Reply.State) {
			events = append(events, mapswitch.RankRead{State: give.Reply.State, RequestedAt: requestedAt})
		}
	}
	if len(events) > 0 {
		c.loop.Post(mapswitch.Batch{Events: events})
	}
}

func agentsOf(members []Member) []string {
	agents := make([]string, len(members))
	for i, member := range members {
		agents[i] = member.Agent
	}
	return agents
}

// isFenced reports whether the error of a call means that a newer coordinator has
// called. net/rpc transmits errors as text, and relays pass that text on.
func isFenced(err error) bool { return strings.Contains(err.Error(), errFenced.Error()) }
