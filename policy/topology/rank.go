package topology

// RankState is what a rank of a group says of itself.
type RankState struct {
	Group string
	Epoch int64 // Counts the formations of the group.
	Rank  int
	Size  int  // Ranks in the group.
	Open  bool // The group takes work; false while it forms.

	Pass         int64 // The last pass that began.
	MapVersion   int64 // In use.
	Prepared     int64 // Copied and ready to be armed; 0 for none.
	Armed        int64 // The rank switches to this version; 0 for none.
	ArmedPass    int64 // The pass before which it switches.
	HeldPass     int64 // The pass that does not begin before its release; 0 for none.
	OrderRunning bool

	Queued int
	Active int
	Pace   float64
}

// RankLists are the experts of a rank by set.
type RankLists struct {
	MapVersion int64
	Experts    [][]int
}

// RankCounts is how often a rank's requests chose each expert of each set
// since the rank started.
type RankCounts struct {
	Epoch  int64
	Pass   int64
	Counts []int64 // Set by set.
}

// OrderKind is what an order asks of a rank.
type OrderKind int

// The kinds of orders.
const (
	Prepare OrderKind = iota + 1 // Copy the experts of a map's version.
	Arm                          // Switch to a prepared version before a pass.
	Hold                         // Let the group not begin a pass.
	Release                      // Let it begin.
	Disarm                       // Don't switch to a version that was to be armed.
)

// String returns the kind's name for logs.
func (k OrderKind) String() string {
	return [...]string{"none", "prepare", "arm", "hold", "release", "disarm"}[k]
}

// Order is an order to one rank.
type Order struct {
	Kind    OrderKind
	Epoch   int64
	Version int64
	Pass    int64
	Map     [][][]int // Experts by set and rank; of a Prepare only.
	Fence   uint64    // Number of the coordinator's lease.
}
