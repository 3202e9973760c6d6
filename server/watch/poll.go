package watch

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/server/logevent"
)

// call is a call of the store: a list of the table, or a poll.
type call struct {
	isPoll    bool
	startedAt time.Time
	after     uint64        // The version after which a poll waits for changes.
	wait      time.Duration // How long a poll waits for a change.
	rows      platform.Rows
	err       error
}

var (
	// errLate means that a poll has exceeded its wait and may still be answered.
	errLate = errors.New("no answer yet")
	// errSuperseded ends the polls beside one that has been answered.
	errSuperseded = errors.New("another poll was answered")
)

// pollUntilAnswered polls until the store answers with rows or with ErrHistoryGone, or ctx
// ends. A late poll stays under way beside the next one, because the store may be slow
// rather than silent; whichever is answered first counts.
func (w *Watch) pollUntilAnswered(ctx context.Context, after uint64) (platform.Rows, error) {
	ended := make(chan *call)
	latest := w.startPoll(ctx, after, ended)
	betweenPolls := false // The latest poll is late or has failed; the timer fires when the next one is due.
	timer := time.NewTimer(latest.wait + platform.FeedLateAfter)
	defer timer.Stop()
	for {
		select {
		case poll := <-ended:
			if poll.answered() {
				return poll.rows, poll.err
			}
			if poll == latest && !betweenPolls {
				betweenPolls = true
				timer.Reset(w.storeFailed(poll.startedAt, poll.err))
			}
		case <-timer.C:
			if !betweenPolls {
				betweenPolls = true
				timer.Reset(w.storeFailed(latest.startedAt, errLate))
				w.logLate(latest)
				continue
			}
			latest, betweenPolls = w.startPoll(ctx, after, ended), false
			timer.Reset(latest.wait + platform.FeedLateAfter)
		case <-ctx.Done():
			return platform.Rows{}, ctx.Err()
		}
	}
}

// startPoll starts a poll that is sent to ended when it ends, unless ctx has ended.
func (w *Watch) startPoll(ctx context.Context, after uint64, ended chan<- *call) *call {
	poll := &call{isPoll: true, startedAt: time.Now(), after: after, wait: w.pollWait()}
	go func() {
		poll.rows, poll.err = w.Store.Feed(ctx, w.Table, after, poll.wait)
		w.logCall(ctx, poll)
		select {
		case ended <- poll:
		case <-ctx.Done():
		}
	}()
	return poll
}

// answered reports whether the store has answered the poll and did not refuse it.
func (c *call) answered() bool {
	return c.err == nil || errors.Is(c.err, platform.ErrHistoryGone)
}

// logCall logs the end of a call whose context is ctx.
func (w *Watch) logCall(ctx context.Context, c *call) {
	fields := c.logFields(w.Table)
	cause := context.Cause(ctx)
	switch {
	case c.err == nil && len(c.rows.Rows) == 0:
		fields["outcome"], fields["version"] = "no_rows", c.rows.Version
	case c.err == nil:
		fields["outcome"], fields["version"], fields["rows"] = "rows", c.rows.Version, len(c.rows.Rows)
	case errors.Is(c.err, platform.ErrHistoryGone):
		fields["outcome"] = "history_gone"
	case errors.Is(cause, errSuperseded):
		fields["outcome"] = "superseded"
	case errors.Is(cause, errRefresh):
		fields["outcome"] = "refresh"
	case errors.Is(c.err, context.Canceled):
		return // The process ends.
	case errors.Is(c.err, platform.ErrRefused):
		fields["outcome"], fields["error"] = "refused", c.err.Error()
	case errors.Is(c.err, context.DeadlineExceeded):
		fields["outcome"], fields["error"] = "timed_out", c.err.Error()
	default:
		fields["outcome"], fields["error"] = "failed", c.err.Error()
	}
	logevent.Write(w.Log, logevent.StoreRead, fields)
}

// logLate logs that a poll is late, which may still be answered.
func (w *Watch) logLate(c *call) {
	fields := c.logFields(w.Table)
	fields["outcome"] = "late"
	logevent.Write(w.Log, logevent.StoreRead, fields)
}

func (c *call) logFields(table string) logrus.Fields {
	fields := logrus.Fields{"table": table, "call": "list", "began": c.startedAt.Format(time.RFC3339Nano), "took_ms": time.Since(c.startedAt).Milliseconds()}
	if c.isPoll {
		fields["call"], fields["after"], fields["wait_ms"] = "poll", c.after, c.wait.Milliseconds()
	}
	return fields
}
