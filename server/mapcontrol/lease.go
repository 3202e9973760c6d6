package mapcontrol

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"persimmonwind.dev/platform"
)

// leaseTable holds a row a group: who coordinates its expert map.
const leaseTable = "map_leases"

// errLeaseLost means that another agent took the lease first.
var errLeaseLost = errors.New("another agent took the lease")

// Store is what a lease needs of the platform's store.
type Store interface {
	Get(ctx context.Context, table, key string) (platform.Row, error)
	CompareAndSet(ctx context.Context, row platform.Row) (uint64, error)
}

// leaseRow is the value of a lease's row. It changes only when the lease is
// taken: liveness is told by the holder's calls.
type leaseRow struct {
	Holder string `json:"holder"`
	Fence  uint64 `json:"fence"`
}

// takeLease takes the group's lease and returns its number, which is higher
// than every number before. It fails with errLeaseLost where another agent was
// faster.
func takeLease(ctx context.Context, store Store, group, self string, seen uint64) (uint64, error) {
	row, err := store.Get(ctx, leaseTable, group)
	if err != nil {
		return 0, fmt.Errorf("read lease: %w", err)
	}
	var current leaseRow
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &current); err != nil {
			return 0, fmt.Errorf("decode lease of group %q: %w", group, err)
		}
	}
	next := leaseRow{Holder: self, Fence: max(current.Fence, seen) + 1}
	row.Value, err = json.Marshal(next)
	if err != nil {
		return 0, fmt.Errorf("encode lease: %w", err)
	}
	_, err = store.CompareAndSet(ctx, row)
	if errors.Is(err, platform.ErrConflict) {
		return 0, errLeaseLost
	}
	if err != nil {
		// The write may have happened; the number is used up either way.
		return 0, fmt.Errorf("write lease: %w", err)
	}
	return next.Fence, nil
}
