// Package expertmap reduces the protocol by which a group of ranks changes its
// expert map: prepare on every rank, hold before one step, commit in the table
// service, switch at that step.
//
// Invariant: every rank that runs a step runs it with one and the same map.
//
// The lease holder of the group coordinates (Coordinator); the agent of each
// rank checks its orders (Rank); EngineState states what an engine keeps and
// when it takes an order. All ranks must answer before the coordinator decides
// anything, which costs no availability: the group can't run a step without
// all of them either.
package expertmap

import "fmt"

// ID names one map. A coordinator never uses a version twice, and every
// coordinator has its own fencing number, so no two attempts share an ID.
type ID struct {
	Fence   uint64 `json:"fence"` // Fencing number of the coordinator that proposed the map.
	Version uint64 `json:"version"`
}

// Less orders IDs by the time of their proposal.
func (id ID) Less(other ID) bool {
	if id.Fence != other.Fence {
		return id.Fence < other.Fence
	}
	return id.Version < other.Version
}

// String returns the ID for logs and object names.
func (id ID) String() string { return fmt.Sprintf("%d.%d", id.Version, id.Fence) }

// Change is a map with the first step that uses it. The zero Change is none.
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
	Query   Kind = "query"   // Report the state; orders of earlier rounds are void from now on.
	Prepare Kind = "prepare" // Load the weights of the map.
	Hold    Kind = "hold"    // Wait before the first step until released or aborted.
	Release Kind = "release" // Switch at the first step; the change is committed.
	Void    Kind = "void"    // Keep holding and refuse the release.
	Abort   Kind = "abort"   // Stop holding, go on with the map in force.
	Install Kind = "install" // Take a state; only a rank without one does.
)

// Number orders all orders to a rank: a rank that has seen one refuses every
// lower one.
type Number struct {
	Fence uint64 `json:"fence"`
	Round uint64 `json:"round"` // Round of queries of this coordinator.
}

// Less reports whether n is older than other.
func (n Number) Less(other Number) bool {
	if n.Fence != other.Fence {
		return n.Fence < other.Fence
	}
	return n.Round < other.Round
}

// roundBits is the width of the round in an engine's fencing number.
const roundBits = 24

// EngineFence returns the number as the fencing number of an engine's order.
func (n Number) EngineFence() uint64 { return n.Fence<<roundBits | n.Round }

// Order is one order of a coordinator to a rank.
type Order struct {
	Kind   Kind        `json:"kind"`
	Number Number      `json:"number"`
	Change Change      `json:"change"`
	State  EngineState `json:"state"` // Install: the state to take, Boot that of the rank addressed.
}

// Record is the row of the table service that decides a group's changes.
type Record struct {
	Fence  uint64 `json:"fence"`  // Coordinator that claimed the row.
	Change Change `json:"change"` // Last committed change.
}
