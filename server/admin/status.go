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

// serveStatus responds with the configuration in force in every process. If the
// store can't be read, the newest revision of any process counts as the accepted
// one.
func (a *API) serveStatus(w http.ResponseWriter, r *http.Request, _ adminapi.Operator) error {
	var status adminapi.Status
	if head, _, err := a.node.ConfigStore.Head(r.Context()); err == nil {
		status.Revision, status.FromStore, status.Files = head.Revision, true, fileRevisions(head.Files)
	}
	for _, report := range a.node.CollectReports(r.Context()) {
		process := processStatus(report)
		if !status.FromStore && process.Revision > status.Revision {
			status.Revision, status.Files = process.Revision, process.Files
		}
		status.Processes = append(status.Processes, process)
	}
	slices.SortFunc(status.Processes, func(x, y adminapi.Process) int { return strings.Compare(x.ID, y.ID) })
	setRevision(w, status.Revision)
	return writeJSON(w, status)
}

func processStatus(report wire.ReportReply) adminapi.Process {
	process := adminapi.Process{
		ID: report.Instance.ID, Role: report.Instance.Role, DataCentre: report.Instance.DataCentre,
		BackendServer: report.Instance.BackendServer, Leaving: report.Instance.Leaving,
		Answered: report.Stamp.From != "", Revision: report.Stamp.Revision, Files: fileRevisions(report.Versions), CurrentAgeMS: -1,
	}
	if report.Current {
		process.CurrentAgeMS = report.Age.Milliseconds()
	}
	return process
}

// fileRevisions returns the revision of each file version, by file name.
func fileRevisions(versions map[string]config.FileVersion) map[string]uint64 {
	files := make(map[string]uint64, len(versions))
	for name, version := range versions {
		files[name] = version.Revision
	}
	return files
}

// serveAudit responds with audit records, by default the latest ones.
func (a *API) serveAudit(w http.ResponseWriter, r *http.Request, _ adminapi.Operator) error {
	limit, err := uintParam(r, "limit", defaultAuditLimit)
	if err != nil {
		return err
	}
	head, _, err := a.node.ConfigStore.Head(r.Context())
	if err != nil {
		return storeError(err)
	}
	limit = min(limit, configstore.AuditPageSize)
	after, err := uintParam(r, "after", head.Revision-min(head.Revision, limit))
	if err != nil {
		return err
	}
	records, err := a.node.ConfigStore.Audit(r.Context(), after, int(limit))
	if err != nil {
		return err
	}
	if r.URL.Query().Get("changes") != "none" {
		for index, record := range records {
			if records[index].Changes, err = a.node.ConfigStore.Changes(r.Context(), record); err != nil {
				return err
			}
		}
	}
	return writeJSON(w, records)
}

// uintParam returns the value of a query parameter, or defaultValue if it is
// missing.
func uintParam(r *http.Request, name string, defaultValue uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, result.Errorf(result.MalformedOrder, "%s is %q; write a whole number", name, text)
	}
	return value, nil
}

// serveVerify verifies the whole audit chain and responds with its length.
func (a *API) serveVerify(w http.ResponseWriter, r *http.Request, _ adminapi.Operator) error {
	records, err := a.node.ConfigStore.VerifyAudit(r.Context())
	if err != nil {
		return err
	}
	return writeJSON(w, adminapi.Verification{Records: records})
}
