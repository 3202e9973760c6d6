package mapcontrol

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/rpc"
)

const (
	// coordinatorTimeout is how long no coordinator has called before an agent tries
	// to take the lease: several rounds of reads.
	coordinatorTimeout = 700 * time.Millisecond
	// rankStagger keeps the ranks of a group from trying all at once: a new
	// coordinator reads the list of servers before its first calls.
	rankStagger = 100 * time.Millisecond
	// coordinatorCheckInterval is how often an agent checks how long ago a coordinator called.
	coordinatorCheckInterval = 50 * time.Millisecond
	// leaseRetryInterval follows a try for the lease that failed.
	leaseRetryInterval = 500 * time.Millisecond
)

// Metrics counts what a coordinator does.
type Metrics struct {
	phases *prometheus.CounterVec
	skew   prometheus.Gauge
	copies prometheus.Counter
}

// NewMetrics registers a coordinator's metrics.
func NewMetrics(registry *prometheus.Registry) *Metrics {
	m := &Metrics{
		phases: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "persimmonwind", Name: "map_phases_total",
			Help: "Phases of expert map changes that this coordinator has entered.",
		}, []string{"phase"}),
		skew: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "persimmonwind", Name: "map_skew",
			Help: "Load of the most loaded rank over the mean, as last forecast.",
		}),
		copies: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "persimmonwind", Name: "map_copies_total",
			Help: "Experts that planned changes have copied.",
		}),
	}
	registry.MustRegister(m.phases, m.skew, m.copies)
	return m
}

// CountPhase counts a phase that a change of the map has entered.
func (m *Metrics) CountPhase(phase string) { m.phases.WithLabelValues(phase).Inc() }

// Agent takes part in a group's map for the rank beside it.
type Agent struct {
	InstanceName string // Name of this instance.
	Engine       Engine
	DirectEngine func(address string) Engine // For ranks whose agent is away.
	Store        Store
	// FollowTopology keeps Members and Model up to date until ctx ends. Only a coordinator
	// needs them: calls to the store are priced.
	FollowTopology func(ctx context.Context)
	Members        func() []Member // Of the group, leaving ones included.
	EngineModel    func() *topology.Engine
	Log            *logrus.Entry
	Metrics        *Metrics

	rank  *Rank
	peers *rpc.Pool
}

// Serve answers coordinators' calls until the listener is closed.
func (a *Agent) Serve(listener net.Listener) error {
	return rpc.Serve(listener, map[string]any{receiverName: a.rank}, a.Log)
}

// Init makes the agent ready to serve and run.
func (a *Agent) Init() {
	a.rank = NewRank(a.Engine, a.DirectEngine)
	a.peers = rpc.NewPool(nil)
}

// Run coordinates the group whenever no other agent does, until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	defer a.peers.Close()
	ticker := time.NewTicker(coordinatorCheckInterval)
	defer ticker.Stop()
	var notBefore time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		sinceLastCall, seen := a.rank.sinceLastCall()
		if sinceLastCall < coordinatorTimeout || time.Now().Before(notBefore) {
			continue
		}
		state, err := a.Engine.Report(ctx)
		if err != nil || !state.Open || state.Group == "" {
			continue
		}
		if sinceLastCall < coordinatorTimeout+time.Duration(state.Rank)*rankStagger {
			continue
		}
		fence, err := acquireLease(ctx, a.Store, state.Group, a.InstanceName, seen)
		if err != nil {
			notBefore = time.Now().Add(leaseRetryInterval)
			if !errors.Is(err, errLeaseLost) {
				logevent.Write(a.Log, logevent.LeaseFailed, logrus.Fields{"group": state.Group, "silence_ms": sinceLastCall.Milliseconds(), "error": err.Error()})
			}
			continue
		}
		logevent.Write(a.Log, logevent.LeaseTaken, logrus.Fields{"group": state.Group, "fence": fence, "silence_ms": sinceLastCall.Milliseconds()})
		a.coordinate(ctx, state, fence)
		logevent.Write(a.Log, logevent.LeaseLeft, logrus.Fields{"group": state.Group, "fence": fence})
	}
}

func (a *Agent) coordinate(ctx context.Context, state topology.RankState, fence uint64) {
	c := &coordinator{
		fence: fence, group: state.Group, members: a.Members, peers: a.peers, directEngine: a.DirectEngine, log: a.Log,
		planner: newPlanner(a.EngineModel, state.Group, a.Log, a.Metrics), metrics: a.Metrics,
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go a.FollowTopology(ctx)
	c.run(ctx, state.Rank)
}
