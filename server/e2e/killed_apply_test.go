package e2e

import (
	"net/http"
	"testing"
	"time"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/server/admin/adminapi"
	"persimmonwind.dev/server/standin/fault"
)

// TestEntryKilledDuringApply kills the accepting entry at several points of an apply.
// It guards against a change that is lost, or accepted twice, when the operator repeats
// it with the same ID at another entry.
func TestEntryKilledDuringApply(t *testing.T) {
	s := newSystem(t)
	s.addEntry("entry-2", "dc-2")
	const slow = 100 * time.Millisecond // Delay of each request to the store.
	request := adminapi.ApplyRequest{ID: "killed", Files: config.Files{
		config.FileDataCentres: []byte(`{"data_centres": [{"name": "dc-1", "region": "new"}, {"name": "dc-2", "region": "r"}, {"name": "dc-3", "region": "r"}]}`),
	}}
	for round, wait := range []time.Duration{slow / 2, 3 * slow, 6 * slow, 9 * slow} {
		base := uint64(round + 1)
		request.ID += "-again"
		request.Files[config.FileDataCentres] = append(request.Files[config.FileDataCentres], ' ')
		s.addEntry("entry-1", "dc-1")
		s.setStoreFaults(fault.Faults{SlowMS: int(slow.Milliseconds())})
		answered := make(chan int)
		go func() {
			answered <- s.callAdmin("entry-1", "boris-token", http.MethodPost, adminapi.PathApply, base, request, nil)
		}()
		time.Sleep(wait)
		s.entries["entry-1"].kill()
		<-answered
		var accepted adminapi.AcceptedChange
		status := s.callAdmin("entry-2", "boris-token", http.MethodPost, adminapi.PathApply, base, request, &accepted)
		if status != http.StatusOK || accepted.Revision != base+1 {
			t.Errorf("entry killed after %v: repeated apply has status %d, revision %d", wait, status, accepted.Revision)
		}
		s.setStoreFaults(fault.Faults{})
	}
	var verification adminapi.Verification
	s.callAdmin("entry-2", "vera-token", http.MethodGet, adminapi.PathVerify, 0, nil, &verification)
	if verification.Records != 5 {
		t.Errorf("%d records in the audit chain, want 5", verification.Records)
	}
}
