package mapcontrol

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"persimmonwind.dev/platform"
)

// leaseTable holds a row a group: who coordinates its expert map.
const leaseTable = "map_leases"

// maxFirstCallDelay is how long an agent that has taken the lease needs at most until it
// has called all others: it reads the list of servers before.
const maxFirstCallDelay = 800 * time.Millisecond

// errLeaseLost means that another agent took the lease first, or a moment ago.
var errLeaseLost = errors.New("another agent took the lease")

// Store is what a lease needs of the platform's store.
type Store interface {
	Get(ctx context.Context, table, key string) (platform.Row, error)
	CompareAndSet(ctx context.Context, row platform.Row) (uint64, error)
}

// leaseRow is the value of a lease's row. It changes only when the lease is
// taken: liveness is told by the holder's calls.
type leaseRow struct {
	Holder  string `json:"holder"`
	Fence   uint64 `json:"fence"`
	TakenMS int64  `json:"taken_ms"` // On the store's steady clock, as read before the write.
}

// recentlyAcquired reports whether another agent took the lease so shortly before the time
// of the store that it may not have called anyone yet. A clock that has started
// anew proves nothing.
func (r leaseRow) recentlyAcquired(self string, now time.Duration) bool {
	age := now - time.Duration(r.TakenMS)*time.Millisecond
	return r.Holder != self && r.TakenMS > 0 && age >= 0 && age < maxFirstCallDelay
}

// acquireLease takes the group's lease and returns its number, which is higher
// than every number before. It fails with errLeaseLost where another agent was
// faster, or took it a moment ago.
func acquireLease(ctx context.Context, store Store, group, self string, seen uint64) (uint64, error) {
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
	if current.recentlyAcquired(self, row.ReadAt) {
		return 0, errLeaseLost
	}
	next := leaseRow{Holder: self, Fence: max(current.Fence, seen) + 1, TakenMS: row.ReadAt.Milliseconds()}
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
