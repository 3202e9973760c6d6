package mapcontrol

import (
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/hotexperts"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/logevent"
)

// firstPlan decides from which demand the first map of an epoch is planned.
type firstPlan struct {
	epoch     int64                  // The epoch that was last seen.
	isFirst   bool                   // No plan has been considered in that epoch.
	latest    hotexperts.SavedDemand // The demand from which a plan was last considered.
	fromSaved bool                   // The forecast begins with latest or the saved demand, and no plan has been made from it.
}

// considered records that a plan is considered from the demand.
func (f *firstPlan) considered(epoch int64, demand *hotexperts.Demand) {
	f.epoch, f.isFirst, f.fromSaved = epoch, false, false
	f.latest = demand.Save()
}

// restoreDemand begins the forecast of a new epoch with the demand of before: the planner's
// own, or the one that an earlier coordinator has saved. It reports whether a plan has to be
// made from it at once, because the group uses the initial map and counts have not arrived.
// Counts replace it as soon as they do.
func (p *planner) restoreDemand(state view, engineModel *topology.Engine) (mustPlan bool) {
	f := &p.firstPlan
	if state.Epoch != f.epoch {
		isOwn := f.latest.Sets == engineModel.Sets && f.latest.Experts == engineModel.Experts && !f.latest.IsEmpty()
		if isOwn {
			p.beginWith(f.latest, state.Epoch, "own")
		}
		f.epoch, f.isFirst, f.fromSaved = state.Epoch, true, isOwn
	}
	if !f.isFirst || !state.IsInitial {
		return false
	}
	if !f.fromSaved && (p.demand == nil || p.demand.Choices() < hotexperts.MinChoices) {
		if saved, ok := p.saved.restored(engineModel.Sets, engineModel.Experts); ok {
			p.beginWith(saved, state.Epoch, "saved")
			f.fromSaved = true
		}
	}
	return f.fromSaved
}

// beginWith makes the forecast begin with a demand of before.
func (p *planner) beginWith(demand hotexperts.SavedDemand, epoch int64, source string) {
	p.demand, p.observedAt, p.recounted = hotexperts.NewDemandFrom(demand), time.Now(), time.Time{}
	logevent.Write(p.log, logevent.DemandRestored, logrus.Fields{"group": p.group, "epoch": epoch, "source": source})
}

// wake makes the planner consider a plan now.
func (p *planner) wake() {
	if !p.classAware() {
		return
	}
	select {
	case p.woken <- struct{}{}:
	default:
	}
}
