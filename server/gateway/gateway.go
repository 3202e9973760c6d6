// Package gateway takes callers' requests on the users' platform, chooses a
// backend server for each, sends the request straight to it and carries the
// answer back whole.
package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/dispatch"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/policy/retry"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/loadreport"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/upstream"
)

const (
	// assumedEntries splits what all entries share: a few more than the largest
	// number of entries on the machines of today with their spares.
	assumedEntries = 8
	// retryBudgetShare of the allowed retries is used, so that arrivals which the
	// entries don't count, like repeats after a lost answer, stay within it.
	retryBudgetShare = 0.6
	// defaultDeadline holds for callers that name none.
	defaultDeadline = 30 * time.Second
)

// Gateway is the http.Handler for callers.
type Gateway struct {
	snapshot    atomic.Pointer[topology.Snapshot]
	dispatchers *dispatchers
	pool        *upstream.Pool
	log         *logrus.Entry
	metrics     *Metrics

	mu     sync.Mutex
	budget retry.Budget
}

// New returns a gateway that knows nothing yet.
func New(settings platform.Settings, log *logrus.Entry, metrics *Metrics) *Gateway {
	return &Gateway{
		dispatchers: newDispatchers(dispatch.WarmUpLimit{
			OverloadFactor: settings.WarmUpOvershoot, Allowance: settings.WarmUpAllowance, Entries: assumedEntries,
		}, log),
		pool:    upstream.NewPool(upstream.Dial),
		log:     log,
		metrics: metrics,
		budget: retry.NewBudgetOf(
			settings.RetryRatio*retryBudgetShare,
			max(1, settings.RetryReserve*retryBudgetShare/assumedEntries)),
	}
}

// Install puts a snapshot in force for new requests.
func (g *Gateway) Install(snapshot *topology.Snapshot) {
	g.snapshot.Store(snapshot)
	g.dispatchers.configure(snapshot)
}

// Ready reports whether the gateway can serve requests.
func (g *Gateway) Ready() bool {
	snapshot := g.snapshot.Load()
	return snapshot != nil && snapshot.Ready
}

// ReportLoad takes in the load of a backend server from the agent beside it.
func (g *Gateway) ReportLoad(report loadreport.Report) {
	snapshot := g.snapshot.Load()
	if snapshot == nil || snapshot.Config == nil {
		return
	}
	for name := range snapshot.Config.Services {
		for _, candidate := range snapshot.Candidates(name) {
			if candidate.Address == report.Server {
				g.dispatchers.report(name, candidate.ID, dispatch.Report{
					Queued: report.Queued, Active: report.Active, Open: report.Open, Pace: report.Pace,
				})
			}
		}
	}
}

// Run looks at waiting requests and idle connections until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	go g.closeIdle(ctx)
	g.dispatchers.pollQueues(ctx)
}

func (g *Gateway) closeIdle(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		g.pool.CloseIdle(g.usableAddresses())
	}
}

// usableAddresses returns a check whether an address is a usable server's.
func (g *Gateway) usableAddresses() func(string) bool {
	addresses := map[string]bool{}
	if snapshot := g.snapshot.Load(); snapshot != nil && snapshot.Config != nil {
		for name := range snapshot.Config.Services {
			for _, candidate := range snapshot.Candidates(name) {
				addresses[candidate.Address] = true
			}
		}
	}
	return func(address string) bool { return addresses[address] }
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	request, err := platform.DecodeRequest(r.Header)
	log := g.log.WithField("request", request.AttemptID)
	if err != nil {
		logevent.Write(log, logevent.HeaderRejected, logrus.Fields{"error": err.Error()})
	}
	call := &call{gateway: g, writer: w, http: r, request: request, log: log, arrived: arrived}
	if refusal := call.authorize(g.snapshot.Load()); refusal != nil {
		call.respondError(refusal)
		return
	}
	if refusal := call.readBody(); refusal != nil {
		call.respondError(refusal)
		return
	}
	call.run()
}

// authorize finds the request's route and organisation.
func (c *call) authorize(snapshot *topology.Snapshot) *result.Error {
	if snapshot == nil || !snapshot.Ready {
		refusal := result.Errorf(result.NotReady, "no configuration or no list of backend servers yet")
		refusal.RetryAfter = notReadyRetryAfter
		return refusal
	}
	path, _, _ := strings.Cut(c.http.RequestURI, "?")
	c.snapshot = snapshot
	c.route = snapshot.Route(c.http.Host, path)
	if c.route == nil {
		return result.Errorf(result.UnknownPath, "no route for host %q and this path", c.http.Host)
	}
	if snapshot.HasOrganisations() && !c.route.Public {
		c.organisation = snapshot.Organisation(c.request.Key)
		if c.organisation == nil {
			return result.Errorf(result.Unauthorized, "the key is missing or unknown")
		}
	}
	limit := c.request.Deadline
	if limit <= 0 {
		limit = defaultDeadline
	}
	if c.route.Timeout > 0 && c.route.Timeout < limit {
		limit = c.route.Timeout
	}
	c.deadline = c.arrived.Add(limit)
	return nil
}

// readBody reads the whole body, bounded by the configured size.
func (c *call) readBody() *result.Error {
	limit := c.snapshot.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if c.http.ContentLength > limit {
		return result.Errorf(result.BodyTooLarge, "%d bytes, allowed are %d", c.http.ContentLength, limit)
	}
	if c.http.ContentLength == 0 {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.writer, c.http.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return result.Errorf(result.BodyTooLarge, "more than the allowed %d bytes", limit)
	case err != nil:
		return result.Errorf(result.BadRequest, "the body can't be read: %v", err)
	}
	c.body = body
	return nil
}

// spendRetryBudget takes one further attempt out of the budget.
func (g *Gateway) spendRetryBudget() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	budget, ok := g.budget.Spend()
	g.budget = budget
	return ok
}

// creditRetryBudget adds a new request's share to the budget.
func (g *Gateway) creditRetryBudget() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget = g.budget.Request()
}
