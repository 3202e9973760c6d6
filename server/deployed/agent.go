package deployed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/classes"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/loadreport"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/mapcontrol"
	"persimmonwind.dev/server/upstream"
	"persimmonwind.dev/server/watch"
)

// Agent is the agent process that runs beside one rank of a model group.
type Agent struct {
	settings platform.Settings
	log      *logrus.Entry
	registry *prometheus.Registry
	store    *platform.Store
	engines  http.RoundTripper // Transport of calls to engines.
	restores prometheus.Counter
	follower atomic.Pointer[follower] // Replaced each time the agent becomes coordinator; nil before the first time.
}

// NewAgent returns an agent that is not running yet.
func NewAgent(settings platform.Settings, log *logrus.Entry) *Agent {
	registry := newRegistry()
	return &Agent{
		settings: settings, log: log, registry: registry, restores: newRestoreCounter(registry),
		store:   platform.NewStore(settings.StoreAddress, upstream.StoreTransport(upstream.Dial)),
		engines: upstream.EngineTransport(upstream.Dial),
	}
}

// Run serves calls, load reports and metrics, and takes part in the coordination of
// the group's expert map, until ctx ends.
func (a *Agent) Run(ctx context.Context, metricsPort int) error {
	peerAddress := net.JoinHostPort(a.settings.IP, strconv.Itoa(a.settings.PeerPortFirst))
	calls, callsErr := net.Listen("tcp", peerAddress)
	reports, reportsErr := net.ListenPacket("udp", peerAddress)
	metrics, metricsErr := net.Listen("tcp", net.JoinHostPort(a.settings.IP, strconv.Itoa(metricsPort)))
	if err := errors.Join(callsErr, reportsErr, metricsErr); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	engine := platform.NewEngine(a.settings.BackendServer, a.engines)
	mapAgent := &mapcontrol.Agent{
		InstanceName: a.settings.Instance, Engine: engine, Store: a.store,
		DirectEngine:   a.directEngines(),
		FollowTopology: a.followTopology,
		Members:        a.members, EngineModel: a.engineModel, ClassAware: a.classAware, DemandStore: a.store,
		Log: a.log, Metrics: mapcontrol.NewMetrics(a.registry),
	}
	mapAgent.Prepare()
	publisher := loadreport.NewPublisher(reports)
	read := func() (topology.RankState, bool) {
		state, err := engine.Report(ctx)
		return state, err == nil
	}

	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var group run.Group
	group.Add(func() error { return mapAgent.Serve(calls) }, closeOnInterrupt(calls))
	group.Add(publisher.Serve, closeOnInterrupt(reports))
	group.Add(func() error { publisher.Run(ctx, a.settings.BackendServer, read); return nil }, func(error) { stop() })
	group.Add(func() error { mapAgent.Run(ctx); return nil }, func(error) { stop() })
	addServer(&group, &http.Server{Handler: metricsHandler(a.registry), ErrorLog: serverLog(a.log)}, metrics)
	logevent.Write(a.log, logevent.ProcessReady, logrus.Fields{"peer": peerAddress, "metrics_port": metricsPort})
	return group.Run()
}

// directEngines returns a function that returns the client of an engine on another
// machine. It creates one client per engine and reuses it.
func (a *Agent) directEngines() func(address string) mapcontrol.Engine {
	var mu sync.Mutex
	clients := map[string]mapcontrol.Engine{}
	return func(address string) mapcontrol.Engine {
		mu.Lock()
		defer mu.Unlock()
		if clients[address] == nil {
			clients[address] = platform.NewEngine(address, a.engines)
		}
		return clients[address]
	}
}

// followTopology keeps the agent's topology up to date with the store until ctx ends.
func (a *Agent) followTopology(ctx context.Context) {
	follower := newFollower(a.store, agentBatchDelay, watch.PollWait(a.settings.ContactTime), a.log, a.restores, func(*topology.Snapshot) {})
	a.follower.Store(follower)
	// A follower returns no error when its context ends.
	_ = follower.run(ctx)
}

// snapshot returns the agent's latest topology snapshot. It is nil until the agent has
// been coordinator.
func (a *Agent) snapshot() *topology.Snapshot {
	if follower := a.follower.Load(); follower != nil {
		return follower.snapshot()
	}
	return nil
}

// members returns the backend servers of the agent's service with their agents.
func (a *Agent) members() []mapcontrol.Member {
	snapshot := a.snapshot()
	if snapshot == nil {
		return nil
	}
	var members []mapcontrol.Member
	for _, server := range snapshot.ListedServers(a.settings.Service) {
		members = append(members, mapcontrol.Member{
			Server: server.Address, Agent: agentAddress(server.Address, a.settings.PeerPortFirst), DataCentre: server.DataCentre,
		})
	}
	return members
}

// engineModel returns the cost model of the engines of the agent's service, or nil while
// it is unknown.
func (a *Agent) engineModel() *topology.Engine {
	snapshot := a.snapshot()
	if snapshot == nil || snapshot.Config == nil {
		return nil
	}
	return snapshot.Service(a.settings.Service).Engine
}

// classAware reports whether the agent's service is scheduled by class, as far as the agent
// knows the configuration.
func (a *Agent) classAware() bool {
	snapshot := a.snapshot()
	return snapshot != nil && snapshot.Config != nil && classTable(snapshot.Config, a.settings.Service).Enabled()
}

// classTable returns the classes of the streaming routes that lead to the service.
func classTable(config *topology.Configuration, service string) classes.Table {
	var routes []classes.Route
	for _, route := range config.Routes {
		leadsToService := func(target topology.Target) bool { return target.Service == service }
		if route.Kind == topology.Stream && slices.ContainsFunc(route.Targets, leadsToService) {
			routes = append(routes, classes.Route{Priority: route.Priority, Objective: route.Objective})
		}
	}
	return classes.NewTable(routes)
}

// agentAddress returns the address of the agent beside a backend server: the host of
// the server with the port that all agents use.
func agentAddress(server string, port int) string {
	host, _, err := net.SplitHostPort(server)
	if err != nil {
		host = server
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// closeOnInterrupt returns an interrupt function for a run group that closes a listener
// or socket. Closing ends the actor, so the error of Close is ignored.
func closeOnInterrupt(c interface{ Close() error }) func(error) {
	return func(error) { _ = c.Close() }
}
