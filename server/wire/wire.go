// Package wire defines the messages between the system's processes: control
// messages over net/rpc and traffic over HTTP.
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

// HeaderWork carries an encoded Work on every request from an entry to an agent.
const HeaderWork = "Persimmonwind-Work"

// HeaderRequestID carries Work.AnswerID on the agent's answer, which identifies
// the attempt that the answer belongs to.
const HeaderRequestID = "Persimmonwind-Request-Id"

// HeaderRevision carries the sender's configuration revision on the agent's
// answer.
const HeaderRevision = "Persimmonwind-Revision"

// HeaderRefusal marks an agent's answer whose body is a Refusal.
const HeaderRefusal = "Persimmonwind-Refusal"

// Paths of the agent's traffic server.
const (
	PathGenerate = "/work/generate"
	PathCall     = "/work/call"
)

// Stamp identifies the sender of a message. Every message between processes
// carries one.
type Stamp struct {
	From       string // Instance ID of the sender.
	Role       string
	DataCentre string
	Revision   uint64 // Configuration revision in force at the sender.
}

// Work describes one attempt of a request that an entry sends to an agent.
type Work struct {
	Stamp      Stamp     `json:"stamp"`
	RequestID  string    `json:"request_id"`
	Attempt    int       `json:"attempt"` // Number of the attempt within the request; the first is 1.
	Org        string    `json:"org"`
	Priority   int       `json:"priority"`
	Deadline   time.Time `json:"deadline"`
	Service    string    `json:"service,omitempty"`
	Operation  string    `json:"operation,omitempty"`
	Idempotent bool      `json:"idempotent"`
	Key        string    `json:"key,omitempty"`   // Key of the table row that holds the idempotency key; see policy/once.
	Epoch      uint64    `json:"epoch,omitempty"` // Epoch of the table row when the attempt was sent.
}

// AnswerID returns the ID of this attempt's answer. It differs between attempts,
// so that a late piece of an earlier attempt's answer can't be mistaken for a
// piece of this one.
func (w Work) AnswerID() string {
	return w.RequestID + "." + strconv.Itoa(w.Attempt)
}

// Encode returns the work as the value of HeaderWork.
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

// Refusal is the body of an answer in which an agent reports an error instead of
// the result of the work.
type Refusal struct {
	Code         result.Code `json:"code"`
	Detail       string      `json:"detail"`
	RetryAfterMS int64       `json:"retry_after_ms"`
}

// NewRefusal returns a refusal that carries the error.
func NewRefusal(err *result.Error) Refusal {
	return Refusal{Code: err.Code, Detail: err.Detail, RetryAfterMS: err.RetryAfter.Milliseconds()}
}

// Err returns the error that the refusal carries.
func (r Refusal) Err() *result.Error {
	retryAfter := time.Duration(r.RetryAfterMS) * time.Millisecond
	return &result.Error{Code: r.Code, Detail: r.Detail, RetryAfter: retryAfter}
}

// ProbeRequest asks an agent whether and how soon it could serve a request.
type ProbeRequest struct {
	Stamp   Stamp
	Model   string
	Adapter string
	Tokens  int      // Length of the prompt in tokens.
	Blocks  int      // Number of full blocks in the prompt.
	Prefix  []uint64 // Sample of the chained hashes of the prompt's blocks; see prefix.Sample.
}

// ProbeReply is an agent's answer to ProbeRequest.
type ProbeReply struct {
	Stamp          Stamp
	BackendServer  string
	Headroom       int // Free slots of the agent minus its queued requests; may be negative.
	Queued         int
	Running        int
	Cold           bool        // Whether the agent considers the backend server to be in cold start.
	Refuses        result.Code // OK, or the reason why it accepts no new work.
	RetryAfterMS   int64
	CachedBlocks   int     // Leading blocks of the prompt that the backend server has cached.
	ExpectedWaitMS float64 // Expected time to first token.
}
