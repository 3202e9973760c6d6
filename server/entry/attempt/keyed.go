package attempt

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	policy "persimmonwind.dev/policy/once"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/policy/retry"
	"persimmonwind.dev/server/entry/route"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/wait"
)

const (
	maxKeyLength      = 255
	defaultRetryAfter = time.Second
	answerMargin      = time.Second // Time reserved for returning the answer before the deadline.
	minAttemptTime    = 50 * time.Millisecond
)

// keyedCall runs one non-idempotent call: it executes the effects of the state
// machine in package policy/once.
type keyedCall struct {
	runner       *Runner
	request      Request
	rowKey       string // Key of the row in the table service.
	fingerprint  string // Hash of service, operation and body.
	query        route.Query
	attemptCount int           // Number of attempts sent.
	retryAfter   time.Duration // Retry-After of the latest refusal.
	lastDetail   string
	lastCode     result.Code // Code of the latest refusal.
	budgetExempt bool        // The next retry is not charged to the retry budget, as the latest attempt reached no backend server.
}

// callKeyed runs a non-idempotent call at most once per idempotency key.
func (r *Runner) callKeyed(ctx context.Context, request Request) (Answer, *result.Error) {
	if len(request.Key) > maxKeyLength {
		return Answer{}, result.Errorf(result.BadRequest, "the Idempotency-Key header has %d characters; the limit is %d", len(request.Key), maxKeyLength)
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline.Add(-min(answerMargin, time.Until(request.Deadline)/4)))
	defer cancel()
	c := &keyedCall{
		runner: r, request: request, query: newQuery(request), retryAfter: defaultRetryAfter, lastCode: result.NoBackendServer,
		rowKey:      policy.RowKey(request.Org, request.Key),
		fingerprint: policy.Fingerprint(request.Service, request.Operation, request.Body),
	}
	machine, effect := policy.NewEntry(!request.KeyGenerated, c.fingerprint)
	for {
		switch end := effect.(type) {
		case policy.Finish:
			return c.finish(ctx, end.Answer)
		case policy.Refuse:
			return Answer{}, c.refuse(end)
		}
		event := c.execute(ctx, effect)
		if ctx.Err() != nil && !isConclusive(event) {
			event = policy.Expired{}
		}
		machine, effect = machine.Step(event)
	}
}

// isConclusive reports whether the event may end the request even though the
// deadline has passed.
func isConclusive(event reduce.Event) bool {
	switch event.(type) {
	case policy.Answered, policy.WriteSucceeded:
		return true
	}
	return false
}

func (c *keyedCall) finish(ctx context.Context, answer policy.Answer) (Answer, *result.Error) {
	loaded, err := c.runner.rows.LoadAnswer(context.WithoutCancel(ctx), answer)
	if err != nil {
		err.RetryAfter = defaultRetryAfter
		return Answer{}, err
	}
	return Answer{Status: loaded.Status, ContentType: loaded.ContentType, Body: []byte(loaded.Body)}, nil
}

func (c *keyedCall) refuse(end policy.Refuse) *result.Error {
	err := result.Errorf(end.Code, "%s", c.lastDetail)
	if result.Describe(end.Code).Retryable {
		err.RetryAfter = c.retryAfter
	}
	if !err.NotRun() && end.Code != result.KeyReused {
		logevent.Write(c.runner.node.Log(), logevent.KeyRefusedOutcomeUnknown, logrus.Fields{"request": c.request.ID, "code": int(end.Code)})
	}
	return err
}

func (c *keyedCall) execute(ctx context.Context, effect reduce.Effect) reduce.Event {
	switch effect := effect.(type) {
	case policy.ReadRow:
		return c.runner.rows.Read(ctx, c.rowKey, effect)
	case policy.WriteRow:
		return c.write(ctx, effect)
	case policy.SendAttempt:
		return c.send(ctx, effect.Epoch)
	case policy.QueryProgress:
		return c.queryProgress(ctx, effect.Execution)
	}
	return policy.Expired{}
}

func (c *keyedCall) write(ctx context.Context, effect policy.WriteRow) reduce.Event {
	if effect.Budgeted {
		return c.runner.cancelWriter.write(ctx, c.rowKey, c.fingerprint, effect)
	}
	event := c.runner.rows.Write(ctx, c.rowKey, effect)
	if _, ok := event.(policy.WriteSucceeded); ok {
		logevent.Write(c.runner.node.Log(), logevent.AttemptCancelled, logrus.Fields{"request": c.request.ID, "epoch": effect.Row.Epoch})
	}
	return event
}

// send chooses a backend server and sends it one attempt.
func (c *keyedCall) send(ctx context.Context, epoch uint64) reduce.Event {
	if !c.chargeAttempt() {
		return policy.NoTarget{Code: c.lastCode}
	}
	target, err := c.runner.router.Pick(ctx, c.query)
	if err != nil {
		return policy.NoTarget{Code: c.recordRefusal(err)}
	}
	if time.Until(c.request.Deadline) < minAttemptTime {
		return policy.NoTarget{Code: result.DeadlineTooShort}
	}
	c.attemptCount++
	c.query.ExcludedServers[target.BackendServer] = true
	work := c.runner.work(c.request, c.attemptCount)
	work.Key, work.Epoch = c.rowKey, epoch
	c.budgetExempt = false
	answer, err := c.runner.sendWatched(ctx, target, work, c.request.Body)
	switch {
	case err == nil:
		return policy.Answered{Answer: policy.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: string(answer.Body)}}
	case err.Code == result.Superseded:
		return policy.Superseded{}
	case err.NotRun():
		c.budgetExempt = retry.SkipsBudget(err.Code)
		return policy.Refused{Code: c.recordRefusal(err)}
	}
	c.lastDetail = err.Detail
	return policy.NoReply{}
}

// chargeAttempt reports whether another attempt may be made. The first attempt
// adds to the retry budget; each further attempt is charged to it, unless it is
// exempt.
func (c *keyedCall) chargeAttempt() bool {
	if c.attemptCount == 0 {
		c.runner.retryBudget.request()
		return true
	}
	return c.budgetExempt || c.runner.retryBudget.withdraw()
}

// recordRefusal stores a refusal and returns the code to report to the caller.
func (c *keyedCall) recordRefusal(err *result.Error) result.Code {
	c.lastCode = refusalCode(err)
	c.lastDetail = err.Detail
	if err.RetryAfter > 0 {
		c.retryAfter = err.RetryAfter
	}
	return c.lastCode
}

func refusalCode(err *result.Error) result.Code {
	if !err.NotRun() {
		return result.NoBackendServer
	}
	return err.Code
}

func (c *keyedCall) queryProgress(ctx context.Context, execution policy.Execution) reduce.Event {
	reply, err := c.runner.queryExecution(ctx, execution)
	switch {
	case err != nil:
		wait.For(ctx, queryRetryPause)
		return policy.ProgressReported{Progress: policy.Unreachable}
	case reply.Answer != nil:
		return policy.Answered{Answer: *reply.Answer}
	}
	return policy.ProgressReported{Progress: reply.Progress}
}
