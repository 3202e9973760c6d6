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
	retryInterval = 100 * time.Millisecond
	retryAfter    = 2 * time.Second
	// maxInlineChanges bounds the changes kept in the row of the audit record. A
	// longer list goes to the object store.
	maxInlineChanges = 100
)

// Kinds of configuration changes.
const (
	KindApply    = "apply"
	KindRollback = "rollback"
	KindTakeOut  = "take_out"
	KindReturn   = "return"
)

// Change is a change of whole files by an operator.
type Change struct {
	ID         string // Chosen by the operator's tool; a retry has the same ID.
	Kind       string
	Operator   string
	Entry      string // Entry instance that submits the change.
	DataCentre string // Data centre of the entry; empty for a change by the system itself.
	At         time.Time
	Base       uint64 // Revision that the change was made against.
	Files      config.Files
	RollbackTo uint64 // Revision to restore; for KindRollback only.
	// AllowLastDataCentre permits a change that leaves no data centre in service.
	AllowLastDataCentre bool
}

// AcceptedChange is the outcome of an accepted change.
type AcceptedChange struct {
	Revision uint64          `json:"revision"`
	Changes  []config.Change `json:"changes"`
	// Unchanged reports that the files are already in force and that no revision
	// was created.
	Unchanged bool `json:"unchanged,omitempty"`

	Snapshot *config.Snapshot `json:"-"` // Nil if the change was accepted by an earlier call.
}

// Submit validates the change and either accepts it or changes nothing. A retry
// with the same ID returns the outcome of the first call. The error is
// jsonfile.Problems or *result.Error, unless stored data can't be decoded. After
// an error with the code ApplyUnknown, and only then, the change may have been
// accepted.
func (s *Store) Submit(ctx context.Context, change Change) (AcceptedChange, error) {
	if earlier, found, err := s.Outcome(ctx, change.ID); err != nil || found {
		return earlier, err
	}
	head, version, err := s.Head(ctx)
	if err != nil {
		return AcceptedChange{}, unavailableError(err)
	}
	if head.Revision != change.Base {
		return AcceptedChange{}, conflictError(head, change)
	}
	p, err := s.prepare(ctx, head, change)
	if err != nil {
		return AcceptedChange{}, err
	}
	accepted := AcceptedChange{Revision: p.next.Revision, Changes: p.changes, Snapshot: p.next}
	if len(p.changed) == 0 {
		return AcceptedChange{Revision: head.Revision, Unchanged: true, Snapshot: p.current}, nil
	}
	tx, err := s.buildTx(ctx, head, version, change, p)
	if err != nil {
		return AcceptedChange{}, err
	}
	return accepted, s.commit(ctx, tx, change)
}

// preparedChange is a validated change.
type preparedChange struct {
	current *config.Snapshot // Nil before the first revision.
	next    *config.Snapshot
	changed []string // Names of the files whose text differs from the current one.
	changes []config.Change
}

// prepare validates the change together with the configuration that the head
// describes.
func (s *Store) prepare(ctx context.Context, head Head, change Change) (preparedChange, error) {
	var p preparedChange
	var err error
	if head.Revision > 0 {
		if p.current, err = s.snapshot(ctx, head, nil); err != nil {
			return p, unavailableError(err)
		}
	}
	revision := head.Revision + 1
	files, versions := mergeFiles(p.current, change.Files, revision)
	if p.next, err = config.BuildVersions(revision, versions, files); err != nil {
		return p, err
	}
	if err := checkTakeOuts(p, change); err != nil {
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

// checkTakeOuts refuses changes that are valid but dangerous. An entry in a data
// centre that is taken out may not take out anything else, because agents in
// other data centres don't ask the processes of that data centre whether their
// configuration is current.
// Leaving no data centre in service requires AllowLastDataCentre.
func checkTakeOuts(p preparedChange, change Change) error {
	if p.current == nil {
		return nil
	}
	allTakenOutBefore := p.current.AllTakenOut()
	if !allTakenOutBefore && p.current.DataCentres[change.DataCentre].TakenOut && hasNewTakeOut(p.current, p.next) {
		return result.Errorf(result.ChangeFromTakenOut, "data centre %q is taken out; take out others through an entry in another data centre", change.DataCentre)
	}
	if !allTakenOutBefore && p.next.AllTakenOut() && !change.AllowLastDataCentre {
		return result.Errorf(result.LastDataCentre, "the change leaves no data centre in service; if that is intended, set the flag allow_last_data_centre")
	}
	return nil
}

// hasNewTakeOut reports whether a data centre or backend server is taken out in next
// that is not taken out in current.
func hasNewTakeOut(current, next *config.Snapshot) bool {
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

// buildTx stores the file texts, and a long list of changes, in the object store
// and returns the transaction that accepts the change.
func (s *Store) buildTx(ctx context.Context, head Head, version uint64, change Change, p preparedChange) (ports.Tx, error) {
	for _, name := range p.changed {
		object := objectName(name, p.next.Versions[name].Digest)
		if err := s.putObject(ctx, object, p.next.Files[name]); err != nil {
			return ports.Tx{}, unavailableError(fmt.Errorf("store file %q: %w", name, err))
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

// putObject stores an object. It retries while the outcome is unknown, which is
// safe because objects are named by their content.
func (s *Store) putObject(ctx context.Context, name string, body []byte) error {
	for {
		err := s.Objects.Put(ctx, name, body)
		if err == nil || !errors.Is(err, ports.ErrUnknownOutcome) || !waitRetry(ctx) {
			return err
		}
	}
}

// acceptTx returns the transaction that accepts a change: if the row of the head
// still has the given version, it writes the head, the audit record and, under the
// change's ID, the revision.
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
		Conditions: []ports.Condition{{Key: headKey, Version: version}},
		Writes: []ports.Write{
			{Key: headKey, Value: headValue},
			{Key: recordKey(record.Revision), Value: recordValue},
			{Key: applyKey(record.ApplyID), Value: applyValue},
		},
	}, nil
}

// commit sends the transaction until its outcome is certain or ctx is done.
// Sending it again is safe: all copies require the same version of the head, so
// at most one of them takes effect.
func (s *Store) commit(ctx context.Context, tx ports.Tx, change Change) error {
	uncertain := false // Whether an earlier copy of the transaction may have taken effect.
	for {
		err := s.Table.Commit(ctx, tx)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, ports.ErrConflict):
			return s.resolveConflict(ctx, change)
		case errors.Is(err, ports.ErrUnavailable) && !uncertain:
			return unavailableError(err)
		case !errors.Is(err, ports.ErrUnavailable):
			uncertain = true
		}
		if !waitRetry(ctx) {
			return outcomeUnknownError(change, err)
		}
	}
}

// resolveConflict determines whether the conflict is with an earlier copy of the
// change's own transaction or with another change, by looking up the change's
// ID.
func (s *Store) resolveConflict(ctx context.Context, change Change) error {
	for {
		_, found, err := s.Outcome(ctx, change.ID)
		if err == nil && found {
			return nil
		}
		if err == nil {
			var head Head
			if head, _, err = s.Head(ctx); err == nil {
				return conflictError(head, change)
			}
		}
		if !waitRetry(ctx) {
			return outcomeUnknownError(change, err)
		}
	}
}

// waitRetry waits for retryInterval and reports whether ctx is still active.
func waitRetry(ctx context.Context) bool {
	select {
	case <-time.After(retryInterval):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func outcomeUnknownError(change Change, err error) *result.Error {
	unknown := result.Errorf(result.ApplyUnknown, "change %q may have been accepted: %v", change.ID, err)
	unknown.RetryAfter = retryAfter
	return unknown
}

func conflictError(head Head, change Change) *result.Error {
	return result.Errorf(result.RevisionConflict, "revision %d was accepted from %s at %s; the change was made against revision %d",
		head.Revision, head.Operator, head.At.UTC().Format(time.RFC3339), change.Base)
}

// Outcome returns the outcome of an earlier Submit with the ID. found is false
// if no change with the ID was accepted.
func (s *Store) Outcome(ctx context.Context, id string) (accepted AcceptedChange, found bool, err error) {
	row, err := s.Table.Get(ctx, applyKey(id))
	if err != nil {
		return accepted, false, unavailableError(fmt.Errorf("read apply %q: %w", id, err))
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
