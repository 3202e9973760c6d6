// Package entry implements the entry instance, which runs behind the platform's
// load balancer: it accepts callers' requests, chooses a backend server for
// each and returns the response. It is stateless: it holds nothing that can't
// be lost.
package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/control"
	"persimmonwind.dev/server/entry/attempt"
	"persimmonwind.dev/server/entry/limit"
	"persimmonwind.dev/server/keys"
	"persimmonwind.dev/server/leave"
	"persimmonwind.dev/server/metrics"
	"persimmonwind.dev/server/node"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/settings"
	"persimmonwind.dev/server/wait"
)

const headerTimeout = 5 * time.Second

// Listeners are the sockets that an entry serves.
type Listeners struct {
	Control net.Listener
	Callers net.Listener
	Admin   net.Listener
	Keys    keys.Source // TLS keys for Control and the connections to agents; nil for plain TCP.
}

// Entry serves callers, operators and other processes as one entry instance.
type Entry struct {
	settings  settings.Entry
	node      *node.Node
	metrics   *metrics.Metrics
	inFlight  leave.InFlightCounter
	runner    *attempt.Runner
	limiter   *limit.Limiter
	listeners Listeners
	callers   *leave.Server
	admin     *http.Server
}

// New returns an entry that is not running yet.
func New(config settings.Entry, listeners Listeners, log *logrus.Entry) *Entry {
	self := control.Self{ID: config.ID, Role: ports.RoleEntry, DataCentre: config.DataCentre}
	n := node.New(node.Options{Self: self, Control: listeners.Control, StoreURL: config.Store, Traffic: listeners.Callers.Addr().String(), Peers: config.Peers, Keys: listeners.Keys, Log: log})
	e := &Entry{settings: config, node: n, runner: attempt.NewRunner(n), limiter: limit.New(n, config.ID), listeners: listeners}
	e.metrics = metrics.New(n.State)
	e.metrics.RegisterInFlight(e.inFlight.Count)
	e.callers = leave.NewServer(newServer(e.inFlight.Wrap(e.callersHandler())), listeners.Callers)
	e.admin = newServer(e.adminHandler())
	return e
}

// newServer returns an HTTP server that limits the header size and the time for
// which slow or hostile clients can hold a connection.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Node returns the node that runs the entry's control loop.
func (e *Entry) Node() *node.Node { return e.node }

// Run serves until ctx ends, then drains.
func (e *Entry) Run(ctx context.Context) error {
	var group run.Group
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	group.Add(func() error { return e.node.Run(runCtx) }, func(error) { stop() })
	group.Add(func() error { return e.limiter.Run(runCtx) }, func(error) { stop() })
	group.Add(func() error { return e.callers.Serve(runCtx) }, func(error) { stop(); _ = e.callers.Close() })
	group.Add(func() error { return leave.Serve(runCtx, e.admin, e.listeners.Admin) }, func(error) { _ = e.admin.Close() })
	group.Add(func() error { e.runner.Sweeper().Run(runCtx); return nil }, func(error) { stop() })
	group.Add(func() error { return e.drainAfter(ctx, runCtx) }, func(error) { stop() })
	return group.Run()
}

// drainAfter stops the entry once ctx has ended. From then on the entry fails
// its readiness check but continues to serve for the leave delay, until the
// platform's load balancer has noticed; then it waits for the requests in
// flight.
func (e *Entry) drainAfter(ctx, runCtx context.Context) error {
	if !leave.AwaitShutdown(ctx, runCtx) {
		return nil
	}
	e.node.Leave()
	e.callers.Leave()
	drain, cancel := context.WithTimeout(runCtx, leave.DrainTimeout)
	defer cancel()
	wait.For(drain, e.settings.LeaveDelay())
	return e.callers.Drain(drain)
}
