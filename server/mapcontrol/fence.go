package mapcontrol

import (
	"context"

	"persimmonwind.dev/platform"
)

// leaseFence returns the fencing number of the coordinator that has created the lease row
// with the number. Fencing numbers of leases are even and those of provisional
// coordinators odd, so that no two coordinators of an epoch have the same one.
func leaseFence(rowNumber uint64) uint64 { return 2 * rowNumber }

// leaseRowFloor returns the highest row number whose fencing number is not above fence.
func leaseRowFloor(fence uint64) uint64 { return fence / 2 }

// acquireFence acquires the group's lease and returns the fencing number of its holder,
// which is higher than maxSeenFence, and the rows of earlier acquisitions that can be
// removed.
func (a *Agent) acquireFence(ctx context.Context, group string, maxSeenFence uint64) (fence uint64, obsolete []platform.Row, err error) {
	rowNumber, obsolete, err := acquireLease(ctx, a.Store, group, a.InstanceName, leaseRowFloor(maxSeenFence))
	if err != nil {
		return 0, nil, err
	}
	return leaseFence(rowNumber), obsolete, nil
}
