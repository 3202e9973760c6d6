package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/dispatch"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/quarantine"
	"persimmonwind.dev/server/upstream"
)

const (
	// An engine's queue has priorities from 0 to 9, and gives 5 to requests without one. A
	// level counts for enginePriorityStep, up to maxLevelPriority, and so does being late.
	enginePriorityStep = 3
	maxLevelPriority   = 6
	// earliestFirstEventShare is the share of the predicted time after which a first event
	// may come: 2.5 of the predicted 2.9 passes, as the dispatcher counts for requests that
	// can still be on time.
	earliestFirstEventShare = 0.86
)

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
		// On another connection, the refusal could be an earlier one that the server has
		// written once more: both have the same attempt ID.
		Fresh:   !c.route.Repeatable() && slices.Contains(c.refusedBy, server.ID),
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
		c.refusedBy = append(c.refusedBy, server.ID)
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
	if c.responseStarted && !c.continues(exchange.Response) {
		exchange.Abort()
		return dispatch.Failed, result.Errorf(result.CutAnswer, "stream could not be resumed: server answered status %d, type %.60q", exchange.Response.StatusCode, exchange.Response.Header.Get("Content-Type"))
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
	if c.placement.byClass {
		forward.EnginePriority, forward.HasEnginePriority = c.enginePriority(time.Now()), true
	}
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

// enginePriority returns the request's priority at the engine, 0 for the most urgent. A
// request that can no longer be on time counts as one of the next level.
func (c *call) enginePriority(now time.Time) int {
	priority := min(c.placement.Level*enginePriorityStep, maxLevelPriority)
	if c.isLate(now) {
		priority += enginePriorityStep
	}
	return priority
}

// isLate reports whether the request can no longer be on time if it is sent now: its first
// event, or the next one of a stream that is resumed, would come too late.
func (c *call) isLate(now time.Time) bool {
	objectiveEnd, target := c.arrivedAt.Add(c.route.Objective), c.route.InterTokenTarget
	nextEvent := now.Add(time.Duration(float64(c.placement.PredictedFirstEvent) * earliestFirstEventShare))
	if c.relayedEvents == 0 {
		return nextEvent.After(objectiveEnd)
	}
	return c.firstByteAt.After(objectiveEnd) || target > 0 && max(c.longestPause, nextEvent.Sub(c.lastEventAt)) > target
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

// observeBroken tells the guard that the server has broken the exchange off before it had
// answered.
func (c *call) observeBroken(service string, server topology.Candidate, request quarantine.Request) {
	broken := c.end == upstream.EndedByServer || c.end == upstream.ResetByServer
	if broken && !c.answering() && c.gateway.dispatchers.expectedToRun(service, server.ID) {
		c.gateway.guard.Broken(request, server.ID, server.Address, c.sentAt)
	}
}

// classifyFailure returns the outcome and the error for an exchange that ended
// before the answer was complete.
func (c *call) classifyFailure(ctx context.Context, err error) (dispatch.Outcome, *result.Error) {
	switch {
	case c.http.Context().Err() != nil:
		return dispatch.CallerLeft, result.Errorf(result.Cancelled, "caller disconnected")
	case errors.Is(context.Cause(ctx), errMigrated):
		return dispatch.CallerLeft, result.Errorf(result.CutAnswer, "%v", context.Cause(ctx))
	case errors.Is(context.Cause(ctx), errGraceOver):
		return dispatch.CallerLeft, result.Errorf(result.DeadlineExceeded, "%v", errGraceOver)
	case ctx.Err() != nil:
		return dispatch.CallerLeft, result.Errorf(result.DeadlineExceeded, "no complete answer before the deadline")
	default:
		c.end = upstream.EndOf(err)
		c.gateway.metrics.ObserveBroken(c.end, c.relayedEvents > c.eventsBefore)
		return dispatch.Failed, result.Errorf(result.BackendFailed, "%v", err)
	}
}
