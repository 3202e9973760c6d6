// Package configstore stores the accepted configuration in the platform: the
// head, which describes the newest revision, and the audit records in the table
// service, and the texts of the files in the object store.
//
// Invariant: each accepted change increments the head's revision by one, and is
// written in one transaction with its audit record.
package configstore

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/ports"
)

// headKey is the key of the row that contains the head of the configuration.
const headKey = "config/head"

// Head describes the newest accepted revision of the configuration.
type Head struct {
	Revision  uint64                        `json:"revision"`
	Files     map[string]config.FileVersion `json:"files"`
	ApplyID   string                        `json:"apply_id"` // ID of the change that created the revision.
	Operator  string                        `json:"operator"`
	At        time.Time                     `json:"at"`
	AuditHash string                        `json:"audit_hash"` // Hash of the latest audit record.
}

// Store reads and writes the accepted configuration.
type Store struct {
	Table   ports.Table
	Objects ports.Objects
}

// Head returns the newest accepted revision and the version of its row in the
// table service.
func (s *Store) Head(ctx context.Context) (Head, uint64, error) {
	head := Head{Files: map[string]config.FileVersion{}}
	row, err := s.Table.Get(ctx, headKey)
	if err != nil {
		return head, 0, fmt.Errorf("read configuration head: %w", err)
	}
	if row.Version == 0 {
		return head, 0, nil
	}
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return head, 0, fmt.Errorf("decode configuration head: %w", err)
	}
	return head, row.Version, nil
}

// Load returns the newest configuration, or nil if none was accepted yet.
func (s *Store) Load(ctx context.Context) (*config.Snapshot, error) {
	return s.Refresh(ctx, nil)
}

// Refresh returns the newest configuration, or nil if none was accepted yet. It
// reads only the files that are not in current, which may be nil, and returns
// current itself if that is the newest.
func (s *Store) Refresh(ctx context.Context, current *config.Snapshot) (*config.Snapshot, error) {
	head, _, err := s.Head(ctx)
	if err != nil || head.Revision == 0 {
		return nil, err
	}
	return s.snapshot(ctx, head, current)
}

func (s *Store) snapshot(ctx context.Context, head Head, current *config.Snapshot) (*config.Snapshot, error) {
	if current != nil && current.Revision == head.Revision {
		return current, nil
	}
	files, err := s.files(ctx, head.Files, current)
	if err != nil {
		return nil, err
	}
	return config.BuildVersions(head.Revision, head.Files, files)
}

// files returns the texts of the file versions. It takes them from current, which
// may be nil, and reads only those missing there from the object store.
func (s *Store) files(ctx context.Context, versions map[string]config.FileVersion, current *config.Snapshot) (config.Files, error) {
	files := config.Files{}
	for name, version := range versions {
		if current != nil && current.Versions[name].Digest == version.Digest {
			files[name] = current.Files[name]
			continue
		}
		text, err := s.text(ctx, name, version)
		if err != nil {
			return nil, err
		}
		files[name] = text
	}
	return files, nil
}

// text reads the text of a file version from the object store and checks its
// digest.
func (s *Store) text(ctx context.Context, name string, version config.FileVersion) ([]byte, error) {
	text, err := s.Objects.Get(ctx, objectName(name, version.Digest))
	if err != nil {
		return nil, fmt.Errorf("read file %q of revision %d: %w", name, version.Revision, err)
	}
	if digest := config.Digest(text); digest != version.Digest {
		return nil, fmt.Errorf("file %q of revision %d has digest %s, want %s", name, version.Revision, digest, version.Digest)
	}
	return text, nil
}

func objectName(file, digest string) string { return "config/" + file + "/" + digest }

// FilesAt returns the texts and versions of the files at an accepted revision.
func (s *Store) FilesAt(ctx context.Context, revision uint64) (config.Files, map[string]config.FileVersion, error) {
	record, err := s.Record(ctx, revision)
	if err != nil {
		return nil, nil, err
	}
	files, err := s.files(ctx, record.Files, nil)
	return files, record.Files, err
}

// Apply submits the files as a change by the system itself, made against the newest
// accepted revision, and returns the new revision.
func (s *Store) Apply(ctx context.Context, files config.Files) (uint64, error) {
	head, _, err := s.Head(ctx)
	if err != nil {
		return 0, err
	}
	accepted, err := s.Submit(ctx, Change{
		ID: fmt.Sprintf("system-%d-%d", head.Revision, time.Now().UnixNano()), Kind: KindApply,
		Operator: "system", At: time.Now().UTC(), Base: head.Revision, Files: files,
	})
	return accepted.Revision, err
}

// mergeFiles returns the current files with the changed ones replaced, and the
// versions of all files at the new revision. A file whose text does not differ
// keeps its version.
func mergeFiles(current *config.Snapshot, changed config.Files, revision uint64) (config.Files, map[string]config.FileVersion) {
	files, versions := config.Files{}, map[string]config.FileVersion{}
	if current != nil {
		maps.Copy(files, current.Files)
		maps.Copy(versions, current.Versions)
	}
	for name, text := range changed {
		digest := config.Digest(text)
		if versions[name].Digest == digest {
			continue
		}
		files[name] = text
		versions[name] = config.FileVersion{Revision: revision, Digest: digest}
	}
	return files, versions
}

// unavailableError returns the error that reports a failed read or write of the
// platform's store.
func unavailableError(err error) *result.Error {
	return &result.Error{Code: result.StoreUnavailable, Detail: err.Error(), RetryAfter: retryAfter}
}
