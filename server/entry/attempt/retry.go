package attempt

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/policy/retry"
	"persimmonwind.dev/server/entry/route"
	"persimmonwind.dev/server/wire"
)

// attemptFunc makes one attempt; started reports that the caller has received the
// beginning of the answer.
type attemptFunc func(target route.Target, work wire.Work) (started bool, err *result.Error)

// retryBudget is the entry's retry budget, shared by all its requests.
type retryBudget struct {
	mu    sync.Mutex
	state retry.Budget
}

func newRetryBudget() *retryBudget { return &retryBudget{state: retry.NewBudget()} }

// request adds the tokens of one new request to the retry budget.
func (b *retryBudget) request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = b.state.Deposit()
}

// withdraw takes one retry from the retry budget; it reports whether there was one
// left.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ok bool
	b.state, ok = b.state.Withdraw()
	return ok
}

// retry makes attempts until one succeeds or no further retry is allowed.
func (r *Runner) retry(ctx context.Context, request Request, attempt attemptFunc) *result.Error {
	r.retryBudget.request()
	query := newQuery(request)
	start := time.Now()
	for number := 1; ; number++ {
		target, err := r.router.Pick(ctx, query)
		if err != nil {
			return retry.FinalError(err, rand.Uint64())
		}
		started, err := attempt(target, r.work(request, number))
		if err == nil {
			return nil
		}
		failed := retry.Attempt{
			Number: number, Err: err, ResponseStarted: started,
			Idempotent: request.Idempotent,
			Waited:     time.Since(start), Remaining: time.Until(request.Deadline),
		}
		if ctx.Err() != nil || !retry.Retriable(failed) || !(retry.SkipsBudget(err.Code) || r.retryBudget.withdraw()) {
			return retry.FinalError(err, rand.Uint64())
		}
		query.ExcludedServers[target.BackendServer] = true
	}
}

func newQuery(request Request) route.Query {
	excluded := map[string]bool{}
	for _, name := range request.failedServers {
		excluded[name] = true
	}
	return route.Query{
		Model: request.Model, Adapter: request.Adapter, Service: request.Service, Prompt: request.Prompt,
		ExcludedServers: excluded, Deadline: request.Deadline, RequestID: request.ID,
	}
}
