package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/jsonfile"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/admin/adminapi"
	"persimmonwind.dev/server/configstore"
	"persimmonwind.dev/server/logevent"
)

const (
	storeRetryAfter = 2 * time.Second
	offerTimeout    = 3 * time.Second
	// maxTargetAttempts bounds the attempts at a take-out or return when other
	// changes are accepted in between.
	maxTargetAttempts = 8
	maxIDBytes        = 128
)

// serveApply applies a change of whole files.
func (a *API) serveApply(w http.ResponseWriter, r *http.Request, operator adminapi.Operator) error {
	base, err := requiredRevision(r)
	if err != nil {
		return err
	}
	var request adminapi.ApplyRequest
	if err := readJSON(r, &request); err != nil {
		return err
	}
	change := a.newChange(request.ID, configstore.KindApply, operator)
	change.Base, change.Files, change.AllowLastDataCentre = base, request.Files, request.AllowLastDataCentre
	return a.submit(w, r, operator, change)
}

// servePutFile applies a change of one file, whose text is the request body.
func (a *API) servePutFile(w http.ResponseWriter, r *http.Request, operator adminapi.Operator) error {
	base, err := requiredRevision(r)
	if err != nil {
		return err
	}
	name := r.PathValue("file")
	if !config.KnownFile(name) {
		return result.Errorf(result.UnknownFile, "no configuration file is named %q", name)
	}
	text, err := readBody(r)
	if err != nil {
		return err
	}
	change := a.newChange(r.Header.Get(adminapi.HeaderApplyID), configstore.KindApply, operator)
	change.Base, change.Files = base, config.Files{name: text}
	change.AllowLastDataCentre = r.URL.Query().Get("allow_last_data_centre") == "true"
	return a.submit(w, r, operator, change)
}

// serveRollback applies the files of an earlier revision as a new revision.
func (a *API) serveRollback(w http.ResponseWriter, r *http.Request, operator adminapi.Operator) error {
	base, err := requiredRevision(r)
	if err != nil {
		return err
	}
	var request adminapi.RollbackRequest
	if err := readJSON(r, &request); err != nil {
		return err
	}
	files, _, err := a.node.ConfigStore.FilesAt(r.Context(), request.Revision)
	if err != nil {
		return err
	}
	change := a.newChange(request.ID, configstore.KindRollback, operator)
	change.Base, change.Files, change.RollbackTo = base, files, request.Revision
	change.AllowLastDataCentre = request.AllowLastDataCentre
	return a.submit(w, r, operator, change)
}

// newChange returns a change that the operator submits through this entry. It
// generates an ID if id is empty.
func (a *API) newChange(id, kind string, operator adminapi.Operator) configstore.Change {
	if id == "" {
		id = uuid.NewString()
	}
	self := a.node.Self()
	return configstore.Change{
		ID: id, Kind: kind, Operator: operator.Name, Entry: self.ID, DataCentre: self.DataCentre, At: time.Now().UTC(),
	}
}

// submit submits the change to the store and writes the response to the operator.
func (a *API) submit(w http.ResponseWriter, r *http.Request, operator adminapi.Operator, change configstore.Change) error {
	if err := checkChange(operator, change); err != nil {
		return err
	}
	// The outcome is determined even if the caller disconnects.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), applyTimeout)
	defer cancel()
	accepted, err := a.node.ConfigStore.Submit(ctx, change)
	if err != nil {
		return err
	}
	return a.answer(w, operator, change, accepted)
}

func checkChange(operator adminapi.Operator, change configstore.Change) error {
	if len(change.ID) > maxIDBytes {
		return result.Errorf(result.MalformedOrder, "the change's ID has %d bytes; at most %d are accepted", len(change.ID), maxIDBytes)
	}
	if len(change.Files) == 0 {
		return result.Errorf(result.MalformedOrder, "the change contains no files")
	}
	if change.AllowLastDataCentre && operator.Role.Level() < adminapi.RoleAdministrator.Level() {
		return forbiddenError(operator, adminapi.RoleAdministrator)
	}
	return nil
}

// answer puts the accepted change in force in this process, offers it to the
// others and writes the response to the operator.
func (a *API) answer(w http.ResponseWriter, operator adminapi.Operator, change configstore.Change, accepted configstore.AcceptedChange) error {
	answer := adminapi.AcceptedChange{Revision: accepted.Revision, Unchanged: accepted.Unchanged, Changes: accepted.Changes}
	logevent.Write(a.node.Log(), logevent.OrderAccepted, logrus.Fields{
		"operator": operator.Name, "kind": change.Kind, "revision": accepted.Revision, "apply_id": change.ID,
	})
	if accepted.Snapshot != nil && !accepted.Unchanged {
		ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
		defer cancel()
		answer.Reached, answer.Processes = a.node.Install(ctx, accepted.Snapshot)
		logevent.Write(a.node.Log(), logevent.OfferSent, logrus.Fields{
			"revision": accepted.Revision, "reached": answer.Reached, "processes": answer.Processes,
		})
	}
	setRevision(w, accepted.Revision)
	return writeJSON(w, answer)
}

// serveOutcome responds with the outcome of an accepted change.
func (a *API) serveOutcome(w http.ResponseWriter, r *http.Request, _ adminapi.Operator) error {
	id := r.PathValue("id")
	accepted, found, err := a.node.ConfigStore.Outcome(r.Context(), id)
	if err != nil {
		return err
	}
	if !found {
		return result.Errorf(result.UnknownApply, "no change with the ID %q was accepted", id)
	}
	return writeJSON(w, adminapi.AcceptedChange{Revision: accepted.Revision, Changes: accepted.Changes})
}

// targetKind is a kind of object that can be taken out and returned.
type targetKind struct {
	path string // Prefix of the API paths.
	name string // Name in error messages.
	file string // Configuration file that lists the objects of this kind; the list in it has the file's name.
}

var targetKinds = []targetKind{
	{adminapi.PathDataCentres, "data centre", config.FileDataCentres},
	{adminapi.PathBackendServers, "backend server", config.FileBackendServers},
}

// serveTarget takes out or returns one target by a change of its file. A conflict
// with another operator's change is resolved by repeating the change against the
// newer revision, because it does not depend on the rest of the configuration.
func (a *API) serveTarget(kind targetKind, takenOut bool) handler {
	return func(w http.ResponseWriter, r *http.Request, operator adminapi.Operator) error {
		var request adminapi.TargetRequest
		if err := readJSON(r, &request); err != nil {
			return err
		}
		changeKind := configstore.KindReturn
		if takenOut {
			changeKind = configstore.KindTakeOut
		}
		change := a.newChange(request.ID, changeKind, operator)
		change.AllowLastDataCentre = request.AllowLastDataCentre
		for attempt := 1; ; attempt++ {
			var err error
			if change.Base, change.Files, err = a.targetFiles(r.Context(), kind, r.PathValue("name"), takenOut); err != nil {
				return err
			}
			err = a.submit(w, r, operator, change)
			if err == nil || result.From(err).Code != result.RevisionConflict || attempt == maxTargetAttempts {
				return err
			}
		}
	}
}

// targetFiles returns the accepted revision and the target's file, with the
// target's field taken_out set to takenOut.
func (a *API) targetFiles(ctx context.Context, kind targetKind, name string, takenOut bool) (uint64, config.Files, error) {
	current, err := a.node.ConfigStore.Refresh(ctx, a.node.State().View.InForce)
	if err != nil {
		return 0, nil, storeError(err)
	}
	if current == nil {
		return 0, nil, result.Errorf(result.UnknownTarget, "no configuration was accepted yet")
	}
	text, found, err := jsonfile.SetInList(kind.file, current.Files[kind.file], kind.file, name, "taken_out", takenOut)
	if err != nil {
		return 0, nil, err
	}
	if !found {
		return 0, nil, result.Errorf(result.UnknownTarget, "no %s is named %q", kind.name, name)
	}
	return current.Revision, config.Files{kind.file: text}, nil
}
