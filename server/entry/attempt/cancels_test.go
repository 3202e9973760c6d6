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

// heldTable tells each commit and delays it until it is let go.
type heldTable struct {
	ports.Table
	commits, held chan struct{}
}

func (h heldTable) Commit(ctx context.Context, tx ports.Tx) error {
	h.commits <- struct{}{}
	<-h.held
	return h.Table.Commit(ctx, tx)
}

func TestEqualCancellationsShareOneWrite(t *testing.T) {
	Convey("Given a refusal's write that is under way", t, func() {
		table := store.New()
		commits, held := make(chan struct{}), make(chan struct{})
		c := newCancels(&once.Rows{Table: heldTable{Table: table, commits: commits, held: held}}, func() int { return 1 })
		effect := policy.WriteRow{Row: policy.Row{State: policy.Cancelled, Epoch: 1, Ended: 1}}
		write := func() reduce.Event { return c.write(context.Background(), "once/1", "body", effect) }
		first := make(chan reduce.Event)
		go func() { first <- write() }()
		<-commits

		Convey("equal refusals join it beyond the budget", func() {
			for range 100 {
				f, own := c.join("once/1/0/body")
				So(f, ShouldNotBeNil)
				So(own, ShouldBeFalse)
			}
			close(held)
			So(<-first, ShouldResemble, policy.WriteSucceeded{})
			So(table.Counts().Writes, ShouldEqual, 1)
		})
	})

	Convey("Given refusals of many keys, the budget skips most writes", t, func() {
		table := store.New()
		c := newCancels(&once.Rows{Table: table}, func() int { return 330 })
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
