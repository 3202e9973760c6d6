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

// commitFault is the fault injected into one commit.
type commitFault int

const (
	noFault       commitFault = iota
	commitRefused             // The commit has no effect and is reported as unavailable.
	replyLost                 // The commit takes effect, but its outcome is reported as unknown.
	requestLost               // The commit has no effect, but its outcome is reported as unknown.
	commitDelayed             // The commit takes effect in applyDelayed; its outcome is reported as unknown.
)

// faultyTable is a table service that injects the faults into its commits, one for
// each commit, in order.
type faultyTable struct {
	ports.Table
	faults      []commitFault
	delayedTxs  []ports.Tx
	afterCommit func() // Called after each commit.
}

func (f *faultyTable) Commit(ctx context.Context, tx ports.Tx) error {
	if f.afterCommit != nil {
		defer f.afterCommit()
	}
	fault := noFault
	if len(f.faults) > 0 {
		fault, f.faults = f.faults[0], f.faults[1:]
	}
	switch fault {
	case commitRefused:
		return ports.ErrUnavailable
	case replyLost:
		_ = f.Table.Commit(ctx, tx)
		return ports.ErrUnknownOutcome
	case requestLost:
		return ports.ErrUnknownOutcome
	case commitDelayed:
		f.delayedTxs = append(f.delayedTxs, tx)
		return ports.ErrUnknownOutcome
	}
	return f.Table.Commit(ctx, tx)
}

// applyDelayed sends the delayed commits to the table service.
func (f *faultyTable) applyDelayed() {
	for _, tx := range f.delayedTxs {
		_ = f.Table.Commit(context.Background(), tx)
	}
	f.delayedTxs = nil
}

// newFaultyStore returns a configuration store and the table service below it, into
// which the test injects faults.
func newFaultyStore() (*Store, *faultyTable) {
	standIn := store.New()
	table := &faultyTable{Table: standIn}
	return &Store{Table: table, Objects: standIn.ObjectStore()}, table
}
