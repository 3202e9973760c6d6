package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/ports"
)

const (
	settleInterval = 100 * time.Millisecond
	retryAfter     = 2 * time.Second
	// maxInlineChanges bounds the changes kept in the audit record's row; more
	// go to the object store.
	maxInlineChanges = 100
)

// Kinds of change.
const (
	KindApply    = "apply"
	KindRollback = "rollback"
	KindTakeOut  = "take_out"
	KindReturn   = "return"
)

// Change is one operator's change of whole files.
type Change struct {
	ID         string // Chosen by the operator's tool; a repeat has the same one.
	Kind       string
	Operator   string
	Entry      string // Entry instance that carries out the change.
	DataCentre string // Of the entry; empty where the system itself applies.
	At         time.Time
	Base       uint64 // Revision that the change was made against.
	Files      config.Files
	RollbackTo uint64 // Of KindRollback.
	// AllowLastDataCentre permits that no data centre is left in service.
	AllowLastDataCentre bool
}

// Accepted is the outcome of an accepted change.
type Accepted struct {
	Revision uint64          `json:"revision"`
	Changes  []config.Change `json:"changes"`
	// Unchanged tells that the files are in force already; no revision was made.
	Unchanged bool `json:"unchanged,omitempty"`

	Snapshot *config.Snapshot `json:"-"` // Nil where the change was accepted by an earlier call.
}

// Submit validates the change and accepts it, or changes nothing. A repeat
// with the same ID returns the first outcome. The error is jsonfile.Problems
// or *result.Error; ApplyUnknown alone leaves the outcome open.
func (s *Store) Submit(ctx context.Context, change Change) (Accepted, error) {
	if earlier, found, err := s.Outcome(ctx, change.ID); err != nil || found {
		return earlier, err
	}
	head, version, err := s.Head(ctx)
	if err != nil {
		return Accepted{}, unavailable(err)
	}
	if head.Revision != change.Base {
		return Accepted{}, conflict(head, change)
	}
	p, err := s.prepare(ctx, head, change)
	if err != nil {
		return Accepted{}, err
	}
	accepted := Accepted{Revision: p.next.Revision, Changes: p.changes, Snapshot: p.next}
	if len(p.changed) == 0 {
		return Accepted{Revision: head.Revision, Unchanged: true, Snapshot: p.current}, nil
	}
	tx, err := s.transaction(ctx, head, version, change, p)
	if err != nil {
		return Accepted{}, err
	}
	return accepted, s.commit(ctx, tx, change)
}

// prepared is a validated change.
type prepared struct {
	current *config.Snapshot // Nil before the first revision.
	next    *config.Snapshot
	changed []string // Files whose text differs.
	changes []config.Change
}

func (s *Store) prepare(ctx context.Context, head Head, change Change) (prepared, error) {
	var p prepared
	var err error
	if head.Revision > 0 {
		if p.current, err = s.snapshot(ctx, head, nil); err != nil {
			return p, unavailable(err)
		}
	}
	revision := head.Revision + 1
	files, versions := merge(p.current, change.Files, revision)
	if p.next, err = config.BuildVersions(revision, versions, files); err != nil {
		return p, err
	}
	if err := permitted(p, change); err != nil {
		return p, err
	}
	for _, name := range config.FileNames {
		if versions[name].Revision == revision {
			p.changed = append(p.changed, name)
		}
	}
	var old config.Files
	if p.current != nil {
		old = p.current.Files
	}
	p.changes, err = config.Diff(old, files)
	return p, err
}

// permitted refuses changes that are valid but dangerous. An entry in a data
// centre that is taken out may take out nothing more: agents elsewhere don't
// ask there whether their configuration is current.
func permitted(p prepared, change Change) error {
	if p.current == nil {
		return nil
	}
	allWereOut := p.current.AllTakenOut()
	if !allWereOut && p.current.DataCentres[change.DataCentre].TakenOut && takesOut(p.current, p.next) {
		return result.Errorf(result.ChangeFromTakenOut, "data centre %q is taken out; take out others through an entry in another data centre", change.DataCentre)
	}
	if !allWereOut && p.next.AllTakenOut() && !change.AllowLastDataCentre {
		return result.Errorf(result.LastDataCentre, "the change leaves no data centre in service; say so with the explicit flag if it is meant")
	}
	return nil
}

// takesOut reports whether something is out of service in next that was in
// service before.
func takesOut(current, next *config.Snapshot) bool {
	for name, dataCentre := range next.DataCentres {
		if dataCentre.TakenOut && !current.DataCentres[name].TakenOut {
			return true
		}
	}
	for name, server := range next.BackendServers {
		if server.TakenOut && !current.BackendServers[name].TakenOut {
			return true
		}
	}
	return false
}

// transaction stores what is large and returns the one transaction that
// accepts the change.
func (s *Store) transaction(ctx context.Context, head Head, version uint64, change Change, p prepared) (ports.Tx, error) {
	for _, name := range p.changed {
		object := objectName(name, p.next.Versions[name].Digest)
		if err := s.put(ctx, object, p.next.Files[name]); err != nil {
			return ports.Tx{}, unavailable(fmt.Errorf("store file %q: %w", name, err))
		}
	}
	record := newRecord(head, change, p)
	if len(p.changes) > maxInlineChanges {
		if err := s.storeChanges(ctx, &record, p.changes); err != nil {
			return ports.Tx{}, err
		}
	}
	record.Hash = record.hash()
	next := Head{
		Revision: p.next.Revision, Files: p.next.Versions, ApplyID: change.ID,
		Operator: change.Operator, At: change.At, AuditHash: record.Hash,
	}
	return acceptTx(next, version, record)
}

// put stores an object that is named by its content, so that storing it again
// after a lost answer is safe.
func (s *Store) put(ctx context.Context, name string, body []byte) error {
	for {
		err := s.Objects.Put(ctx, name, body)
		if err == nil || !errors.Is(err, ports.ErrUnknownOutcome) || !pause(ctx) {
			return err
		}
	}
}

func acceptTx(next Head, version uint64, record Record) (ports.Tx, error) {
	headValue, err := json.Marshal(next)
	if err != nil {
		return ports.Tx{}, fmt.Errorf("encode configuration head: %w", err)
	}
	recordValue, err := json.Marshal(record)
	if err != nil {
		return ports.Tx{}, fmt.Errorf("encode audit record %d: %w", record.Revision, err)
	}
	applyValue, err := json.Marshal(next.Revision)
	if err != nil {
		return ports.Tx{}, fmt.Errorf("encode apply %q: %w", record.ApplyID, err)
	}
	return ports.Tx{
		Conditions: []ports.Condition{{Key: keyHead, Version: version}},
		Writes: []ports.Write{
			{Key: keyHead, Value: headValue},
			{Key: recordKey(record.Revision), Value: recordValue},
			{Key: applyKey(record.ApplyID), Value: applyValue},
		},
	}, nil
}

// commit sends the transaction until its outcome is certain. Sending it again
// is safe: all copies require the same version of the head, so that at most
// one takes effect.
func (s *Store) commit(ctx context.Context, tx ports.Tx, change Change) error {
	uncertain := false
	for {
		err := s.Table.Commit(ctx, tx)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, ports.ErrConflict):
			return s.settle(ctx, change)
		case errors.Is(err, ports.ErrUnavailable) && !uncertain:
			return unavailable(err)
		case !errors.Is(err, ports.ErrUnavailable):
			uncertain = true
		}
		if !pause(ctx) {
			return outcomeUnknown(change, err)
		}
	}
}

// settle tells whether the change or another one has won, by reading back the
// change's own ID.
func (s *Store) settle(ctx context.Context, change Change) error {
	for {
		_, found, err := s.Outcome(ctx, change.ID)
		if err == nil && found {
			return nil
		}
		if err == nil {
			var head Head
			if head, _, err = s.Head(ctx); err == nil {
				return conflict(head, change)
			}
		}
		if !pause(ctx) {
			return outcomeUnknown(change, err)
		}
	}
}

func pause(ctx context.Context) bool {
	select {
	case <-time.After(settleInterval):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func outcomeUnknown(change Change, err error) *result.Error {
	unknown := result.Errorf(result.ApplyUnknown, "change %q may have been accepted: %v", change.ID, err)
	unknown.RetryAfter = retryAfter
	return unknown
}

func conflict(head Head, change Change) *result.Error {
	return result.Errorf(result.RevisionConflict, "revision %d was accepted from %s at %s; the change was made against revision %d",
		head.Revision, head.Operator, head.At.UTC().Format(time.RFC3339), change.Base)
}

// Outcome returns what an earlier Submit with the ID brought about; found is
// false where no change with the ID was accepted.
func (s *Store) Outcome(ctx context.Context, id string) (accepted Accepted, found bool, err error) {
	row, err := s.Table.Get(ctx, applyKey(id))
	if err != nil {
		return accepted, false, unavailable(fmt.Errorf("read apply %q: %w", id, err))
	}
	if row.Version == 0 {
		return accepted, false, nil
	}
	if err := json.Unmarshal(row.Value, &accepted.Revision); err != nil {
		return accepted, false, fmt.Errorf("decode apply %q: %w", id, err)
	}
	record, err := s.Record(ctx, accepted.Revision)
	if err != nil {
		return accepted, false, err
	}
	accepted.Changes, err = s.Changes(ctx, record)
	return accepted, true, err
}
