package mapcontrol

import (
	"context"
	"sync"
	"time"

	"persimmonwind.dev/policy/mapswitch"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/wait"
)

// openCheckInterval is how often a coordinator reads the engine beside it while its group
// is closed, to notice at once that it opens. Such a read uses no network link and takes
// about a tenth of a millisecond.
const openCheckInterval = 10 * time.Millisecond

// ownReadTimeout bounds these reads, which come before the reads of the other ranks.
const ownReadTimeout = 50 * time.Millisecond

// opening is what a coordinator knows about when its group closes and opens.
type opening struct {
	mu         sync.Mutex
	isClosed   bool      // The latest report of a rank of the group was that of a closed group.
	epoch      int64     // Latest epoch that the coordinator's own engine has opened in; 0 if none.
	openedAt   time.Time // When the own engine was first seen open in that epoch.
	hasChanged bool      // The first map change of that epoch has taken effect.
}

// observe records whether a rank of the group reports that the group is closed.
func (o *opening) observe(state topology.RankState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.isClosed = !state.Open
}

// isAwaited reports whether the own engine has to be read to notice that the group opens.
func (o *opening) isAwaited() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isClosed || o.epoch == 0
}

// isOpen reports whether the own engine has opened and no rank has reported since that the
// group is closed.
func (o *opening) isOpen() bool { return !o.isAwaited() }

// opened records a report of the own engine. It reports whether the engine has opened in
// another epoch than before.
func (o *opening) opened(own topology.RankState) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !own.Open || own.Epoch <= o.epoch {
		return false
	}
	o.isClosed, o.epoch, o.openedAt, o.hasChanged = false, own.Epoch, time.Now(), false
	return true
}

// firstChange returns the time from the opening of the epoch until now. ok is false if the
// epoch is another one, or a change has taken effect in it before.
func (o *opening) firstChange(epoch int64) (since time.Duration, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if epoch != o.epoch || o.hasChanged {
		return 0, false
	}
	o.hasChanged = true
	return time.Since(o.openedAt), true
}

// checkOpening reads the engine beside the coordinator if the group may have opened, and
// tells the control state of the opening. It reports whether the lists of the ranks need
// not be read, because the group is closed or its epoch has only just begun.
func (c *coordinator) checkOpening(ctx context.Context, current view) (skipsLists bool) {
	if !c.classAware() || current.Phase != mapswitch.Survey && !c.opening.isAwaited() {
		return false
	}
	own, ok := c.readOwnEngine(ctx)
	if !ok || current.Size != 0 && current.Epoch >= own.Epoch {
		return false // The control state shows whether the lists are needed.
	}
	return !own.Open || own.MapVersion == 0 && own.Prepared == 0 && own.Armed == 0
}

// readOwnEngine reads the engine beside the coordinator and tells the control state if it
// has opened in another epoch. ok is false if it does not answer or is in another group.
func (c *coordinator) readOwnEngine(ctx context.Context) (own topology.RankState, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, ownReadTimeout)
	defer cancel()
	own, err := c.ownEngine.Report(ctx)
	if err != nil || own.Group != c.group {
		return topology.RankState{}, false
	}
	if c.opening.opened(own) {
		event := mapswitch.GroupOpened{Epoch: own.Epoch, Rank: own.Rank}
		if model := c.planner.engineModel(); model != nil {
			event.Sets, event.Experts = model.Sets, model.Experts
		}
		c.loop.Post(event)
	}
	return own, true
}

// waitForRound waits for the interval, or until the group opens.
func (c *coordinator) waitForRound(ctx context.Context, interval time.Duration) {
	for end := time.Now().Add(interval); ctx.Err() == nil; {
		left := time.Until(end)
		if left <= 0 {
			return
		}
		if !c.classAware() || c.opening.isOpen() {
			wait.For(ctx, left)
			return
		}
		wait.For(ctx, min(left, openCheckInterval))
		if _, ok := c.readOwnEngine(ctx); ok && c.opening.isOpen() {
			return
		}
	}
}

// isSurveying reports whether the coordinator still searches for ranks of its epoch.
func (c *coordinator) isSurveying() bool {
	current := c.loop.View()
	return c.classAware() && current != nil && current.Phase == mapswitch.Survey
}

// awaitClassAware waits until the configuration is known, and reports whether the service
// is scheduled by class.
func (c *coordinator) awaitClassAware(ctx context.Context) bool {
	for c.planner.engineModel() == nil && ctx.Err() == nil {
		wait.For(ctx, openCheckInterval)
	}
	return c.classAware()
}

// observePhase lets the planner plan at once when no change is in progress any more, and
// measures the first change of an epoch.
func (c *coordinator) observePhase(effect mapswitch.PhaseChanged) {
	if effect.To != mapswitch.Idle {
		return
	}
	c.planner.wake()
	if effect.From != mapswitch.Settling {
		return
	}
	if since, ok := c.opening.firstChange(effect.Epoch); ok {
		c.metrics.firstChange.Observe(since.Seconds())
	}
}
