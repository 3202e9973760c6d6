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
	"persimmonwind.dev/policy/hotexperts"
	"persimmonwind.dev/policy/mapswitch"
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
	State   topology.RankState
	Gains   []byte        // Packed, since the counts were last read; nil the first time.
	Elapsed time.Duration // In which they were gained.
	Lists   topology.RankLists
}

// GiveArgs pass an order to the rank.
type GiveArgs struct {
	Caller
	Order topology.Order
	// Server is the engine that gets the order, host:port, where that is not the one
	// beside the agent.
	Server string
	// An order to copy may hold changes instead of a map: to the map of version
	// Base, or to the one with which a group of the shape begins.
	Base    int64
	InTurn  mapswitch.Shape
	Changes []mapswitch.Change
}

// builds reports whether the order holds changes.
func (a GiveArgs) builds() bool { return a.Base != 0 || a.InTurn.Sets != 0 }

// GiveReply is the rank's state after the order.
type GiveReply struct {
	State       topology.RankState
	Problem     string // Empty where the engine accepted the order.
	UnknownBase bool   // The agent doesn't know the map that the changes belong to.
}

// errFenced means that a newer coordinator has called.
var errFenced = errors.New("a coordinator with a higher number has called")

// Rank answers a coordinator's calls; its methods are called over RPC.
type Rank struct {
	engine Engine
	direct func(address string) Engine // For orders to other engines.

	mu      sync.Mutex
	fence   uint64 // The highest seen.
	heardAt time.Time
	counts  topology.RankCounts // As last read.
	readAt  time.Time
	maps    map[int64]mapswitch.Map // By version: the last two that were to be copied.
}

// NewRank returns the receiver for the engine; direct returns other engines.
func NewRank(engine Engine, direct func(address string) Engine) *Rank {
	return &Rank{engine: engine, direct: direct, heardAt: time.Now(), maps: map[int64]mapswitch.Map{}}
}

// Read returns what the rank knows.
func (r *Rank) Read(args ReadArgs, reply *ReadReply) error {
	if err := r.admit(args.Caller); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if args.Counts {
		counts, err := r.engine.Counts(ctx)
		if err != nil {
			return fmt.Errorf("read counts: %w", err)
		}
		reply.Gains, reply.Elapsed = r.gained(counts)
	}
	return readInto(ctx, r.engine, args.Lists, reply)
}

// gained returns what the counts have gained since they were last read in the
// same epoch.
func (r *Rank) gained(counts topology.RankCounts) ([]byte, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, elapsed := r.counts, time.Since(r.readAt)
	r.counts, r.readAt = counts, time.Now()
	if before.Counts == nil || before.Epoch != counts.Epoch {
		return nil, 0
	}
	return hotexperts.PackCounts(before.Counts, counts.Counts), elapsed
}

// readInto reads the engine.
func readInto(ctx context.Context, engine Engine, lists bool, reply *ReadReply) error {
	var err error
	if lists {
		// Before the report, so that lists of a version that the report shows are
		// not older than it.
		if reply.Lists, err = engine.Lists(ctx); err != nil {
			return fmt.Errorf("read lists: %w", err)
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
	order := args.Order
	if order.Kind == topology.Prepare {
		next, ok := r.nextMap(args)
		if !ok {
			reply.UnknownBase = true
			return nil
		}
		order.Map = next
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if args.Server != "" {
		// Its report would lag when it is read from here.
		return giveOnly(ctx, r.direct(args.Server), order, reply)
	}
	return giveInto(ctx, r.engine, order, reply)
}

// nextMap returns the whole map of an order to copy and remembers it.
func (r *Rank) nextMap(args GiveArgs) (mapswitch.Map, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := args.Order.Map
	if args.builds() {
		base, known := r.maps[args.Base]
		if args.InTurn.Sets != 0 {
			base, known = mapswitch.InTurn(args.InTurn), true
		}
		if !known {
			return nil, false
		}
		var ok bool
		if next, ok = mapswitch.Apply(base, args.Changes); !ok {
			return nil, false
		}
	}
	for version := range r.maps {
		if version != args.Base && version != args.Order.Version {
			delete(r.maps, version)
		}
	}
	r.maps[args.Order.Version] = next
	return next, true
}

// giveOnly gives the order; the reply says what the engine thought of it.
func giveOnly(ctx context.Context, engine Engine, order topology.Order, reply *GiveReply) error {
	err := engine.Give(ctx, order)
	if err != nil && !errors.Is(err, platform.ErrOrderRejected) && !errors.Is(err, platform.ErrUnknownOutcome) {
		return err
	}
	if err != nil {
		reply.Problem = err.Error()
	}
	return nil
}

// giveInto gives the order and reads the engine's report after it.
func giveInto(ctx context.Context, engine Engine, order topology.Order, reply *GiveReply) error {
	err := giveOnly(ctx, engine, order, reply)
	if err != nil {
		return err
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
