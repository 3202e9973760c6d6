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
	keyRetryAfter     = time.Second
	answerGrace       = time.Second // Left for the answer before the deadline.
	minimumForAttempt = 50 * time.Millisecond
)

// keyedCall carries one non-idempotent call: it carries out what the pure
// state machine of package policy/once asks for.
type keyedCall struct {
	runner  *Runner
	request Request
	row     string // Key of the row in the table service.
	body    string // Fingerprint of the request.
	query   route.Query
	number  int           // Attempts sent.
	waited  time.Duration // Retry-After of the latest refusal.
	detail  string
	code    result.Code // Of the latest refusal.
	free    bool        // The latest attempt reached no backend server.
}

// callKeyed runs a call that must not run twice.
func (r *Runner) callKeyed(ctx context.Context, request Request) (Answer, *result.Error) {
	if len(request.Key) > maxKeyLength {
		return Answer{}, result.Errorf(result.BadRequest, "The Idempotency-Key has %d characters; %d are allowed.", len(request.Key), maxKeyLength)
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline.Add(-min(answerGrace, time.Until(request.Deadline)/4)))
	defer cancel()
	c := &keyedCall{
		runner: r, request: request, query: queryOf(request), waited: keyRetryAfter, code: result.NoBackendServer,
		row:  policy.RowKey(request.Org, request.Key),
		body: policy.Fingerprint(request.Service, request.Operation, request.Body),
	}
	machine, effect := policy.NewEntry(!request.KeyGenerated, c.body)
	for {
		switch end := effect.(type) {
		case policy.Finish:
			return c.finish(ctx, end.Answer)
		case policy.Refuse:
			return Answer{}, c.refuse(end)
		}
		event := c.do(ctx, effect)
		if ctx.Err() != nil && !conclusive(event) {
			event = policy.Expired{}
		}
		machine, effect = machine.Step(event)
	}
}

// conclusive reports whether the event may end the request even though the
// deadline has passed.
func conclusive(event reduce.Event) bool {
	switch event.(type) {
	case policy.Answered, policy.WriteSucceeded:
		return true
	}
	return false
}

func (c *keyedCall) finish(ctx context.Context, answer policy.Answer) (Answer, *result.Error) {
	loaded, err := c.runner.rows.LoadAnswer(context.WithoutCancel(ctx), answer)
	if err != nil {
		err.RetryAfter = keyRetryAfter
		return Answer{}, err
	}
	return Answer{Status: loaded.Status, ContentType: loaded.ContentType, Body: []byte(loaded.Body)}, nil
}

func (c *keyedCall) refuse(end policy.Refuse) *result.Error {
	err := result.Errorf(end.Code, "%s", c.detail)
	if result.Describe(end.Code).Retryable {
		err.RetryAfter = c.waited
	}
	if !err.NotRun() && end.Code != result.KeyReused {
		logevent.Write(c.runner.node.Log(), logevent.KeyRefusedWeaker, logrus.Fields{"request": c.request.ID, "code": int(end.Code)})
	}
	return err
}

func (c *keyedCall) do(ctx context.Context, effect reduce.Effect) reduce.Event {
	switch effect := effect.(type) {
	case policy.ReadRow:
		return c.runner.rows.Read(ctx, c.row, effect)
	case policy.WriteRow:
		return c.write(ctx, effect)
	case policy.SendAttempt:
		return c.send(ctx, effect.Epoch)
	case policy.QueryProgress:
		return c.ask(ctx, effect.Execution)
	}
	return policy.Expired{}
}

func (c *keyedCall) write(ctx context.Context, effect policy.WriteRow) reduce.Event {
	if effect.Budgeted {
		return c.runner.cancels.write(ctx, c.row, c.body, effect)
	}
	event := c.runner.rows.Write(ctx, c.row, effect)
	if _, ok := event.(policy.WriteSucceeded); ok {
		logevent.Write(c.runner.node.Log(), logevent.AttemptMovedOn, logrus.Fields{"request": c.request.ID, "epoch": effect.Row.Epoch})
	}
	return event
}

// send chooses a backend server and sends it one attempt.
func (c *keyedCall) send(ctx context.Context, epoch uint64) reduce.Event {
	if !c.allowed() {
		return policy.NoTarget{Code: c.code}
	}
	target, err := c.runner.router.Pick(ctx, c.query)
	if err != nil {
		return policy.NoTarget{Code: c.refused(err)}
	}
	if time.Until(c.request.Deadline) < minimumForAttempt {
		return policy.NoTarget{Code: result.DeadlineTooShort}
	}
	c.number++
	c.query.Excluded[target.BackendServer] = true
	work := c.runner.work(c.request, c.number)
	work.Key, work.Epoch = c.row, epoch
	c.free = false
	answer, err := c.runner.sendWatched(ctx, target, work, c.request.Body)
	switch {
	case err == nil:
		return policy.Answered{Answer: policy.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: string(answer.Body)}}
	case err.Code == result.Superseded:
		return policy.Superseded{}
	case err.NotRun():
		c.free = retry.SkipsBudget(err.Code)
		return policy.Refused{Code: c.refused(err)}
	}
	c.detail = err.Detail
	return policy.NoReply{}
}

// allowed counts the first attempt and takes each further one from the retry
// budget, unless it is free.
func (c *keyedCall) allowed() bool {
	if c.number == 0 {
		c.runner.budget.request()
		return true
	}
	return c.free || c.runner.budget.spend()
}

// refused notes a refusal and returns its code.
func (c *keyedCall) refused(err *result.Error) result.Code {
	c.code = refusalCode(err)
	c.detail = err.Detail
	if err.RetryAfter > 0 {
		c.waited = err.RetryAfter
	}
	return c.code
}

func refusalCode(err *result.Error) result.Code {
	if !err.NotRun() {
		return result.NoBackendServer
	}
	return err.Code
}

func (c *keyedCall) ask(ctx context.Context, execution policy.Execution) reduce.Event {
	reply, err := c.runner.askExecution(ctx, execution)
	switch {
	case err != nil:
		wait.For(ctx, askPause)
		return policy.ProgressReported{Progress: policy.Unreachable}
	case reply.Answer != nil:
		return policy.Answered{Answer: *reply.Answer}
	}
	return policy.ProgressReported{Progress: reply.Progress}
}
