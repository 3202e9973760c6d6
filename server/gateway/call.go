package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/dispatch"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/policy/retry"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/upstream"
)

const (
	notReadyRetryAfter = 500 * time.Millisecond // A restarted entry reads its tables faster.
	usualBodyBytes     = 4 << 20                // Where the configuration names no limit.
	// groupRetryAfter is told to callers whose group takes no work: a rank that
	// was cut off is back after some seconds.
	groupRetryAfter = 2 * time.Second
	// maxSends bounds how often one request is sent, refusals by busy servers
	// included.
	maxSends = 5

	// Callers leave a stream after the longest of three gaps without an event.
	streamPatience    = 2 * time.Second
	objectivePatience = 4 // Times the objective.
	pausePatience     = 8 // Times the longest allowed pause.
	// firstEventTime is what a placed stream needs until its first event: about
	// three passes of a busy group.
	firstEventTime = 300 * time.Millisecond
)

// call is one caller's request on its way.
type call struct {
	gateway  *Gateway
	writer   http.ResponseWriter
	http     *http.Request
	request  platform.Request
	log      *logrus.Entry
	arrived  time.Time
	snapshot *topology.Snapshot
	route    *topology.Route
	body     []byte

	organisation *topology.Organisation // Nil for public routes.
	deadline     time.Time              // The caller's, or the route's timeout if that is sooner.

	sends      int    // Attempts that reached a connection.
	runs       int    // Attempts that may have run.
	tried      bool   // The request has found its group closed.
	refused    bool   // The desk has refused; no attempt follows.
	avoid      string // The server of the last failed attempt.
	server     string // The server of the last attempt, for the log.
	begun      bool   // The caller has had the head of the answer.
	lastEvent  string // Id of the last event that the caller has.
	events     int
	firstAt    time.Time
	expectedAt time.Time     // When the first event was predicted for; zero for no prediction.
	longestGap time.Duration // Between two events of one server.
	fallback   *answer       // A server's own failure, delivered unless a retry succeeds.
}

// answer is a backend server's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// run makes attempts until one is answered or none may follow.
func (c *call) run() {
	c.gateway.earnRetry()
	ctx, cancel := context.WithDeadline(c.http.Context(), c.deadline)
	defer cancel()
	service := c.route.PickService(rand.Float64())
	c.lastEvent = c.request.LastEventID
	for number := 1; ; number++ {
		failure := c.attempt(ctx, service)
		if failure == nil {
			c.ended(nil)
			return
		}
		if c.http.Context().Err() != nil {
			c.ended(result.Errorf(result.Cancelled, "the caller has left"))
			c.abort()
			return
		}
		if !c.again(number, failure) {
			c.give(c.final(failure))
			return
		}
	}
}

// again reports whether another attempt follows the failed one.
func (c *call) again(number int, failure *result.Error) bool {
	reason := ""
	switch {
	case c.refused:
		reason = "refused_by_desk"
	case c.sends >= maxSends || c.runs >= c.route.MaxAttempts:
		reason = "attempts_used_up"
	case !retry.Retriable(retry.Attempt{
		Number: max(1, c.runs), Err: failure, // Refusals are bounded by maxSends.
		ResponseStarted: c.begun && !c.resumable(),
		Idempotent:      c.route.Repeatable(),
		Waited:          time.Since(c.arrived),
		Remaining:       time.Until(c.deadline),
	}):
		reason = "not_retriable"
	case !retry.SkipsBudget(failure.Code) && !c.gateway.spendRetry():
		reason = "budget_used_up"
	}
	logevent.Write(c.log, logevent.AttemptFailed, logrus.Fields{
		"server": c.server, "attempt": number, "code": int(failure.Code), "error": failure.Error(),
		"again": reason == "", "reason": reason, "runs": c.runs, "begun": c.begun,
		"config": c.snapshot.Config.Version,
	})
	return reason == ""
}

// resumable reports whether a begun stream may go on at another server.
func (c *call) resumable() bool {
	return c.route.Kind == topology.Stream && c.route.Resumable
}

// final returns what the caller is told after the last attempt.
func (c *call) final(failure *result.Error) *result.Error {
	if c.runs > 0 && failure.NotRun() {
		// An earlier attempt may have run, so the promise of the last one doesn't hold.
		return result.Errorf(result.BackendFailed, "an earlier attempt may have run; the last: %v", failure)
	}
	return retry.FinalError(failure, rand.Uint64())
}

// attempt sends the request to one backend server and delivers its answer.
func (c *call) attempt(ctx context.Context, service string) *result.Error {
	decision, err := c.gateway.desks.ask(ctx, service, c.ticket(), c.logDecision)
	if err != nil {
		if c.runs == 0 {
			return result.Errorf(result.DeadlineTooShort, "no place within the time left")
		}
		return result.Errorf(result.DeadlineExceeded, "no place within the time left")
	}
	c.logDecision(decision)
	if decision.Verdict == dispatch.Refuse {
		c.refused = true
		refusal := result.Errorf(result.Overloaded, "%s", decision.Reason)
		refusal.RetryAfter = decision.RetryAfter
		return refusal
	}
	c.server = decision.Server.ID
	if decision.PredictedFirstEvent > 0 && !c.begun {
		c.expectedAt = time.Now().Add(decision.PredictedFirstEvent)
	}
	outcome, failure := c.exchange(ctx, service, decision.Server)
	closed := c.gateway.desks.done(service, decision.Server.ID, outcome)
	if failure == nil {
		return nil
	}
	c.avoid = decision.Server.ID
	if closed && outcome == dispatch.Busy {
		c.tried = true
		failure = result.Errorf(result.GroupWaiting, "%s", failure.Detail)
		failure.RetryAfter = groupRetryAfter
	}
	return failure
}

func (c *call) ticket() dispatch.Ticket {
	priority := c.route.Priority
	if c.organisation != nil && c.organisation.HasPriority {
		priority = c.organisation.Priority
	}
	return dispatch.Ticket{
		Arrived: c.arrived, SLODeadline: c.arrived.Add(c.route.Objective), Deadline: c.lastStart(),
		Priority: priority, Avoid: c.avoid, FoundClosed: c.tried,
	}
}

// lastStart is when starting the request is of no use any more: callers leave a
// stream whose first event, or next one, takes too long.
func (c *call) lastStart() time.Time {
	if c.route.Kind != topology.Stream {
		return c.deadline
	}
	patience := max(streamPatience, objectivePatience*c.route.Objective, pausePatience*c.route.InterTokenTarget)
	last := c.arrived.Add(patience - firstEventTime)
	if last.After(c.deadline) {
		return c.deadline
	}
	return last
}

// The causes of an exchange that ends so that its stream goes on at another
// server.
var (
	errMoved       = errors.New("moved off its server")
	errMovedSlow   = fmt.Errorf("%w, which holds up its group", errMoved)
	errMovedSilent = fmt.Errorf("%w, which is silent while its group goes on", errMoved)
)

// exchange sends the request and relays the answer. The outcome is what it says
// of the server. A resumable stream may be moved off the server meanwhile.
func (c *call) exchange(ctx context.Context, service string, server topology.Candidate) (dispatch.Outcome, *result.Error) {
	if !c.resumable() || c.runs+1 >= c.route.MaxAttempts {
		return c.send(ctx, service, server)
	}
	ctx, move := context.WithCancelCause(ctx)
	defer move(nil)
	forbid := c.gateway.desks.allowMove(service, server.ID, c, move)
	defer forbid()
	return c.send(ctx, service, server)
}

// send sends the request and relays the answer.
func (c *call) send(ctx context.Context, service string, server topology.Candidate) (dispatch.Outcome, *result.Error) {
	conn, err := c.gateway.pool.Get(ctx, upstream.Target{
		Address: server.Address, NonRepeatable: !c.route.Repeatable(),
		MaxIdle: c.snapshot.Service(service).MaxConnections / (2 * assumedEntries),
	})
	if err != nil {
		return dispatch.Unreachable, result.Errorf(result.NoBackendServer, "%v", err)
	}
	c.sends++
	exchange, err := c.gateway.pool.Do(ctx, conn, c.forward(server))
	if err != nil {
		c.runs++
		return c.broken(ctx, err)
	}
	said := platform.DecodeResponse(exchange.Response.StatusCode, exchange.Response.Header)
	if said.NotRun {
		exchange.Abort()
		refusal := result.Errorf(result.Overloaded, "server %s refused with status %d", server.ID, exchange.Response.StatusCode)
		refusal.RetryAfter = said.RetryAfter
		if said.Misdirected {
			return dispatch.Replaced, refusal
		}
		return dispatch.Busy, refusal
	}
	c.runs++
	c.gateway.desks.accepted(service)
	if said.Encoded || !said.Stamped {
		exchange.Abort()
		return dispatch.Failed, result.Errorf(result.BackendFailed, "status %d, stamped %t, encoded %t", exchange.Response.StatusCode, said.Stamped, said.Encoded)
	}
	if c.route.Kind == topology.Stream && exchange.Response.StatusCode < http.StatusMultipleChoices {
		return c.relayStream(ctx, service, server.ID, exchange)
	}
	return c.relayWhole(ctx, exchange)
}

func (c *call) forward(server topology.Candidate) upstream.Request {
	forward := platform.ForwardOptions{Server: server.ID, Remaining: time.Until(c.deadline), LastEventID: c.lastEvent}
	if c.organisation != nil {
		forward.Organisation = c.organisation.Name
	}
	return upstream.Request{
		Method: c.http.Method, Target: c.http.RequestURI, Host: c.http.Host,
		Header: platform.ForwardHeader(c.http.Header, forward), Body: c.body,
		Matches: func(header http.Header) bool {
			return platform.DecodeResponse(0, header).AttemptID == c.request.AttemptID
		},
	}
}

// broken says what an exchange that ended without an answer means.
func (c *call) broken(ctx context.Context, err error) (dispatch.Outcome, *result.Error) {
	switch {
	case c.http.Context().Err() != nil:
		return dispatch.CallerLeft, result.Errorf(result.Cancelled, "the caller has left")
	case errors.Is(context.Cause(ctx), errMoved):
		return dispatch.CallerLeft, result.Errorf(result.CutAnswer, "%v", context.Cause(ctx))
	case ctx.Err() != nil:
		return dispatch.CallerLeft, result.Errorf(result.DeadlineExceeded, "no whole answer within the time left")
	default:
		return dispatch.Failed, result.Errorf(result.BackendFailed, "%v", err)
	}
}

func (c *call) logDecision(decision dispatch.Decision) {
	if decision.Verdict == dispatch.Go && c.sends == 0 && decision.Limit == 0 && c.route.Kind != topology.Stream {
		return // The usual case of a plain request; its end is logged.
	}
	verdicts := [...]string{"wait", "go", "refuse"}
	logevent.Write(c.log, logevent.RequestPlaced, logrus.Fields{
		"verdict": verdicts[decision.Verdict], "reason": decision.Reason, "server": decision.Server.ID,
		"own": decision.OwnInFlight, "total": decision.TotalInFlight, "limit": decision.Limit,
		"predicted_ms": decision.PredictedWait.Milliseconds(), "retry_after_ms": decision.RetryAfter.Milliseconds(),
		"report_age_ms": decision.ReportAge.Milliseconds(), "config": c.snapshot.Config.Version,
		"after_ms": time.Since(c.arrived).Milliseconds(),
	})
}
