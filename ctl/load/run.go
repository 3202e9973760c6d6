package load

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"persimmonwind.dev/policy/result"
)

// Stream numbers of the random number generators, so that arrivals and requests
// are drawn independently from one seed.
const (
	streamArrivals = iota + 1
	streamRequests
)

// runner holds the state of one run.
type runner struct {
	options        Options
	entries        []*entryClient
	engines        []*engineClient
	entryRecorder  *recorder
	directRecorder *recorder

	start    time.Time
	wg       sync.WaitGroup
	inFlight atomic.Int64
	totals   totals
}

// Run sends the workload and returns when every request has ended. report, if
// not nil, is called about twice a second. When ctx is cancelled, arrivals stop
// and requests in flight are cancelled.
func Run(ctx context.Context, options Options, report func(Progress)) (Result, error) {
	if err := options.Validate(); err != nil {
		return Result{}, err
	}
	r := newRunner(options)
	stop := r.startProgressReports(report)
	r.generateArrivals(ctx)
	r.wg.Wait()
	stop()
	if err := context.Cause(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return Result{}, err
	}
	return r.result(), nil
}

func newRunner(options Options) *runner {
	client := newHTTPClient()
	r := &runner{options: options, entryRecorder: newRecorder(), directRecorder: newRecorder()}
	for _, base := range options.Entries {
		r.entries = append(r.entries, &entryClient{base: base, http: client, workload: options.Workload})
	}
	for _, base := range options.Engines {
		r.engines = append(r.engines, newEngineClient(base, options, client.Transport))
	}
	return r
}

// generateArrivals starts each request at its intended time without waiting for
// earlier ones (open loop).
func (r *runner) generateArrivals(ctx context.Context) {
	times := newSchedule(r.options.Arrivals, rand.New(rand.NewPCG(r.options.Seed, streamArrivals)))
	requests := newRequestGenerator(r.options, rand.New(rand.NewPCG(r.options.Seed, streamRequests)))
	r.start = time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		intended := times.next()
		if intended >= r.options.Duration {
			return
		}
		req := requests.next()
		if wait := time.Until(r.start.Add(intended)); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		}
		r.launch(ctx, req, intended)
	}
}

func (r *runner) launch(ctx context.Context, req request, intended time.Duration) {
	r.totals.arrived.Add(1)
	record := requestRecord{req: req, intended: intended}
	if r.inFlight.Load() >= int64(r.options.MaxInFlight) {
		record.failure = failuref(Dropped, "%d requests were in flight", r.options.MaxInFlight)
		r.finish(record, r.recorderOf(req))
		return
	}
	r.inFlight.Add(1)
	r.wg.Go(func() {
		defer r.inFlight.Add(-1)
		r.execute(ctx, &record)
		r.finish(record, r.recorderOf(req))
	})
}

// isDirect reports whether the request is sent directly to an engine.
func (r *runner) isDirect(req request) bool {
	if len(r.engines) == 0 || !req.chat {
		return false
	}
	share := r.options.DirectShare
	if len(r.entries) == 0 {
		share = 1
	}
	return int(float64(req.number)*share) > int(float64(req.number-1)*share)
}

func (r *runner) recorderOf(req request) *recorder {
	if r.isDirect(req) {
		return r.directRecorder
	}
	return r.entryRecorder
}

func (r *runner) execute(ctx context.Context, record *requestRecord) {
	intended := r.start.Add(record.intended)
	record.delay = time.Since(intended)
	ctx, cancel := context.WithDeadline(ctx, intended.Add(r.options.Timeout))
	defer cancel()
	for {
		record.attempts++
		record.trace = answerTrace{}
		record.failure = r.attempt(ctx, record)
		if !r.shouldRetry(ctx, record) {
			break
		}
	}
	record.totalTime = time.Since(intended)
	if !record.trace.first.IsZero() {
		record.first = record.trace.first.Sub(intended)
	}
}

// attempt sends the request once. The target of a chat is selected by half of
// its number, because with the default DirectShare of 0.5 all chats with an even
// number are direct, and number modulo targets would skip half of an even number
// of targets.
func (r *runner) attempt(ctx context.Context, record *requestRecord) *failure {
	req := record.req
	if !req.chat {
		return r.entries[req.number%len(r.entries)].call(ctx, req, r.options.Verify)
	}
	var client chatClient
	if r.isDirect(req) {
		client = r.engines[req.number/2%len(r.engines)]
	} else {
		client = r.entries[req.number/2%len(r.entries)]
	}
	if f := client.chat(ctx, req, &record.trace); f != nil || !r.options.Verify {
		return f
	}
	return verifyChat(req, record.trace.content)
}

// shouldRetry reports whether a refused request is to be retried. If
// HonourRetryAfter is set, it first waits for the time that the refusal asks for.
func (r *runner) shouldRetry(ctx context.Context, record *requestRecord) bool {
	f := record.failure
	if f == nil || f.kind != Refused || record.attempts > r.options.MaxRetries || !result.Describe(f.code).Retryable {
		return false
	}
	if r.options.HonourRetryAfter && !sleep(ctx, f.retryAfter) {
		return false
	}
	record.retryCodes = append(record.retryCodes, f.code)
	return true
}

// sleep waits and returns true, or returns false if ctx ends first. If the
// deadline of ctx is earlier than the end of the wait, it returns false at once.
func sleep(ctx context.Context, wait time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < wait {
		return false
	}
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *runner) finish(record requestRecord, dest *recorder) {
	switch {
	case record.failure == nil:
		r.totals.completed.Add(1)
	case record.failure.kind == Refused:
		r.totals.refused.Add(1)
	default:
		r.totals.other.Add(1)
	}
	r.totals.tokens.Add(int64(record.trace.tokens))
	dest.add(record, r.options)
}

func (r *runner) result() Result {
	period := r.options.Duration - r.options.WarmUp
	runResult := Result{
		Seed: r.options.Seed, Arrivals: r.options.Arrivals, Workload: r.options.Workload, Duration: period.Seconds(),
	}
	if len(r.entries) > 0 {
		runResult.Entry = r.entryRecorder.pathResult(period)
	}
	if len(r.engines) > 0 {
		runResult.Direct = r.directRecorder.pathResult(period)
	}
	if runResult.Entry != nil && runResult.Direct != nil {
		runResult.AddedLatency = addedLatency(runResult.Entry, runResult.Direct)
	}
	return runResult
}
