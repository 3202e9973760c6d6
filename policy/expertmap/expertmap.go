// Package expertmap implements the protocol by which a group of ranks changes
// its expert map, as pure state machines: every rank prepares the map and holds
// before a chosen step, the change is committed in the table service, and the
// ranks switch at that step.
//
// Invariant: all ranks that run a step use the same map for it.
//
// The holder of the group's lease coordinates the change (Coordinator). The
// agent of each rank refuses orders with old numbers (Rank). EngineState
// specifies which state an engine keeps and when it accepts an order. All ranks
// must reply before the coordinator decides anything; this costs no
// availability, since the group can't run a step without all of them either.
package expertmap

import "fmt"

// ID identifies one map. A coordinator never reuses a version, and every
// coordinator has its own fencing number, so no two proposals share an ID.
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
	Query   Kind = "query"   // Report the state; from now on, refuse orders of earlier rounds.
	Prepare Kind = "prepare" // Load the weights of the map.
	Hold    Kind = "hold"    // Wait before the first step until the change is released or aborted.
	Release Kind = "release" // Switch at the first step; the change is committed.
	Void    Kind = "void"    // Keep holding and refuse the release.
	Abort   Kind = "abort"   // Stop holding and keep the map in force.
	Install Kind = "install" // Adopt a state; ignored by a rank that has one.
)

// Number is the sequence number of a rank's orders: a rank refuses every order
// with a lower number than the highest that it has seen.
type Number struct {
	Fence uint64 `json:"fence"`
	Round uint64 `json:"round"` // Query round of this coordinator.
}

// Less reports whether n is lower than other.
func (n Number) Less(other Number) bool {
	if n.Fence != other.Fence {
		return n.Fence < other.Fence
	}
	return n.Round < other.Round
}

// roundBits is the width of the round in an engine's fencing number.
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
	Fence  uint64 `json:"fence"`  // Coordinator that claimed the row.
	Change Change `json:"change"` // Last committed change.
}
