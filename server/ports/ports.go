// Package ports defines narrow interfaces to everything outside the system: the
// platform's table service, object store, instance list and weight store, and the
// backend servers. Adapters implement them; the rest of the system depends only
// on this package.
package ports

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"persimmonwind.dev/policy/expertmap"
	"persimmonwind.dev/policy/planner"
	"persimmonwind.dev/server/stream"
)

var (
	// ErrConflict means that a condition of a transaction did not hold and that
	// nothing was written.
	ErrConflict = errors.New("transaction condition does not hold")
	// ErrUnavailable means that the request did not reach the other side or was
	// refused by it; it had no effect.
	ErrUnavailable = errors.New("service unavailable, no effect")
	// ErrUnknownOutcome means that the request may or may not have taken effect.
	ErrUnknownOutcome = errors.New("outcome unknown")
	// ErrMalformedEntries means that a list has entries that can't be used. The others are
	// returned with it.
	ErrMalformedEntries = errors.New("entries of the list can't be used")
	// ErrNotFound means that the requested object or generation does not exist.
	ErrNotFound = errors.New("not found")
	// ErrFenced means that an order carried an outdated fencing number.
	ErrFenced = errors.New("fencing number is outdated")
)

// Row is one row of the table service. Version 0 means that it does not exist.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Condition requires that a row has exactly the version when a transaction is
// applied; version 0 requires that the row does not exist.
type Condition struct {
	Key     string
	Version uint64
}

// Write sets or deletes one row in a transaction.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Tx is a transaction, which is applied as a whole or not at all.
type Tx struct {
	Conditions []Condition
	Writes     []Write
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns the row; a missing row has version 0 and no error.
	Get(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows with the prefix whose key is greater than
	// after, in key order.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies tx. It fails with ErrConflict, ErrUnavailable or
	// ErrUnknownOutcome.
	Commit(ctx context.Context, tx Tx) error
}

// Objects is the platform's object store.
type Objects interface {
	Put(ctx context.Context, name string, body []byte) error
	// Get fails with ErrNotFound if the object does not exist.
	Get(ctx context.Context, name string) ([]byte, error)
}

// Roles of an instance.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Instance is one item of the platform's instance list.
type Instance struct {
	ID            string `json:"id"`
	Role          string `json:"role"`
	DataCentre    string `json:"data_centre"`
	BackendServer string `json:"backend_server,omitempty"` // Backend server of an agent; empty for an entry.
	Control       string `json:"control"`                  // host:port of the control RPC.
	Traffic       string `json:"traffic"`                  // host:port of the traffic HTTP server.
	Leaving       bool   `json:"leaving"`
}

// Instances is the platform's instance list, which lags behind the actual state.
type Instances interface {
	List(ctx context.Context) ([]Instance, error)
}

// Weights is the platform's rate-limited store of model weights.
type Weights interface {
	// Fetch loads the named weights, which have the given size in bytes, and
	// returns when they are present.
	Fetch(ctx context.Context, name string, bytes int64) error
}

// Generation is a request to a model engine to generate tokens.
type Generation struct {
	ID        string `json:"id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	From      int    `json:"from,omitempty"` // Number of tokens already delivered, when the generation continues an answer.
}

// EngineLoad is an engine's report of its own load, which lags behind the actual
// load.
type EngineLoad struct {
	BootID       string    `json:"boot_id"`
	Running      int       `json:"running"`
	Waiting      int       `json:"waiting"`
	CachedTokens int       `json:"cached_tokens"`
	Cold         bool      `json:"cold"`
	At           time.Time `json:"at"`
}

// CacheEvent reports that a block of prompt tokens was added to or removed from an
// engine's prefix cache. A gap in Seq means that events were lost.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Block uint64 `json:"block"`
	Added bool   `json:"added"`
}

// Kinds of orders to an engine.
const (
	OrderLoadModel = "load_model"
	OrderSetMap    = "set_map"
	OrderSetRole   = "set_role"
)

// Order is a command to an engine. Engines that check fencing numbers refuse an
// order whose Fence is lower than one that they have seen.
type Order struct {
	Kind  string `json:"kind"`
	Fence uint64 `json:"fence"`
	Body  []byte `json:"body"`
}

// Engine is the interface to a model engine, which generates tokens.
type Engine interface {
	Submit(ctx context.Context, generation Generation) (*stream.Reader, error)
	// Resume continues the stream of a generation after its first from tokens. It
	// fails with ErrNotFound if the engine no longer has the generation.
	Resume(ctx context.Context, id string, from int) (*stream.Reader, error)
	Cancel(ctx context.Context, id string) error
	Load(ctx context.Context) (EngineLoad, error)
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	Order(ctx context.Context, order Order) error
	ExportKV(ctx context.Context, id string) ([]byte, error)
	ImportKV(ctx context.Context, id string, state []byte) error
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	ID        string
	Service   string
	Operation string
	Body      []byte
}

// ServiceAnswer is a plain service's complete answer.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Service is the interface to a plain service, a backend server that answers calls
// and is not a model engine.
type Service interface {
	// Call fails with ErrUnavailable if the call had no effect, and otherwise with
	// ErrUnknownOutcome.
	Call(ctx context.Context, call ServiceCall) (ServiceAnswer, error)
}

// RankReport is the state that the engine of one rank reports.
type RankReport struct {
	State      expertmap.EngineState `json:"state"`
	Shape      planner.Shape         `json:"shape"`
	Popularity [][]float64           `json:"popularity"` // Tokens per step by layer and expert, with a lag. The slice of a layer that was not observed is nil.
	Slowness   []float64             `json:"slowness"`   // By rank: relative time for one unit of load; 1 is the usual time.
}

// RankOrder is an expert map order together with the map that it refers to.
type RankOrder struct {
	Fence uint64          `json:"fence"`
	Order expertmap.Order `json:"order"`
	Map   json.RawMessage `json:"map,omitempty"` // A planner.Placement, for orders to prepare and to install.
}

// RankEngine is the engine of one rank of a group whose ranks run in lock-step.
type RankEngine interface {
	Report(ctx context.Context) (RankReport, error)
	// OrderMap sends the order and returns the engine's state after it. It fails
	// with ErrFenced if the engine checks the fencing number and it is outdated.
	OrderMap(ctx context.Context, order RankOrder) (expertmap.EngineState, error)
}
