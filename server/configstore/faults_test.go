package configstore

import (
	"context"
	"flag"
	"os"
	"testing"

	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/standin/store"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "150")
	os.Exit(m.Run())
}

// fate is what happens to one commit.
type fate int

const (
	served     fate = iota
	refused         // No effect, and the caller knows.
	answerLost      // Took effect, the caller doesn't know.
	neverSeen       // No effect, the caller doesn't know.
	delayed         // Takes effect before some later commit, the caller doesn't know.
)

// faultyTable is a table service whose commits meet the fates in turn.
type faultyTable struct {
	ports.Table
	fates []fate
	late  []ports.Tx
	after func() // Called after each commit.
}

func (f *faultyTable) Commit(ctx context.Context, tx ports.Tx) error {
	if f.after != nil {
		defer f.after()
	}
	next := served
	if len(f.fates) > 0 {
		next, f.fates = f.fates[0], f.fates[1:]
	}
	switch next {
	case refused:
		return ports.ErrUnavailable
	case answerLost:
		_ = f.Table.Commit(ctx, tx)
		return ports.ErrUnknownOutcome
	case neverSeen:
		return ports.ErrUnknownOutcome
	case delayed:
		f.late = append(f.late, tx)
		return ports.ErrUnknownOutcome
	}
	return f.Table.Commit(ctx, tx)
}

// land lets the delayed commits take effect.
func (f *faultyTable) land() {
	for _, tx := range f.late {
		_ = f.Table.Commit(context.Background(), tx)
	}
	f.late = nil
}

// newFaulty returns a store with its faulty table.
func newFaulty() (*Store, *faultyTable) {
	stand := store.New()
	table := &faultyTable{Table: stand}
	return &Store{Table: table, Objects: stand.ObjectStore()}, table
}
