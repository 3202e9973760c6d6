package mapcontrol

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/rpc"
)

const (
	// coordinatorTimeout is how long an agent waits for a coordinator's call before it
	// tries to acquire the lease. A coordinator reads every rank several times within
	// it.
	coordinatorTimeout = 700 * time.Millisecond
	// heldCoordinatorTimeout replaces coordinatorTimeout, without a stagger, for the agent
	// whose rank keeps the group from beginning a pass: the group stalls until the hold
	// is released, and a coordinator reads the ranks every few tens of ms meanwhile.
	heldCoordinatorTimeout = 250 * time.Millisecond
	// rankStagger is multiplied by the rank's number and added to coordinatorTimeout, so
	// that the agents of a group don't all try to acquire the lease at once. It leaves a
	// new coordinator time for its first calls, before which it reads the list of servers.
	rankStagger = 100 * time.Millisecond
	// coordinatorCheckInterval is how often an agent checks how long ago a coordinator called.
	coordinatorCheckInterval = 50 * time.Millisecond
	// leaseRetryInterval is the delay after a failed attempt to acquire the lease.
	leaseRetryInterval = 500 * time.Millisecond
	// maxRemovedLeases is the number of rows of earlier acquisitions that are removed in
	// one transaction.
	maxRemovedLeases = 50
)

// Metrics holds a coordinator's metrics.
type Metrics struct {
	phases *prometheus.CounterVec // Phases of map changes that were entered, by phase.
	skew   prometheus.Gauge       // Load of the most loaded rank divided by the mean load.
	copies prometheus.Counter     // Expert copies in planned map changes.

	elections    electionMetrics
	demandReads  *prometheus.CounterVec // Reads of the saved demand, by outcome.
	demandWrites *prometheus.CounterVec // Writes of the saved demand, by outcome.
	firstChange  prometheus.Histogram   // Time from a group's opening to the first map change in force.
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
			Help: "Load of the most loaded rank divided by the mean load, as last forecast.",
		}),
		copies: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "persimmonwind", Name: "map_copies_total",
			Help: "Expert copies in planned expert map changes.",
		}),
		demandReads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "persimmonwind", Name: "map_demand_reads_total",
			Help: "Reads of a group's saved expert demand, by outcome: read, none, invalid, too_old or failed.",
		}, []string{"outcome"}),
		demandWrites: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "persimmonwind", Name: "map_demand_writes_total",
			Help: "Writes of a group's expert demand to the store, by outcome: written, too_large or failed.",
		}, []string{"outcome"}),
	}
	m.firstChange = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: "persimmonwind", Name: "map_first_change_seconds",
		Help:    "Time from the opening of a group to its first expert map change in force, in seconds; only for services scheduled by class.",
		Buckets: []float64{0.2, 0.3, 0.4, 0.5, 0.7, 1, 1.5, 2, 5},
	})
	registry.MustRegister(m.phases, m.skew, m.copies, m.demandReads, m.demandWrites, m.firstChange)
	m.elections = newElectionMetrics(registry)
	return m
}

// CountDemandCalls counts a read and a write of the saved demand.
func (m *Metrics) CountDemandCalls(read, write string) {
	m.demandReads.WithLabelValues(read).Inc()
	m.demandWrites.WithLabelValues(write).Inc()
}

// CountPhase counts a phase that a map change has entered.
func (m *Metrics) CountPhase(phase string) { m.phases.WithLabelValues(phase).Inc() }

// Agent serves a coordinator's calls for the rank beside it, and coordinates the
// group's expert map while it holds the group's lease.
type Agent struct {
	InstanceName string // Name of this instance.
	Engine       Engine
	DirectEngine func(address string) Engine // Client of a rank's engine, for ranks whose agent is unreachable.
	Store        Store
	// FollowTopology keeps Members, EngineModel and ClassAware up to date until ctx
	// ends. Only a coordinator or a candidate needs them, and calls to the store are
	// charged for.
	FollowTopology func(ctx context.Context)
	Members        func() []Member         // Returns the members of the service, including those that are leaving.
	EngineModel    func() *topology.Engine // Returns the cost model of the service's engines, nil while it is unknown.
	// ClassAware returns whether the service is scheduled by class, that is, whether its
	// streaming routes differ in priority or objective; false while that is unknown. Only
	// then, the group's demand is saved and agents elect a provisional coordinator while the
	// lease can't be acquired. If it is nil, they never do.
	ClassAware  func() bool
	DemandStore DemandStore // Where the group's demand is saved; nil for nowhere.
	Log         *logrus.Entry
	Metrics     *Metrics

	stopFollowing        context.CancelFunc // Ends FollowTopology; nil while it is not running.
	configurationTriedAt time.Time          // When the configuration was last read in vain, or found, while the group was closed.

	rank      *Rank
	relay     *Relay
	peers     *rpc.Pool
	candidate candidate
}

// Serve answers calls from coordinators until the listener is closed.
func (a *Agent) Serve(listener net.Listener) error {
	return rpc.Serve(listener, map[string]any{receiverName: a.rank, relayName: a.relay}, a.Log)
}

// Prepare creates the agent's RPC receivers and connection pool. It must be called
// before Serve and Run.
func (a *Agent) Prepare() {
	a.rank = NewRank(a.Engine, a.DirectEngine)
	a.rank.elections = a.Metrics.elections
	a.peers = rpc.NewPool(nil)
	a.relay = &Relay{peers: a.peers}
}

// Run acquires the lease and coordinates the group whenever no other agent does,
// until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	defer a.peers.Close()
	defer a.endFollowing()
	ticker := time.NewTicker(coordinatorCheckInterval)
	defer ticker.Stop()
	var notBefore time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if ctx.Err() != nil {
			return // The ticker may have fired at the same time.
		}
		silence, _ := a.rank.sinceLastCall()
		isCoordinated := silence < heldCoordinatorTimeout
		if isCoordinated {
			a.endFollowing()
			a.candidate.defeats = 0
		}
		isEarly := isCoordinated || time.Now().Before(notBefore)
		if isEarly && a.rank.hasObservedEpoch() {
			continue
		}
		state, err := a.Engine.Report(ctx)
		if err != nil {
			a.endFollowing()
			continue
		}
		a.rank.observeEpoch(state) // A voter must have seen the epoch begin.
		if isEarly || state.Group == "" || !state.Open && !a.mayCoordinateClosed(ctx, state) {
			continue
		}
		a.rank.observeGroup(state)
		silence, maxSeenFence := a.rank.sinceLastCall()
		if silence < silenceLimit(state) {
			continue
		}
		if err := a.acquireAndCoordinate(ctx, state, silence, maxSeenFence); err != nil {
			notBefore = time.Now().Add(leaseRetryInterval)
			a.standForElection(ctx, state, err)
		}
	}
}

// silenceLimit returns how long no coordinator must have called before the agent of the
// rank tries to acquire the lease.
func silenceLimit(state topology.RankState) time.Duration {
	if state.HeldPass != 0 {
		return heldCoordinatorTimeout
	}
	if !state.Open {
		return closedCoordinatorTimeout + time.Duration(state.Rank)*rankStagger
	}
	return coordinatorTimeout + time.Duration(state.Rank)*rankStagger
}

// acquireAndCoordinate acquires the group's lease and coordinates the group until ctx
// ends or a newer coordinator has called an agent. It returns an error if it did not
// acquire the lease. silence is the time since a coordinator last called.
func (a *Agent) acquireAndCoordinate(ctx context.Context, state topology.RankState, silence time.Duration, maxSeenFence uint64) error {
	fence, obsolete, err := a.acquireFence(ctx, state.Group, maxSeenFence)
	if err != nil {
		if !errors.Is(err, errLeaseLost) {
			logevent.Write(a.Log, logevent.LeaseFailed, logrus.Fields{"group": state.Group, "silence_ms": silence.Milliseconds(), "error": err.Error()})
		}
		return err
	}
	a.coordinateWithLease(ctx, state, silence, fence, obsolete)
	return nil
}

// coordinateWithLease coordinates the group as the holder of the lease.
func (a *Agent) coordinateWithLease(ctx context.Context, state topology.RankState, silence time.Duration, fence uint64, obsolete []platform.Row) {
	logevent.Write(a.Log, logevent.LeaseAcquired, logrus.Fields{"group": state.Group, "silence_ms": silence.Milliseconds(), "fence": fence})
	go a.removeLeases(ctx, state.Group, obsolete)
	a.coordinate(ctx, state, fence)
	logevent.Write(a.Log, logevent.LeaseEnded, logrus.Fields{"group": state.Group, "fence": fence})
}

// removeLeases removes the rows of earlier acquisitions. If that fails, the next holder
// of the lease removes them.
func (a *Agent) removeLeases(ctx context.Context, group string, obsolete []platform.Row) {
	if len(obsolete) == 0 {
		return
	}
	if err := a.Store.Remove(ctx, obsolete[:min(len(obsolete), maxRemovedLeases)]); err != nil {
		logevent.Write(a.Log, logevent.LeaseRowsKept, logrus.Fields{"group": group, "rows": len(obsolete), "error": err.Error()})
	}
}

// coordinate changes the group's expert map until ctx ends or a newer coordinator has
// called an agent.
func (a *Agent) coordinate(ctx context.Context, state topology.RankState, fence uint64) {
	c := a.newCoordinator(state.Group, fence)
	a.startFollowing(ctx)
	defer a.endFollowing()
	c.run(ctx, state.Rank)
}
