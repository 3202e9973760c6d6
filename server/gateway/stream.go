package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
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

// answeredAfter is the time after the first event of a stream from which its server has
// evidently not crashed by beginning to answer.
const answeredAfter = 250 * time.Millisecond

var (
	errEventOrder     = errors.New("event ids are out of order")
	errNoContinuation = errors.New("event without an id that tells its place in a stream that is resumed")
	errTruncatedEvent = fmt.Errorf("stream ended in the middle of an event: %w", io.ErrUnexpectedEOF)
)

// relayStream relays complete events of a server's stream to the caller as they
// arrive. A stream that another server continues keeps the status and headers of the
// first server's answer.
func (c *call) relayStream(ctx context.Context, service, server string, exchange *upstream.Exchange) (dispatch.Outcome, *result.Error) {
	reader := bufio.NewReader(exchange.Response.Body)
	event := &buffer{space: &c.gateway.buffers, limit: maxEventBytes}
	defer event.release()
	var lastAt time.Time
	answered := false
	resumed := c.responseStarted
	// The server has answered if it goes on for a while after the first event.
	observeAnswered := func(complete bool) {
		if !answered && (c.answering() || complete && !c.firstEventAt.IsZero()) {
			answered = true
			c.gateway.guard.Answered(c.compared(service))
		}
	}
	for {
		event.release()
		id, err := readEvent(reader, event)
		if errors.Is(err, io.EOF) {
			exchange.Finish()
			observeAnswered(true)
			c.startStream(exchange.Response)
			return dispatch.Served, nil
		}
		if err == nil {
			err = c.checkEvent(event.data, id, resumed)
		}
		observeAnswered(false)
		if err != nil {
			exchange.Abort()
			outcome, failure := c.classifyFailure(ctx, err)
			if outcome == dispatch.Failed {
				failure = result.Errorf(result.CutAnswer, "after %d events: %v", c.relayedEvents, err)
			}
			return outcome, failure
		}
		now := time.Now()
		if lastAt.IsZero() {
			c.firstEventAt = now
			c.gateway.dispatchers.observeFirstEvent(service, c.placement)
		} else {
			c.gateway.dispatchers.gap(service, server, now.Sub(lastAt))
			c.longestEventGap = max(c.longestEventGap, now.Sub(lastAt))
		}
		lastAt = now
		c.startStream(exchange.Response)
		c.relayEvent(event.data, id)
	}
}

// checkEvent returns an error if the event with the id does not come after the events already
// sent to the caller. In a stream that another server resumes, its id must show that.
func (c *call) checkEvent(event []byte, id string, resumed bool) error {
	next, nextErr := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(c.lastEventID, 10, 64)
	if resumed && (nextErr != nil || lastErr != nil) && !isComment(event) {
		return errNoContinuation
	}
	if nextErr != nil || lastErr != nil {
		return nil // Non-numeric ids can't be compared.
	}
	if next <= last {
		return fmt.Errorf("%w: %d after %d", errEventOrder, next, last)
	}
	return nil
}

// continues reports whether the response may go on with the stream that the caller has a part
// of. A success of another kind is neither an event nor the stream's end.
func (c *call) continues(response *http.Response) bool {
	return response.StatusCode == c.startedStatus && response.Header.Get("Content-Type") == c.startedType
}

// startStream sends the status and headers of the first server's answer to the caller.
func (c *call) startStream(response *http.Response) {
	if c.responseStarted {
		return
	}
	c.responseStarted = true
	c.startedStatus, c.startedType = response.StatusCode, response.Header.Get("Content-Type")
	c.firstByteAt = time.Now()
	copyHeader(c.writer.Header(), platform.EndToEndHeader(response.Header))
	c.writeHead(response.StatusCode)
}

// relayEvent sends one event to the caller at once.
func (c *call) relayEvent(event []byte, id string) {
	c.write(event)
	if err := http.NewResponseController(c.writer).Flush(); err != nil {
		logevent.Write(c.log, logevent.CallerDisconnected, logrus.Fields{"error": err.Error()})
	}
	now := time.Now()
	if c.relayedEvents > 0 {
		c.longestPause = max(c.longestPause, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
	c.relayedEvents++
	if id != "" {
		c.lastEventID = id
	}
}

// readEvent reads the next event into the buffer, including the blank line that ends it,
// and returns its id. It returns io.EOF only if the stream ends between two events.
func readEvent(reader *bufio.Reader, event *buffer) (id string, err error) {
	lineStart := 0 // Where the current line begins in the event.
	for {
		part, err := reader.ReadSlice('\n')
		if appendErr := event.append(part); appendErr != nil {
			return "", fmt.Errorf("buffer event: %w", appendErr)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue // The line goes on in the next part.
		}
		if errors.Is(err, io.EOF) && len(event.data) > 0 {
			return "", errTruncatedEvent
		}
		if err != nil {
			return "", err
		}
		if len(bytes.TrimRight(event.data[lineStart:], "\r\n")) == 0 {
			return eventID(event.data), nil
		}
		lineStart = len(event.data)
	}
}

// isComment reports whether the event holds nothing but comments, which have no place in the
// order of a stream.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// eventID returns the value of the event's id field.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
