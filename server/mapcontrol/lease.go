package mapcontrol

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"persimmonwind.dev/platform"
)

// leaseTable has one row for each group, the lease. Its holder is the coordinator of
// the group's expert map, and its fencing number grows with each acquisition.
const leaseTable = "map_leases"

// maxFirstCallDelay is the longest time from acquiring the lease until the new
// coordinator has called all other agents. It reads the list of servers first.
const maxFirstCallDelay = 800 * time.Millisecond

// errLeaseLost is returned if another agent wrote the lease's row between the read and
// the compare-and-set of this agent. It is also returned if another agent acquired the
// lease so recently that its first read calls (methodRead) may not have reached all
// other agents yet.
var errLeaseLost = errors.New("another agent acquired the lease")

// Store is the part of the platform's store that leases use.
type Store interface {
	Get(ctx context.Context, table, key string) (platform.Row, error)
	CompareAndSet(ctx context.Context, row platform.Row) (uint64, error)
}

// leaseRow is the value of a lease's row. It is written only when the lease is
// acquired and not renewed: the holder's calls to the agents show that it is alive.
type leaseRow struct {
	Holder  string `json:"holder"`   // Name of the instance that acquired the lease.
	Fence   uint64 `json:"fence"`    // Fencing number of this acquisition.
	TakenMS int64  `json:"taken_ms"` // Monotonic time of the store when the lease was acquired, as read before the write.
}

// recentlyAcquired reports whether another agent acquired the lease so shortly before
// now, the store's time, that it may not have called all agents yet. It returns false
// if the store's clock has been reset since.
func (r leaseRow) recentlyAcquired(instance string, now time.Duration) bool {
	age := now - time.Duration(r.TakenMS)*time.Millisecond
	return r.Holder != instance && r.TakenMS > 0 && age >= 0 && age < maxFirstCallDelay
}

// acquireLease acquires the group's lease and returns its fencing number, which is
// higher than all earlier ones and than maxSeenFence. It returns errLeaseLost if
// another agent was faster or acquired the lease recently.
func acquireLease(ctx context.Context, store Store, group, instance string, maxSeenFence uint64) (uint64, error) {
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
	if current.recentlyAcquired(instance, row.ReadAt) {
		return 0, errLeaseLost
	}
	next := leaseRow{Holder: instance, Fence: max(current.Fence, maxSeenFence) + 1, TakenMS: row.ReadAt.Milliseconds()}
	row.Value, err = json.Marshal(next)
	if err != nil {
		return 0, fmt.Errorf("encode lease: %w", err)
	}
	_, err = store.CompareAndSet(ctx, row)
	if errors.Is(err, platform.ErrConflict) {
		return 0, errLeaseLost
	}
	if err != nil {
		// The write may have taken effect; the fencing number is not used again in
		// either case.
		return 0, fmt.Errorf("write lease: %w", err)
	}
	return next.Fence, nil
}
