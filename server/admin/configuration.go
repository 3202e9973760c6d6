package admin

import (
	"context"
	"net/http"
	"strconv"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/admin/adminapi"
)

// serveConfiguration responds with the accepted revision and the versions of its
// files.
func (a *API) serveConfiguration(w http.ResponseWriter, r *http.Request, _ adminapi.Operator) error {
	head, _, err := a.node.ConfigStore.Head(r.Context())
	if err != nil {
		return storeError(err)
	}
	setRevision(w, head.Revision)
	return writeJSON(w, adminapi.Configuration{Revision: head.Revision, Operator: head.Operator, At: head.At, Files: head.Files})
}

// storeError returns the error that reports a failed read of the configuration
// store.
func storeError(err error) error {
	return &result.Error{Code: result.StoreUnavailable, Detail: err.Error(), RetryAfter: storeRetryAfter}
}

// serveFile responds with the text of a file at the accepted or an earlier
// revision.
func (a *API) serveFile(w http.ResponseWriter, r *http.Request, _ adminapi.Operator) error {
	name := r.PathValue("file")
	if !config.KnownFile(name) {
		return result.Errorf(result.UnknownFile, "no configuration file is named %q", name)
	}
	revision, err := a.requestedRevision(r)
	if err != nil {
		return err
	}
	files, _, err := a.node.ConfigStore.FilesAt(r.Context(), revision)
	if err != nil {
		return err
	}
	text, ok := files[name]
	if !ok {
		return result.Errorf(result.UnknownFile, "revision %d has no file %q", revision, name)
	}
	setRevision(w, revision)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, err = w.Write(text)
	return err
}

// requestedRevision returns the revision in the query, or the accepted revision
// if there is none.
func (a *API) requestedRevision(r *http.Request) (uint64, error) {
	if text := r.URL.Query().Get("revision"); text != "" {
		revision, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return 0, result.Errorf(result.MalformedOrder, "the revision is %q; write a whole number", text)
		}
		return revision, nil
	}
	head, _, err := a.node.ConfigStore.Head(r.Context())
	if err != nil {
		return 0, storeError(err)
	}
	return head.Revision, nil
}

// serveCompare validates files together with the accepted ones and responds with
// the changes that they would make.
func (a *API) serveCompare(w http.ResponseWriter, r *http.Request, _ adminapi.Operator) error {
	var request adminapi.Files
	if err := readJSON(r, &request); err != nil {
		return err
	}
	comparison, err := a.compare(r.Context(), request.Files)
	if err != nil {
		return err
	}
	setRevision(w, comparison.Base)
	return writeJSON(w, comparison)
}

// compare validates the accepted configuration with the changed files in place of
// the accepted ones, and returns the differences from the accepted configuration.
func (a *API) compare(ctx context.Context, changed config.Files) (adminapi.Comparison, error) {
	current, err := a.node.ConfigStore.Refresh(ctx, a.node.State().View.InForce)
	if err != nil {
		return adminapi.Comparison{}, storeError(err)
	}
	accepted := config.Files{}
	var baseRevision uint64
	if current != nil {
		accepted, baseRevision = current.Files, current.Revision
	}
	merged := config.Files{}
	for _, files := range []config.Files{accepted, changed} {
		for name, text := range files {
			merged[name] = text
		}
	}
	if _, err := config.Build(baseRevision+1, merged); err != nil {
		return adminapi.Comparison{}, err
	}
	changes, err := config.Diff(accepted, merged)
	return adminapi.Comparison{Base: baseRevision, Changes: changes}, err
}
