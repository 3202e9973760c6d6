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
	"persimmonwind.dev/policy/poison"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/policy/retry"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/quarantine"
	"persimmonwind.dev/server/upstream"
)

const (
	notReadyRetryAfter  = 500 * time.Millisecond // Retry-After while not ready; longer than a restarted entry takes to read its tables.
	defaultMaxBodyBytes = 4 << 20                // Largest request body if the configuration sets no limit.
	// groupClosedRetryAfter is the Retry-After sent to callers whose group accepts
	// no work: a rank that was cut off is back after some seconds.
	groupClosedRetryAfter = 2 * time.Second
	// maxSends limits how often one request is sent, including sends that a busy
	// server refused.
	maxSends = 5

	// A caller gives up on a stream after the longest of three periods without an
	// event: minStreamTimeout, objectiveTimeoutFactor times the route's latency
	// objective, or interTokenTimeoutFactor times its inter-token target.
	minStreamTimeout        = 2 * time.Second
	objectiveTimeoutFactor  = 4 // Multiple of the route's latency objective.
	interTokenTimeoutFactor = 8 // Multiple of the route's inter-token target.
	// minFirstEventTime is how long a stream takes from dispatch to its first
	// event: about three passes of a busy group.
	minFirstEventTime = 300 * time.Millisecond
)

// call is one caller's request in flight.
type call struct {
	gateway   *Gateway
	writer    http.ResponseWriter
	http      *http.Request
	request   platform.Request
	log       *logrus.Entry
	arrivedAt time.Time
	snapshot  *topology.Snapshot
	route     *topology.Route
	body      []byte
	// fingerprint identifies what the server executes; see poison.Fingerprint.
	fingerprint string

	organisation *topology.Organisation // The caller; nil for public routes and if no organisations are configured.
	deadline     time.Time              // The caller's deadline or the end of the route's timeout, whichever is sooner.

	sends                 int    // Attempts that obtained a connection to a server, including those that the server refused.
	possibleExecutions    int    // Attempts that the server may have executed.
	foundGroupClosed      bool   // An attempt was refused because the group is closed.
	refusedByDispatcher   bool   // The dispatcher has refused the request; no attempt follows.
	quarantined           bool   // The request must not be sent to a server; no attempt follows.
	avoidServer           string // The server of the latest failed attempt.
	server                string // The server of the latest attempt; for the log.
	responseStarted       bool   // The status and headers have been sent to the caller.
	lastEventID           string // ID of the latest event that the caller has.
	relayedEvents         int
	sentAt                time.Time    // When the latest attempt was sent.
	firstEventAt          time.Time    // When the latest attempt's first event arrived; zero for none.
	eventsBefore          int          // Events relayed before the latest attempt.
	end                   upstream.End // How the latest attempt's exchange ended; empty if it was answered.
	groupClosed           bool         // The group of the latest attempt's server took no work at the attempt's end.
	firstByteAt           time.Time
	predictedFirstEventAt time.Time     // Predicted time of the first event; zero for no prediction.
	longestEventGap       time.Duration // Longest time between two events from one server.
	buffers               []*buffer     // Answers that are held until the call ends.
	fallbackAnswer        *answer       // A server's error response, sent to the caller unless a retry succeeds.
}

// answer is a backend server's complete answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// run makes attempts until one succeeds or no retry is allowed.
func (c *call) run() {
	c.gateway.creditRetryBudget()
	c.fingerprint = poison.Fingerprint(c.http.Method, c.http.RequestURI, c.organisationName(), c.body)
	defer c.releaseBuffers()
	ctx, cancel := context.WithDeadline(c.http.Context(), c.deadline)
	defer cancel()
	service := c.route.PickService(rand.Float64())
	c.lastEventID = c.request.LastEventID
	for attemptNumber := 1; ; attemptNumber++ {
		failure := c.attempt(ctx, service)
		if failure == nil {
			c.recordEnd(nil)
			return
		}
		if c.http.Context().Err() != nil {
			c.recordEnd(result.Errorf(result.Cancelled, "caller disconnected"))
			c.abort()
			return
		}
		if !c.shouldRetry(attemptNumber, failure) {
			c.fail(c.finalError(failure))
			return
		}
	}
}

func (c *call) releaseBuffers() {
	for _, buffer := range c.buffers {
		buffer.release()
	}
}

// shouldRetry reports whether another attempt follows the failed one.
func (c *call) shouldRetry(attemptNumber int, failure *result.Error) bool {
	reason := ""
	switch {
	case c.refusedByDispatcher:
		reason = "refused_by_desk"
	case c.quarantined:
		reason = "quarantined"
	case c.sends >= maxSends || c.possibleExecutions >= c.route.MaxAttempts:
		reason = "attempts_used_up"
	case !retry.Retriable(retry.Attempt{
		Number: max(1, c.possibleExecutions), Err: failure, // Refused sends don't count here; maxSends limits them.
		ResponseStarted: c.responseStarted && !c.resumable(),
		Idempotent:      c.route.Repeatable(),
		Waited:          time.Since(c.arrivedAt),
		Remaining:       time.Until(c.deadline),
	}):
		reason = "not_retriable"
	case !retry.SkipsBudget(failure.Code) && !c.gateway.spendRetryBudget():
		reason = "budget_used_up"
	}
	logevent.Write(c.log.WithFields(c.endFields()), logevent.AttemptFailed, logrus.Fields{
		"server": c.server, "attempt": attemptNumber, "code": int(failure.Code), "error": failure.Error(),
		"again": reason == "", "reason": reason, "runs": c.possibleExecutions, "begun": c.responseStarted,
		"config": c.snapshot.Config.Version,
	})
	return reason == ""
}

// endFields returns the log fields of an attempt whose exchange ended before its answer
// was complete: what is needed to compare the requests that were at a server which ended.
func (c *call) endFields() logrus.Fields {
	if c.end == "" {
		return nil
	}
	return logrus.Fields{
		"end": string(c.end), "events": c.relayedEvents - c.eventsBefore, "sent_ms": time.Since(c.sentAt).Milliseconds(),
		"group_closed": c.groupClosed, "organisation": c.organisationName(), "parts": c.request.SharedParts,
		"fingerprint": c.fingerprint,
	}
}

// organisationName returns the name of the caller's organisation, empty for none.
func (c *call) organisationName() string {
	if c.organisation == nil {
		return ""
	}
	return c.organisation.Name
}

// resumable reports whether another server may continue the stream after it has
// started.
func (c *call) resumable() bool {
	return c.route.Kind == topology.Stream && c.route.Resumable
}

// finalError returns the error that the caller gets after the last attempt.
func (c *call) finalError(failure *result.Error) *result.Error {
	if c.possibleExecutions > 0 && failure.NotRun() {
		// The last error says that the request did not run, but an earlier attempt
		// may have run.
		return result.Errorf(result.BackendFailed, "an earlier attempt may have run; last error: %v", failure)
	}
	return retry.FinalError(failure, rand.Uint64())
}

// attempt sends the request to one backend server and delivers its answer.
func (c *call) attempt(ctx context.Context, service string) *result.Error {
	request := c.compared(service)
	if refused := c.gateway.guard.Check(request); refused != nil {
		c.quarantined = true
		return refused
	}
	decision, err := c.acquire(ctx, service, request)
	var refused *result.Error
	if errors.As(err, &refused) {
		c.quarantined = true
		return refused
	}
	if err != nil {
		if c.possibleExecutions == 0 {
			return result.Errorf(result.DeadlineTooShort, "no server slot became free before the deadline")
		}
		return result.Errorf(result.DeadlineExceeded, "no server slot became free before the deadline")
	}
	c.logDecision(decision)
	if decision.Verdict == dispatch.Refuse {
		c.refusedByDispatcher = true
		refusal := result.Errorf(result.Overloaded, "%s", decision.Reason)
		refusal.RetryAfter = decision.RetryAfter
		return refusal
	}
	c.server = decision.Server.ID
	if decision.PredictedFirstEvent > 0 && !c.responseStarted {
		c.predictedFirstEventAt = time.Now().Add(decision.PredictedFirstEvent)
	}
	c.end, c.eventsBefore, c.firstEventAt = "", c.relayedEvents, time.Time{}
	sendsBefore := c.sends
	outcome, failure := c.sendMigratable(ctx, service, decision.Server)
	closed := c.gateway.dispatchers.release(service, decision.Server.ID, outcome)
	if failure == nil {
		return nil
	}
	c.groupClosed = closed
	if outcome == dispatch.CallerLeft && c.sends > sendsBefore && !c.answering() {
		c.gateway.guard.Abandoned(request, decision.Server.ID, decision.Server.Address, c.sentAt)
	}
	c.observeBroken(service, decision.Server, request)
	c.avoidServer = decision.Server.ID
	if closed && outcome == dispatch.Busy {
		c.foundGroupClosed = true
		failure = result.Errorf(result.GroupWaiting, "%s", failure.Detail)
		failure.RetryAfter = groupClosedRetryAfter
	}
	return failure
}

// compared returns what the guard compares of the request.
func (c *call) compared(service string) quarantine.Request {
	return quarantine.Request{Service: service, Suspect: poison.Suspect{
		Organisation: c.organisationName(), Parts: c.request.SharedParts, Fingerprint: c.fingerprint,
	}}
}

// acquire returns the dispatcher's decision about the request. It returns a
// *result.Error if the request must not be sent to a server any more.
func (c *call) acquire(ctx context.Context, service string, request quarantine.Request) (dispatch.Decision, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	remove := func() {}
	decision, err := c.gateway.dispatchers.acquire(ctx, service, c.ticket(), func(decision dispatch.Decision) {
		remove = c.gateway.guard.Queued(request, cancel)
		c.logDecision(decision)
	})
	remove()
	if err != nil {
		return decision, context.Cause(ctx)
	}
	if decision.Verdict == dispatch.Go {
		if refused := c.gateway.guard.Check(request); refused != nil {
			c.gateway.dispatchers.release(service, decision.Server.ID, dispatch.CallerLeft)
			return decision, refused
		}
	}
	return decision, nil
}

// observeBroken tells the guard that the server has broken the exchange off before it had
// answered.
func (c *call) observeBroken(service string, server topology.Candidate, request quarantine.Request) {
	broken := c.end == upstream.EndedByServer || c.end == upstream.ResetByServer
	if broken && !c.answering() && c.gateway.dispatchers.expectedToRun(service, server.ID) {
		c.gateway.guard.Broken(request, server.ID, server.Address, c.sentAt)
	}
}

// answering reports whether the latest attempt's server has gone on for a while after it
// began to answer.
func (c *call) answering() bool {
	return !c.firstEventAt.IsZero() && time.Since(c.firstEventAt) >= answeredAfter
}

// ticket returns the description of the request by which the dispatcher queues it and
// assigns it to a server.
func (c *call) ticket() dispatch.Ticket {
	priority := c.route.Priority
	if c.organisation != nil && c.organisation.HasPriority {
		priority = c.organisation.Priority
	}
	return dispatch.Ticket{
		Arrived: c.arrivedAt, SLODeadline: c.arrivedAt.Add(c.route.Objective), Deadline: c.latestStart(),
		Priority: priority, Avoid: c.avoidServer, FoundClosed: c.foundGroupClosed,
	}
}

// latestStart returns the latest time at which starting the request is useful.
// A caller gives up on a stream whose first or next event takes too long.
func (c *call) latestStart() time.Time {
	if c.route.Kind != topology.Stream {
		return c.deadline
	}
	timeout := max(minStreamTimeout, objectiveTimeoutFactor*c.route.Objective, interTokenTimeoutFactor*c.route.InterTokenTarget)
	latest := c.arrivedAt.Add(timeout - minFirstEventTime)
	if latest.After(c.deadline) {
		return c.deadline
	}
	return latest
}

// Cancellation causes of an exchange whose stream is migrated to another server.
var (
	errMigrated       = errors.New("stream was migrated off its server")
	errMigratedSlow   = fmt.Errorf("%w, which slows down its group", errMigrated)
	errMigratedSilent = fmt.Errorf("%w, which sends no events while its group does", errMigrated)
)

// sendMigratable sends the request and relays the answer. A resumable stream may
// be migrated off the server meanwhile. The returned outcome tells the dispatcher
// how the server behaved.
func (c *call) sendMigratable(ctx context.Context, service string, server topology.Candidate) (dispatch.Outcome, *result.Error) {
	if !c.resumable() || c.possibleExecutions+1 >= c.route.MaxAttempts {
		return c.send(ctx, service, server)
	}
	ctx, migrate := context.WithCancelCause(ctx)
	defer migrate(nil)
	unregister := c.gateway.dispatchers.registerStream(service, server.ID, c, migrate)
	defer unregister()
	return c.send(ctx, service, server)
}

// send sends the request to the server and relays the answer to the caller.
func (c *call) send(ctx context.Context, service string, server topology.Candidate) (dispatch.Outcome, *result.Error) {
	conn, err := c.gateway.pool.Get(ctx, upstream.Target{
		Address: server.Address, NonRepeatable: !c.route.Repeatable(),
		MaxIdle: c.snapshot.Service(service).MaxConnections / (2 * c.gateway.assumedEntries()),
	})
	if err != nil {
		if upstream.EndOf(err) == upstream.Refused && c.gateway.dispatchers.expectedToRun(service, server.ID) {
			c.gateway.guard.Refused(service, server.ID, server.Address)
		}
		return dispatch.Unreachable, result.Errorf(result.NoBackendServer, "%v", err)
	}
	c.sends++
	c.sentAt = time.Now()
	exchange, err := c.gateway.pool.Do(ctx, conn, c.forward(service, server))
	if err != nil {
		c.possibleExecutions++
		return c.classifyFailure(ctx, err)
	}
	decoded := platform.DecodeResponse(exchange.Response.StatusCode, exchange.Response.Header)
	c.observePause(service, server, decoded)
	if decoded.NotRun {
		exchange.Abort()
		refusal := result.Errorf(result.Overloaded, "server %s refused with status %d", server.ID, exchange.Response.StatusCode)
		refusal.RetryAfter = decoded.RetryAfter
		if decoded.Misdirected {
			return dispatch.Replaced, refusal
		}
		return dispatch.Busy, refusal
	}
	c.possibleExecutions++
	c.gateway.dispatchers.observeAccepted(service, server.ID)
	if decoded.HasContentEncoding || !decoded.Stamped {
		exchange.Abort()
		return dispatch.Failed, result.Errorf(result.BackendFailed, "invalid answer: status %d, stamped %t, encoded %t", exchange.Response.StatusCode, decoded.Stamped, decoded.HasContentEncoding)
	}
	if c.route.Kind == topology.Stream && exchange.Response.StatusCode < http.StatusMultipleChoices {
		return c.relayStream(ctx, service, server.ID, exchange)
	}
	outcome, failure := c.relayBuffered(ctx, exchange)
	if outcome == dispatch.Served {
		c.gateway.guard.Answered(c.compared(service))
	}
	return outcome, failure
}

// forward returns the request to the server: the caller's request with the headers
// that the gateway sets.
func (c *call) forward(service string, server topology.Candidate) upstream.Request {
	forward := platform.ForwardOptions{Server: server.ID, Remaining: time.Until(c.deadline), LastEventID: c.lastEventID}
	forward.Organisation = c.organisationName()
	return upstream.Request{
		Method: c.http.Method, Target: c.http.RequestURI, Host: c.http.Host,
		Header: platform.ForwardHeader(c.http.Header, forward), Body: c.body,
		Matches: func(header http.Header) bool {
			return platform.DecodeResponse(0, header).AttemptID == c.request.AttemptID
		},
		Observe: func(response *http.Response) {
			c.observeLeaving(service, server, response)
			c.observeLimit(service, server, response)
		},
	}
}

// observeLeaving tells the dispatcher that the server stops soon if its response says
// so. A misdirected response is another server's.
func (c *call) observeLeaving(service string, server topology.Candidate, response *http.Response) {
	decoded := platform.DecodeResponse(response.StatusCode, response.Header)
	if !decoded.Leaving || decoded.Misdirected {
		return
	}
	if c.gateway.dispatchers.serverLeaving(service, server) {
		c.gateway.metrics.leavingServers.Inc()
		logevent.Write(c.log, logevent.ServerSaysLeaving, logrus.Fields{
			"server": server.ID, "service": service, "status": response.StatusCode, "config": c.snapshot.Config.Version,
		})
	}
}

// observeLimit tells the dispatcher the limit that the server names in a response. One
// without a limit ends it, unless it is an interim response or another request's.
func (c *call) observeLimit(service string, server topology.Candidate, response *http.Response) {
	decoded := platform.DecodeResponse(response.StatusCode, response.Header)
	if decoded.InvalidLimit != "" {
		logevent.Write(c.log, logevent.HeaderRejected, logrus.Fields{"server": server.ID, "limit": fmt.Sprintf("%.40q", decoded.InvalidLimit)})
	}
	final := response.StatusCode >= http.StatusOK && decoded.AttemptID == c.request.AttemptID
	if decoded.Misdirected || decoded.InvalidLimit != "" || !decoded.HasLimit && !final {
		return
	}
	var limit *dispatch.NamedLimit
	fields := logrus.Fields{"server": server.ID, "service": service, "named": decoded.HasLimit, "status": response.StatusCode, "config": c.snapshot.Config.Version}
	if decoded.HasLimit {
		limit = &dispatch.NamedLimit{PerSecond: decoded.Limit}
		fields["per_second"] = decoded.Limit
	}
	if c.gateway.dispatchers.limitNamed(service, server, limit, final) {
		c.gateway.metrics.limitChanges.Inc()
		logevent.Write(c.log, logevent.LimitNamed, fields)
	}
}

// observePause tells the dispatcher that the server wants no requests for a while if its
// response says so.
func (c *call) observePause(service string, server topology.Candidate, decoded platform.Response) {
	if decoded.InvalidRetryAfter != "" {
		logevent.Write(c.log, logevent.HeaderRejected, logrus.Fields{"server": server.ID, "retry_after": fmt.Sprintf("%.40q", decoded.InvalidRetryAfter)})
	}
	if !decoded.Unavailable || decoded.RetryAfter <= 0 {
		return
	}
	until := c.gateway.dispatchers.pauseRequested(service, server, decoded.RetryAfter)
	c.gateway.metrics.pauseRequests.Inc()
	logevent.Write(c.log, logevent.PauseRequested, logrus.Fields{
		"server": server.ID, "service": service, "asked_ms": decoded.RetryAfter.Milliseconds(),
		"pause_ms": time.Until(until).Milliseconds(), "config": c.snapshot.Config.Version,
	})
}

// classifyFailure returns the outcome and the error for an exchange that ended
// before the answer was complete.
func (c *call) classifyFailure(ctx context.Context, err error) (dispatch.Outcome, *result.Error) {
	switch {
	case c.http.Context().Err() != nil:
		return dispatch.CallerLeft, result.Errorf(result.Cancelled, "caller disconnected")
	case errors.Is(context.Cause(ctx), errMigrated):
		return dispatch.CallerLeft, result.Errorf(result.CutAnswer, "%v", context.Cause(ctx))
	case ctx.Err() != nil:
		return dispatch.CallerLeft, result.Errorf(result.DeadlineExceeded, "no complete answer before the deadline")
	default:
		c.end = upstream.EndOf(err)
		c.gateway.metrics.ObserveBroken(c.end, c.relayedEvents > c.eventsBefore)
		return dispatch.Failed, result.Errorf(result.BackendFailed, "%v", err)
	}
}

// logDecision logs the dispatcher's decision, except for a plain request that is sent
// at once.
func (c *call) logDecision(decision dispatch.Decision) {
	if decision.Verdict == dispatch.Go && c.sends == 0 && decision.Limit == 0 && c.route.Kind != topology.Stream {
		return // A plain request sent at once; only its end is logged.
	}
	verdicts := [...]string{"wait", "go", "refuse"}
	logevent.Write(c.log, logevent.RequestPlaced, logrus.Fields{
		"verdict": verdicts[decision.Verdict], "reason": decision.Reason, "server": decision.Server.ID,
		"own": decision.OwnInFlight, "total": decision.TotalInFlight, "limit": decision.Limit,
		"predicted_ms": decision.PredictedWait.Milliseconds(), "retry_after_ms": decision.RetryAfter.Milliseconds(),
		"report_age_ms": decision.ReportAge.Milliseconds(), "config": c.snapshot.Config.Version,
		"after_ms": time.Since(c.arrivedAt).Milliseconds(),
	})
}
