// Package wire declares the messages between the system's own processes:
// control over net/rpc, traffic over HTTP.
package wire

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"persimmonwind.dev/policy/result"
)

// HeaderWork carries a Work on every request from an entry to an agent.
const HeaderWork = "Persimmonwind-Work"

// HeaderRequestID echoes Work.RequestID on the agent's answer.
const HeaderRequestID = "Persimmonwind-Request-Id"

// HeaderRevision carries the sender's configuration revision on the agent's
// answer.
const HeaderRevision = "Persimmonwind-Revision"

// HeaderRefusal is set where the agent's answer is a Refusal.
const HeaderRefusal = "Persimmonwind-Refusal"

// Paths of the agent's traffic server.
const (
	PathGenerate = "/work/generate"
	PathCall     = "/work/call"
)

// Stamp is on every message between processes.
type Stamp struct {
	From       string // Instance ID.
	Role       string
	DataCentre string
	Revision   uint64 // Configuration revision in force at the sender.
}

// Work describes one attempt at one request.
type Work struct {
	Stamp      Stamp     `json:"stamp"`
	RequestID  string    `json:"request_id"`
	Attempt    int       `json:"attempt"`
	Org        string    `json:"org"`
	Priority   int       `json:"priority"`
	Deadline   time.Time `json:"deadline"`
	Service    string    `json:"service,omitempty"`
	Operation  string    `json:"operation,omitempty"`
	Idempotent bool      `json:"idempotent"`
	Key        string    `json:"key,omitempty"`   // Key of the idempotency key's row; see policy/once.
	Epoch      uint64    `json:"epoch,omitempty"` // Epoch of the key's row.
}

// AnswerID names the answer of this attempt alone, so that a late piece of an
// earlier attempt can't be taken for one of this attempt.
func (w Work) AnswerID() string {
	return w.RequestID + "." + strconv.Itoa(w.Attempt)
}

// Encode returns the header value of the work.
func (w Work) Encode() (string, error) {
	body, err := json.Marshal(w)
	if err != nil {
		return "", fmt.Errorf("encode work %q: %w", w.RequestID, err)
	}
	return base64.RawURLEncoding.EncodeToString(body), nil
}

// DecodeWork reads the work from a request's headers.
func DecodeWork(header http.Header) (Work, error) {
	var work Work
	body, err := base64.RawURLEncoding.DecodeString(header.Get(HeaderWork))
	if err != nil {
		return work, fmt.Errorf("decode header %s: %w", HeaderWork, err)
	}
	if err := json.Unmarshal(body, &work); err != nil {
		return work, fmt.Errorf("decode header %s: %w", HeaderWork, err)
	}
	return work, nil
}

// Refusal is the body of an agent's answer that is not the work's own.
type Refusal struct {
	Code         result.Code `json:"code"`
	Detail       string      `json:"detail"`
	RetryAfterMS int64       `json:"retry_after_ms"`
}

// NewRefusal returns the refusal that carries the error.
func NewRefusal(err *result.Error) Refusal {
	return Refusal{Code: err.Code, Detail: err.Detail, RetryAfterMS: err.RetryAfter.Milliseconds()}
}

// Err returns the error that the refusal carries.
func (r Refusal) Err() *result.Error {
	retryAfter := time.Duration(r.RetryAfterMS) * time.Millisecond
	return &result.Error{Code: r.Code, Detail: r.Detail, RetryAfter: retryAfter}
}

// ProbeRequest asks an agent what it could take.
type ProbeRequest struct {
	Stamp   Stamp
	Model   string
	Adapter string
	Tokens  int      // Length of the prompt.
	Blocks  int      // Full blocks of the prompt.
	Prefix  []uint64 // Chained hashes at the marks of the prompt's blocks; see package prefix.
}

// ProbeReply is an agent's answer to ProbeRequest.
type ProbeReply struct {
	Stamp          Stamp
	BackendServer  string
	Headroom       int // Requests that it could take now.
	Queued         int
	Running        int
	Cold           bool
	Refuses        result.Code // OK, or why it takes no new work.
	RetryAfterMS   int64
	CachedBlocks   int
	ExpectedWaitMS float64 // Expected time to first token.
}
