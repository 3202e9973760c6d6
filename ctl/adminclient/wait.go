package adminclient

import (
	"context"
	"fmt"
	"strings"
	"time"

	"persimmonwind.dev/server/admin/adminapi"
)

const (
	pollInterval       = 200 * time.Millisecond
	maxListedProcesses = 10
)

// NotInForceError reports the processes in which a revision is not in force.
type NotInForceError struct {
	Revision  uint64
	Processes []adminapi.Process
}

func (e *NotInForceError) Error() string {
	var names []string
	for _, process := range e.Processes[:min(len(e.Processes), maxListedProcesses)] {
		state := fmt.Sprintf("has revision %d", process.Revision)
		if !process.Answered {
			state = "does not answer"
		}
		names = append(names, fmt.Sprintf("%s in %s %s", process.ID, process.DataCentre, state))
	}
	if more := len(e.Processes) - maxListedProcesses; more > 0 {
		names = append(names, fmt.Sprintf("and %d more", more))
	}
	return fmt.Sprintf("revision %d is accepted but not in force everywhere: %s", e.Revision, strings.Join(names, ", "))
}

// WaitForRevision returns once every process has the revision or a newer one in
// force. It returns a NotInForceError if that takes longer than the timeout.
func (c *Client) WaitForRevision(ctx context.Context, revision uint64, timeout time.Duration) (adminapi.Status, error) {
	deadline := time.Now().Add(timeout)
	for {
		status, err := c.Status(ctx)
		if err != nil {
			return status, err
		}
		lagging := processesNotInForce(status, revision)
		if len(lagging) == 0 {
			return status, nil
		}
		if time.Now().After(deadline) {
			return status, &NotInForceError{Revision: revision, Processes: lagging}
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return status, ctx.Err()
		}
	}
}

func processesNotInForce(status adminapi.Status, revision uint64) []adminapi.Process {
	var lagging []adminapi.Process
	for _, process := range status.Processes {
		if !process.Answered || process.Revision < revision {
			lagging = append(lagging, process)
		}
	}
	return lagging
}
