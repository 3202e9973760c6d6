// Package watch follows tables of the platform's store and posts their contents
// and changes as events. It lists a table once and then waits for changes by long
// polls: calls that the store answers as soon as the table changes.
//
// The store may come back from a copy some seconds old, in which versions of rows are
// lower and are given out again. It then answers with a higher era, upon which a watch
// lists its table anew and forgets the version up to which it has followed it.
package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/wait"
)

const (
	// minPollWait and maxPollWait bound how long a poll waits for a change, and
	// pollMargin is how much shorter the wait is than the time within which a process
	// must be up to date after a disturbance: platform.FeedLateAfter, and time for the next
	// call.
	minPollWait = 1800 * time.Millisecond
	maxPollWait = 25 * time.Second
	pollMargin  = 1200 * time.Millisecond
	// minRetryInterval is the time from the start of a failed call to the start of the next
	// one, which doubles with each further failure up to Watch.MaxRetryInterval: the store
	// charges for refused calls as well. A call that fails later than that is followed by
	// the next one after minRetryDelay.
	minRetryInterval = 100 * time.Millisecond
	minRetryDelay    = 100 * time.Millisecond
	// retryJitter is the share of the interval by which it may be shorter, so that processes
	// that lost the store together do not call it together.
	retryJitter = 0.25
)

// TopologyRetryInterval is the MaxRetryInterval of watches that processes rely on to be up to
// date. It exceeds the time after which a poll that waits for no change is late, 0.7 s, by
// minRetryDelay. While the store is lost, polls thus begin at most that far apart, whether
// they are refused or not answered.
const TopologyRetryInterval = 800 * time.Millisecond

// Store is the part of the platform's store that a Watch uses.
type Store interface {
	List(ctx context.Context, table string) (platform.Rows, error)
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) (platform.Rows, error)
}

// Decoder translates the rows of a table into events.
type Decoder struct {
	// List translates all rows.
	List func(rows []platform.Row, reading platform.Reading) ([]reduce.Event, error)
	// Change translates a changed row; nil stands for a row that is not used.
	Change func(row platform.Row, reading platform.Reading) (reduce.Event, error)
}

// TopologyDecoder translates a table of operators or backend servers.
func TopologyDecoder(table string) Decoder {
	return Decoder{
		List: func(rows []platform.Row, reading platform.Reading) ([]reduce.Event, error) {
			return platform.ListEvents(table, rows, reading)
		},
		Change: func(row platform.Row, reading platform.Reading) (reduce.Event, error) {
			return platform.ChangeEvent(table, row, reading)
		},
	}
}

// Watch follows one table and posts its rows and changes with Post.
type Watch struct {
	Store  Store
	Table  string
	Decode Decoder
	// Refresh makes the watch list the table again at once; nil for never. Needed where
	// PollWait is longer than changes may take, as a lost response is not noticed before.
	Refresh <-chan struct{}
	Post    func(reduce.Event)
	Log     *logrus.Entry
	// BatchDelay is the pause after a change, so that one poll returns changes
	// that follow each other closely.
	BatchDelay time.Duration
	PollWait   time.Duration // How long a poll waits for a change; see PollWait.
	// MaxRetryInterval is the longest time between the starts of two calls while the store
	// is lost, unless a call lasts longer.
	MaxRetryInterval time.Duration
	Restores         prometheus.Counter // Counts the times that the store came back from an older copy.

	retryInterval time.Duration
	era           uint64    // Latest era of the store that an answer has told; 0 while unknown.
	lostSince     time.Time // When the latest call began that failed or is late; zero while the store answers.
}

// PollWait returns how long polls wait for a change if a process must be up to date
// again within the given time after a disturbance. A lost response is noticed only when
// its poll times out, since the connection stays open and delivers nothing. A longer
// wait means fewer calls to the store, each of which is charged for.
func PollWait(upToDateWithin time.Duration) time.Duration {
	return min(max(minPollWait, upToDateWithin-pollMargin), maxPollWait)
}

// Run follows the table until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	for ctx.Err() == nil {
		version, ok := w.list(ctx)
		for ok && ctx.Err() == nil {
			version, ok = w.feed(ctx, version)
		}
	}
}

// list reads the whole table and posts its rows.
func (w *Watch) list(ctx context.Context) (version uint64, ok bool) {
	call := &call{startedAt: time.Now()}
	call.rows, call.err = w.Store.List(ctx, w.Table)
	w.logCall(ctx, call)
	rows, err := call.rows, call.err
	if errors.Is(err, platform.ErrEraChanged) || ctx.Err() != nil {
		return 0, false
	}
	if err != nil {
		wait.For(ctx, w.storeFailed(call.startedAt, err))
		return 0, false
	}
	reading := w.storeAnswered()
	if rows.Era < w.era {
		return 0, false // An answer that was under way when the store was restored.
	}
	reading.Restored = w.era != 0 && rows.Era > w.era
	if reading.Restored {
		logevent.Write(w.Log, logevent.StoreRestored, logrus.Fields{"table": w.Table, "era": rows.Era, "before": w.era, "version": rows.Version})
		w.Restores.Inc()
	}
	w.era = rows.Era
	events, err := w.Decode.List(rows.Rows, reading)
	w.logUnreadable(err)
	for _, event := range events {
		w.Post(event)
	}
	return rows.Version, true
}

// feed waits for changes after the version and posts them. If ok is false, the
// table must be listed again.
func (w *Watch) feed(ctx context.Context, after uint64) (version uint64, ok bool) {
	pollsCtx, endPolls := context.WithCancelCause(ctx)
	defer endPolls(errSuperseded)
	if w.Refresh != nil {
		go w.awaitRefresh(pollsCtx, endPolls)
	}
	rows, err := w.pollUntilAnswered(pollsCtx, after)
	if err != nil && errors.Is(context.Cause(pollsCtx), errRefresh) {
		return 0, false
	}
	if errors.Is(err, platform.ErrHistoryGone) {
		logevent.Write(w.Log, logevent.ChangeHistoryExpired, logrus.Fields{"table": w.Table, "after": after})
		return 0, false
	}
	if err != nil {
		return after, true // ctx has ended.
	}
	reading := w.storeAnswered()
	if rows.Era > w.era && w.era != 0 {
		return 0, false // Versions of different eras don't compare, so the table is listed again.
	}
	if rows.Era < w.era {
		return after, true // An answer that was under way when the store was restored.
	}
	for _, row := range rows.Rows {
		event, err := w.Decode.Change(row, reading)
		w.logUnreadable(err)
		if event != nil {
			w.Post(event)
		}
	}
	if len(rows.Rows) > 0 {
		wait.For(ctx, w.BatchDelay)
	}
	return max(after, rows.Version), true
}

// errRefresh ends a poll because the table is to be listed again.
var errRefresh = errors.New("refresh was requested")

// awaitRefresh ends the poll when a refresh is requested.
func (w *Watch) awaitRefresh(ctx context.Context, endPoll context.CancelCauseFunc) {
	select {
	case <-w.Refresh:
		endPoll(errRefresh)
	case <-ctx.Done():
	}
}

// pollWait returns how long the next poll waits for a change. While the store is lost, it
// waits for none, so that a poll that gets no answer is noticed soon.
func (w *Watch) pollWait() time.Duration {
	if !w.lostSince.IsZero() {
		return 0
	}
	return w.PollWait
}

// storeAnswered posts StoreRegained if the store was lost, and returns how the answer was
// read.
func (w *Watch) storeAnswered() platform.Reading {
	reading := platform.Reading{LostSince: w.lostSince}
	w.retryInterval, w.lostSince = 0, time.Time{}
	if !reading.LostSince.IsZero() {
		w.Post(topology.StoreRegained{Watch: w.Table, LostSince: reading.LostSince})
	}
	return reading
}

// storeFailed posts StoreLost for the first of several failures and returns after how long
// the next call is due. startedAt is when the call began that has failed or is late.
func (w *Watch) storeFailed(startedAt time.Time, err error) (delay time.Duration) {
	if w.lostSince.IsZero() {
		w.Post(topology.StoreLost{Watch: w.Table, Reason: err.Error()})
	}
	w.lostSince = startedAt
	w.retryInterval = min(max(minRetryInterval, 2*w.retryInterval), w.MaxRetryInterval)
	interval := time.Duration(float64(w.retryInterval) * (1 - retryJitter*rand.Float64()))
	return max(interval-time.Since(startedAt), minRetryDelay)
}

func (w *Watch) logUnreadable(err error) {
	if err != nil {
		logevent.Write(w.Log, logevent.RowUnreadable, logrus.Fields{"table": w.Table, "error": err.Error()})
	}
}
