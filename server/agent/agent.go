// Package agent implements the process that runs beside each backend server and
// is the only way to reach it. It admits requests, forwards them to the backend
// server and cancels those that nobody waits for.
package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/control"
	"persimmonwind.dev/server/group"
	"persimmonwind.dev/server/keys"
	"persimmonwind.dev/server/leave"
	"persimmonwind.dev/server/metrics"
	"persimmonwind.dev/server/node"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/ports/httpapi"
	"persimmonwind.dev/server/settings"
	"persimmonwind.dev/server/wait"
)

const headerTimeout = 5 * time.Second

// Listeners are the sockets that an agent serves.
type Listeners struct {
	Control net.Listener
	Traffic net.Listener
	Health  net.Listener // Health checks and metrics for the platform; nil for none.
	Keys    keys.Source  // TLS keys for Control and Traffic; nil for plain TCP.
}

// Agent serves the requests of entries for one backend server.
type Agent struct {
	settings settings.Agent
	node     *node.Node
	admitter *admitter
	engine   ports.Engine  // Client of the model engine; nil if the backend server is a plain service.
	service  ports.Service // Client of the plain service; nil if the backend server is a model engine.
	group    *group.Group  // Carries out changes of the group's expert map; nil if the backend server is a plain service.
	traffic  net.Listener
	health   net.Listener
	server   *leave.Server
	inFlight leave.InFlightCounter
	metrics  *metrics.Metrics

	executions *executions
}

// New returns an agent that is not running yet.
func New(config settings.Agent, listeners Listeners, log *logrus.Entry) *Agent {
	self := control.Self{
		ID: config.ID, Role: ports.RoleAgent,
		DataCentre: config.DataCentre, BackendServer: config.BackendServer,
	}
	a := &Agent{
		settings: config,
		node:     node.New(node.Options{Self: self, Control: listeners.Control, StoreURL: config.Store, Traffic: listeners.Traffic.Addr().String(), Peers: config.Peers, Keys: listeners.Keys, Log: log}),
		traffic:  listeners.Traffic,
		health:   listeners.Health,
	}
	a.admitter = newAdmitter(a.node)
	a.metrics = metrics.New(a.node.State)
	a.metrics.RegisterInFlight(a.inFlight.Count)
	if config.Kind == settings.KindEngine {
		engine := httpapi.NewEngine(config.Backend, a.node.Transport)
		a.engine = engine
		a.group = group.New(a.node, engine)
	} else {
		a.service = httpapi.NewService(config.Backend, a.node.Transport)
	}
	a.node.AddReceiver("Agent", &receiver{agent: a})
	a.executions = newExecutions(config.ID, a.node, a.service)
	a.node.AddReceiver("Execution", &executionReceiver{executions: a.executions})
	a.server = leave.NewServer(&http.Server{Handler: a.inFlight.Wrap(a.handler()), ReadHeaderTimeout: headerTimeout}, a.node.SecureListener(a.traffic))
	return a
}

// Node returns the node that runs the agent's control loop.
func (a *Agent) Node() *node.Node { return a.node }

// Run serves until ctx ends, then drains.
func (a *Agent) Run(ctx context.Context) error {
	var group run.Group
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	if a.group != nil {
		group.Add(func() error { return a.group.Run(runCtx) }, func(error) { stop() })
	}
	group.Add(func() error { return a.node.Run(runCtx) }, func(error) { stop() })
	group.Add(func() error { return a.server.Serve(runCtx) }, func(error) { stop(); _ = a.server.Close() })
	if a.health != nil {
		health := &http.Server{Handler: a.healthHandler(), ReadHeaderTimeout: headerTimeout}
		group.Add(func() error { return leave.Serve(runCtx, health, a.health) }, func(error) { _ = health.Close() })
	}
	group.Add(func() error { return (&poller{agent: a}).run(runCtx) }, func(error) { stop() })
	group.Add(func() error { return a.drainAfter(ctx, runCtx) }, func(error) { stop() })
	return group.Run()
}

// drainAfter refuses new work once ctx has ended and returns when nothing is in
// flight. It continues to send refusals for the leave delay, since entries
// may not yet have noticed that the agent is leaving.
func (a *Agent) drainAfter(ctx, runCtx context.Context) error {
	if !leave.AwaitShutdown(ctx, runCtx) {
		return nil
	}
	a.node.Leave()
	delayEnd := time.Now().Add(a.settings.LeaveDelay())
	drain, cancel := context.WithTimeout(runCtx, leave.DrainTimeout)
	defer cancel()
	if err := a.inFlight.Wait(drain); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	wait.For(drain, time.Until(delayEnd))
	return a.server.Drain(drain)
}
