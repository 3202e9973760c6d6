package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/classes"
	"persimmonwind.dev/policy/dispatch"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/policy/workload"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/quarantine"
)

const (
	// A caller gives up on a stream after the longest of three periods without an
	// event: minStreamTimeout, objectiveTimeoutFactor times the route's latency
	// objective, or interTokenTimeoutFactor times its inter-token target.
	minStreamTimeout        = 2 * time.Second
	objectiveTimeoutFactor  = 4 // Multiple of the route's latency objective.
	interTokenTimeoutFactor = 8 // Multiple of the route's inter-token target.
	// minFirstEventTime is how long a stream takes from dispatch to its first
	// event: about three passes of a busy group.
	minFirstEventTime = 300 * time.Millisecond

	// maxStatedTokens is the largest number of tokens that a caller's statement counts
	// for. It is three times the memory of the users' engines (310,000 tokens) and keeps
	// sums of invented numbers small.
	maxStatedTokens = 1 << 20
)

// acquire returns the dispatcher's last decision about the request. It returns a
// *result.Error if the request must not be sent to a server any more.
func (c *call) acquire(ctx context.Context, service string, request quarantine.Request) (*placement, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	remove := func() {}
	placed, err := c.gateway.dispatchers.acquire(ctx, service, c.ticket, func(placed *placement) {
		remove = c.gateway.guard.Queued(request, cancel)
		c.logDecision(placed)
	})
	remove()
	if err != nil {
		return placed, context.Cause(ctx)
	}
	if placed.Verdict == dispatch.Go {
		if refused := c.gateway.guard.Check(request); refused != nil {
			c.gateway.dispatchers.release(service, placed, dispatch.CallerLeft)
			return placed, refused
		}
	}
	return placed, nil
}

// ticket returns the description of the request by which the dispatcher queues it and
// assigns it to a server. The priority of the caller's organisation goes before that of the
// route. Where requests are scheduled by class, the route's decides among organisations of
// the same priority.
func (c *call) ticket(byClass bool) dispatch.Ticket {
	priority := c.route.Priority
	if c.organisation != nil && c.organisation.HasPriority {
		priority = c.organisation.Priority
	}
	if byClass {
		priority = classes.Combine(priority, c.route.Priority)
	}
	return dispatch.Ticket{
		Arrived: c.arrivedAt, SLODeadline: c.arrivedAt.Add(c.route.Objective), Deadline: c.latestStart(),
		Priority: priority, Avoid: c.avoidServer, FoundClosed: c.foundGroupClosed,
		Organisation: c.organisationName(), Work: statedWork(c.request),
	}
}

// statedWork returns the size of the request as its caller states it. The hint tells more
// of the answer's length than its maximum, which it can't exceed.
func statedWork(request platform.Request) workload.Request {
	output := request.OutputHint
	if output <= 0 || request.MaxOutputTokens > 0 && output > request.MaxOutputTokens {
		output = request.MaxOutputTokens
	}
	return workload.Request{PromptTokens: clampTokens(request.PromptTokens), OutputTokens: clampTokens(output)}
}

func clampTokens(count int) int { return max(0, min(count, maxStatedTokens)) }

// latestStart returns the latest time at which starting the request is useful.
// A caller gives up on a stream whose first or next event takes too long.
func (c *call) latestStart() time.Time {
	if c.route.Kind != topology.Stream {
		return c.deadline
	}
	timeout := max(minStreamTimeout, objectiveTimeoutFactor*c.route.Objective, interTokenTimeoutFactor*c.route.InterTokenTarget)
	latest := c.arrivedAt.Add(timeout - minFirstEventTime)
	if latest.After(c.deadline) {
		return c.deadline
	}
	return latest
}

// logDecision logs the dispatcher's decision, except for a plain request that is sent
// at once.
func (c *call) logDecision(decision *placement) {
	if decision.Verdict == dispatch.Go && c.sends == 0 && decision.Limit == 0 && c.route.Kind != topology.Stream {
		return // A plain request sent at once; only its end is logged.
	}
	fields := logrus.Fields{
		"verdict": verdictNames[decision.Verdict], "reason": decision.Reason, "server": decision.Server.ID,
		"own": decision.OwnInFlight, "total": decision.TotalInFlight, "limit": decision.Limit,
		"predicted_ms": decision.PredictedWait.Milliseconds(), "retry_after_ms": decision.RetryAfter.Milliseconds(),
		"report_age_ms": decision.ReportAge.Milliseconds(), "config": c.snapshot.Config.Version,
		"after_ms": time.Since(c.arrivedAt).Milliseconds(),
	}
	if decision.byClass && c.route.Kind == topology.Stream {
		decision.logFields(fields, c.request.PromptTokens, decision.waited)
		if decision.Verdict != dispatch.Go {
			fields["organisation"] = c.organisationName() // Orders the requests that wait.
		}
	}
	logevent.Write(c.log, logevent.RequestPlaced, fields)
}
