package attempt

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	policy "persimmonwind.dev/policy/once"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/server/once"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/standin/store"
)

// blockingTable reports each commit on commits and blocks it until unblock is
// closed.
type blockingTable struct {
	ports.Table
	commits, unblock chan struct{}
}

func (h blockingTable) Commit(ctx context.Context, tx ports.Tx) error {
	h.commits <- struct{}{}
	<-h.unblock
	return h.Table.Commit(ctx, tx)
}

func TestEqualCancellationsShareOneWrite(t *testing.T) {
	Convey("Given a cancellation whose write is in progress", t, func() {
		table := store.New()
		commits, unblock := make(chan struct{}), make(chan struct{})
		c := newCancelWriter(&once.Rows{Table: blockingTable{Table: table, commits: commits, unblock: unblock}}, func() int { return 1 })
		effect := policy.WriteRow{Row: policy.Row{State: policy.Cancelled, Epoch: 1, Ended: 1}}
		write := func() reduce.Event { return c.write(context.Background(), "once/1", "body", effect) }
		first := make(chan reduce.Event)
		go func() { first <- write() }()
		<-commits

		Convey("equal cancellations join that write even if the token bucket is empty", func() {
			for range 100 {
				w, leader := c.join("once/1/0/body")
				So(w, ShouldNotBeNil)
				So(leader, ShouldBeFalse)
			}
			close(unblock)
			So(<-first, ShouldResemble, policy.WriteSucceeded{})
			So(table.Counts().Writes, ShouldEqual, 1)
		})
	})

	Convey("Most of many cancellations of different keys are skipped for lack of tokens", t, func() {
		table := store.New()
		c := newCancelWriter(&once.Rows{Table: table}, func() int { return 330 })
		skipped := 0
		for index := range 100 {
			event := c.write(context.Background(), policy.RowKey("org", time.Duration(index).String()), "body", policy.WriteRow{Row: policy.Row{State: policy.Cancelled, Epoch: 1, Ended: 1}})
			if _, ok := event.(policy.WriteSkipped); ok {
				skipped++
			}
		}
		So(skipped, ShouldBeGreaterThan, 90)
		So(table.Counts().Writes, ShouldEqual, 100-skipped)
	})
}
