package deployed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/loadreport"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/mapcontrol"
	"persimmonwind.dev/server/upstream"
)

// Agent is the process beside one rank of a model group.
type Agent struct {
	settings platform.Settings
	log      *logrus.Entry
	registry *prometheus.Registry
	store    *platform.Store
	follower atomic.Pointer[follower] // Of the latest coordination; nil before the first.
}

// NewAgent returns an agent that has not started.
func NewAgent(settings platform.Settings, log *logrus.Entry) *Agent {
	return &Agent{
		settings: settings, log: log, registry: newRegistry(),
		store: platform.NewStore(settings.StoreAddress, upstream.Dial),
	}
}

// Run works until ctx ends.
func (a *Agent) Run(ctx context.Context, metricsPort int) error {
	peer := net.JoinHostPort(a.settings.IP, strconv.Itoa(a.settings.PeerPortFirst))
	calls, callsErr := net.Listen("tcp", peer)
	reports, reportsErr := net.ListenPacket("udp", peer)
	metrics, metricsErr := net.Listen("tcp", net.JoinHostPort(a.settings.IP, strconv.Itoa(metricsPort)))
	if err := errors.Join(callsErr, reportsErr, metricsErr); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	engine := platform.NewEngine(a.settings.BackendServer, upstream.Dial)
	maps := &mapcontrol.Agent{
		InstanceName: a.settings.Instance, Engine: engine, Store: a.store,
		DirectEngine:   directEngines(),
		FollowTopology: a.followTopology,
		Members:        a.members, EngineModel: a.engineModel, Log: a.log, Metrics: mapcontrol.NewMetrics(a.registry),
	}
	maps.Init()
	publisher := loadreport.NewPublisher(reports)
	read := func() (topology.RankState, bool) {
		state, err := engine.Report(ctx)
		return state, err == nil
	}

	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var group run.Group
	group.Add(func() error { return maps.Serve(calls) }, closeOnInterrupt(calls))
	group.Add(publisher.Serve, closeOnInterrupt(reports))
	group.Add(func() error { publisher.Run(ctx, a.settings.BackendServer, read); return nil }, func(error) { stop() })
	group.Add(func() error { maps.Run(ctx); return nil }, func(error) { stop() })
	addServer(&group, &http.Server{Handler: metricsHandler(a.registry), ErrorLog: serverLog(a.log)}, metrics)
	logevent.Write(a.log, logevent.ProcessReady, logrus.Fields{"peer": peer, "metrics_port": metricsPort})
	return group.Run()
}

// directEngines returns one client for each engine that is called from another
// machine.
func directEngines() func(address string) mapcontrol.Engine {
	var mu sync.Mutex
	clients := map[string]mapcontrol.Engine{}
	return func(address string) mapcontrol.Engine {
		mu.Lock()
		defer mu.Unlock()
		if clients[address] == nil {
			clients[address] = platform.NewEngine(address, upstream.Dial)
		}
		return clients[address]
	}
}

// followTopology follows the store until ctx ends.
func (a *Agent) followTopology(ctx context.Context) {
	follower := newFollower(a.store, agentSettle, a.log, func(*topology.Snapshot) {})
	a.follower.Store(follower)
	// A follower ends without an error when its context does.
	_ = follower.run(ctx)
}

// snapshot returns what the agent knows of the deployment; nil while it has not
// coordinated.
func (a *Agent) snapshot() *topology.Snapshot {
	if follower := a.follower.Load(); follower != nil {
		return follower.snapshot()
	}
	return nil
}

// members returns the backend servers of the own service with their agents.
func (a *Agent) members() []mapcontrol.Member {
	snapshot := a.snapshot()
	if snapshot == nil {
		return nil
	}
	var members []mapcontrol.Member
	for _, server := range snapshot.Listed(a.settings.Service) {
		members = append(members, mapcontrol.Member{
			Server: server.Address, Agent: agentAddress(server.Address, a.settings.PeerPortFirst),
		})
	}
	return members
}

// engineModel returns the cost engineModel of the own service's engines, nil while unknown.
func (a *Agent) engineModel() *topology.Engine {
	snapshot := a.snapshot()
	if snapshot == nil || snapshot.Config == nil {
		return nil
	}
	return snapshot.Service(a.settings.Service).Engine
}

// agentAddress returns where the agent beside a backend server listens: on the
// same machine, at the port that is the same everywhere.
func agentAddress(server string, port int) string {
	host, _, err := net.SplitHostPort(server)
	if err != nil {
		host = server
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// closeOnInterrupt returns an interrupt that closes a listener or socket; its actor ends
// by that, whatever closing returns.
func closeOnInterrupt(c interface{ Close() error }) func(error) {
	return func(error) { _ = c.Close() }
}
