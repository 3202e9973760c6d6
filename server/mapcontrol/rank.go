// Package mapcontrol runs the expert map of a model group from the agents
// beside its ranks: each agent reads its own rank and passes orders to it; the
// one that holds the group's lease coordinates.
package mapcontrol

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/topology"
)

// receiverName is the name of the agents' calls.
const receiverName = "Rank"

const (
	methodRead = receiverName + ".Read"
	methodGive = receiverName + ".Give"
)

// Engine is what an agent needs of the engine beside it.
type Engine interface {
	Report(ctx context.Context) (topology.RankState, error)
	Counts(ctx context.Context) (topology.RankCounts, error)
	Lists(ctx context.Context) (topology.RankLists, error)
	Give(ctx context.Context, order topology.Order) error
}

// Caller says which coordinator calls.
type Caller struct {
	Fence uint64
	Group string
}

// ReadArgs ask for what a rank knows.
type ReadArgs struct {
	Caller
	Counts bool
	Lists  bool
}

// ReadReply is what a rank knows.
type ReadReply struct {
	State  topology.RankState
	Counts topology.RankCounts
	Lists  topology.RankLists
}

// GiveArgs pass an order to the rank.
type GiveArgs struct {
	Caller
	Order topology.Order
}

// GiveReply is the rank's state after the order.
type GiveReply struct {
	State   topology.RankState
	Problem string // Empty where the engine accepted the order.
}

// errFenced means that a newer coordinator has called.
var errFenced = errors.New("a coordinator with a higher number has called")

// Rank answers a coordinator's calls; its methods are called over RPC.
type Rank struct {
	engine Engine

	mu      sync.Mutex
	fence   uint64 // The highest seen.
	heardAt time.Time
}

// NewRank returns the receiver for the engine.
func NewRank(engine Engine) *Rank { return &Rank{engine: engine, heardAt: time.Now()} }

// Read returns what the rank knows.
func (r *Rank) Read(args ReadArgs, reply *ReadReply) error {
	if err := r.admit(args.Caller); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return readInto(ctx, r.engine, args, reply)
}

// readInto reads the engine.
func readInto(ctx context.Context, engine Engine, args ReadArgs, reply *ReadReply) error {
	var err error
	if args.Lists {
		// Before the report, so that lists of a version that the report shows are
		// not older than it.
		if reply.Lists, err = engine.Lists(ctx); err != nil {
			return fmt.Errorf("read lists: %w", err)
		}
	}
	if args.Counts {
		if reply.Counts, err = engine.Counts(ctx); err != nil {
			return fmt.Errorf("read counts: %w", err)
		}
	}
	if reply.State, err = engine.Report(ctx); err != nil {
		return fmt.Errorf("read report: %w", err)
	}
	return nil
}

// Give passes an order to the rank and returns the rank's state after it.
func (r *Rank) Give(args GiveArgs, reply *GiveReply) error {
	if err := r.admit(args.Caller); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return giveInto(ctx, r.engine, args.Order, reply)
}

func giveInto(ctx context.Context, engine Engine, order topology.Order, reply *GiveReply) error {
	err := engine.Give(ctx, order)
	if err != nil && !errors.Is(err, platform.ErrUnfit) && !errors.Is(err, platform.ErrUnknownOutcome) {
		return err
	}
	if err != nil {
		reply.Problem = err.Error()
	}
	if reply.State, err = engine.Report(ctx); err != nil {
		return fmt.Errorf("read report after order: %w", err)
	}
	return nil
}

// admit refuses coordinators that have been succeeded.
func (r *Rank) admit(caller Caller) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if caller.Fence < r.fence {
		return fmt.Errorf("%w: %d, the caller's is %d", errFenced, r.fence, caller.Fence)
	}
	r.fence = caller.Fence
	r.heardAt = time.Now()
	return nil
}

// silence returns how long no coordinator has called, and the highest number
// seen.
func (r *Rank) silence() (time.Duration, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.heardAt), r.fence
}
