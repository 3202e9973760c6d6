package mapcontrol

import (
	"context"
	"time"

	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/wait"
)

const (
	// closedCoordinatorTimeout replaces coordinatorTimeout while the group is closed, which
	// takes 600 ms to form: an agent that waits no longer is coordinator before it opens. A
	// coordinator reads the ranks of a closed group every readInterval, and one that is
	// superseded by mistake costs two calls to the store.
	closedCoordinatorTimeout = 300 * time.Millisecond
	// configurationTimeout limits how long an agent waits for the configuration before it
	// acquires the lease of a closed group.
	configurationTimeout = 300 * time.Millisecond
)

// isClassAware reports whether the agent knows that its service is scheduled by class.
func (a *Agent) isClassAware() bool { return a.ClassAware != nil && a.ClassAware() }

// mayCoordinateClosed reports whether the agent may acquire the lease although the group of
// its rank is closed, so that the group has a coordinator when it opens. It may in a service
// that is scheduled by class. An agent that does not know the configuration reads it, once:
// agents follow the configuration only as coordinators.
func (a *Agent) mayCoordinateClosed(ctx context.Context, state topology.RankState) bool {
	if silence, _ := a.rank.sinceLastCall(); silence < silenceLimit(state) {
		return false
	}
	if a.ClassAware == nil || a.EngineModel() != nil {
		return a.isClassAware()
	}
	if time.Since(a.configurationTriedAt) < leaseRetryInterval {
		return false
	}
	defer func() { a.configurationTriedAt = time.Now() }()
	a.startFollowing(ctx)
	for deadline := time.Now().Add(configurationTimeout); a.EngineModel() == nil && time.Now().Before(deadline) && ctx.Err() == nil; {
		wait.For(ctx, openCheckInterval)
	}
	if !a.isClassAware() {
		a.endFollowing()
		return false
	}
	return true
}

// startFollowing starts to follow the topology, unless the agent does already. Only the
// goroutine of Run calls it and endFollowing.
func (a *Agent) startFollowing(ctx context.Context) {
	if a.stopFollowing == nil {
		ctx, a.stopFollowing = context.WithCancel(ctx)
		go a.FollowTopology(ctx)
	}
}

// endFollowing ends following the topology.
func (a *Agent) endFollowing() {
	if a.stopFollowing != nil {
		a.stopFollowing()
		a.stopFollowing = nil
	}
}
