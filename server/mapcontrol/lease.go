package mapcontrol

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"persimmonwind.dev/platform"
)

// leaseTable has a row for each acquisition of a group's lease. The holder of the one
// with the highest fencing number is the coordinator of the group's expert map.
const leaseTable = "map_leases"

const (
	// fencesPerEra is the number of fencing numbers in each era of the store. A number
	// of a later era is higher than all of earlier ones, whatever rows the store has
	// lost with them.
	fencesPerEra = 1 << 20
	// maxFence is far above the numbers of all eras; one more than it is a number too.
	maxFence = 1 << 62
	// obsoleteLeaseAge is the age from which the row of an earlier acquisition is
	// removed. It is longer than a write may take to be carried out, so that no fencing
	// number is free again while an agent may still try to acquire it.
	obsoleteLeaseAge = 10 * time.Minute
)

// maxFirstCallDelay is the longest time from acquiring the lease until the new
// coordinator has called all other agents. It reads the list of servers first.
const maxFirstCallDelay = 800 * time.Millisecond

// errLeaseLost is returned if another agent acquired the lease between the read and the
// write of this agent. It is also returned if another agent acquired the
// lease so recently that its first read calls (methodRead) may not have reached all
// other agents yet.
var errLeaseLost = errors.New("another agent acquired the lease")

// Store is the part of the platform's store that leases use.
type Store interface {
	ListPrefix(ctx context.Context, table, prefix string) (platform.Rows, error)
	Create(ctx context.Context, row platform.Row) (era uint64, err error)
	Remove(ctx context.Context, rows []platform.Row) error
}

// leaseRow is the value of a lease's row. It is written only when the lease is
// acquired and not renewed: the holder's calls to the agents show that it is alive.
type leaseRow struct {
	Holder  string `json:"holder"`   // Name of the instance that acquired the lease.
	Fence   uint64 `json:"fence"`    // Fencing number of this acquisition.
	TakenMS int64  `json:"taken_ms"` // Monotonic time of the store when the lease was acquired, as read before the write.
}

// age returns the time since the acquisition. It is negative if the store's clock has
// been reset since.
func (r leaseRow) age(nowMS int64) time.Duration {
	return time.Duration(nowMS-r.TakenMS) * time.Millisecond
}

// recentlyAcquired reports whether another agent acquired the lease so shortly before
// now, the store's time, that it may not have called all agents yet. It returns false
// if the store's clock has been reset since.
func (r leaseRow) recentlyAcquired(instance string, nowMS int64) bool {
	age := r.age(nowMS)
	return r.Holder != instance && r.TakenMS > 0 && age >= 0 && age < maxFirstCallDelay
}

// decodeLease decodes the row of an acquisition. One whose value can't be used counts as an
// acquisition by nobody. It returns false if not even its key names one.
func decodeLease(group string, row platform.Row) (leaseRow, bool) {
	fence, err := strconv.ParseUint(strings.TrimPrefix(row.Key, leasePrefix(group)), 16, 64)
	if err != nil || fence > maxFence {
		return leaseRow{}, false
	}
	var acquired leaseRow
	if json.Unmarshal(row.Value, &acquired) != nil || acquired.Fence != fence || acquired.TakenMS < 0 || acquired.TakenMS > math.MaxInt64/int64(time.Millisecond) {
		return leaseRow{Fence: fence}, true
	}
	return acquired, true
}

// leaseKey returns the key of the row of one acquisition.
func leaseKey(group string, fence uint64) string {
	return fmt.Sprintf("%s%016x", leasePrefix(group), fence)
}

func leasePrefix(group string) string { return group + "/" }

// acquireLease acquires the group's lease and returns its fencing number, which is
// higher than all earlier ones and than maxSeenFence, and the rows of earlier
// acquisitions that can be removed. It returns errLeaseLost if another agent was faster
// or acquired the lease recently.
//
// No fencing number is acquired twice. Within an era of the store, each number has a row
// of its own, which only one agent can create. Numbers of later eras are higher. An
// agent that has read in one era and whose row is created in the next, or late, does not
// have the lease.
func acquireLease(ctx context.Context, store Store, group, instance string, maxSeenFence uint64) (fence uint64, obsolete []platform.Row, err error) {
	rows, err := store.ListPrefix(ctx, leaseTable, leasePrefix(group))
	if err != nil {
		return 0, nil, fmt.Errorf("read lease: %w", err)
	}
	var latest leaseRow
	for _, row := range rows.Rows {
		acquired, ok := decodeLease(group, row)
		if !ok {
			continue
		}
		if acquired.Fence > latest.Fence {
			latest = acquired
		}
		if acquired.age(rows.NowMS) > obsoleteLeaseAge {
			obsolete = append(obsolete, row)
		}
	}
	if latest.recentlyAcquired(instance, rows.NowMS) {
		return 0, nil, errLeaseLost
	}
	fence = max(latest.Fence, maxSeenFence, rows.Era*fencesPerEra) + 1
	next := leaseRow{Holder: instance, Fence: fence, TakenMS: rows.NowMS}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, nil, fmt.Errorf("encode lease: %w", err)
	}
	era, err := store.Create(ctx, platform.Row{Table: leaseTable, Key: leaseKey(group, fence), Value: value})
	if errors.Is(err, platform.ErrConflict) {
		return 0, nil, errLeaseLost
	}
	if err != nil {
		// The row may be created later; the fencing number is not used in either case.
		return 0, nil, fmt.Errorf("write lease: %w", err)
	}
	if era != rows.Era {
		return 0, nil, fmt.Errorf("%w: the store was restored meanwhile, era %d before, %d now", errLeaseLost, rows.Era, era)
	}
	return fence, obsolete, nil
}
