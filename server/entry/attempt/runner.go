package attempt

import (
	"context"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/entry/route"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/node"
	"persimmonwind.dev/server/once"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/wire"
)

// Runner runs callers' requests by sending attempts to agents.
type Runner struct {
	node        *node.Node
	router      *route.Router
	agents      *agentClient
	retryBudget *retryBudget

	liveness     *liveness
	rows         *once.Rows
	cancelWriter *cancelWriter
}

// NewRunner returns a runner that uses the node's configuration, instance list and
// connections.
func NewRunner(n *node.Node) *Runner {
	rows := &once.Rows{Table: n.Store, Objects: n.Store.Objects()}
	return &Runner{
		node: n, router: route.New(n), agents: newAgentClient(n.AgentScheme(), n.AgentTransport), retryBudget: newRetryBudget(), liveness: newLiveness(n),
		rows: rows, cancelWriter: newCancelWriter(rows, func() int { return len(liveEntries(n)) }),
	}
}

// Sweeper returns a sweeper for the rows of idempotency keys.
func (r *Runner) Sweeper() *once.Sweeper {
	log := r.node.Log()
	return &once.Sweeper{
		Rows: r.rows, Self: r.node.State().Self.ID,
		Entries: func() []string { return liveEntries(r.node) },
		OnRemoved: func(rows int) {
			logevent.Write(log, logevent.KeyRowsRemoved, logrus.Fields{"rows": rows})
		},
		OnError: func(err error) {
			logevent.Write(log, logevent.KeyRowsSweepFailed, logrus.Fields{"error": err.Error()})
		},
	}
}

// liveEntries returns the IDs of the entries that are not leaving.
func liveEntries(n *node.Node) []string {
	var ids []string
	for _, instance := range n.Instances() {
		if instance.Role == ports.RoleEntry && !instance.Leaving {
			ids = append(ids, instance.ID)
		}
	}
	return ids
}

// Call runs a plain service's call, at most once unless it is idempotent.
func (r *Runner) Call(ctx context.Context, request Request) (Answer, *result.Error) {
	if !request.Idempotent {
		return r.callKeyed(ctx, request)
	}
	var answer Answer
	err := r.retry(ctx, request, func(target route.Target, work wire.Work) (bool, *result.Error) {
		var err *result.Error
		answer, err = r.agents.call(ctx, target, work, request.Body)
		return false, err
	})
	return answer, err
}

func (r *Runner) work(request Request, number int) wire.Work {
	return wire.Work{
		Stamp: r.node.Stamp(), RequestID: request.ID, Attempt: request.priorAttempts + number,
		Org: request.Org, Priority: request.Priority, Deadline: request.Deadline,
		Service: request.Service, Operation: request.Operation, Idempotent: request.Idempotent,
	}
}
