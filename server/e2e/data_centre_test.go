package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/server/dev"
)

const (
	dataCentreCallers = 7
	phaseAnswers      = 48 // Number of answers to wait for in each phase of the test.
	// takeOutBound is the time after which a data centre that was taken out must get no
	// new work.
	takeOutBound = 5 * time.Second
)

// postStandIn sends a POST request without a body to a stand-in backend server.
func (s *system) postStandIn(server, path string) {
	s.t.Helper()
	response, err := http.Post(s.backendURLs[server]+path, "application/json", nil)
	if err != nil {
		s.t.Fatal(err)
	}
	response.Body.Close()
}

// newSmallEngineSystem starts an engine with its agent in each of three data centres,
// and entries in the first two. The limits of the engines are so low that two engines
// just suffice for the callers.
func newSmallEngineSystem(t *testing.T) *system {
	s := newSystem(t)
	files, err := dev.ReadFiles("")
	if err != nil {
		t.Fatal(err)
	}
	servers := strings.ReplaceAll(string(files[config.FileBackendServers]), `"full_limit": 64, "cold_limit": 4`, `"full_limit": 4, "cold_limit": 2`)
	s.apply(config.Files{config.FileBackendServers: []byte(servers)})
	for number := 1; number <= 3; number++ {
		s.addBackend(fmt.Sprintf("engine-%d", number), fmt.Sprintf("dc-%d", number), "engine", "--full-limit", "4", "--cold-limit", "2")
	}
	s.addEntry("entry-1", "dc-1")
	s.addEntry("entry-2", "dc-2")
	s.awaitRevision("entry-2", 2, 5)
	return s
}

// withoutNotRunRefusals returns the failures except refusals that guarantee that the
// work did not run.
func withoutNotRunRefusals(failed []string) []string {
	var others []string
	for _, failure := range failed {
		if !strings.Contains(failure, "done false") || !strings.Contains(failure, `"not_run":true`) {
			others = append(others, failure)
		}
	}
	return others
}

// TestDataCentreLeavesAndReturns takes a data centre out under load, restarts its
// engine, and returns the data centre with the engine cold. No new work may start there
// while it is out, the cold engine must not be overloaded after the return, and no
// request may be cut off or lost.
func TestDataCentreLeavesAndReturns(t *testing.T) {
	s := newSmallEngineSystem(t)
	load := startCallers(s, dataCentreCallers, false)
	load.awaitAnswers(phaseAnswers)

	revision := s.takeOut("entry-2", "dc-3", true)
	s.awaitRevision("entry-2", revision, 5)
	time.Sleep(takeOutBound)
	started := s.readCount("engine-3", "/test/started")
	load.awaitAnswers(phaseAnswers)
	if after := s.readCount("engine-3", "/test/started"); after != started {
		t.Errorf("%d generations started in the data centre that was taken out", after-started)
	}
	s.await("end of the generations in flight", func() bool { return s.readCount("engine-3", "/test/running") == 0 })

	s.postStandIn("engine-3", "/test/restart")
	revision = s.takeOut("entry-1", "dc-3", false)
	s.awaitRevision("entry-2", revision, 5)
	s.await("work in the returned data centre", func() bool { return s.readCount("engine-3", "/test/started") > started+phaseAnswers/4 })
	if overloads := s.readCount("engine-3", "/test/overloads"); overloads > 0 {
		t.Errorf("the returned engine was overloaded %d times", overloads)
	}
	failed := load.stop()
	t.Logf("%d requests, %d refused without being run", load.endedChats.Load(), len(failed)-len(withoutNotRunRefusals(failed)))
	if lost := withoutNotRunRefusals(failed); len(lost) > 0 {
		t.Errorf("%d of %d requests were cut off or lost, first: %s", len(lost), load.endedChats.Load(), lost[0])
	}
}
