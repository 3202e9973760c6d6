// Package attempt carries one caller's request to an agent and the answer back:
// attempts, retries, and the binding of the answer to its request.
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
	Key      string // Idempotency key.

	// KeyGenerated tells that the entry drew Key, so that nobody else knows it.
	KeyGenerated bool

	// Of a model's generation:
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int

	// Of a plain service's call:
	Service    string
	Operation  string
	Idempotent bool
	Body       []byte

	priorAttempts int      // Attempts made before this run of the retry loop.
	failedServers []string // Backend servers that broke off the answer.
}

// Sink takes the pieces of a generation in order, each exactly once.
type Sink func(stream.Piece) error

// Answer is a plain service's whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}
