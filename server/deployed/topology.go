// Package deployed runs the processes of the system on the users' platform:
// entries on the machines that callers reach, agents beside the ranks of model
// groups.
package deployed

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/loop"
	"persimmonwind.dev/server/watch"
)

const (
	// tickInterval is how often the control state looks at its times.
	tickInterval = 100 * time.Millisecond
	// entrySettle is short against the shortest time in which a change must be
	// in force, 2 s.
	entrySettle = 150 * time.Millisecond
	// agentSettle may be longer: agents only learn who belongs to their group.
	agentSettle = time.Second
)

// follower keeps the topology of a process up to date.
type follower struct {
	store  *platform.Store
	loop   *loop.Loop[topology.State, *topology.Snapshot]
	log    *logrus.Entry
	settle time.Duration // Of the watches.
}

// newFollower returns a follower that passes each new snapshot to install.
func newFollower(store *platform.Store, settle time.Duration, log *logrus.Entry, install func(*topology.Snapshot)) *follower {
	f := &follower{store: store, log: log, settle: settle}
	var previous *topology.Snapshot
	var last topology.State
	view := func(state topology.State) *topology.Snapshot {
		if previous != nil && state.SameSnapshot(last) {
			return previous
		}
		last = state
		previous = state.Snapshot(previous)
		install(previous)
		return previous
	}
	f.loop = loop.New(topology.Step, view, f.execute, nil)
	return f
}

// snapshot returns the latest snapshot, nil before the first.
func (f *follower) snapshot() *topology.Snapshot {
	if view := f.loop.View(); view != nil {
		return *view
	}
	return nil
}

// run follows the store until ctx ends.
func (f *follower) run(ctx context.Context) error {
	for _, table := range []string{platform.TableOperators, platform.TableServers} {
		w := &watch.Watch{Store: f.store, Table: table, Post: f.loop.Post, Log: f.log, BatchDelay: f.settle}
		go w.Run(ctx)
	}
	return f.loop.Run(ctx, topology.New(), tickInterval)
}

func (f *follower) execute(effect reduce.Effect) {
	change, ok := effect.(topology.Change)
	if !ok {
		return
	}
	fields := logrus.Fields{"what": change.What, "outcome": change.Outcome}
	if change.Subject != "" {
		fields["subject"] = change.Subject
	}
	if change.Version != 0 {
		fields["version"] = change.Version
	}
	if change.Reason != "" {
		fields["reason"] = change.Reason
	}
	logevent.Write(f.log, logevent.TopologyChanged, fields)
}
