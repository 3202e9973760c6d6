// Package expertmap implements the protocol by which a group of ranks changes its
// expert map, as pure state machines. The ranks run the steps of the model in lock
// step. Every rank prepares the next map by loading its weights. It then waits before a
// chosen step, the change's first step, until the change is released or aborted; this
// is called a hold. The change is committed in the group's record, a row of the table
// service, and the ranks are then released to switch to the map at that step. If the
// outcome of the commit is unknown, the ranks void the change before they abort it: a
// rank that has voided a change keeps waiting and refuses the release, so that a commit
// which takes effect late releases no rank.
//
// Invariant: all ranks that run a step use the same map for it.
//
// The holder of the group's lease coordinates the change (Coordinator). The
// agent of each rank refuses orders with old sequence numbers (Rank). EngineState
// specifies which state an engine keeps and when it accepts an order. All ranks
// must reply before the coordinator decides anything; this costs no
// availability, since the group can't run a step without all of them either.
package expertmap

import "fmt"

// ID identifies one expert map. A coordinator never reuses a version, and every
// coordinator has its own fencing number, so no two proposed maps share an ID.
type ID struct {
	Fence   uint64 `json:"fence"` // Fencing number of the coordinator that proposed the map.
	Version uint64 `json:"version"`
}

// Less reports whether id was proposed before other.
func (id ID) Less(other ID) bool {
	if id.Fence != other.Fence {
		return id.Fence < other.Fence
	}
	return id.Version < other.Version
}

// String formats the ID for logs and object names.
func (id ID) String() string { return fmt.Sprintf("%d.%d", id.Version, id.Fence) }

// Change is a map together with the first step that uses it. The zero value
// stands for no change.
type Change struct {
	ID        ID     `json:"id"`
	FirstStep uint64 `json:"first_step"`
}

// IsNone reports whether there is no change.
func (c Change) IsNone() bool { return c == Change{} }

// Kind is the kind of an order to a rank.
type Kind string

// Kinds of orders.
const (
	Query   Kind = "query"   // Report the state, and refuse orders of earlier query rounds from now on.
	Prepare Kind = "prepare" // Load the weights of the map.
	Hold    Kind = "hold"    // Wait before the change's first step until the change is released or aborted.
	Release Kind = "release" // Switch to the map at the change's first step; the change is committed.
	Void    Kind = "void"    // Keep waiting, but refuse a release of the change by this coordinator or an older one.
	Abort   Kind = "abort"   // Stop waiting, drop the change and keep the map in force.
	Install Kind = "install" // Adopt the given state; ignored by a rank that has a map.
)

// Number is the sequence number of an order: a rank refuses every order with a lower
// number than the highest that it has seen.
type Number struct {
	Fence uint64 `json:"fence"` // Fencing number of the coordinator.
	Round uint64 `json:"round"` // Number of the coordinator's latest query round.
}

// Less reports whether n is lower than other.
func (n Number) Less(other Number) bool {
	if n.Fence != other.Fence {
		return n.Fence < other.Fence
	}
	return n.Round < other.Round
}

// roundBits is the number of bits of an engine's fencing number that hold the query
// round.
const roundBits = 24

// EngineFence encodes the number as the single fencing number that engines
// compare.
func (n Number) EngineFence() uint64 { return n.Fence<<roundBits | n.Round }

// Order is one order of a coordinator to a rank.
type Order struct {
	Kind   Kind        `json:"kind"`
	Number Number      `json:"number"`
	Change Change      `json:"change"`
	State  EngineState `json:"state"` // For Install: the state to adopt, with the Boot of the receiving rank.
}

// Record is the row of the table service that determines which change of a group
// is committed.
type Record struct {
	Fence  uint64 `json:"fence"`  // Fencing number of the coordinator that claimed the row.
	Change Change `json:"change"` // Last committed change.
}
