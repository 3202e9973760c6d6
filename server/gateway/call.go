package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/dispatch"
	"persimmonwind.dev/policy/poison"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/upstream"
)

const (
	// maxSends limits how often one request is sent, including sends that a busy
	// server refused.
	maxSends = 5
)

// call is one caller's request in flight. It passes these stages: it is admitted, waits
// for a slot, is sent to a backend server, and its answer is relayed; a failed attempt may
// be followed by another.
type call struct {
	gateway   *Gateway
	writer    http.ResponseWriter
	http      *http.Request
	request   platform.Request
	log       *logrus.Entry
	arrivedAt time.Time

	admission
	attempts
	latestAttempt
	relay
}

// admission is what is known of a request that may be sent to a backend server.
type admission struct {
	snapshot     *topology.Snapshot
	route        *topology.Route
	body         []byte
	fingerprint  string                 // Identifies what the server executes; see poison.Fingerprint.
	organisation *topology.Organisation // The caller; nil for public routes and for anonymous callers.
	deadline     time.Time              // The caller's deadline or the end of the route's timeout, whichever is sooner.
}

// attempts is the state over all attempts of a request.
type attempts struct {
	sends               int           // Attempts that obtained a connection to a server, including those that the server refused.
	possibleExecutions  int           // Attempts that the server may have executed.
	foundGroupClosed    bool          // An attempt was refused because the group is closed.
	refusedByDispatcher bool          // The dispatcher has refused the request; no attempt follows.
	quarantined         bool          // The request must not be sent to a server; no attempt follows.
	avoidServer         string        // The server of the latest failed attempt.
	refusedBy           []string      // Servers that have refused the request.
	waited              time.Duration // Time in the dispatcher's queue.
}

// latestAttempt is the state of the latest attempt.
type latestAttempt struct {
	placement             *placement   // The dispatcher's last decision; nil before the first.
	server                string       // The server; for the log.
	sentAt                time.Time    // When the request was sent.
	firstEventAt          time.Time    // When the first event arrived; zero for none.
	predictedFirstEventAt time.Time    // Predicted time of the first event; zero for no prediction.
	eventsBefore          int          // Events relayed before the attempt.
	end                   upstream.End // How the exchange ended; empty if it was answered.
	groupClosed           bool         // The server's group took no work at the attempt's end.
}

// relay is the state of the answer to the caller.
type relay struct {
	responseStarted bool   // The status and headers have been sent to the caller.
	startedStatus   int    // The status of a stream that was sent to the caller.
	startedType     string // Its Content-Type.
	lastEventID     string // ID of the latest event that the caller has.
	relayedEvents   int
	firstByteAt     time.Time
	longestEventGap time.Duration // Longest time between two events from one server.
	lastEventAt     time.Time     // When the caller got the latest event.
	longestPause    time.Duration // Longest time between two events that the caller got.
	buffers         []*buffer     // Answers that are held until the call ends.
	fallbackAnswer  *answer       // A server's error response, sent to the caller unless a retry succeeds.
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
	ctx, release := c.withinGrace(ctx)
	defer release()
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

// attempt sends the request to one backend server and delivers its answer.
func (c *call) attempt(ctx context.Context, service string) *result.Error {
	request := c.compared(service)
	if refused := c.gateway.guard.Check(request); refused != nil {
		c.quarantined = true
		return refused
	}
	placed, err := c.acquire(ctx, service, request)
	c.placement = placed
	c.waited += placed.waited
	var refused *result.Error
	if errors.As(err, &refused) {
		c.quarantined = true
		return refused
	}
	if err != nil {
		if c.possibleExecutions == 0 && c.gateway.isGraceOver() {
			return leavingRefusal(errGraceOver.Error())
		}
		if c.possibleExecutions == 0 {
			return result.Errorf(result.DeadlineTooShort, "no server slot became free before the deadline")
		}
		return result.Errorf(result.DeadlineExceeded, "no server slot became free before the deadline")
	}
	c.logDecision(placed)
	if placed.Verdict == dispatch.Refuse {
		c.refusedByDispatcher = true
		refusal := result.Errorf(result.Overloaded, "%s", placed.Reason)
		refusal.RetryAfter = placed.RetryAfter
		return refusal
	}
	if !c.route.Repeatable() {
		if refusal := c.refuseWhileLeaving(); refusal != nil {
			c.gateway.dispatchers.release(service, placed, dispatch.CallerLeft)
			return refusal
		}
	}
	server := placed.Server
	c.server = server.ID
	if placed.PredictedFirstEvent > 0 && !c.responseStarted {
		c.predictedFirstEventAt = time.Now().Add(placed.PredictedFirstEvent)
	}
	c.end, c.eventsBefore, c.firstEventAt = "", c.relayedEvents, time.Time{}
	sendsBefore := c.sends
	outcome, failure := c.sendMigratable(ctx, service, server)
	closed := c.gateway.dispatchers.release(service, placed, outcome)
	if failure == nil {
		return nil
	}
	c.groupClosed = closed
	if outcome == dispatch.CallerLeft && c.sends > sendsBefore && !c.answering() {
		c.gateway.guard.Abandoned(request, server.ID, server.Address, c.sentAt)
	}
	c.observeBroken(service, server, request)
	c.avoidServer = server.ID
	if closed && outcome == dispatch.Busy {
		c.foundGroupClosed = true
		failure = result.Errorf(result.GroupWaiting, "%s", failure.Detail)
		failure.RetryAfter = groupClosedRetryAfter
	}
	return failure
}

func (c *call) releaseBuffers() {
	for _, buffer := range c.buffers {
		buffer.release()
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

// answering reports whether the latest attempt's server has gone on for a while after it
// began to answer.
func (c *call) answering() bool {
	return !c.firstEventAt.IsZero() && time.Since(c.firstEventAt) >= answeredAfter
}
