package topology

// RankState is the state that a rank of a group reports about itself.
type RankState struct {
	Group string
	Epoch int64 // Incremented each time the group forms.
	Rank  int
	Size  int  // Number of ranks in the group.
	Open  bool // The group accepts work; false while it forms.

	Pass         int64 // The last pass that began.
	MapVersion   int64 // The map version in use.
	Prepared     int64 // The version copied and ready to be armed; 0 for none.
	Armed        int64 // The version that the rank will switch to; 0 for none.
	ArmedPass    int64 // The pass before which it switches.
	HeldPass     int64 // The pass that does not begin until it is released; 0 for none.
	OrderRunning bool

	Queued int
	Active int
	Pace   float64
}

// RankLists are the experts that a rank holds, by set.
type RankLists struct {
	MapVersion int64
	Experts    [][]int
}

// RankCounts is how often a rank's requests have chosen each expert of each set
// since the rank started.
type RankCounts struct {
	Epoch  int64
	Pass   int64
	Counts []int64 // One set after the other.
}

// OrderKind is the kind of an order.
type OrderKind int

// The kinds of orders.
const (
	Prepare OrderKind = iota + 1 // Copy the experts of a version of the map.
	Arm                          // Switch to a prepared version before a given pass.
	Hold                         // Keep the group from beginning a pass.
	Release                      // Let the group begin a held pass.
	Disarm                       // Cancel the switch to an armed version.
)

// String returns the kind's name for logs.
func (k OrderKind) String() string {
	return [...]string{"none", "prepare", "arm", "hold", "release", "disarm"}[k]
}

// Order is an order from a coordinator to one rank.
type Order struct {
	Kind    OrderKind
	Epoch   int64
	Version int64
	Pass    int64
	Map     [][][]int // Experts by set and rank; only set for Prepare.
	Fence   uint64    // Fencing number of the coordinator's lease.
}
