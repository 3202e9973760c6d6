package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/evidence"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/admin/adminapi"
	"persimmonwind.dev/server/standin/fault"
)

const shortChat = `{"model":"soap-assistant","max_tokens":4,"messages":[{"role":"user","content":"Check this recipe."}]}`

// callAdmin calls the administration API of an entry with the operator's token and
// decodes the response into out, unless out is nil. It returns the status, or 0 if no
// complete response arrived.
func (s *system) callAdmin(entry, token, method, path string, revision uint64, body, out any) int {
	s.t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		s.t.Fatal(err)
	}
	request, err := http.NewRequest(method, s.admin[entry]+path, bytes.NewReader(encoded))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(revision)))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	if out == nil {
		return response.StatusCode
	}
	if err := json.Unmarshal(answer, out); err != nil {
		s.t.Errorf("decode response of %s: %v", path, err)
	}
	return response.StatusCode
}

// takeOut takes out or returns a data centre through the entry and returns the
// accepted revision.
func (s *system) takeOut(entry, dataCentre string, takenOut bool) uint64 {
	s.t.Helper()
	suffix := adminapi.SuffixReturn
	if takenOut {
		suffix = adminapi.SuffixTakeOut
	}
	var accepted adminapi.AcceptedChange
	status := s.callAdmin(entry, "boris-token", http.MethodPost, adminapi.PathDataCentres+dataCentre+suffix, 0, adminapi.TargetRequest{}, &accepted)
	if status != http.StatusOK {
		s.t.Fatalf("take out %s: status %d", dataCentre, status)
	}
	return accepted.Revision
}

// awaitRevision waits until the given number of processes have the revision, or a
// later one, in force.
func (s *system) awaitRevision(entry string, revision uint64, processes int) {
	s.t.Helper()
	s.await(fmt.Sprintf("revision %d in %d processes", revision, processes), func() bool {
		return s.countInForce(entry, revision) == processes
	})
}

// countInForce returns how many processes have the revision, or a later one, in force.
func (s *system) countInForce(entry string, revision uint64) int {
	var status adminapi.Status
	s.callAdmin(entry, "vera-token", http.MethodGet, adminapi.PathStatus, 0, nil, &status)
	count := 0
	for _, process := range status.Processes {
		if process.Answered && process.Revision >= revision {
			count++
		}
	}
	return count
}

func (s *system) setStoreFaults(faults fault.Faults) { s.put(s.storeURL+"/faults", faults) }

// readCount returns the counter that a stand-in backend server serves at the path.
func (s *system) readCount(server, path string) int {
	s.t.Helper()
	response, err := http.Get(s.backendURLs[server] + path)
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	var number int
	if err := json.NewDecoder(response.Body).Decode(&number); err != nil {
		s.t.Fatal(err)
	}
	return number
}

// newThreeDataCentreSystem starts an engine with its agent in each of three data
// centres and entries in the first two.
func newThreeDataCentreSystem(t *testing.T) *system {
	s := newSystem(t)
	for number := 1; number <= 3; number++ {
		s.addBackend(fmt.Sprintf("engine-%d", number), fmt.Sprintf("dc-%d", number), "engine")
	}
	s.addEntry("entry-1", "dc-1")
	s.addEntry("entry-2", "dc-2")
	s.awaitRevision("entry-1", 1, 5)
	s.awaitRevision("entry-2", 1, 5)
	return s
}

// TestRacingOperators sends concurrent changes that are based on the same revision
// through two entries while the store loses responses. It guards against a lost update
// and against a response that differs from the outcome: exactly one change per round is
// accepted.
func TestRacingOperators(t *testing.T) {
	s := newThreeDataCentreSystem(t)
	text := func(region int) []byte {
		return fmt.Appendf(nil, `{"data_centres": [{"name": "dc-1", "region": "r-%d"}, {"name": "dc-2", "region": "r"}, {"name": "dc-3", "region": "r"}]}`, region)
	}
	const rounds = 5
	for round := range uint64(rounds) {
		s.setStoreFaults(fault.Faults{LoseAnswers: int(round)})
		statuses := make([]int, 4)
		var wg sync.WaitGroup
		for racer := range statuses {
			wg.Go(func() {
				entry := fmt.Sprintf("entry-%d", 1+racer%2)
				request := adminapi.ApplyRequest{
					ID:    fmt.Sprintf("round-%d-racer-%d", round, racer),
					Files: config.Files{config.FileDataCentres: text(10*int(round) + racer)},
				}
				statuses[racer] = s.callAdmin(entry, "boris-token", http.MethodPost, adminapi.PathApply, round+1, request, nil)
			})
		}
		wg.Wait()
		won := 0
		for racer, status := range statuses {
			outcome := s.callAdmin("entry-1", "vera-token", http.MethodGet, fmt.Sprintf("%sround-%d-racer-%d", adminapi.PathApplies, round, racer), 0, nil, nil)
			if (status == http.StatusOK) != (outcome == http.StatusOK) {
				t.Errorf("round %d, racer %d: status of the apply is %d, of its recorded outcome %d", round, racer, status, outcome)
			}
			if status == http.StatusOK {
				won++
			} else if status != result.Describe(result.RevisionConflict).HTTPStatus {
				t.Errorf("round %d, racer %d: status %d", round, racer, status)
			}
		}
		if won != 1 {
			t.Errorf("round %d: %d changes were accepted", round, won)
		}
	}
	s.setStoreFaults(fault.Faults{})
	s.awaitRevision("entry-1", rounds+1, 5)
	if status := s.callAdmin("entry-2", "vera-token", http.MethodGet, adminapi.PathVerify, 0, nil, nil); status != http.StatusOK {
		t.Errorf("verification of the audit chain failed: status %d", status)
	}
	if status := s.callAdmin("entry-2", "vera-token", http.MethodPost, adminapi.PathApply, 1, adminapi.ApplyRequest{}, nil); status != http.StatusForbidden {
		t.Errorf("apply by a viewer: status %d", status)
	}
}

// TestFileByPut sends one configuration file as the body of PUT requests. It checks the
// requirements on the If-Match header, the operator's permission and the file.
func TestFileByPut(t *testing.T) {
	s := newSystem(t)
	s.addEntry("entry-1", "dc-1")
	put := func(token, ifMatch, query, text string) (int, adminapi.Error) {
		request, err := http.NewRequest(http.MethodPut, s.admin["entry-1"]+adminapi.PathFiles+"data_centres"+query, strings.NewReader(text))
		So(err, ShouldBeNil)
		request.Header.Set("Authorization", "Bearer "+token)
		if ifMatch != "" {
			request.Header.Set("If-Match", ifMatch)
		}
		request.Header.Set(adminapi.HeaderApplyID, "by-put-"+ifMatch)
		response, err := http.DefaultClient.Do(request)
		So(err, ShouldBeNil)
		defer response.Body.Close()
		var failure adminapi.Error
		So(json.NewDecoder(response.Body).Decode(&failure), ShouldBeNil)
		return response.StatusCode, failure
	}
	const text = `{"data_centres": [{"name": "dc-1", "region": "%s"}, {"name": "dc-2", "region": "r"}, {"name": "dc-3", "region": "r"}]}`
	Convey("The If-Match header must be present, well formed and equal to the accepted revision", t, func() {
		changed := strings.Replace(text, "%s", "new", 1)
		status, failure := put("boris-token", "", "", changed)
		So(status, ShouldEqual, http.StatusPreconditionRequired)
		So(failure.Error.Code, ShouldEqual, result.RevisionRequired)
		_, failure = put("boris-token", "1", "", changed)
		So(failure.Error.Code, ShouldEqual, result.MalformedOrder)
		_, failure = put("boris-token", `"9"`, "", changed)
		So(failure.Error.Code, ShouldEqual, result.RevisionConflict)
		_, failure = put("boris-token", `"1"`, "?allow_last_data_centre=true", changed)
		So(failure.Error.Code, ShouldEqual, result.OperatorForbidden)
		status, failure = put("boris-token", `"1"`, "", strings.Replace(changed, "dc-3", "dc-4", 1))
		So(status, ShouldEqual, http.StatusUnprocessableEntity)
		So(failure.Error.Problems[0].File, ShouldEqual, config.FileBackendServers)
		status, _ = put("boris-token", `"1"`, "", changed)
		So(status, ShouldEqual, http.StatusOK)
	})
}

// TestFrozenProcessesStartNoWork suspends an entry and an agent while their data centre
// is taken out, and resumes them where neither the store nor a peer answers. It guards
// against processes that start work on an outdated configuration.
func TestFrozenProcessesStartNoWork(t *testing.T) {
	s := newThreeDataCentreSystem(t)
	frozen := []*process{s.entries["entry-1"], s.agents["engine-1"]}
	others := []*process{s.entries["entry-2"], s.agents["engine-2"], s.agents["engine-3"]}
	for _, p := range frozen {
		p.signal(syscall.SIGSTOP)
	}
	s.takeOut("entry-2", "dc-1", true)
	time.Sleep(evidence.MaxStoreAge + time.Second)
	s.setStoreFaults(fault.Faults{Down: true})
	for _, p := range others {
		p.signal(syscall.SIGSTOP)
	}
	before := s.readCount("engine-1", "/test/started")
	for _, p := range frozen {
		p.signal(syscall.SIGCONT)
	}
	for range 5 {
		if status, answer := s.post("entry-1", "/v1/chat/completions", shortChat); status == http.StatusOK {
			t.Fatalf("chat was answered with an outdated configuration: %s", answer)
		}
	}
	if after := s.readCount("engine-1", "/test/started"); after != before {
		t.Errorf("%d generations started in the data centre that was taken out", after-before)
	}

	// Once the store and the peers answer again, both processes get the newer
	// configuration, and the entry sends work to the other data centres.
	s.setStoreFaults(fault.Faults{})
	for _, p := range others {
		p.signal(syscall.SIGCONT)
	}
	s.awaitRevision("entry-1", 2, 5)
	s.await("an answer from another data centre", func() bool {
		status, _ := s.post("entry-1", "/v1/chat/completions", shortChat)
		return status == http.StatusOK
	})
	if after := s.readCount("engine-1", "/test/started"); after != before {
		t.Errorf("%d generations started in the data centre that was taken out", after-before)
	}
}

// TestStoreOutage takes the store down and checks that work goes on, that a killed and
// restarted agent gets the latest configuration from its peers, and that no change is
// accepted.
func TestStoreOutage(t *testing.T) {
	s := newThreeDataCentreSystem(t)
	revision := s.takeOut("entry-2", "dc-3", true)
	s.awaitRevision("entry-1", revision, 5)
	s.setStoreFaults(fault.Faults{Down: true})
	time.Sleep(evidence.MaxStoreAge + time.Second)
	Convey("During an outage of the store", t, func() {
		status, answer := s.post("entry-1", "/v1/chat/completions", shortChat)
		So(answer, ShouldContainSubstring, "choices")
		So(status, ShouldEqual, http.StatusOK)
		var failure adminapi.Error
		s.callAdmin("entry-1", "anna-token", http.MethodPost, adminapi.PathDataCentres+"dc-1"+adminapi.SuffixTakeOut, 0, adminapi.TargetRequest{}, &failure)
		So(failure.Error.Code, ShouldEqual, result.StoreUnavailable)
	})
	s.agents["engine-1"].kill()
	s.startAgent("engine-1", "dc-1", "engine") // Returns once the agent is ready.
	s.agents["engine-3"].kill()
	started := s.readCount("engine-3", "/test/started")
	s.launchAgent("engine-3", "dc-3", "engine")
	s.awaitRevision("entry-1", revision, 5)
	for range 10 {
		if status, answer := s.post("entry-2", "/v1/chat/completions", shortChat); status != http.StatusOK {
			t.Errorf("status %d: %s", status, answer)
		}
	}
	if after := s.readCount("engine-3", "/test/started"); after != started {
		t.Errorf("%d generations started in the data centre that was taken out", after-started)
	}
	if answer := s.agents["engine-1"].log.String(); strings.Contains(answer, `"revision":1,`) {
		t.Errorf("the restarted agent installed an older revision:\n%s", answer)
	}
}
