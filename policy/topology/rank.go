package topology

// RankState is the state that a rank of a group reports about itself. A pass is one
// pass of the model, which all ranks of the group run in lock step; passes are
// numbered. Map versions are versions of the group's expert map.
type RankState struct {
	Group string
	Epoch int64 // Number of the group's incarnation, incremented each time the group forms.
	Rank  int
	Size  int  // Number of ranks in the group.
	Open  bool // The group accepts work; false while it forms.

	Pass         int64 // Number of the last pass that began.
	MapVersion   int64 // Map version in use.
	Prepared     int64 // Map version whose experts are copied, so that the rank can be armed for it; 0 for none.
	Armed        int64 // Map version that the rank will switch to; 0 for none.
	ArmedPass    int64 // Number of the pass before which it switches to Armed.
	HeldPass     int64 // Number of the pass that the group does not begin until this rank releases it; 0 for none.
	OrderRunning bool  // The rank is executing an order.

	Queued int     // Number of requests that wait at the rank.
	Active int     // Number of requests that the rank runs.
	Pace   float64 // Slowdown of the rank relative to normal speed; 1 for a rank of normal speed.

	MemoryTokens int // Tokens in the rank's memory that can't be evicted; 0 if unknown.
}

// RankLists lists the experts that a rank holds in each expert set. An expert set is a
// set of layers that share one placement of experts.
type RankLists struct {
	MapVersion int64   // Version of the expert map to which the lists belong.
	Experts    [][]int // Experts that the rank holds, indexed by expert set.
}

// RankCounts holds counters of how often a rank's requests have chosen each expert of
// each expert set since the rank started.
type RankCounts struct {
	Epoch  int64
	Pass   int64
	Counts []int64 // One counter for each expert, ordered by expert set and expert.
}

// OrderKind is the kind of an order to a rank.
type OrderKind int

// The kinds of orders.
const (
	Prepare OrderKind = iota + 1 // Copy the experts of a map version.
	Arm                          // Switch to a prepared map version before the given pass.
	Hold                         // Keep the group from beginning the given pass.
	Release                      // Let the group begin the given pass, which is held.
	Disarm                       // Cancel the switch to a map version for which the rank is armed.
)

// String returns the kind's name for logs.
func (k OrderKind) String() string {
	return [...]string{"none", "prepare", "arm", "hold", "release", "disarm"}[k]
}

// Order is an order of a group's coordinator to one rank.
type Order struct {
	Kind    OrderKind
	Epoch   int64     // Epoch of the group for which the order is valid.
	Version int64     // Map version; set for Prepare, Arm and Disarm.
	Pass    int64     // Number of the pass; set for Arm, Hold and Release.
	Map     [][][]int // Experts by expert set and rank; only set for Prepare.
	Fence   uint64    // Fencing number of the coordinator's lease.
}
