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

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var (
	errEventTooLarge = errors.New("event is too large")
	errEventGap      = errors.New("event ids are out of order")
	errHalfEvent     = errors.New("stream ended inside an event")
)

// relayStream passes whole events on as they come. A stream that goes on at
// another server keeps the head of its first answer.
func (c *call) relayStream(ctx context.Context, service, server string, exchange *upstream.Exchange) (dispatch.Outcome, *result.Error) {
	reader := bufio.NewReader(exchange.Response.Body)
	var lastAt time.Time
	for {
		event, id, err := readEvent(reader)
		if errors.Is(err, io.EOF) {
			exchange.Finish()
			c.beginStream(exchange.Response)
			return dispatch.Served, nil
		}
		if err == nil {
			err = c.follows(id)
		}
		if err != nil {
			exchange.Abort()
			outcome, failure := c.broken(ctx, err)
			if outcome == dispatch.Failed {
				failure = result.Errorf(result.CutAnswer, "after %d events: %v", c.events, err)
			}
			return outcome, failure
		}
		now := time.Now()
		if lastAt.IsZero() {
			c.gateway.desks.heard(service, server)
		} else {
			c.gateway.desks.gap(service, server, now.Sub(lastAt))
			c.longestGap = max(c.longestGap, now.Sub(lastAt))
		}
		lastAt = now
		c.beginStream(exchange.Response)
		c.passEvent(event, id)
	}
}

// follows checks that the event with the id comes after those that the caller
// has.
func (c *call) follows(id string) error {
	next, nextErr := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(c.lastEvent, 10, 64)
	if nextErr != nil || lastErr != nil {
		return nil // Ids that aren't numbers can't be compared.
	}
	if next <= last {
		return fmt.Errorf("%w: %d after %d", errEventGap, next, last)
	}
	return nil
}

// beginStream sends the head of the first answer.
func (c *call) beginStream(response *http.Response) {
	if c.begun {
		return
	}
	c.begun = true
	c.firstAt = time.Now()
	copyHeader(c.writer.Header(), platform.EndToEndHeader(response.Header))
	c.writer.WriteHeader(response.StatusCode)
}

func (c *call) passEvent(event []byte, id string) {
	c.write(event)
	if err := http.NewResponseController(c.writer).Flush(); err != nil {
		logevent.Write(c.log, logevent.CallerGone, logrus.Fields{"error": err.Error()})
	}
	c.events++
	if id != "" {
		c.lastEvent = id
	}
}

// readEvent returns the next event with its blank line. It fails with io.EOF
// only between events.
func readEvent(reader *bufio.Reader) (event []byte, id string, err error) {
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEventBytes {
			return nil, "", errEventTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(event) > 0 {
			return nil, "", errHalfEvent
		}
		if err != nil {
			return nil, "", err
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return event, eventID(event), nil
		}
	}
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
