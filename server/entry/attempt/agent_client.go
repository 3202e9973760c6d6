package attempt

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/entry/route"
	"persimmonwind.dev/server/intact"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/ports/httpapi"
	"persimmonwind.dev/server/stream"
	"persimmonwind.dev/server/wire"
)

const maxRefusalBytes = 64 << 10

// agentClient sends attempts of requests to agents over HTTP.
type agentClient struct {
	scheme string
	http   *http.Client
}

func newAgentClient(scheme string, transport http.RoundTripper) *agentClient {
	return &agentClient{scheme: scheme, http: &http.Client{Transport: intact.Transport(transport, nil), CheckRedirect: httpapi.NoRedirect}}
}

// send posts the work and returns the agent's response, or its refusal.
func (c *agentClient) send(ctx context.Context, target route.Target, path string, work wire.Work, body []byte) (*http.Response, *result.Error) {
	header, err := work.Encode()
	if err != nil {
		return nil, result.From(err)
	}
	// The wrapper hides the reader's type, so that net/http can't rewind the body
	// and send the work twice.
	reader := io.MultiReader(bytes.NewReader(body))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.scheme+"://"+target.Traffic+path, reader)
	if err != nil {
		return nil, result.From(err)
	}
	request.ContentLength = int64(len(body))
	request.Header.Set(wire.HeaderWork, header)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, sendError(err)
	}
	if refusal := refusalOf(response); refusal != nil {
		return nil, refusal
	}
	if id := response.Header.Get(wire.HeaderRequestID); id != work.AnswerID() {
		response.Body.Close()
		return nil, result.Errorf(result.OutcomeUnknown, "answer is for request %q, not %q", id, work.AnswerID())
	}
	return response, nil
}

func sendError(err error) *result.Error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return result.Errorf(result.NoBackendServer, "%v", err)
	}
	return result.Errorf(result.OutcomeUnknown, "%v", err)
}

func refusalOf(response *http.Response) *result.Error {
	if response.Header.Get(wire.HeaderRefusal) == "" {
		return nil
	}
	defer response.Body.Close()
	var refusal wire.Refusal
	if err := json.NewDecoder(io.LimitReader(response.Body, maxRefusalBytes)).Decode(&refusal); err != nil {
		return result.Errorf(result.OutcomeUnknown, "malformed refusal: %v", err)
	}
	return refusal.Err()
}

// openGeneration sends one generation and returns the stream of its answer.
func (c *agentClient) openGeneration(ctx context.Context, target route.Target, work wire.Work, generation ports.Generation) (*stream.Reader, *result.Error) {
	body, err := json.Marshal(generation)
	if err != nil {
		return nil, result.From(err)
	}
	response, refusal := c.send(ctx, target, wire.PathGenerate, work, body)
	if refusal != nil {
		return nil, refusal
	}
	return stream.NewReader(response.Body), nil
}

// call sends one call of a plain service and returns its answer.
func (c *agentClient) call(ctx context.Context, target route.Target, work wire.Work, body []byte) (Answer, *result.Error) {
	response, refusal := c.send(ctx, target, wire.PathCall, work, body)
	if refusal != nil {
		return Answer{}, refusal
	}
	answer, err := httpapi.ReadAnswer(ctx, response.Body)
	if err != nil {
		return Answer{}, result.From(fmt.Errorf("%w", result.Errorf(result.OutcomeUnknown, "read answer: %v", err)))
	}
	return Answer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: answer}, nil
}
