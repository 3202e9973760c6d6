// Package httpapi implements the interfaces of package ports over HTTP.
package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"persimmonwind.dev/server/intact"
	"persimmonwind.dev/server/ports"
)

// StatusConditionFailed is the status of the answer to a transaction whose
// condition does not hold.
const StatusConditionFailed = http.StatusPreconditionFailed

const (
	dialTimeout       = 2 * time.Second
	idleTimeout       = 90 * time.Second
	maxIdlePerHost    = 1024
	maxHeadBytes      = 64 << 10
	maxAnswerBytes    = 64 << 20
	maxErrorTextBytes = 512

	// smallAnswerBytes is the size up to which answers are read without regard to others.
	smallAnswerBytes = 1 << 20
	// maxLargeAnswers is the number of larger answers that a process reads at the same time.
	maxLargeAnswers = 4
)

// answerLimits bounds the answers that are read as a whole.
var answerLimits = intact.NewLimits(smallAnswerBytes, maxAnswerBytes, maxLargeAnswers)

// ReadAnswer reads the whole body of an answer and closes it. It fails for a body that is
// too long.
func ReadAnswer(ctx context.Context, body io.ReadCloser) ([]byte, error) {
	limited := answerLimits.Body(ctx, body)
	defer func() { _ = limited.Close() }() // The body has been read, so a failed close loses nothing.
	return io.ReadAll(limited)
}

// NewTransport returns the transport that all adapters share.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return intact.NewConn(conn), nil
		},
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// client sends requests to the server at one base URL.
type client struct {
	base string
	http *http.Client
}

func newClient(base string, transport http.RoundTripper) client {
	return client{base: base, http: &http.Client{Transport: intact.Transport(transport, nil), CheckRedirect: NoRedirect}}
}

// NoRedirect makes an http.Client return a redirect as the answer. Following it
// would send the request a second time, and a failure to dial the second
// address would look as if the first request had had no effect.
func NoRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// oneShotBody returns a body that the transport can't rewind and resend on its
// own, so that one call never takes effect twice.
func oneShotBody(body []byte) io.Reader {
	if len(body) == 0 {
		return http.NoBody
	}
	return io.MultiReader(bytes.NewReader(body))
}

// do sends one request and returns its answer if the status is 2xx.
func (c client) do(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, oneShotBody(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ports.ErrUnavailable, err)
	}
	request.ContentLength = int64(len(body))
	response, err := c.http.Do(request)
	if err != nil {
		return nil, transportError(err)
	}
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	defer response.Body.Close()
	return nil, statusError(response)
}

func transportError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return fmt.Errorf("%w: %v", ports.ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %v", ports.ErrUnknownOutcome, err)
}

func statusError(response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorTextBytes))
	switch response.StatusCode {
	case StatusConditionFailed:
		return ports.ErrConflict
	case http.StatusNotFound:
		return ports.ErrNotFound
	case http.StatusConflict:
		return ports.ErrFenced
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return fmt.Errorf("%w: %s", ports.ErrUnavailable, text)
	default:
		return fmt.Errorf("%w: status %d: %s", ports.ErrUnknownOutcome, response.StatusCode, text)
	}
}

// call sends one request and returns the complete body of its answer.
func (c client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	response, err := c.do(ctx, method, path, body)
	if err != nil {
		return nil, err
	}
	answer, err := ReadAnswer(ctx, response.Body)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ports.ErrUnknownOutcome, err)
	}
	return answer, nil
}

// callJSON sends one request with in as its JSON body and decodes the JSON answer
// into out. A nil in sends no body; with a nil out, the answer is ignored.
func (c client) callJSON(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode request to %s: %w", path, err)
		}
		body = encoded
	}
	answer, err := c.call(ctx, method, path, body)
	if err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return fmt.Errorf("%w: malformed answer from %s: %v", ports.ErrUnknownOutcome, path, err)
	}
	return nil
}
