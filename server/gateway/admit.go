package gateway

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"persimmonwind.dev/policy/poison"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/quarantine"
)

const (
	notReadyRetryAfter  = 500 * time.Millisecond // Retry-After while not ready; longer than a restarted entry takes to read its tables.
	defaultMaxBodyBytes = 4 << 20                // Largest request body if the configuration sets no limit.
)

// authorize finds the request's route and organisation and sets its deadline. It
// returns the reason for a refusal, or nil.
func (c *call) authorize(snapshot *topology.Snapshot) *result.Error {
	if snapshot == nil || !snapshot.Ready {
		refusal := result.Errorf(result.NotReady, "no configuration or no list of backend servers has been read yet")
		refusal.RetryAfter = notReadyRetryAfter
		return refusal
	}
	path, _, _ := strings.Cut(c.http.RequestURI, "?")
	c.snapshot = snapshot
	c.route = snapshot.Route(c.http.Host, path)
	if c.route == nil {
		return result.Errorf(result.UnknownPath, "no route for host %q and the request's path", c.http.Host)
	}
	if snapshot.RequiresKeys() && !c.route.Public {
		c.organisation = snapshot.Organisation(c.request.Key)
		if c.organisation == nil {
			return result.Errorf(result.Unauthorized, "API key is missing or unknown")
		}
	}
	limit := c.request.Deadline
	if limit <= 0 {
		limit = defaultDeadline
	}
	if c.route.Timeout > 0 && c.route.Timeout < limit {
		limit = c.route.Timeout
	}
	c.deadline = c.arrivedAt.Add(limit)
	return nil
}

// readBody reads the whole request body. It returns an error for a body that exceeds
// the configured limit.
func (c *call) readBody() *result.Error {
	limit := c.snapshot.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if c.http.ContentLength > limit {
		return result.Errorf(result.BodyTooLarge, "body has %d bytes, limit is %d", c.http.ContentLength, limit)
	}
	if c.http.ContentLength == 0 {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.writer, c.http.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return result.Errorf(result.BodyTooLarge, "body exceeds the limit of %d bytes", limit)
	case err != nil:
		return result.Errorf(result.BadRequest, "read request body: %v", err)
	}
	c.body = body
	return nil
}

// compared returns what the guard compares of the request.
func (c *call) compared(service string) quarantine.Request {
	return quarantine.Request{Service: service, Suspect: poison.Suspect{
		Organisation: c.organisationName(), Parts: c.request.SharedParts, Fingerprint: c.fingerprint,
	}}
}
