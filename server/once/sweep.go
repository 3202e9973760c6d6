package once

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonwind.dev/policy/once"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/wait"
)

const (
	// Retention is the time for which a key is remembered after its row was last
	// written.
	Retention = 24 * time.Hour

	shards       = 256
	pageRows     = 100
	pagePause    = 10 * time.Second // Between two reads of one sweeper.
	sweepTimeout = 10 * time.Second
)

// Sweeper removes the rows that are past their retention, with their stored
// answers. The keys are divided into shards; every shard has one sweeper among
// the live entries. Two that hold different lists do no harm: a row is removed
// on the condition that nobody has written it since.
type Sweeper struct {
	Rows      *Rows
	Self      string          // Instance ID.
	Entries   func() []string // Instance IDs of live entries.
	OnRemoved func(rows int)
	OnError   func(error)
}

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for shard := range shards {
			s.sweepShard(ctx, shard)
		}
		wait.For(ctx, pagePause)
	}
}

func (s *Sweeper) sweepShard(ctx context.Context, shard int) {
	prefix := once.RowPrefix + fmt.Sprintf("%02x", shard)
	after := ""
	for ctx.Err() == nil && owner(shard, s.Entries()) == s.Self {
		next, err := s.sweepPage(ctx, prefix, after, time.Now())
		if err != nil && ctx.Err() == nil {
			s.OnError(err)
		}
		wait.For(ctx, pagePause)
		if next == "" {
			return
		}
		after = next
	}
}

// owner returns the entry that sweeps the shard: the one of highest rendezvous
// weight.
func owner(shard int, entries []string) string {
	best, highest := "", uint64(0)
	for _, entry := range entries {
		weight := xxhash.Sum64String(fmt.Sprintf("%s/%d", entry, shard))
		if best == "" || weight > highest {
			best, highest = entry, weight
		}
	}
	return best
}

// sweepPage removes the expired rows of one page in one transaction, and
// returns the key that the next page begins after, empty for none.
func (s *Sweeper) sweepPage(ctx context.Context, prefix, after string, now time.Time) (next string, err error) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	rows, err := s.Rows.Table.List(ctx, prefix, after, pageRows)
	if err != nil {
		return "", fmt.Errorf("list rows after %q: %w", after, err)
	}
	if len(rows) == pageRows {
		next = rows[len(rows)-1].Key
	}
	return next, s.remove(ctx, rows, now.Add(-Retention))
}

func (s *Sweeper) remove(ctx context.Context, rows []ports.Row, before time.Time) error {
	var tx ports.Tx
	var objects []string
	for _, stored := range rows {
		row, written, err := decode(stored.Value)
		if err != nil {
			return fmt.Errorf("row %q: %w", stored.Key, err)
		}
		if !written.Before(before) {
			continue
		}
		tx.Conditions = append(tx.Conditions, ports.Condition{Key: stored.Key, Version: stored.Version})
		tx.Writes = append(tx.Writes, ports.Write{Key: stored.Key, Delete: true})
		if row.Answer.Object != "" {
			objects = append(objects, row.Answer.Object)
		}
	}
	if len(tx.Writes) == 0 {
		return nil
	}
	return s.commit(ctx, tx, objects)
}

// commit removes the answers before the rows, so that none is left behind
// without a row that names it.
func (s *Sweeper) commit(ctx context.Context, tx ports.Tx, objects []string) error {
	for _, name := range objects {
		if err := s.Rows.Objects.Delete(ctx, name); err != nil {
			return fmt.Errorf("remove answer %q: %w", name, err)
		}
	}
	if err := s.Rows.Table.Commit(ctx, tx); err != nil {
		return fmt.Errorf("remove %d rows: %w", len(tx.Writes), err)
	}
	s.OnRemoved(len(tx.Writes))
	return nil
}
