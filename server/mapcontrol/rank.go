// Package mapcontrol changes the expert map of a model group. The agent beside each
// rank reads that rank and passes orders to it. The agent that holds the group's
// lease is the coordinator: it calls the agents of all ranks over RPC.
//
// All ranks of a group compute together in passes. The experts are divided into
// expert sets, each of which belongs to a set of layers, and the expert map assigns
// the experts of each set to ranks. These terms describe a rank:
//
//   - its lists are the experts that it holds, one list for each expert set;
//   - its counts are how often its requests have chosen each expert;
//   - a prepare order makes it copy the experts of a new map version, and an arm
//     order makes it switch to a prepared version before a given pass;
//   - a hold order keeps the group from beginning a pass, and a release order ends
//     the hold.
package mapcontrol

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/election"
	"persimmonwind.dev/policy/hotexperts"
	"persimmonwind.dev/policy/mapswitch"
	"persimmonwind.dev/policy/topology"
)

// receiverName is the name under which agents register their RPC receiver.
const receiverName = "Rank"

const (
	methodRead = receiverName + ".Read"
	methodGive = receiverName + ".Give"
)

// Engine is the part of a model engine's interface that agents use.
type Engine interface {
	Report(ctx context.Context) (topology.RankState, error)
	Counts(ctx context.Context) (topology.RankCounts, error)
	Lists(ctx context.Context) (topology.RankLists, error)
	Give(ctx context.Context, order topology.Order) error
}

// Caller identifies the calling coordinator.
type Caller struct {
	Fence uint64
	Group string
}

// ReadArgs are the arguments of Rank.Read. They select what is read besides the
// rank's state.
type ReadArgs struct {
	Caller
	Counts bool // Whether to read the rank's counts and return their gains.
	Lists  bool // Whether to read the rank's expert lists.
}

// ReadReply is the reply of Rank.Read.
type ReadReply struct {
	State topology.RankState
	Gains []byte             // Packed increase of the counts since they were last read; nil for the first read in an epoch.
	Lists topology.RankLists // The experts that the rank holds, by expert set; empty unless ReadArgs.Lists is set.
}

// GiveArgs are the arguments of Rank.Give, which passes an order to a rank.
type GiveArgs struct {
	Caller
	Order topology.Order
	// Server is the host:port of the engine that gets the order; empty for the engine
	// beside the agent.
	Server string
	// Base, InTurn and Changes replace the whole map of a prepare order. Changes apply
	// to the map of version Base or, if InTurn is set, to the initial map of a group of
	// that shape, which assigns the experts to the ranks round-robin.
	Base    int64
	InTurn  mapswitch.Shape
	Changes []byte // Encoded by mapswitch.PackChanges.
}

// hasChanges reports whether the order carries changes instead of a whole map.
func (a GiveArgs) hasChanges() bool { return a.Base != 0 || a.InTurn.Sets != 0 }

// GiveReply is the reply of Rank.Give.
type GiveReply struct {
	State       topology.RankState // The rank's state after the order; empty for an order to another engine.
	Problem     string             // Why the engine refused the order or its outcome is unknown; empty if it accepted the order.
	UnknownBase bool               // The agent doesn't have the map to which the changes apply.
}

// errFenced means that a newer coordinator has called. Coordinators recognize the
// error by its text.
var errFenced = errors.New("a coordinator with a higher number has called")

// errForeignGroup means that the caller coordinates another group than the rank's.
var errForeignGroup = errors.New("the rank belongs to another group")

// Rank is the RPC receiver for a coordinator's calls.
type Rank struct {
	engine       Engine
	directEngine func(address string) Engine // Returns the client of another rank's engine.

	mu         sync.Mutex
	group      string                  // The rank's group, as its engine last reported; empty while unknown.
	fence      uint64                  // The highest fencing number of a coordinator of the group, or that the agent has voted for.
	lastCallAt time.Time               // When a coordinator of the group last called, or when the rank joined it.
	counts     topology.RankCounts     // Counts of the latest read, from which the next gains are computed.
	maps       map[int64]mapswitch.Map // Maps of mapsEpoch by version, at most two: the latest prepared map and the base of its changes.
	mapsEpoch  int64
	voterGroup string         // The group of which voter remembers epochs and votes.
	voter      election.Voter // Decides on votes for provisional coordinators.
	votedFor   string         // Name of the instance that got the latest vote; empty if there was none in the group.
	elections  electionMetrics
}

// NewRank returns the receiver for the engine beside the agent. The function
// directEngine returns clients of other engines.
func NewRank(engine Engine, directEngine func(address string) Engine) *Rank {
	return &Rank{engine: engine, directEngine: directEngine, lastCallAt: time.Now(), maps: map[int64]mapswitch.Map{}}
}

// Read returns the rank's state and, if args request them, the increase of its counts
// and its expert lists. A coordinator of another group, which searches for its ranks,
// gets only the state.
func (r *Rank) Read(args ReadArgs, reply *ReadReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := r.checkCaller(ctx, args.Caller); errors.Is(err, errForeignGroup) {
		return readEngine(ctx, r.engine, false, reply)
	} else if err != nil {
		return err
	}
	if args.Counts {
		counts, err := r.engine.Counts(ctx)
		if err != nil {
			return fmt.Errorf("read counts: %w", err)
		}
		reply.Gains = r.countGains(counts)
	}
	if err := readEngine(ctx, r.engine, args.Lists, reply); err != nil {
		return err
	}
	r.observeGroup(reply.State)
	r.observeEpoch(reply.State)
	return nil
}

// countGains returns the increase of the counts since they were last read. It returns
// nil if they were not read in this epoch before.
func (r *Rank) countGains(counts topology.RankCounts) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.counts
	r.counts = counts
	if before.Counts == nil || before.Epoch != counts.Epoch {
		return nil
	}
	return hotexperts.PackCounts(before.Counts, counts.Counts)
}

// readEngine reads the engine's report and, if readLists is set, its expert lists.
func readEngine(ctx context.Context, engine Engine, readLists bool, reply *ReadReply) error {
	var err error
	if readLists {
		// The lists are read before the report, so that lists of the version that the
		// report shows are not older than it.
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
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout(args.Order.Kind))
	defer cancel()
	if err := r.checkCaller(ctx, args.Caller); err != nil {
		return err
	}
	order := args.Order
	if order.Kind == topology.Prepare {
		next, ok := r.resolveMap(args)
		if !ok {
			reply.UnknownBase = true
			return nil
		}
		order.Map = next
	}
	if args.Server != "" {
		// Another engine's report is stale when it is read from this machine.
		return giveOrder(ctx, r.directEngine(args.Server), order, reply)
	}
	return giveAndReport(ctx, r.engine, order, reply)
}

// resolveMap returns the whole map of a prepare order and stores it as a base for
// later changes. It returns false if the base of the order's changes is unknown or
// the changes don't apply to it.
func (r *Rank) resolveMap(args GiveArgs) (mapswitch.Map, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := args.Order.Map
	if args.Order.Epoch != r.mapsEpoch {
		// The number of a provisional coordinator, and so a version, may occur again in
		// another epoch with another map.
		clear(r.maps)
		r.mapsEpoch = args.Order.Epoch
	}
	if args.hasChanges() {
		base, hasBase := r.maps[args.Base]
		if args.InTurn.Sets != 0 {
			base, hasBase = mapswitch.InTurn(args.InTurn), true
		}
		if !hasBase {
			return nil, false
		}
		changes, err := mapswitch.UnpackChanges(args.Changes)
		if err != nil {
			return nil, false
		}
		var ok bool
		if next, ok = mapswitch.Apply(base, changes); !ok {
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

// giveOrder gives the order to the engine. If the engine refuses it or its outcome is
// unknown, the reply's Problem is set and no error is returned.
func giveOrder(ctx context.Context, engine Engine, order topology.Order, reply *GiveReply) error {
	err := engine.Give(ctx, order)
	if err != nil && !errors.Is(err, platform.ErrOrderRejected) && !errors.Is(err, platform.ErrUnknownOutcome) {
		return err
	}
	if err != nil {
		reply.Problem = err.Error()
	}
	return nil
}

// giveAndReport gives the order to the engine and then reads the engine's report.
func giveAndReport(ctx context.Context, engine Engine, order topology.Order, reply *GiveReply) error {
	err := giveOrder(ctx, engine, order, reply)
	if err != nil {
		return err
	}
	if reply.State, err = engine.Report(ctx); err != nil {
		return fmt.Errorf("read report after order: %w", err)
	}
	return nil
}

// checkCaller refuses the calls of a superseded coordinator with errFenced and those of
// another group's coordinator with errForeignGroup. It records the time of all other
// calls. Coordinators of different groups have independent fencing numbers.
func (r *Rank) checkCaller(ctx context.Context, caller Caller) error {
	if !r.isGroup(caller.Group) {
		// The rank may have joined the caller's group since its engine was last read.
		state, err := r.engine.Report(ctx)
		if err != nil {
			return fmt.Errorf("read report: %w", err)
		}
		r.observeGroup(state)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if caller.Group != r.group {
		return fmt.Errorf("%w: %q, the caller's is %q", errForeignGroup, r.group, caller.Group)
	}
	if caller.Fence < r.fence {
		return fmt.Errorf("%w: highest is %d, the caller's is %d", errFenced, r.fence, caller.Fence)
	}
	r.fence = caller.Fence
	r.lastCallAt = time.Now()
	r.voter = r.voter.ObserveCall(caller.Fence, r.lastCallAt)
	return nil
}

func (r *Rank) isGroup(group string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.group == group
}

// observeGroup records the group that the engine reports. A rank that has joined
// another group knows no coordinator there.
func (r *Rank) observeGroup(state topology.RankState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state.Group == "" || state.Group == r.group {
		return
	}
	if r.group != "" {
		r.lastCallAt = time.Now()
	}
	r.group, r.fence = state.Group, 0
}

// sinceLastCall returns the time since the last call of a coordinator of the rank's
// group, and the highest fencing number seen in the group.
func (r *Rank) sinceLastCall() (time.Duration, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastCallAt), r.fence
}
