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
	// planInterval is how often a new map is considered while no change is in
	// progress. It is a fraction of the duration of a pass.
	planInterval = 20 * time.Millisecond
	// copyTimeBudget limits the time that a rank copies experts for one change, so
	// that several changes fit between two jumps of demand.
	copyTimeBudget = 200 * time.Millisecond
	// maxCopiesPerRank limits the number of experts that one change copies to a rank: more
	// are never worth waiting for, and considering them takes the planner's time.
	maxCopiesPerRank = 4
	// planHandoverTime is the shortest time between two posted plans. Within it the
	// control goroutine starts to act on a posted plan.
	planHandoverTime = 60 * time.Millisecond
	// expertPassShare is the share of a busy group's pass that is spent on experts: a
	// step of the users' engines takes 4.8 ms of other work and 3 to 5 ms of token
	// work, most of which is done by experts.
	expertPassShare = 0.4
)

// planner forecasts the demand for experts from the ranks' counts and plans new maps
// for it.
type planner struct {
	engineModel func() *topology.Engine
	log         *logrus.Entry
	group       string
	gains       chan countGains // Queue of count increases that the forecast does not include yet.
	recount     *recount
	metrics     *Metrics

	demand         *hotexperts.Demand // Forecast of the demand; nil before the first gains.
	observedAt     time.Time          // When the latest gains were added to the forecast.
	lastPostedAt   time.Time          // When the latest plan was posted to the control loop.
	planConsidered bool               // A plan was considered for the current forecast.
	recounted      time.Time          // When the forecast was last made from a recount; zero if it is not.

	classAware  func() bool   // Returns whether the service is scheduled by class; the fields below are used only if so.
	saved       *demandKeeper // Saves the demand for later coordinators.
	postedEpoch int64         // Epoch of the latest plan that was posted.
	woken       chan struct{} // Holds an element if a plan is to be considered without waiting for planInterval.
	firstPlan   firstPlan
}

// countGains is the increase of the expert counts of one or more ranks.
type countGains struct {
	packed  []byte // Encoded by hotexperts.PackCounts.
	recount int    // Number of the recount to which the increase belongs; 0 for none.
}

func newPlanner(engineModel func() *topology.Engine, group string, log *logrus.Entry, metrics *Metrics) *planner {
	const queued = 256 // Gains of a few rounds of reads in a large group.
	return &planner{engineModel: engineModel, group: group, log: log, gains: make(chan countGains, queued), recount: &recount{}, metrics: metrics, woken: make(chan struct{}, 1)}
}

// enqueue passes the gains of one or more ranks to the planner. It drops them if the
// queue is full, since the gains of other ranks show the same demand.
func (p *planner) enqueue(gains countGains) {
	select {
	case p.gains <- gains:
	default:
	}
}

// run applies queued gains and plans at each planInterval until ctx ends.
func (p *planner) run(ctx context.Context, control *loop.Loop[mapswitch.State, view]) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case gains := <-p.gains:
			p.applyGains(gains)
		case <-ticker.C:
			p.plan(control)
		case <-p.woken:
			p.plan(control)
		case <-ctx.Done():
			return
		}
	}
}

// applyGains updates the demand forecast with the gains of one or more ranks.
func (p *planner) applyGains(gains countGains) {
	engineModel := p.engineModel()
	if engineModel == nil {
		return
	}
	counts, err := hotexperts.UnpackCounts(gains.packed)
	if err != nil {
		logevent.Write(p.log, logevent.ExpertCountsUnreadable, logrus.Fields{"group": p.group, "error": err.Error()})
		return
	}
	if p.demand == nil {
		p.demand, p.observedAt = hotexperts.NewDemand(engineModel.Sets, engineModel.Experts), time.Now()
	}
	now := time.Now()
	if gains.recount != 0 && p.recount.arrived(gains.recount) {
		// What was counted before mixes the demand before and after the jump.
		p.demand = hotexperts.NewDemand(engineModel.Sets, engineModel.Experts)
		p.recounted = now
	}
	if p.demand.Observe(counts, now.Sub(p.observedAt)) {
		p.observedAt, p.planConsidered = now, false
	}
}

// plan posts a new map to the control loop if no change is in progress and the new
// map is worth its copies.
func (p *planner) plan(control *loop.Loop[mapswitch.State, view]) {
	state := control.View()
	engineModel := p.engineModel()
	mustPlan := false
	if state != nil && engineModel != nil && p.classAware() {
		mustPlan = p.restoreDemand(*state, engineModel)
	}
	if state == nil || engineModel == nil || p.demand == nil || state.Phase != mapswitch.Idle || state.Current == nil {
		return
	}
	if time.Since(p.lastPostedAt) < planHandoverTime {
		return
	}
	if !mustPlan && (p.planConsidered || p.demand.Choices() < hotexperts.MinChoices || p.recount.isRunning(time.Now())) {
		return
	}
	p.planConsidered = true
	shape := hotexperts.Shape{
		Ranks: state.Size, Places: engineModel.Places, Experts: engineModel.Experts, NewPerSet: engineModel.NewPerSet,
		CopyTime: engineModel.CopyTime(), Slowness: state.Slowness,
	}
	if p.classAware() {
		p.firstPlan.considered(state.Epoch, p.demand)
	}
	plan := hotexperts.DecideLeastAverageSkew(shape, state.Current, p.demand.Load(), copyBudget(engineModel))
	p.metrics.skew.Set(plan.SkewBefore)
	if !plan.IsWorthwhile(hotexperts.Costs{CopyTime: engineModel.CopyTime(), ExpertTimeShare: expertPassShare, Occupancy: state.slotUtilization(engineModel)}) {
		return
	}
	if p.classAware() && p.postedEpoch == state.Epoch && !plan.MayFollow(time.Since(state.IdleSince), state.slotUtilization(engineModel)) {
		return
	}
	if !mustPlan && state.IsRelayed && time.Since(state.IdleSince) > settledTime && time.Since(p.recounted) > recountMaxAge {
		// The map has fitted the demand, which has just jumped: the counts of most ranks
		// are still from before.
		p.recount.start(time.Now())
		return
	}
	p.lastPostedAt, p.postedEpoch = time.Now(), state.Epoch
	p.metrics.copies.Add(float64(plan.Copies))
	logevent.Write(p.log, logevent.MapPlanned, logrus.Fields{
		"group": p.group, "epoch": state.Epoch, "copies": plan.Copies, "most_copies": plan.MaxCopiesPerRank,
		"skew_before": plan.SkewBefore, "skew_after": plan.SkewAfter, "slowest": slices.Max(state.Slowness), "choices": p.demand.Choices(),
	})
	control.Post(mapswitch.PlanReady{Epoch: state.Epoch, Map: plan.Map})
	if p.classAware() {
		p.saved.offer(p.firstPlan.latest, state.Epoch)
	}
}

// copyBudget returns the number of experts that one change may copy to a rank.
func copyBudget(engine *topology.Engine) int {
	return min(maxCopiesPerRank, max(1, int(copyTimeBudget/max(time.Millisecond, engine.CopyTime()))))
}
