// Package attempt sends a caller's request to an agent and returns the answer:
// it makes attempts, retries them and checks that an answer belongs to its
// request.
package attempt

import (
	"time"

	"persimmonwind.dev/server/stream"
)

// Request is one caller's request after authentication and parsing.
type Request struct {
	ID       string
	Org      string
	Priority int
	Deadline time.Time
	Key      string // Idempotency key of a non-idempotent call.

	// KeyGenerated reports that the entry generated Key, so that nobody else
	// knows it.
	KeyGenerated bool

	// Set for a generation by a model:
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int

	// Set for a call of a plain service:
	Service    string
	Operation  string
	Idempotent bool
	Body       []byte

	priorAttempts int      // Attempts made before this run of the retry loop.
	failedServers []string // Backend servers whose attempt failed after the work may have run.
}

// Sink receives the pieces of a generation's answer in order, each exactly once.
type Sink func(stream.Piece) error

// Answer is a plain service's complete answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}
