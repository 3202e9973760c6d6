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

// Streams of the random generator.
const (
	streamArrivals = iota + 1
	streamRequests
)

// runner is one run under way.
type runner struct {
	options Options
	entries []*entryClient
	engines []*engineClient
	entry   *recorder
	direct  *recorder

	start    time.Time
	group    sync.WaitGroup
	inFlight atomic.Int64
	totals   totals
}

// Run sends the workload and returns when every request has ended. report, if
// not nil, is called about twice a second. When ctx ends, arrivals stop and
// requests under way are given up.
func Run(ctx context.Context, options Options, report func(Progress)) (Result, error) {
	if err := options.Validate(); err != nil {
		return Result{}, err
	}
	r := newRunner(options)
	stop := r.reportEvery(report)
	r.arrive(ctx)
	r.group.Wait()
	stop()
	if err := context.Cause(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return Result{}, err
	}
	return r.result(), nil
}

func newRunner(options Options) *runner {
	client := newHTTPClient()
	r := &runner{options: options, entry: newRecorder(), direct: newRecorder()}
	for _, base := range options.Entries {
		r.entries = append(r.entries, &entryClient{base: base, http: client, work: options.Workload})
	}
	for _, base := range options.Engines {
		r.engines = append(r.engines, newEngineClient(base, options, client.Transport))
	}
	return r
}

// arrive starts each request at its intended time, whatever became of the
// earlier ones.
func (r *runner) arrive(ctx context.Context) {
	times := newSchedule(r.options.Arrivals, rand.New(rand.NewPCG(r.options.Seed, streamArrivals)))
	requests := newDrawer(r.options, rand.New(rand.NewPCG(r.options.Seed, streamRequests)))
	r.start = time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		intended := times.next()
		if intended >= r.options.Duration {
			return
		}
		drawn := requests.next()
		if wait := time.Until(r.start.Add(intended)); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		}
		r.launch(ctx, drawn, intended)
	}
}

func (r *runner) launch(ctx context.Context, drawn request, intended time.Duration) {
	r.totals.arrived.Add(1)
	d := done{drawn: drawn, intended: intended}
	if r.inFlight.Load() >= int64(r.options.MaxInFlight) {
		d.failure = failed(Dropped, "%d requests were in flight", r.options.MaxInFlight)
		r.finish(d, r.recorderOf(drawn))
		return
	}
	r.inFlight.Add(1)
	r.group.Go(func() {
		defer r.inFlight.Add(-1)
		r.run(ctx, &d)
		r.finish(d, r.recorderOf(drawn))
	})
}

// straight tells that the request goes straight to an engine.
func (r *runner) straight(drawn request) bool {
	if len(r.engines) == 0 || !drawn.chat {
		return false
	}
	share := r.options.DirectShare
	if len(r.entries) == 0 {
		share = 1
	}
	return int(float64(drawn.number)*share) > int(float64(drawn.number-1)*share)
}

func (r *runner) recorderOf(drawn request) *recorder {
	if r.straight(drawn) {
		return r.direct
	}
	return r.entry
}

func (r *runner) run(ctx context.Context, d *done) {
	intended := r.start.Add(d.intended)
	d.late = time.Since(intended)
	ctx, cancel := context.WithDeadline(ctx, intended.Add(r.options.Timeout))
	defer cancel()
	for {
		d.attempts++
		d.seen = observer{}
		d.failure = r.attempt(ctx, d)
		if !r.repeats(ctx, d) {
			break
		}
	}
	d.total = time.Since(intended)
	if !d.seen.first.IsZero() {
		d.first = d.seen.first.Sub(intended)
	}
}

func (r *runner) attempt(ctx context.Context, d *done) *failure {
	drawn := d.drawn
	if !drawn.chat {
		return r.entries[drawn.number%len(r.entries)].call(ctx, drawn, r.options.Verify)
	}
	var client chatClient
	if r.straight(drawn) {
		client = r.engines[drawn.number/2%len(r.engines)]
	} else {
		client = r.entries[drawn.number/2%len(r.entries)]
	}
	if f := client.chat(ctx, drawn, &d.seen); f != nil || !r.options.Verify {
		return f
	}
	return verifyChat(drawn, d.seen.content)
}

// repeats waits, if asked to, and tells whether a refused request is repeated.
func (r *runner) repeats(ctx context.Context, d *done) bool {
	f := d.failure
	if f == nil || f.kind != Refused || d.attempts > r.options.MaxRetries || !result.Describe(f.code).Retryable {
		return false
	}
	if r.options.HonourRetryAfter && !sleep(ctx, f.retryAfter) {
		return false
	}
	d.refusals = append(d.refusals, f.code)
	return true
}

// sleep waits; it returns false at once where ctx would end meanwhile.
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

func (r *runner) finish(d done, into *recorder) {
	switch {
	case d.failure == nil:
		r.totals.whole.Add(1)
	case d.failure.kind == Refused:
		r.totals.refused.Add(1)
	default:
		r.totals.other.Add(1)
	}
	r.totals.tokens.Add(int64(d.seen.tokens))
	into.add(d, r.options)
}

func (r *runner) result() Result {
	counted := r.options.Duration - r.options.WarmUp
	measured := Result{
		Seed: r.options.Seed, Arrivals: r.options.Arrivals, Workload: r.options.Workload, Duration: counted.Seconds(),
	}
	if len(r.entries) > 0 {
		measured.Entry = r.entry.side(counted)
	}
	if len(r.engines) > 0 {
		measured.Direct = r.direct.side(counted)
	}
	if measured.Entry != nil && measured.Direct != nil {
		measured.AddedLatency = added(measured.Entry, measured.Direct)
	}
	return measured
}
