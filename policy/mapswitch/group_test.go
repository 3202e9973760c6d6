package mapswitch

import (
	"fmt"
	"time"

	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/topology"
)

// modelRank behaves like an engine's rank: it keeps one prepared version, one
// armed switch and one hold, and refuses what does not fit.
type modelRank struct {
	highest   int64 // Of all versions that the rank has had.
	prepared  int64
	content   map[int64]string // Of the versions that the rank has had.
	maps      map[int64]Map    // The same, as the agent beside it remembers them.
	version   int64
	armed     int64
	armedPass int64
	held      int64
}

// modelGroup is a group of ranks that run passes in lock-step.
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

// startEpoch starts a new epoch with map 0 and nothing prepared, armed or held.
func (g *modelGroup) startEpoch() {
	g.epoch++
	for i := range g.ranks {
		g.ranks[i] = &modelRank{content: map[int64]string{0: "0"}, maps: map[int64]Map{}}
	}
}

// apply carries an order out, if it fits.
func (g *modelGroup) apply(rank int, order topology.Order) {
	r := g.ranks[rank]
	if order.Epoch != g.epoch {
		return
	}
	switch order.Kind {
	case topology.Prepare:
		if order.Version > r.highest && r.armed == 0 {
			r.highest, r.prepared = order.Version, order.Version
			r.content[order.Version], r.maps[order.Version] = fmt.Sprint(order.Map), order.Map
		}
	case topology.Arm:
		if r.prepared == order.Version && order.Pass > g.pass {
			r.armed, r.armedPass = order.Version, order.Pass
		}
	case topology.Hold:
		if r.held == 0 && order.Pass > g.pass {
			r.held = order.Pass
		}
	case topology.Disarm:
		if r.armed == order.Version {
			r.armed, r.armedPass = 0, 0
		}
	case topology.Release:
		if r.held == order.Pass {
			r.held = 0
		}
	}
}

// expand returns the order as the agent beside the rank passes it on: a map that
// builds on one that the agent knows is made of that one's and the changes.
func (g *modelGroup) expand(send SendOrder) topology.Order {
	base, known := g.ranks[send.Rank].maps[send.BaseVersion]
	if send.Order.Kind != topology.Prepare || send.BaseMap == nil || !known {
		return send.Order
	}
	if next, ok := Apply(base, Changes(send.BaseMap, send.Order.Map)); ok {
		send.Order.Map = next
	}
	return send.Order
}

// beginPass begins the next pass unless it is held; it fails where two ranks have
// different maps then.
func (g *modelGroup) beginPass() error {
	for _, r := range g.ranks {
		if r.held == g.pass+1 {
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

// report is what the rank says of itself.
func (g *modelGroup) report(rank int) RankRead {
	r := g.ranks[rank]
	return RankRead{
		State: topology.RankState{
			Group: "g", Epoch: g.epoch, Rank: rank, Size: len(g.ranks), Open: true, Pass: g.pass,
			MapVersion: r.version, Prepared: r.prepared, Armed: r.armed, ArmedPass: r.armedPass, HeldPass: r.held,
		},
		Lists: topology.RankLists{MapVersion: r.version, Experts: [][]int{{rank}, {rank}}},
	}
}

// lossyNetwork carries orders and reports: it loses them, and keeps orders to carry
// them out late.
type lossyNetwork struct {
	group        *modelGroup
	delayed      []delayedOrder
	fences       map[int]uint64 // The highest that each rank's agent has seen.
	staleReports []RankRead     // What the engines say to callers from afar.
}

type delayedOrder struct {
	rank  int
	order topology.Order
}

// modelCoordinator is a coordinator that may die, sleep or be succeeded.
type modelCoordinator struct {
	state          State
	pending        []reduce.Effect
	delayedReports []RankRead // Reports on their way.
	plans          int
}

func newModelCoordinator(fence uint64, rank int) *modelCoordinator {
	c := &modelCoordinator{state: New(fence, rank)}
	c.state.readAgeLimitOverride = time.Hour // Reads come seldom in the model.
	return c
}

func (c *modelCoordinator) handle(event reduce.Event, now time.Time) {
	var effects []reduce.Effect
	c.state, effects = Step(c.state, reduce.Input{Now: now, Event: event})
	c.pending = append(c.pending, effects...)
}

// plan offers the map in use with one rank's experts of a set changed.
func (c *modelCoordinator) plan(now time.Time) {
	if c.state.Phase != Idle {
		return
	}
	c.plans++
	set, rank := c.plans%len(c.state.Current), c.plans%c.state.Size
	next, ok := Apply(c.state.Current, []Change{{
		Set: set, Rank: rank, Experts: []int{rank, int(c.state.Fence)*1000 + c.plans},
	}})
	if !ok {
		panic("the map in use has the set and the rank")
	}
	c.handle(Planned{Epoch: c.state.Epoch, Map: next}, now)
}

// String shows the ranks, for a failure's message.
func (g *modelGroup) String() string {
	text := ""
	for i, r := range g.ranks {
		text += fmt.Sprintf("rank %d: version %d, prepared %d, armed %d for pass %d, held %d; ", i, r.version, r.prepared, r.armed, r.armedPass, r.held)
	}
	return text
}
