// Package gateway is the HTTP front end of an entry instance on the users'
// platform: it chooses a backend server for each request, sends the request
// directly to it and relays only complete answers and complete stream events.
//
// An attempt assigns a request to a backend server and sends it there. A retry budget,
// a token bucket that every new request refills a little, limits the attempts that
// follow any failure but a failed connection. The ranks of a model group compute
// together in passes; some intervals are given relative to the duration of a pass.
package gateway

import (
	"context"
	"net/http"
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
	"persimmonwind.dev/server/quarantine"
	"persimmonwind.dev/server/upstream"
)

const (
	// assumedEntryCount is the number of entries among which limits that all entries
	// share are divided: a few more than the largest number of entries on today's
	// machines, spares included.
	assumedEntryCount = 8
	// retryBudgetShare is the share of the platform's retry limit that the entries'
	// retry budgets use. The rest covers arrivals that the entries don't count, such as
	// requests that are sent again after a lost answer.
	retryBudgetShare = 0.6
	// defaultDeadline applies to requests without a deadline header.
	defaultDeadline = 30 * time.Second
)

// Guard keeps requests that crash backend servers away from them; see package
// quarantine.
type Guard interface {
	// Check returns the refusal of a request that must not be sent, or nil.
	Check(request quarantine.Request) *result.Error
	// Queued registers a request that waits until the returned function is called; cancel
	// is called with a *result.Error once it must not be sent.
	Queued(request quarantine.Request, cancel context.CancelCauseFunc) (remove func())
	// Answered records that a server has answered a request.
	Answered(request quarantine.Request)
	// Broken records that a server broke an exchange off before it had answered.
	Broken(request quarantine.Request, server, address string, sentAt time.Time)
	// Abandoned records that the gateway broke an exchange off before the server had answered.
	Abandoned(request quarantine.Request, server, address string, sentAt time.Time)
	// Refused records that no process listens at the server's address.
	Refused(service, server, address string)
	// Refresh records a sign that a server may have crashed.
	Refresh()
}

// Gateway is the http.Handler for callers.
type Gateway struct {
	snapshot    atomic.Pointer[topology.Snapshot]
	dispatchers *dispatchers
	pool        *upstream.Pool
	guard       Guard
	buffers     bufferSpace
	shutdown    atomic.Pointer[shutdown] // nil unless the entry is leaving.
	grace       context.Context          // Ends with the grace period.
	endGrace    context.CancelCauseFunc
	log         *logrus.Entry
	metrics     *Metrics

	mu           sync.Mutex
	budget       retry.Budget // Bounds the retries of this entry.
	entries      dispatch.EntryCount
	retryReserve float64 // Retries that all entries together may save up.
}

// New returns a gateway without a snapshot, which refuses all requests until Install
// is called.
func New(settings platform.Settings, guard Guard, log *logrus.Entry, metrics *Metrics) *Gateway {
	grace, endGrace := context.WithCancelCause(context.Background())
	return &Gateway{
		grace: grace, endGrace: endGrace,
		guard: guard,
		dispatchers: newDispatchers(dispatch.WarmUpLimit{
			OverloadFactor: settings.WarmUpOvershoot, ExtraPerSecond: settings.WarmUpAllowance, Entries: assumedEntryCount,
		}, log, metrics),
		pool:         upstream.NewPool(upstream.Dial),
		log:          log,
		metrics:      metrics,
		retryReserve: settings.RetryReserve * retryBudgetShare,
		budget:       retry.NewBudgetWith(settings.RetryRatio*retryBudgetShare, 1),
	}
}

// setEntries divides the limits that all entries share by the number of entries, which
// agents report.
func (g *Gateway) setEntries(reported int) {
	g.mu.Lock()
	before := g.entries.Value()
	g.entries.Observe(reported, time.Now())
	count := g.entries.Value()
	if count != before {
		g.budget = g.budget.Resize(max(1, g.retryReserve/float64(max(count, assumedEntryCount))))
	}
	g.mu.Unlock()
	if count != before {
		g.dispatchers.setEntries(count)
		logevent.Write(g.log, logevent.EntriesCounted, logrus.Fields{"entries": count, "before": before})
	}
}

// Install makes new requests use the snapshot.
func (g *Gateway) Install(snapshot *topology.Snapshot) {
	if snapshot.Config != nil && !snapshot.Config.HasEngines() {
		g.setEntries(assumedEntryCount) // Only agents beside engines report the number.
	}
	g.snapshot.Store(snapshot)
	g.dispatchers.configure(snapshot)
}

// Ready reports whether the gateway can serve requests.
func (g *Gateway) Ready() bool {
	snapshot := g.snapshot.Load()
	return snapshot != nil && snapshot.Ready
}

// assumedEntries returns the number of entries among which a limit is divided.
func (g *Gateway) assumedEntries() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(g.entries.Value(), assumedEntryCount)
}

// ReportLoad records the load of a backend server as reported by its agent.
func (g *Gateway) ReportLoad(report loadreport.Report) {
	g.setEntries(report.Entries)
	snapshot := g.snapshot.Load()
	if snapshot == nil || snapshot.Config == nil {
		return
	}
	if !report.Open {
		g.guard.Refresh()
	}
	for name := range snapshot.Config.Services {
		for _, candidate := range snapshot.Candidates(name) {
			if candidate.Address == report.Server {
				g.dispatchers.report(name, candidate.ID, dispatch.Report{
					Queued: report.Queued, Active: report.Active, Open: report.Open, Pace: report.Pace, Group: report.Group,
					MemoryTokens: report.MemoryTokens,
				})
			}
		}
	}
}

// Run dispatches waiting requests and closes idle connections until ctx ends.
func (g *Gateway) Run(ctx context.Context) {
	go g.closeIdle(ctx)
	g.dispatchers.pollQueues(ctx)
}

// closeIdle closes idle connections that have expired or lead to servers that get no
// requests, once per second until ctx ends.
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

// usableAddresses returns a function that reports whether an address belongs to a
// server that may get requests.
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

func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	request, err := platform.DecodeRequest(r.Header)
	log := g.log.WithField("request", request.AttemptID)
	if err != nil {
		logevent.Write(log, logevent.HeaderRejected, logrus.Fields{"error": err.Error()})
	}
	call := &call{gateway: g, writer: w, http: r, request: request, log: log, arrivedAt: arrivedAt}
	if refusal := call.authorize(g.snapshot.Load()); refusal != nil {
		call.respondError(refusal)
		return
	}
	if refusal := call.readBody(); refusal != nil {
		call.respondError(refusal)
		return
	}
	if refusal := call.refuseWhileLeaving(); refusal != nil {
		call.respondError(refusal)
		return
	}
	call.run()
}

// spendRetryBudget takes one retry out of the retry budget. It returns false if the
// budget is used up.
func (g *Gateway) spendRetryBudget() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	budget, ok := g.budget.Withdraw()
	g.budget = budget
	return ok
}

// creditRetryBudget adds to the retry budget the fraction of a retry that each new
// request allows.
func (g *Gateway) creditRetryBudget() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget = g.budget.Deposit()
}
