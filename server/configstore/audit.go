package configstore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/result"
)

const (
	recordPrefix = "config/audit/"
	applyPrefix  = "config/apply/"
	// AuditPageSize is the maximum number of records that one read returns.
	AuditPageSize = 500
)

// Record is the audit record of one accepted change. The records form a hash
// chain: a record's hash covers all its other fields, one of which is the hash
// of the previous record.
type Record struct {
	Revision   uint64                        `json:"revision"`
	ApplyID    string                        `json:"apply_id"`
	Kind       string                        `json:"kind"`
	Operator   string                        `json:"operator"`
	Entry      string                        `json:"entry,omitempty"`
	At         time.Time                     `json:"at"`
	RollbackTo uint64                        `json:"rollback_to,omitempty"`
	Files      map[string]config.FileVersion `json:"files"` // Versions of all files that are in force from this revision on.
	Changed    []string                      `json:"changed"`
	Changes    []config.Change               `json:"changes,omitempty"`
	// ChangesDigest is the digest that names the object with the changes, if they
	// are too many for the record.
	ChangesDigest string `json:"changes_digest,omitempty"`
	Previous      string `json:"previous"` // Hash of the previous record; empty in the first.
	Hash          string `json:"hash"`
}

func recordKey(revision uint64) string { return fmt.Sprintf("%s%020d", recordPrefix, revision) }

func applyKey(id string) string { return applyPrefix + id }

func changesObject(digest string) string { return "config/changes/" + digest }

func newRecord(head Head, change Change, p preparedChange) Record {
	return Record{
		Revision: p.next.Revision, ApplyID: change.ID, Kind: change.Kind, Operator: change.Operator,
		Entry: change.Entry, At: change.At, RollbackTo: change.RollbackTo,
		Files: p.next.Versions, Changed: p.changed, Changes: p.changes, Previous: head.AuditHash,
	}
}

// hash returns the SHA-256 of the record without its Hash field, in hex.
func (r Record) hash() string {
	r.Hash = ""
	body, err := json.Marshal(r)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// storeChanges moves the changes from the record to the object store.
func (s *Store) storeChanges(ctx context.Context, record *Record, changes []config.Change) error {
	body, err := json.Marshal(changes)
	if err != nil {
		return fmt.Errorf("encode changes of revision %d: %w", record.Revision, err)
	}
	digest := config.Digest(body)
	if err := s.putObject(ctx, changesObject(digest), body); err != nil {
		return unavailableError(fmt.Errorf("store changes of revision %d: %w", record.Revision, err))
	}
	record.Changes, record.ChangesDigest = nil, digest
	return nil
}

// Changes returns the record's changes, and reads them from the object store if
// they are kept there.
func (s *Store) Changes(ctx context.Context, record Record) ([]config.Change, error) {
	if record.ChangesDigest == "" {
		return record.Changes, nil
	}
	body, err := s.Objects.Get(ctx, changesObject(record.ChangesDigest))
	if err != nil {
		return nil, unavailableError(fmt.Errorf("read changes of revision %d: %w", record.Revision, err))
	}
	if digest := config.Digest(body); digest != record.ChangesDigest {
		return nil, result.Errorf(result.AuditBroken, "the changes of revision %d have digest %s, want %s", record.Revision, digest, record.ChangesDigest)
	}
	var changes []config.Change
	if err := json.Unmarshal(body, &changes); err != nil {
		return nil, fmt.Errorf("decode changes of revision %d: %w", record.Revision, err)
	}
	return changes, nil
}

// Record returns the audit record of a revision.
func (s *Store) Record(ctx context.Context, revision uint64) (Record, error) {
	var record Record
	row, err := s.Table.Get(ctx, recordKey(revision))
	if err != nil {
		return record, unavailableError(fmt.Errorf("read audit record %d: %w", revision, err))
	}
	if row.Version == 0 {
		return record, result.Errorf(result.UnknownRevision, "revision %d was never accepted", revision)
	}
	return record, decodeRecord(row.Value, &record)
}

func decodeRecord(value []byte, record *Record) error {
	if err := json.Unmarshal(value, record); err != nil {
		return result.Errorf(result.AuditBroken, "an audit record is malformed: %v", err)
	}
	return nil
}

// Audit returns up to limit records with revisions greater than after, oldest
// first.
func (s *Store) Audit(ctx context.Context, after uint64, limit int) ([]Record, error) {
	rows, err := s.Table.List(ctx, recordPrefix, recordKey(after), min(limit, AuditPageSize))
	if err != nil {
		return nil, unavailableError(fmt.Errorf("list audit records: %w", err))
	}
	records := make([]Record, len(rows))
	for index, row := range rows {
		if err := decodeRecord(row.Value, &records[index]); err != nil {
			return nil, err
		}
	}
	return records, nil
}

// VerifyAudit verifies the whole chain of audit records and returns its length. If a record was
// altered, added or removed, it returns an error with the code AuditBroken that
// names the first such record.
func (s *Store) VerifyAudit(ctx context.Context) (uint64, error) {
	head, _, err := s.Head(ctx)
	if err != nil {
		return 0, unavailableError(err)
	}
	previous := ""
	var revision uint64
	for revision < head.Revision {
		records, err := s.Audit(ctx, revision, AuditPageSize)
		if err != nil {
			return revision, err
		}
		if len(records) == 0 {
			return revision, result.Errorf(result.AuditBroken, "audit record %d is missing", revision+1)
		}
		for _, record := range records {
			if err := verifyRecord(record, revision+1, previous); err != nil {
				return revision, err
			}
			revision, previous = record.Revision, record.Hash
			if revision == head.Revision {
				break
			}
		}
	}
	if previous != head.AuditHash {
		return revision, result.Errorf(result.AuditBroken, "audit record %d does not have the hash that is stored in the configuration head", revision)
	}
	return revision, nil
}

// verifyRecord checks that the record is intact and has the given revision and
// previous hash.
func verifyRecord(record Record, revision uint64, previous string) error {
	switch {
	case record.Revision != revision:
		return result.Errorf(result.AuditBroken, "audit record %d found where record %d was expected", record.Revision, revision)
	case record.Previous != previous:
		return result.Errorf(result.AuditBroken, "audit record %d does not contain the hash of the previous record", revision)
	case record.Hash != record.hash():
		return result.Errorf(result.AuditBroken, "audit record %d was altered: its hash does not match its fields", revision)
	}
	return nil
}
