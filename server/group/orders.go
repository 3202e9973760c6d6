package group

import (
	"context"
	"errors"
	"fmt"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/expertmap"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/wire"
)

// orderQueueLength is the number of orders that may wait for the engine; more
// are dropped, and the coordinator sends them again.
const orderQueueLength = 64

// expertBytes is the size of one expert's weights.
const expertBytes = 44 << 20

// loadedMap is an encoded expert map for which the rank's weights have been loaded.
type loadedMap struct {
	id   expertmap.ID
	body []byte
}

// answer is the outcome of a received order, with which its RPC call returns.
type answer struct {
	state       expertmap.EngineState
	isRefused   bool
	highestSeen expertmap.Number // Highest order or fencing number that the rank has seen; set if the order is refused.
	err         error
}

// receiver is the RPC receiver for the coordinator's orders.
type receiver struct{ group *Group }

// Order passes the order to the control loop and waits for its outcome.
func (r *receiver) Order(request wire.MapOrder, reply *wire.MapReply) error {
	r.group.node.ObserveStamp(request.Stamp)
	ticket, done := r.group.registerOrder()
	r.group.node.Loop.Post(expertmap.OrderReceived{RequestID: ticket, Order: request.Order})
	result := <-done
	reply.Stamp = r.group.node.Stamp()
	reply.State, reply.Refused, reply.Seen = result.state, result.isRefused, result.highestSeen
	return result.err
}

// registerOrder returns a new ticket and the channel that receives the outcome of its
// order.
func (g *Group) registerOrder() (uint64, <-chan answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastTicket++
	done := make(chan answer, 1)
	g.pendingOrders[g.lastTicket] = done
	return g.lastTicket, done
}

// answer delivers the outcome of the ticket's order to its waiting RPC call.
func (g *Group) answer(ticket uint64, a answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if done, ok := g.pendingOrders[ticket]; ok {
		delete(g.pendingOrders, ticket)
		done <- a
	}
}

// enqueueOrder queues the order for the engine. It fails the order if the queue is
// full.
func (g *Group) enqueueOrder(forward expertmap.Forward) {
	select {
	case g.orders <- forward:
	default:
		g.answer(forward.RequestID, answer{err: fmt.Errorf("order queue is full: %d orders wait for the engine", orderQueueLength)})
	}
}

// forward sends the order to the engine and answers the order's ticket. An order
// that needs a map fails until the weights of that map are loaded.
func (g *Group) forward(ctx context.Context, forward expertmap.Forward) {
	state, err := g.sendToEngine(ctx, forward.Order)
	if errors.Is(err, ports.ErrFenced) || errors.Is(err, ports.ErrUnavailable) {
		g.log(logevent.MapOrderFailed, logrus.Fields{"order": forward.Order.Kind, "error": err.Error()})
	}
	g.answer(forward.RequestID, answer{state: state, err: err})
}

// sendToEngine sends the order to the engine, with the map that the order needs, and
// returns the engine's state after it.
func (g *Group) sendToEngine(ctx context.Context, order expertmap.Order) (expertmap.EngineState, error) {
	request := ports.RankOrder{Fence: order.Number.EngineFence(), Order: order}
	if id, needs := requiredMap(order); needs {
		body, err := g.mapWithWeights(ctx, id)
		if err != nil {
			return expertmap.EngineState{}, err
		}
		request.Map = body
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return g.engine.OrderMap(ctx, request)
}

// requiredMap returns the ID of the map that the engine needs for the order, if
// it needs one.
func requiredMap(order expertmap.Order) (expertmap.ID, bool) {
	switch order.Kind {
	case expertmap.Prepare:
		return order.Change.ID, true
	case expertmap.Install:
		return order.State.InForce.ID, true
	}
	return expertmap.ID{}, false
}

// mapWithWeights returns the map once the rank's weights are loaded. Until then
// it returns an error and loads them in the background, so that other orders are not
// delayed; the coordinator retries.
func (g *Group) mapWithWeights(ctx context.Context, id expertmap.ID) ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.latestLoaded.id == id && g.latestLoaded.body != nil {
		return g.latestLoaded.body, nil
	}
	if g.loadingMapID != id {
		g.loadingMapID = id
		go g.loadWeights(ctx, id)
	}
	return nil, fmt.Errorf("weights of map %s are loading", id)
}

// loadWeights loads the map and the rank's weights for it. It keeps the result unless
// another map has been asked for meanwhile.
func (g *Group) loadWeights(ctx context.Context, id expertmap.ID) {
	body, err := g.loadMapAndWeights(ctx, id)
	if err != nil {
		g.log(logevent.MapOrderFailed, logrus.Fields{"map": id.String(), "error": err.Error()})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.loadingMapID != id {
		return
	}
	g.loadingMapID = expertmap.ID{}
	if err == nil {
		g.latestLoaded = loadedMap{id: id, body: body}
	}
}

// loadMapAndWeights reads the map and loads the rank's weights for it from the
// weight store.
func (g *Group) loadMapAndWeights(ctx context.Context, id expertmap.ID) ([]byte, error) {
	placement, body, err := g.readMap(ctx, id)
	if err != nil {
		return nil, err
	}
	member := g.node.State().Member
	experts := 0
	for _, layer := range placement {
		experts += len(layer) / member.Size
	}
	ctx, cancel := context.WithTimeout(ctx, weightTimeout)
	defer cancel()
	if err := g.node.Store.Fetch(ctx, g.objectName(id), int64(experts)*expertBytes); err != nil {
		return nil, fmt.Errorf("load weights of map %s: %w", id, err)
	}
	return body, nil
}

// send sends the order to the rank's agent and posts its reply.
func (g *Group) send(ctx context.Context, send expertmap.Send) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := wire.MapOrder{Stamp: g.node.Stamp(), Order: send.Order}
	var reply wire.MapReply
	if err := g.callRank(ctx, send.Rank, request, &reply); err != nil {
		return
	}
	g.node.ObserveStamp(reply.Stamp)
	g.node.Loop.Post(expertmap.ReplyReceived{
		Rank: send.Rank, Kind: send.Order.Kind, Number: send.Order.Number,
		State: reply.State, Refused: reply.Refused, Seen: reply.Seen,
	})
}

// callRank calls the rank's agent. For its own rank it calls this process
// directly, whatever the instance list says.
func (g *Group) callRank(ctx context.Context, rank int, request wire.MapOrder, reply *wire.MapReply) error {
	if rank == g.node.State().Member.Rank {
		return (&receiver{group: g}).Order(request, reply)
	}
	agentAddress, ok := g.agentAddress(rank)
	if !ok {
		return fmt.Errorf("no agent is listed for rank %d", rank)
	}
	return g.node.Pool.Call(ctx, agentAddress, "Group.Order", request, reply)
}

// agentAddress returns the control address of the rank's agent.
func (g *Group) agentAddress(rank int) (string, bool) {
	state := g.node.State()
	for _, instance := range g.node.Instances() {
		server := state.View.InForce.BackendServers[instance.BackendServer]
		if instance.Role == ports.RoleAgent && server.Group == state.Member.Group && server.Rank == rank {
			return instance.Control, true
		}
	}
	return "", false
}
