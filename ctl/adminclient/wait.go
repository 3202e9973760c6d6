package adminclient

import (
	"context"
	"fmt"
	"strings"
	"time"

	"persimmonwind.dev/server/admin/adminapi"
)

const (
	waitInterval = 200 * time.Millisecond
	maxNamed     = 10
)

// NotInForceError names the processes that have not put a revision in force.
type NotInForceError struct {
	Revision  uint64
	Processes []adminapi.Process
}

// Error implements error.
func (e *NotInForceError) Error() string {
	var names []string
	for _, process := range e.Processes[:min(len(e.Processes), maxNamed)] {
		state := fmt.Sprintf("has revision %d", process.Revision)
		if !process.Answered {
			state = "does not answer"
		}
		names = append(names, fmt.Sprintf("%s in %s %s", process.ID, process.DataCentre, state))
	}
	if more := len(e.Processes) - maxNamed; more > 0 {
		names = append(names, fmt.Sprintf("and %d more", more))
	}
	return fmt.Sprintf("revision %d is accepted but not in force everywhere: %s", e.Revision, strings.Join(names, ", "))
}

// WaitForRevision returns once every process has the revision or a newer one in force. It
// returns a LackingError when the timeout has passed.
func (c *Client) WaitForRevision(ctx context.Context, revision uint64, timeout time.Duration) (adminapi.Status, error) {
	deadline := time.Now().Add(timeout)
	for {
		status, err := c.Status(ctx)
		if err != nil {
			return status, err
		}
		lacking := lackingProcesses(status, revision)
		if len(lacking) == 0 {
			return status, nil
		}
		if time.Now().After(deadline) {
			return status, &NotInForceError{Revision: revision, Processes: lacking}
		}
		select {
		case <-time.After(waitInterval):
		case <-ctx.Done():
			return status, ctx.Err()
		}
	}
}

func lackingProcesses(status adminapi.Status, revision uint64) []adminapi.Process {
	var lacking []adminapi.Process
	for _, process := range status.Processes {
		if !process.Answered || process.Revision < revision {
			lacking = append(lacking, process)
		}
	}
	return lacking
}
