// Package deployed runs the processes of the system on the users' platform: entry
// instances on the machines that callers reach, and agents beside the ranks of model
// groups.
package deployed

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/loop"
	"persimmonwind.dev/server/watch"
)

const (
	// tickInterval is how often the topology state checks its timeouts.
	tickInterval = 100 * time.Millisecond
	// entryBatchDelay is how long an entry collects further changes of a table after a
	// change. It is short compared with 2 s, the shortest time within which a change
	// must be in force.
	entryBatchDelay = 150 * time.Millisecond
	// agentBatchDelay is how long an agent collects further changes of a table after a
	// change. It may be longer than an entry's, since agents only read the members of
	// their group and the engine model.
	agentBatchDelay = time.Second
)

// follower keeps a process's topology up to date with the platform's store.
type follower struct {
	store      *platform.Store
	loop       *loop.Loop[topology.State, *topology.Snapshot]
	log        *logrus.Entry
	batchDelay time.Duration // Delay after a change in which a watch collects further changes.
	pollWait   time.Duration // How long a poll of the store waits for a change.
	restores   prometheus.Counter
	// storeRegained is called when a watch reaches the store again; nil for none.
	storeRegained func()
}

// newFollower returns a follower that passes each new snapshot to install.
func newFollower(store *platform.Store, batchDelay, pollWait time.Duration, log *logrus.Entry, restores prometheus.Counter, install func(*topology.Snapshot)) *follower {
	f := &follower{store: store, log: log, batchDelay: batchDelay, pollWait: pollWait, restores: restores}
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

// snapshot returns the latest snapshot, or nil before the first.
func (f *follower) snapshot() *topology.Snapshot {
	if view := f.loop.View(); view != nil {
		return *view
	}
	return nil
}

// newRestoreCounter registers the counter of the store's restores.
func newRestoreCounter(registry *prometheus.Registry) prometheus.Counter {
	restores := prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "persimmonwind", Name: "store_restores_total",
		Help: "Times that a followed table of the store came back from an older copy.",
	})
	registry.MustRegister(restores)
	return restores
}

// run follows the store until ctx ends.
func (f *follower) run(ctx context.Context) error {
	for _, table := range []string{platform.TableOperators, platform.TableServers} {
		w := &watch.Watch{Store: f.store, Table: table, Decode: watch.TopologyDecoder(table), Post: f.post, Log: f.log, BatchDelay: f.batchDelay, PollWait: f.pollWait, MaxRetryInterval: watch.TopologyRetryInterval, Restores: f.restores}
		go w.Run(ctx)
	}
	return f.loop.Run(ctx, topology.New(), tickInterval)
}

func (f *follower) post(event reduce.Event) {
	if _, ok := event.(topology.StoreRegained); ok && f.storeRegained != nil {
		f.storeRegained()
	}
	f.loop.Post(event)
}

// execute logs a change of the topology.
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
