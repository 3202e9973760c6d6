package mapcontrol

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/mapswitch"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/logevent"
)

// sendToRank sends an order to one rank in the background.
func (c *coordinator) sendToRank(ctx context.Context, order mapswitch.SendOrder) {
	member, ok := c.member(order.Rank)
	relay, okRelay := c.member(order.SenderRank)
	if ok && okRelay {
		go c.sendOrder(ctx, member, relay, order)
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
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout(order.Kind))
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
		return c.giveCall(ctx, relay.Agent, wholeOrder, reply)
	}
	if sendOrder.BaseMap == nil {
		return c.giveCall(ctx, member.Agent, wholeOrder, reply)
	}
	args := c.prepareOrderAsChanges(sendOrder)
	if !args.hasChanges() {
		return c.giveCall(ctx, member.Agent, wholeOrder, reply)
	}
	if err := c.giveCall(ctx, member.Agent, args, reply); err != nil || !reply.UnknownBase {
		return err
	}
	*reply = GiveReply{}
	return c.giveCall(ctx, member.Agent, wholeOrder, reply)
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
		Base: sendOrder.BaseVersion, Changes: mapswitch.PackChanges(mapswitch.Changes(sendOrder.BaseMap, sendOrder.Order.Map)),
	}
	args.InTurn, _ = mapswitch.RoundRobinShape(sendOrder.BaseMap)
	args.Order.Map = nil
	c.latestPrepareOrder = args
	return args
}

// giveCall passes an order to an agent.
func (c *coordinator) giveCall(ctx context.Context, agent string, args GiveArgs, reply *GiveReply) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout(args.Order.Kind))
	defer cancel()
	return callAgent(ctx, c.peers, agent, methodGive, args, reply)
}

func (c *coordinator) logOrderFailure(member Member, order topology.Order, problem string) {
	logevent.Write(c.log, logevent.MapOrderFailed, logrus.Fields{
		"group": c.group, "server": member.Server, "order": order.Kind.String(),
		"epoch": order.Epoch, "version": order.Version, "pass": order.Pass, "error": problem,
	})
}
