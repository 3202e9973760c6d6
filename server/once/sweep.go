package once

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonwind.dev/policy/once"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/wait"
)

const (
	// Retention is how long the row of an idempotency key is kept after its last
	// write.
	Retention = 24 * time.Hour

	shardCount   = 256
	rowsPerPage  = 100
	pageInterval = 10 * time.Second // Time between two list requests of one sweeper.
	sweepTimeout = 10 * time.Second
)

// Sweeper removes the expired rows of idempotency keys and their stored answers.
// The keys are divided into shards, and each shard is swept by one of the live
// entries. Entries whose lists of live entries differ may sweep the same shard.
// That is safe: a row is removed by compare-and-set, only if it was not written
// since it was read.
type Sweeper struct {
	Rows      *Rows
	Self      string          // Instance ID of this entry.
	Entries   func() []string // Returns the instance IDs of the live entries.
	OnRemoved func(rows int)  // Called with the number of rows removed.
	OnError   func(error)     // Called when rows could not be read or removed.
}

// Run sweeps all shards repeatedly until ctx is done.
func (s *Sweeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for shard := range shardCount {
			s.sweepShard(ctx, shard)
		}
		wait.For(ctx, pageInterval)
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
		wait.For(ctx, pageInterval)
		if next == "" {
			return
		}
		after = next
	}
}

// owner returns the entry that sweeps the shard, chosen by rendezvous hashing.
func owner(shard int, entries []string) string {
	bestEntry, bestWeight := "", uint64(0)
	for _, entry := range entries {
		weight := xxhash.Sum64String(fmt.Sprintf("%s/%d", entry, shard))
		if bestEntry == "" || weight > bestWeight {
			bestEntry, bestWeight = entry, weight
		}
	}
	return bestEntry
}

// sweepPage removes the expired rows of one page in one transaction. It returns
// the key after which the next page begins, or "" for the last page.
func (s *Sweeper) sweepPage(ctx context.Context, prefix, after string, now time.Time) (next string, err error) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	rows, err := s.Rows.Table.List(ctx, prefix, after, rowsPerPage)
	if err != nil {
		return "", fmt.Errorf("list rows after %q: %w", after, err)
	}
	if len(rows) == rowsPerPage {
		next = rows[len(rows)-1].Key
	}
	return next, s.removeExpired(ctx, rows, now.Add(-Retention))
}

// removeExpired removes those of the rows that were last written before cutoff. Rows that
// can't be read stay, and the first of them is named in the error.
func (s *Sweeper) removeExpired(ctx context.Context, rows []ports.Row, cutoff time.Time) error {
	var tx ports.Tx
	var objects []string
	var malformed error
	for _, stored := range rows {
		row, written, err := decode(stored.Value)
		if err != nil {
			if malformed == nil {
				malformed = fmt.Errorf("check expiry of row %q: %.200s", stored.Key, err.Error())
			}
			continue
		}
		if !written.Before(cutoff) {
			continue
		}
		tx.Conditions = append(tx.Conditions, ports.Condition{Key: stored.Key, Version: stored.Version})
		tx.Writes = append(tx.Writes, ports.Write{Key: stored.Key, Delete: true})
		if row.Answer.Object != "" {
			objects = append(objects, row.Answer.Object)
		}
	}
	if len(tx.Writes) == 0 {
		return malformed
	}
	return errors.Join(s.commit(ctx, tx, objects), malformed)
}

// commit deletes the answers before the rows, so that a failure leaves no answer
// without a row that refers to it.
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
