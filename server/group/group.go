// Package group carries out the decisions of a group's agents about the expert
// map: it reads and writes the lease and the record in the table service, sends
// orders between agents and to the engine, keeps maps in the object store and
// loads weights.
package group

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/expertmap"
	"persimmonwind.dev/policy/planner"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/node"
	"persimmonwind.dev/server/ports"
)

const (
	// callTimeout bounds a call to the table service, the object store, another agent
	// or the engine.
	callTimeout = 2 * time.Second
	// weightTimeout bounds loading a rank's weights for one map.
	weightTimeout = 9 * time.Minute
)

// Group carries out the expert map decisions of one agent in its group. A ticket
// identifies a received order whose RPC call waits for the outcome.
type Group struct {
	node   *node.Node
	engine ports.RankEngine

	orders chan expertmap.Forward // Orders for the engine, processed one at a time.

	mu            sync.Mutex
	lastTicket    uint64
	pendingOrders map[uint64]chan answer // Received orders that have no outcome yet, by ticket.
	plannedMap    planner.Placement      // The latest planned map; written to the object store when its change begins.
	latestLoaded  loadedMap
	loadingMapID  expertmap.ID

	plannerState       planner.State // State of the planner; only the planning goroutine uses it and decisionRecordedAt.
	decisionRecordedAt time.Time
}

// New returns a Group and registers its executor and its RPC receiver at the
// agent's node.
func New(n *node.Node, engine ports.RankEngine) *Group {
	g := &Group{
		node: n, engine: engine,
		orders:        make(chan expertmap.Forward, orderQueueLength),
		pendingOrders: map[uint64]chan answer{},
	}
	n.AddExecutor(g.execute)
	n.AddReceiver("Group", &receiver{group: g})
	return g
}

// Run passes orders to the engine and runs the planner until ctx ends.
func (g *Group) Run(ctx context.Context) error {
	go g.runPlanner(ctx)
	for {
		select {
		case forward := <-g.orders:
			g.forward(ctx, forward)
		case <-ctx.Done():
			return nil
		}
	}
}

func (g *Group) name() string { return g.node.State().Member.Group }

func (g *Group) execute(ctx context.Context, effect reduce.Effect) bool {
	switch effect := effect.(type) {
	case expertmap.Send:
		go g.send(ctx, effect)
	case expertmap.Forward:
		g.enqueueOrder(effect)
	case expertmap.RefuseOrder:
		g.answer(effect.RequestID, answer{isRefused: true, highestSeen: effect.Seen})
		g.log(logevent.MapOrderRefused, logrus.Fields{"fence": effect.Seen.Fence, "ready": effect.FenceKnown})
	case expertmap.PublishMap:
		go g.storeMap(ctx, effect.ID)
	case expertmap.Notice:
		g.logNotice(effect)
	default:
		return g.executeTable(ctx, effect)
	}
	return true
}

// logNotice logs a change of phase, or the ranks for which the change waits.
func (g *Group) logNotice(n expertmap.Notice) {
	event := logevent.MapPhaseEntered
	if len(n.Ranks) > 0 {
		event = logevent.MapWaitingForRanks
	}
	if n.Phase == expertmap.Querying {
		return // This phase recurs every few seconds, so it is not logged.
	}
	g.log(event, logrus.Fields{"phase": n.Phase, "map": n.Change.ID.String(), "first_step": n.Change.FirstStep, "ranks": n.Ranks})
}

func (g *Group) log(event logevent.Event, fields logrus.Fields) {
	fields["group"] = g.name()
	logevent.Write(g.node.Log(), event, fields)
}

func (g *Group) objectName(id expertmap.ID) string {
	return fmt.Sprintf("expert-maps/%s/%s", g.name(), id)
}

// storeMap writes the planned map to the object store under the change's ID.
// Until the map is there, the ranks fail to read it and try again.
func (g *Group) storeMap(ctx context.Context, id expertmap.ID) {
	g.mu.Lock()
	placement := g.plannedMap
	g.mu.Unlock()
	body, err := json.Marshal(placement)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err = g.node.Store.Objects().Put(ctx, g.objectName(id), body)
	}
	if err != nil {
		g.log(logevent.MapOrderFailed, logrus.Fields{"map": id.String(), "error": err.Error()})
	}
}

// readMap reads a map from the object store. It returns the map decoded and as
// stored.
func (g *Group) readMap(ctx context.Context, id expertmap.ID) (planner.Placement, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body, err := g.node.Store.Objects().Get(ctx, g.objectName(id))
	if err != nil {
		return nil, nil, fmt.Errorf("read map %s: %w", id, err)
	}
	var placement planner.Placement
	if err := json.Unmarshal(body, &placement); err != nil {
		return nil, nil, fmt.Errorf("decode map %s: %w", id, err)
	}
	return placement, body, nil
}

// outcomeUnknown reports whether a write may have taken effect.
func outcomeUnknown(err error) bool { return !errors.Is(err, ports.ErrConflict) }
