package mapcontrol

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/hotexperts"
	"persimmonwind.dev/policy/mapswitch"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/loop"
)

const (
	// planInterval is how often a new map is considered while none is under way: a
	// fraction of a pass.
	planInterval = 20 * time.Millisecond
	// copyBudget is the number of experts that one change may bring to a rank: a
	// few tenths of a second of copying, so that several changes fit between two
	// jumps of demand.
	copyBudget = 2
	// expertPassShare is the share of a busy group's pass that experts take: a
	// step of the users' engines has 4.8 ms besides, and 3 to 5 ms of token work,
	// most of it the experts'.
	expertPassShare = 0.4
	// minChoices is the number of observed choices below which a forecast is
	// noise.
	minChoices = 2000
)

// planner turns the ranks' counts into maps.
type planner struct {
	engine func() *topology.Engine
	log    *logrus.Entry
	group  string
	counts chan rankCounts
	gauges *Metrics

	demand *hotexperts.Demand
}

type rankCounts struct {
	rank   int
	counts topology.RankCounts
	at     time.Time
}

func newPlanner(engine func() *topology.Engine, group string, log *logrus.Entry, gauges *Metrics) *planner {
	const queued = 256 // A few rounds of a large group.
	return &planner{engine: engine, group: group, log: log, counts: make(chan rankCounts, queued), gauges: gauges}
}

// observe takes in a rank's counts; where the planner is behind they are left
// out, and the next ones hold their difference.
func (p *planner) observe(rank int, counts topology.RankCounts, at time.Time) {
	select {
	case p.counts <- rankCounts{rank: rank, counts: counts, at: at}:
	default:
	}
}

func (p *planner) run(ctx context.Context, control *loop.Loop[mapswitch.State, view]) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case seen := <-p.counts:
			p.take(seen)
		case <-ticker.C:
			p.plan(control)
		case <-ctx.Done():
			return
		}
	}
}

func (p *planner) take(seen rankCounts) {
	engine := p.engine()
	if engine == nil {
		return
	}
	if p.demand == nil {
		p.demand = hotexperts.NewDemand(engine.Sets, engine.Experts)
	}
	p.demand.Observe(seen.rank, seen.counts.Epoch, seen.counts.Counts, seen.at)
}

func (p *planner) plan(control *loop.Loop[mapswitch.State, view]) {
	state := control.View()
	engine := p.engine()
	if state == nil || engine == nil || p.demand == nil || state.Phase != mapswitch.Idle || state.Current == nil {
		return
	}
	if p.demand.Choices() < minChoices {
		return
	}
	shape := hotexperts.Shape{
		Ranks: state.Size, Places: engine.Places, Experts: engine.Experts, NewPerSet: engine.NewPerSet,
		Slowness: state.Slowness,
	}
	plan := hotexperts.Decide(shape, state.Current, p.demand.Load(), copyBudget)
	p.gauges.skew.Set(plan.SkewBefore)
	if !plan.Pays(hotexperts.Costs{CopyTime: engine.CopyTime(), ExpertShare: expertPassShare}) {
		return
	}
	p.gauges.copies.Add(float64(plan.Copies))
	logevent.Write(p.log, logevent.MapPlanned, logrus.Fields{
		"group": p.group, "epoch": state.Epoch, "copies": plan.Copies, "most_copies": plan.MostCopies,
		"skew_before": plan.SkewBefore, "skew_after": plan.SkewAfter, "slowest": slices.Max(state.Slowness), "choices": p.demand.Choices(),
	})
	control.Post(mapswitch.Planned{Epoch: state.Epoch, Map: plan.Map})
}
