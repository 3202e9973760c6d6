package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/dispatch"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/upstream"
)

// relayBuffered reads the complete answer before it sends any of it to the caller.
func (c *call) relayBuffered(ctx context.Context, exchange *upstream.Exchange) (dispatch.Outcome, *result.Error) {
	body := &buffer{space: &c.gateway.buffers, limit: maxBufferedBytes}
	c.buffers = append(c.buffers, body)
	if err := body.readAll(exchange.Response.Body); err != nil {
		exchange.Abort()
		if errors.Is(err, errBufferTooLarge) || errors.Is(err, errBuffersFull) {
			return dispatch.Failed, result.Errorf(result.BackendFailed, "buffer answer: %v", err)
		}
		outcome, failure := c.classifyFailure(ctx, err)
		if outcome == dispatch.Failed {
			failure = result.Errorf(result.CutAnswer, "%v", err)
		}
		return outcome, failure
	}
	exchange.Finish()
	complete := &answer{status: exchange.Response.StatusCode, header: platform.EndToEndHeader(exchange.Response.Header), body: body.data}
	if complete.status >= http.StatusInternalServerError && c.route.Repeatable() {
		c.fallbackAnswer = complete
		return dispatch.Failed, result.Errorf(result.BackendFailed, "server answered status %d", complete.status)
	}
	if complete.status >= http.StatusInternalServerError {
		c.deliver(complete)
		return dispatch.Failed, nil
	}
	c.deliver(complete)
	return dispatch.Served, nil
}

// deliver writes a backend server's complete answer to the caller.
func (c *call) deliver(complete *answer) {
	c.firstByteAt = time.Now()
	c.responseStarted = true
	header := c.writer.Header()
	copyHeader(header, complete.header)
	header.Set("Content-Length", strconv.Itoa(len(complete.body)))
	c.writeHead(complete.status)
	c.write(complete.body)
}

// write sends bytes to the caller. A failure means that the caller has
// disconnected, which also cancels the request's context.
func (c *call) write(data []byte) {
	if _, err := c.writer.Write(data); err != nil {
		logevent.Write(c.log, logevent.CallerDisconnected, logrus.Fields{"error": err.Error()})
	}
}

// copyHeader copies the headers of a backend server's answer. A nil value keeps
// net/http from adding a Content-Type or Date that the answer does not have.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	if _, ok := src["Content-Type"]; !ok {
		dst["Content-Type"] = nil
	}
	if _, ok := src["Date"]; !ok {
		dst["Date"] = nil
	}
}

// fail ends a call whose last attempt failed. It aborts a response that has
// started, delivers a server's error response if there is one, and otherwise
// responds with the failure.
func (c *call) fail(failure *result.Error) {
	if c.responseStarted {
		c.recordEnd(failure)
		c.abort()
		return
	}
	if c.fallbackAnswer != nil {
		c.deliver(c.fallbackAnswer)
		c.recordEnd(failure)
		return
	}
	c.respondError(failure)
}

// respondError answers with the status code of the failure.
func (c *call) respondError(failure *result.Error) {
	description := result.Describe(failure.Code)
	header := c.writer.Header()
	platform.SetResponseHeader(header, c.request.AttemptID, failure.RetryAfter)
	header.Set("Content-Type", "text/plain; charset=utf-8")
	c.writeHead(description.HTTPStatus)
	c.write([]byte(failure.Error() + "\n"))
	c.recordEnd(failure)
}

// abort closes the caller's connection, so that an unfinished answer does not
// look complete.
func (c *call) abort() { panic(http.ErrAbortHandler) }

// recordEnd logs the end of the call and updates the metrics.
func (c *call) recordEnd(failure *result.Error) {
	code := result.OK
	fields := logrus.Fields{"sends": c.sends, "runs": c.possibleExecutions, "server": c.server, "total_ms": time.Since(c.arrivedAt).Milliseconds()}
	if failure != nil {
		code = failure.Code
		fields["error"] = failure.Error()
		fields["retry_after_ms"] = failure.RetryAfter.Milliseconds()
	}
	if c.snapshot != nil {
		fields["config"], fields["config_age_ms"] = c.snapshot.Config.Version, c.arrivedAt.Sub(c.snapshot.ConfigAt).Milliseconds()
	}
	fields["code"] = int(code)
	route := "none"
	if c.route != nil {
		route = c.route.Name
		fields["deadline_ms"] = c.deadline.Sub(c.arrivedAt).Milliseconds()
	}
	fields["route"] = route
	if !c.firstByteAt.IsZero() {
		fields["first_ms"] = c.firstByteAt.Sub(c.arrivedAt).Milliseconds()
		c.gateway.metrics.firstAnswer.Observe(c.firstByteAt.Sub(c.arrivedAt).Seconds())
	}
	if c.relayedEvents > 0 {
		fields["events"], fields["longest_gap_ms"] = c.relayedEvents, c.longestEventGap.Milliseconds()
		if !c.predictedFirstEventAt.IsZero() {
			fields["predicted_first_ms"] = c.predictedFirstEventAt.Sub(c.arrivedAt).Milliseconds()
			c.gateway.metrics.predictionError.Observe(c.firstByteAt.Sub(c.predictedFirstEventAt).Abs().Seconds())
		}
	}
	if c.placement != nil && c.placement.byClass {
		if c.route.Kind == topology.Stream {
			c.placement.logFields(fields, c.request.PromptTokens, c.waited)
		}
		if refused := failure != nil && failure.NotRun() && code != result.Cancelled; refused {
			c.gateway.metrics.ObserveRefusal(c.refusalReason(code), c.placement.Level)
		}
	}
	c.gateway.metrics.ObserveRequest(code, time.Since(c.arrivedAt))
	logevent.Write(c.log, logevent.RequestEnded, fields)
}

// refusalReason returns the dispatcher's reason if it has refused the request, and
// otherwise the name of the result code.
func (c *call) refusalReason(code result.Code) string {
	if c.refusedByDispatcher {
		return c.placement.Reason
	}
	return result.Describe(code).Name
}
