package mapswitch

import (
	"fmt"
	"time"

	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/topology"
)

// modelRank models a rank of an engine: it keeps one prepared version, one armed
// switch and one hold, and rejects orders that do not match its state.
type modelRank struct {
	highestVersion int64 // The highest map version that the rank has prepared.
	prepared       int64
	content        map[int64]string // By version: the content of every map that the rank has prepared.
	maps           map[mapKey]Map   // The maps of content, as the rank's agent remembers them, also after the epoch.
	version        int64
	armed          int64
	armedPass      int64
	heldPass       int64
}

// mapKey names a map in the memory of an agent.
type mapKey struct{ epoch, version int64 }

// modelGroup models a group of ranks that run passes in lock-step. It counts the
// epochs, one each time the group forms, and the passes begun.
type modelGroup struct {
	epoch int64
	pass  int64
	ranks []*modelRank
}

func newModelGroup(size int) *modelGroup {
	g := &modelGroup{ranks: make([]*modelRank, size)}
	g.startEpoch()
	return g
}

// startEpoch starts a new epoch, in which every rank uses map version 0 and has no
// prepared or armed map version and no pass before which it waits.
func (g *modelGroup) startEpoch() {
	g.epoch++
	for i, before := range g.ranks {
		g.ranks[i] = &modelRank{content: map[int64]string{0: "0"}, maps: map[mapKey]Map{}}
		if before != nil {
			g.ranks[i].maps = before.maps
		}
	}
}

// apply executes an order, or ignores it if it does not match the rank's state.
func (g *modelGroup) apply(rank int, order topology.Order) {
	r := g.ranks[rank]
	if order.Epoch != g.epoch {
		return
	}
	switch order.Kind {
	case topology.Prepare:
		if order.Version > r.highestVersion && r.armed == 0 {
			r.highestVersion, r.prepared = order.Version, order.Version
			r.content[order.Version], r.maps[mapKey{g.epoch, order.Version}] = fmt.Sprint(order.Map), order.Map
		}
	case topology.Arm:
		if r.prepared == order.Version && order.Pass > g.pass {
			r.armed, r.armedPass = order.Version, order.Pass
		}
	case topology.Hold:
		if r.heldPass == 0 && order.Pass > g.pass {
			r.heldPass = order.Pass
		}
	case topology.Disarm:
		if r.armed == order.Version {
			r.armed, r.armedPass = 0, 0
		}
	case topology.Release:
		if r.heldPass == order.Pass {
			r.heldPass = 0
		}
	}
}

// expand returns the order as the rank's agent passes it on to the engine. If the
// agent knows the base map of the order, it builds the next map from its own copy and
// the changes.
func (g *modelGroup) expand(send SendOrder) topology.Order {
	base, hasBase := g.ranks[send.Rank].maps[mapKey{send.Order.Epoch, send.BaseVersion}]
	if send.Order.Kind != topology.Prepare || send.BaseMap == nil || !hasBase {
		return send.Order
	}
	if next, ok := Apply(base, Changes(send.BaseMap, send.Order.Map)); ok {
		send.Order.Map = next
	}
	return send.Order
}

// beginPass begins the next pass unless a rank has an unreleased hold on it. It returns
// an error if two ranks then have different maps.
func (g *modelGroup) beginPass() error {
	for _, r := range g.ranks {
		if r.heldPass == g.pass+1 {
			return nil
		}
	}
	g.pass++
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedPass == g.pass {
			r.version, r.armed, r.armedPass, r.prepared = r.armed, 0, 0, 0
		}
	}
	first := g.ranks[0]
	for i, r := range g.ranks {
		if r.version != first.version || r.content[r.version] != first.content[first.version] {
			return fmt.Errorf("pass %d of epoch %d: rank 0 has version %d, rank %d has %d", g.pass, g.epoch, first.version, i, r.version)
		}
	}
	return nil
}

// report returns the rank's own report.
func (g *modelGroup) report(rank int) RankRead {
	r := g.ranks[rank]
	return RankRead{
		State: topology.RankState{
			Group: "g", Epoch: g.epoch, Rank: rank, Size: len(g.ranks), Open: true, Pass: g.pass,
			MapVersion: r.version, Prepared: r.prepared, Armed: r.armed, ArmedPass: r.armedPass, HeldPass: r.heldPass,
		},
		Lists: topology.RankLists{MapVersion: r.version, Experts: [][]int{{rank}, {rank}}},
	}
}

// lossyNetwork carries orders and reports. It loses some of them, and keeps some orders
// back to deliver them late.
type lossyNetwork struct {
	group        *modelGroup
	delayed      []delayedOrder
	fences       map[int]uint64 // Highest fencing number that each rank's agent has seen.
	staleReports []RankRead     // The reports that callers on other machines read from the engines.
}

// delayedOrder is an order to a rank that is still in flight.
type delayedOrder struct {
	rank  int
	order topology.Order
}

// modelCoordinator is a coordinator that may crash, pause or be superseded by a newer
// one.
type modelCoordinator struct {
	state          State
	pending        []reduce.Effect // Effects not executed yet.
	delayedReports []RankRead      // Reports still in flight.
	planCount      int
	id             int // Makes the maps that the coordinator plans differ from those of others.
}

func newModelCoordinator(fence uint64, rank int) *modelCoordinator {
	return modelCoordinatorOf(New(fence, rank), int(fence))
}

func modelCoordinatorOf(state State, id int) *modelCoordinator {
	c := &modelCoordinator{state: state, id: id}
	c.state.readAgeLimitOverride = time.Hour // Reads are rare in the model.
	return c
}

// modelKnowsInitialMap makes coordinators know the initial map, and ranks that use it and
// show no sign of a change report no lists.
var modelKnowsInitialMap bool

// handle applies the event to the coordinator's state and collects the effects.
func (c *modelCoordinator) handle(event reduce.Event, now time.Time) {
	if read, ok := event.(RankRead); ok && modelKnowsInitialMap {
		c.state.initialSets, c.state.initialExperts = 2, read.State.Size
		if !hasBegunChange(read.State) {
			read.Lists = topology.RankLists{}
		}
		event = read
	}
	var effects []reduce.Effect
	c.state, effects = Step(c.state, reduce.Input{Now: now, Event: event})
	c.pending = append(c.pending, effects...)
}

// plan submits the map in use with one rank's experts of one expert set changed.
func (c *modelCoordinator) plan(now time.Time) {
	if c.state.Phase != Idle {
		return
	}
	c.planCount++
	set, rank := c.planCount%len(c.state.Current), c.planCount%c.state.Size
	next, ok := Apply(c.state.Current, []Change{{
		Set: set, Rank: rank, Experts: []int{rank, int(c.state.Fence)*1000 + c.planCount},
	}})
	if !ok {
		panic("the map in use lacks the set or the rank")
	}
	c.handle(PlanReady{Epoch: c.state.Epoch, Map: next}, now)
}

// String describes the ranks for failure messages.
func (g *modelGroup) String() string {
	text := ""
	for i, r := range g.ranks {
		text += fmt.Sprintf("rank %d: version %d, prepared %d, armed %d for pass %d, held %d; ", i, r.version, r.prepared, r.armed, r.armedPass, r.heldPass)
	}
	return text
}
