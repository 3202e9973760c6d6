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
	// copyTimeBudget is how long a rank may copy for one change, so that several
	// changes fit between two jumps of demand.
	copyTimeBudget = 200 * time.Millisecond
	// maxCopies bounds the experts that one change brings to a rank: more were never
	// worth waiting for, and considering them takes the planner's time.
	maxCopies = 4
	// planHandoverTime is the time in which the control goroutine takes a plan up.
	planHandoverTime = 60 * time.Millisecond
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
	engine  func() *topology.Engine
	log     *logrus.Entry
	group   string
	gains   chan rankGains
	metrics *Metrics

	demand         *hotexperts.Demand
	lastPostedAt   time.Time // When the latest plan was handed over.
	planConsidered bool      // A plan was considered for the demand as it is.
}

// rankGains is what the counts of one rank have gained.
type rankGains struct {
	packed  []byte
	elapsed time.Duration
}

func newPlanner(engine func() *topology.Engine, group string, log *logrus.Entry, metrics *Metrics) *planner {
	const queued = 256 // A few rounds of a large group.
	return &planner{engine: engine, group: group, log: log, gains: make(chan rankGains, queued), metrics: metrics}
}

// enqueue takes in a rank's gains. Where the planner is far behind they are left
// out; others tell the same demand.
func (p *planner) enqueue(gains rankGains) {
	select {
	case p.gains <- gains:
	default:
	}
}

func (p *planner) run(ctx context.Context, control *loop.Loop[mapswitch.State, view]) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case gains := <-p.gains:
			p.applyGains(gains)
		case <-ticker.C:
			p.plan(control)
		case <-ctx.Done():
			return
		}
	}
}

func (p *planner) applyGains(gains rankGains) {
	engine := p.engine()
	if engine == nil {
		return
	}
	counts, err := hotexperts.UnpackCounts(gains.packed)
	if err != nil {
		logevent.Write(p.log, logevent.CountsUnreadable, logrus.Fields{"group": p.group, "error": err.Error()})
		return
	}
	if p.demand == nil {
		p.demand = hotexperts.NewDemand(engine.Sets, engine.Experts)
	}
	if p.demand.Observe(counts, gains.elapsed, countedRanksPerRound) {
		p.planConsidered = false
	}
}

func (p *planner) plan(control *loop.Loop[mapswitch.State, view]) {
	state := control.View()
	engine := p.engine()
	if state == nil || engine == nil || p.demand == nil || state.Phase != mapswitch.Idle || state.Current == nil {
		return
	}
	if p.planConsidered || p.demand.Choices() < minChoices || time.Since(p.lastPostedAt) < planHandoverTime {
		return
	}
	p.planConsidered = true
	shape := hotexperts.Shape{
		Ranks: state.Size, Places: engine.Places, Experts: engine.Experts, NewPerSet: engine.NewPerSet,
		Slowness: state.Slowness,
	}
	plan := hotexperts.DecideSoonest(shape, state.Current, p.demand.Load(), copyBudget(engine), engine.CopyTime())
	p.metrics.skew.Set(plan.SkewBefore)
	if !plan.Pays(hotexperts.Costs{CopyTime: engine.CopyTime(), ExpertShare: expertPassShare, Filled: state.slotUtilization(engine)}) {
		return
	}
	p.lastPostedAt = time.Now()
	p.metrics.copies.Add(float64(plan.Copies))
	logevent.Write(p.log, logevent.MapPlanned, logrus.Fields{
		"group": p.group, "epoch": state.Epoch, "copies": plan.Copies, "most_copies": plan.MostCopies,
		"skew_before": plan.SkewBefore, "skew_after": plan.SkewAfter, "slowest": slices.Max(state.Slowness), "choices": p.demand.Choices(),
	})
	control.Post(mapswitch.Planned{Epoch: state.Epoch, Map: plan.Map})
}

// copyBudget is the number of experts that one change may bring to a rank.
func copyBudget(engine *topology.Engine) int {
	return min(maxCopies, max(1, int(copyTimeBudget/max(time.Millisecond, engine.CopyTime()))))
}
