package deployed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/server/gateway"
	"persimmonwind.dev/server/leave"
	"persimmonwind.dev/server/loadreport"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/quarantine"
	"persimmonwind.dev/server/upstream"
	"persimmonwind.dev/server/wait"
	"persimmonwind.dev/server/watch"
)

const (
	// readinessLag is how long the platform's balancer may send new connections after
	// readiness is withdrawn: two checks a second apart, plus network delay.
	readinessLag = 3 * time.Second
	// graceMargin is the part of the grace period that remains when waiting for
	// requests in flight ends.
	graceMargin = 200 * time.Millisecond
	// answerMargin is the time in which callers receive the answers to the requests that are
	// in flight until then.
	answerMargin = 300 * time.Millisecond

	headerTimeout  = 3 * time.Second  // Time to receive a request's headers; the users' configurations set the same value.
	idleTimeout    = 60 * time.Second // How long an idle connection is kept; longer than the users' callers reuse a connection.
	maxHeaderBytes = 64 << 10         // Maximum size of a request's headers; above the users' limit, which nothing in front of the entry checks.
)

// Entry is an entry instance on the users' platform.
type Entry struct {
	settings platform.Settings
	log      *logrus.Entry
	gateway  *gateway.Gateway
	follower *follower

	quarantine *quarantine.Quarantine
	registry   *prometheus.Registry
	draining   atomic.Bool // The process is stopping and reports that it is not ready.
}

// NewEntry returns an entry that is not running yet.
func NewEntry(settings platform.Settings, log *logrus.Entry) *Entry {
	registry := newRegistry()
	e := &Entry{settings: settings, log: log, registry: registry}
	store, restores := platform.NewStore(settings.StoreAddress, upstream.StoreTransport(upstream.Dial)), newRestoreCounter(registry)
	e.quarantine = quarantine.New(settings.Instance, store, upstream.Dial, log, quarantine.NewMetrics(registry), restores)
	e.gateway = gateway.New(settings, e.quarantine, log, gateway.NewMetrics(registry))
	e.follower = newFollower(store, entryBatchDelay, watch.PollWait(settings.ContactTime), log, restores, e.gateway.Install)
	e.follower.storeRegained = e.quarantine.Refresh
	return e
}

// Run serves requests until ctx ends, and then gives requests in flight the grace
// period to finish.
func (e *Entry) Run(ctx context.Context, metricsPort int) error {
	frontListener, err := net.Listen("tcp", e.settings.FrontListen)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	readyListener, err := net.Listen("tcp", e.settings.ReadyListen)
	if err != nil {
		return fmt.Errorf("listen for readiness checks: %w", err)
	}
	metrics, err := net.Listen("tcp", net.JoinHostPort(e.settings.IP, strconv.Itoa(metricsPort)))
	if err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	reports, err := net.ListenPacket("udp", net.JoinHostPort(e.settings.IP, strconv.Itoa(e.settings.PeerPortFirst)))
	if err != nil {
		return fmt.Errorf("listen for load reports: %w", err)
	}
	subscriber := loadreport.NewSubscriber(reports)
	callers := e.newCallerServer(frontListener)
	controlCtx, stopControl := context.WithCancel(context.Background())
	defer stopControl()

	var group run.Group
	group.Add(func() error { return callers.Serve(controlCtx) }, func(error) { stopControl(); _ = callers.Close() })
	stop := make(chan struct{})
	group.Add(func() error { return e.drain(ctx, callers, stop) }, func(error) { close(stop) })
	addServer(&group, &http.Server{Handler: http.HandlerFunc(e.serveReady), ErrorLog: serverLog(e.log)}, readyListener)
	addServer(&group, &http.Server{Handler: metricsHandler(e.registry), ErrorLog: serverLog(e.log)}, metrics)
	group.Add(func() error { return e.follower.run(controlCtx) }, func(error) { stopControl() })
	group.Add(func() error { return e.quarantine.Run(controlCtx) }, func(error) { stopControl() })
	group.Add(func() error { e.gateway.Run(controlCtx); return nil }, func(error) { stopControl() })
	group.Add(func() error { return subscriber.Serve(e.gateway.ReportLoad) }, closeOnInterrupt(reports))
	group.Add(func() error { subscriber.Run(controlCtx, e.agentAddresses); return nil }, func(error) { stopControl() })
	logevent.Write(e.log, logevent.ProcessReady, logrus.Fields{"callers": e.settings.FrontListen, "metrics_port": metricsPort})
	return group.Run()
}

// agentAddresses returns the addresses of the agents beside model engines.
func (e *Entry) agentAddresses() []string {
	snapshot := e.follower.snapshot()
	if snapshot == nil || snapshot.Config == nil {
		return nil
	}
	var addresses []string
	for name, service := range snapshot.Config.Services {
		if service.Engine == nil {
			continue
		}
		for _, server := range snapshot.ListedServers(name) {
			addresses = append(addresses, agentAddress(server.Address, e.settings.PeerPortFirst))
		}
	}
	return addresses
}

// serveReady answers the readiness checks of the platform's balancer.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.draining.Load() || !e.gateway.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// newCallerServer returns the server for callers.
func (e *Entry) newCallerServer(listener net.Listener) *leave.Server {
	return leave.NewServer(&http.Server{
		Handler: e.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: serverLog(e.log),
	}, listener)
}

// drain waits until ctx ends, withdraws readiness and then waits for the requests in
// flight, at most for the grace period. New connections are accepted for readinessLag,
// until the balancer has noticed.
func (e *Entry) drain(ctx context.Context, callers *leave.Server, stop <-chan struct{}) error {
	select {
	case <-ctx.Done():
	case <-stop:
		return nil
	}
	leavingSince := time.Now()
	end := leavingSince.Add(e.settings.GracePeriod - graceMargin)
	e.draining.Store(true)
	logevent.Write(e.log, logevent.ProcessLeaving, logrus.Fields{"grace_ms": e.settings.GracePeriod.Milliseconds()})
	callers.CloseIdle() // Their callers turn to other entries, which lets this one end sooner.
	e.gateway.Leave(leavingSince.Add(readinessLag), end.Add(-answerMargin))
	wait.For(context.Background(), readinessLag)
	drainCtx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := callers.Drain(drainCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		logevent.Write(e.log, logevent.ProcessLeaving, logrus.Fields{"cut": "requests still in flight at the end of the grace period"})
		return nil
	}
	return err
}
