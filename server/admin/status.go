package admin

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/admin/adminapi"
	"persimmonwind.dev/server/configstore"
	"persimmonwind.dev/server/wire"
)

const defaultAuditLimit = 50

// serveStatus asks every process for its configuration in force.
func (a *API) serveStatus(w http.ResponseWriter, r *http.Request, _ adminapi.Operator) error {
	var status adminapi.Status
	if head, _, err := a.node.Config.Head(r.Context()); err == nil {
		status.Revision, status.FromStore, status.Files = head.Revision, true, revisions(head.Files)
	}
	for _, report := range a.node.CollectReports(r.Context()) {
		process := processOf(report)
		if !status.FromStore && process.Revision > status.Revision {
			status.Revision, status.Files = process.Revision, process.Files
		}
		status.Processes = append(status.Processes, process)
	}
	slices.SortFunc(status.Processes, func(x, y adminapi.Process) int { return strings.Compare(x.ID, y.ID) })
	setRevision(w, status.Revision)
	return writeJSON(w, status)
}

func processOf(report wire.ReportReply) adminapi.Process {
	process := adminapi.Process{
		ID: report.Instance.ID, Role: report.Instance.Role, DataCentre: report.Instance.DataCentre,
		BackendServer: report.Instance.BackendServer, Leaving: report.Instance.Leaving,
		Answered: report.Stamp.From != "", Revision: report.Stamp.Revision, Files: revisions(report.Versions), CurrentAgeMS: -1,
	}
	if report.Current {
		process.CurrentAgeMS = report.Age.Milliseconds()
	}
	return process
}

func revisions(versions map[string]config.FileVersion) map[string]uint64 {
	files := make(map[string]uint64, len(versions))
	for name, version := range versions {
		files[name] = version.Revision
	}
	return files
}

// serveAudit answers with audit records, by default the newest ones.
func (a *API) serveAudit(w http.ResponseWriter, r *http.Request, _ adminapi.Operator) error {
	limit, err := number(r, "limit", defaultAuditLimit)
	if err != nil {
		return err
	}
	head, _, err := a.node.Config.Head(r.Context())
	if err != nil {
		return storeError(err)
	}
	limit = min(limit, configstore.AuditPageSize)
	after, err := number(r, "after", head.Revision-min(head.Revision, limit))
	if err != nil {
		return err
	}
	records, err := a.node.Config.Audit(r.Context(), after, int(limit))
	if err != nil {
		return err
	}
	if r.URL.Query().Get("changes") != "none" {
		for index, record := range records {
			if records[index].Changes, err = a.node.Config.Changes(r.Context(), record); err != nil {
				return err
			}
		}
	}
	return writeJSON(w, records)
}

func number(r *http.Request, name string, otherwise uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return otherwise, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, result.Errorf(result.MalformedOrder, "%s is %q; write a whole number", name, text)
	}
	return value, nil
}

// serveVerify checks the whole audit chain.
func (a *API) serveVerify(w http.ResponseWriter, r *http.Request, _ adminapi.Operator) error {
	records, err := a.node.Config.VerifyAudit(r.Context())
	if err != nil {
		return err
	}
	return writeJSON(w, adminapi.Verification{Records: records})
}
