package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/entry/openai"
)

const (
	maxErrorBytes      = 64 << 10
	maxAnswerBytes     = 16 << 20
	dialTimeout        = 5 * time.Second
	maxIdleConnections = 8192
)

// failure says why a request has no complete answer.
type failure struct {
	kind       Outcome
	code       result.Code // Result code of the error, if the server sent one.
	notRun     bool        // The server guarantees that the request was not run.
	retryAfter time.Duration
	detail     string
}

func failuref(kind Outcome, format string, args ...any) *failure {
	return &failure{kind: kind, detail: fmt.Sprintf(format, args...)}
}

// chatClient sends a chat request and adds each part of the streamed answer to
// the trace.
type chatClient interface {
	chat(ctx context.Context, req request, trace *answerTrace) *failure
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		DisableCompression:  true,
	}}
}

// entryClient calls the public API of one entry.
type entryClient struct {
	base     string
	http     *http.Client
	workload Workload
}

// post sends the body and returns the response if its status is 200. Any other
// status and a failed connection are returned as a failure.
func (c *entryClient) post(ctx context.Context, req request, path string, body []byte) (*http.Response, *failure) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, failuref(Transport, "%v", err)
	}
	request.Header.Set("Authorization", "Bearer "+req.key)
	request.Header.Set("Content-Type", "application/json")
	if !req.chat {
		request.Header.Set("Idempotency-Key", req.text)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, transportFailure(ctx, err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	return nil, failureFromResponse(response)
}

func transportFailure(ctx context.Context, err error) *failure {
	if ctx.Err() != nil {
		return failuref(TimedOut, "%v", err)
	}
	return failuref(Transport, "%v", err)
}

func failureFromResponse(response *http.Response) *failure {
	var body openai.ErrorBody
	if err := json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&body); err != nil {
		return failuref(Transport, "status %d without a result code: %v", response.StatusCode, err)
	}
	f := failureFromDetail(body.Error)
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		f.retryAfter = max(f.retryAfter, time.Duration(seconds)*time.Second)
	}
	return f
}

func failureFromDetail(detail openai.ErrorDetail) *failure {
	f := &failure{
		kind: Failed, code: result.Code(detail.ResultCode), notRun: detail.NotRun, detail: detail.Message,
		retryAfter: time.Duration(detail.RetryAfterMS) * time.Millisecond,
	}
	if detail.NotRun {
		f.kind = Refused
	}
	return f
}

// chatBody is the request body of a streamed chat.
type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (c *entryClient) chat(ctx context.Context, req request, trace *answerTrace) *failure {
	body, err := json.Marshal(chatBody{
		Model: c.workload.Model, Stream: true, MaxTokens: req.tokens,
		Messages: []chatMessage{{Role: "user", Content: req.text}},
	})
	if err != nil {
		return failuref(Transport, "%v", err)
	}
	response, refusal := c.post(ctx, req, "/v1/chat/completions", body)
	if refusal != nil {
		return refusal
	}
	defer response.Body.Close()
	return readEvents(ctx, response.Body, trace)
}

// call calls a plain service and, if verify is set, checks that the answer
// belongs to this call.
func (c *entryClient) call(ctx context.Context, req request, verify bool) *failure {
	path := "/v1/services/" + req.service + "/" + req.operation
	response, refusal := c.post(ctx, req, path, []byte(req.text))
	if refusal != nil {
		return refusal
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return failuref(Cut, "read answer: %v", err)
	}
	if verify {
		return verifyCall(req, answer)
	}
	return nil
}
