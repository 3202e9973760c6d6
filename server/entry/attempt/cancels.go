package attempt

import (
	"context"
	"strconv"
	"sync"
	"time"

	policy "persimmonwind.dev/policy/once"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/server/once"
)

// cancelWriter writes final cancellations, those with which a request ends, to the
// rows of idempotency keys. A token bucket limits the writes, and concurrent writes
// of the same cancellation are merged into one.
type cancelWriter struct {
	rows    *once.Rows
	entries func() int // Returns the number of live entries.

	mu             sync.Mutex
	budget         policy.CancelBudget
	inflightWrites map[string]*inflightWrite
}

// inflightWrite is a write of a cancellation in progress.
type inflightWrite struct {
	done  chan struct{}
	event reduce.Event // Valid after done is closed.
}

func newCancelWriter(rows *once.Rows, entries func() int) *cancelWriter {
	return &cancelWriter{rows: rows, entries: entries, inflightWrites: map[string]*inflightWrite{}}
}

func (c *cancelWriter) write(ctx context.Context, key, fingerprint string, effect policy.WriteRow) reduce.Event {
	name := key + "/" + strconv.FormatUint(effect.Version, 10) + "/" + fingerprint
	w, leader := c.join(name)
	if w == nil {
		return policy.WriteSkipped{}
	}
	if leader {
		w.event = c.rows.Write(context.WithoutCancel(ctx), key, effect)
		c.leave(name)
		close(w.done)
	}
	<-w.done
	return w.event
}

// join returns the write in progress under the name, or begins one; leader
// reports that the caller must perform it. It returns nil if the token bucket is
// empty.
func (c *cancelWriter) join(name string) (w *inflightWrite, leader bool) {
	entries := c.entries()
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.inflightWrites[name]; w != nil {
		return w, false
	}
	var allowed bool
	c.budget, allowed = c.budget.Take(time.Now(), entries)
	if !allowed {
		return nil, false
	}
	w = &inflightWrite{done: make(chan struct{})}
	c.inflightWrites[name] = w
	return w, true
}

func (c *cancelWriter) leave(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inflightWrites, name)
}
