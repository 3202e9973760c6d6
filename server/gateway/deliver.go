package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/dispatch"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/upstream"
)

// maxWholeBytes bounds an answer that is held until it is whole.
const maxWholeBytes = 16 << 20

// relayWhole reads the whole answer before the caller gets a byte of it.
func (c *call) relayWhole(ctx context.Context, exchange *upstream.Exchange) (dispatch.Outcome, *result.Error) {
	body, err := io.ReadAll(io.LimitReader(exchange.Response.Body, maxWholeBytes+1))
	if err != nil || len(body) > maxWholeBytes {
		exchange.Abort()
		if err == nil {
			return dispatch.Failed, result.Errorf(result.BackendFailed, "answer of more than %d bytes", maxWholeBytes)
		}
		outcome, failure := c.broken(ctx, err)
		if outcome == dispatch.Failed {
			failure = result.Errorf(result.CutAnswer, "%v", err)
		}
		return outcome, failure
	}
	exchange.Finish()
	if c.begun {
		// The caller has had a part of a stream; another answer can't follow it.
		return dispatch.Failed, result.Errorf(result.CutAnswer, "the stream was to go on, and the server answered status %d", exchange.Response.StatusCode)
	}
	whole := &answer{status: exchange.Response.StatusCode, header: platform.EndToEndHeader(exchange.Response.Header), body: body}
	if whole.status >= http.StatusInternalServerError && c.route.Repeatable() {
		c.fallback = whole
		return dispatch.Failed, result.Errorf(result.BackendFailed, "server answered status %d", whole.status)
	}
	if whole.status >= http.StatusInternalServerError {
		c.deliver(whole)
		return dispatch.Failed, nil
	}
	c.deliver(whole)
	return dispatch.Served, nil
}

// deliver writes a backend server's whole answer to the caller.
func (c *call) deliver(whole *answer) {
	c.firstAt = time.Now()
	c.begun = true
	header := c.writer.Header()
	copyHeader(header, whole.header)
	header.Set("Content-Length", strconv.Itoa(len(whole.body)))
	c.writer.WriteHeader(whole.status)
	c.write(whole.body)
}

// write passes bytes to the caller. A failure means that the caller has left,
// which its context tells too.
func (c *call) write(data []byte) {
	if _, err := c.writer.Write(data); err != nil {
		logevent.Write(c.log, logevent.CallerGone, logrus.Fields{"error": err.Error()})
	}
}

// copyHeader sets the headers of a backend server's answer; what net/http
// would add itself is kept out.
func copyHeader(into, from http.Header) {
	for name, values := range from {
		into[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		into["Content-Type"] = nil
	}
	if _, ok := from["Date"]; !ok {
		into["Date"] = nil
	}
}

// give ends a call that no backend server has answered.
func (c *call) give(failure *result.Error) {
	if c.begun {
		c.ended(failure)
		c.abort()
		return
	}
	if c.fallback != nil {
		c.deliver(c.fallback)
		c.ended(failure)
		return
	}
	c.refuse(failure)
}

// refuse answers with the system's own status.
func (c *call) refuse(failure *result.Error) {
	info := result.Describe(failure.Code)
	header := c.writer.Header()
	platform.SetResponseHeader(header, c.request.AttemptID, failure.RetryAfter)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	c.writer.WriteHeader(info.HTTPStatus)
	c.write([]byte(failure.Error() + "\n"))
	c.ended(failure)
}

// abort closes the caller's connection, so that an unfinished answer does not
// look complete.
func (c *call) abort() { panic(http.ErrAbortHandler) }

// ended logs and counts how the call went.
func (c *call) ended(failure *result.Error) {
	code := result.OK
	fields := logrus.Fields{"sends": c.sends, "runs": c.runs, "server": c.server, "total_ms": time.Since(c.arrived).Milliseconds()}
	if failure != nil {
		code = failure.Code
		fields["error"] = failure.Error()
		fields["retry_after_ms"] = failure.RetryAfter.Milliseconds()
	}
	fields["code"] = int(code)
	route := "none"
	if c.route != nil {
		route = c.route.Name
		fields["deadline_ms"] = c.deadline.Sub(c.arrived).Milliseconds()
		fields["config"] = c.snapshot.Config.Version
	}
	fields["route"] = route
	if !c.firstAt.IsZero() {
		fields["first_ms"] = c.firstAt.Sub(c.arrived).Milliseconds()
		c.gateway.metrics.firstAnswer.Observe(c.firstAt.Sub(c.arrived).Seconds())
	}
	if c.events > 0 {
		fields["events"], fields["longest_gap_ms"] = c.events, c.longestGap.Milliseconds()
		if !c.expectedAt.IsZero() {
			fields["predicted_first_ms"] = c.expectedAt.Sub(c.arrived).Milliseconds()
			c.gateway.metrics.predictionError.Observe(c.firstAt.Sub(c.expectedAt).Abs().Seconds())
		}
	}
	c.gateway.metrics.Ended(code, time.Since(c.arrived))
	logevent.Write(c.log, logevent.RequestEnded, fields)
}
