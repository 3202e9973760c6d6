package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/expertmap"
	"persimmonwind.dev/server/admin/adminapi"
	mapgroup "persimmonwind.dev/server/group"
	"persimmonwind.dev/server/standin/fault"
	"persimmonwind.dev/server/standin/ranks"
)

const groupRanks = 4

// group is a system with one group of ranks, which run one model together. Each rank is
// an engine with its own agent. The expert map says which experts each rank holds.
type group struct {
	*system
	url string // Base URL of the stand-in ranks.
}

// newGroup starts a store, one entry, the stand-in ranks with the given options, and the
// agent of each rank.
func newGroup(t *testing.T, options ...string) *group {
	s := newSystem(t)
	s.apply(config.Files{config.FileBackendServers: []byte(groupServers())})
	address := freeAddress(t)
	g := &group{system: s, url: "http://" + address}
	start(t, append([]string{"standin", "ranks", "--listen", address}, options...)...)
	s.awaitOK(g.url + "/test/oracle")
	s.addEntry("entry-1", "dc-1")
	for rank := range groupRanks {
		name := rankName(rank)
		s.backendURLs[name] = fmt.Sprintf("%s/rank/%d", g.url, rank)
		s.launchAgent(name, "dc-1", "engine")
	}
	return g
}

func rankName(rank int) string { return fmt.Sprintf("rank-%d", rank) }

func groupServers() string {
	var servers []string
	for rank := range groupRanks {
		servers = append(servers, fmt.Sprintf(`{"name": %q, "data_centre": "dc-1", "model": "soap-assistant", "group": "g1", "rank": %d, "full_limit": 64, "cold_limit": 4}`, rankName(rank), rank))
	}
	return `{"backend_servers": [` + strings.Join(servers, ",") + `]}`
}

// oracle returns what the stand-in ranks have observed, such as the steps in which ranks
// used different maps.
func (g *group) oracle() ranks.Oracle {
	g.t.Helper()
	response, err := http.Get(g.url + "/test/oracle")
	if err != nil {
		g.t.Fatal(err)
	}
	defer response.Body.Close()
	var oracle ranks.Oracle
	if err := json.NewDecoder(response.Body).Decode(&oracle); err != nil {
		g.t.Fatal(err)
	}
	return oracle
}

func (g *group) postRanks(method, path string) {
	g.t.Helper()
	request, err := http.NewRequest(method, g.url+path, nil)
	if err != nil {
		g.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		g.t.Fatal(err)
	}
	response.Body.Close()
}

// awaitSteps waits until the ranks of the group have together run 10 more steps per
// rank.
func (g *group) awaitSteps() {
	g.t.Helper()
	before := g.oracle().Steps
	g.await("more steps", func() bool { return g.oracle().Steps >= before+10*groupRanks })
}

// shiftPopularity makes three experts, starting at first, 40 times as popular as the
// others and waits until another map is in force.
func (g *group) shiftPopularity(first int) {
	g.t.Helper()
	before := g.oracle().InForce
	popularity := make([][]float64, 2)
	for layer := range popularity {
		popularity[layer] = make([]float64, 16)
		for expert := range popularity[layer] {
			popularity[layer][expert] = 1
		}
		for expert := first; expert < first+3; expert++ {
			popularity[layer][expert] = 40
		}
	}
	g.put(g.url+"/test/popularity", popularity)
	g.await("new map", func() bool { return g.oracle().InForce != before })
}

func TestExpertMapAsSeparateProcesses(t *testing.T) {
	for _, options := range [][]string{nil, {"--ignore-fence"}} {
		Convey(fmt.Sprintf("Given a group of agents as separate processes, ranks with options %v", options), t, func() {
			g := newGroup(t, options...)
			g.await("first map", func() bool { return g.oracle().InForce != expertmap.Change{} })
			g.awaitSteps()

			g.shiftPopularity(0)
			g.awaitSteps()

			g.postRanks(http.MethodPost, "/test/rank/2/lose")
			g.awaitSteps()

			g.put(g.storeURL+"/faults", fault.Faults{Down: true})
			g.awaitSteps()
			g.put(g.storeURL+"/faults", fault.Faults{})

			g.agents[rankName(1)].kill()
			g.launchAgent(rankName(1), "dc-1", "engine")
			g.put(g.storeURL+"/faults", fault.Faults{LoseAnswers: 3})
			g.shiftPopularity(8)
			g.awaitSteps()
			So(g.oracle().Violations, ShouldBeEmpty)
			So(g.decision().Reason, ShouldNotBeEmpty)
		})
	}
}

// decision returns the planner's latest decision from the administration API.
func (g *group) decision() mapgroup.Decision {
	g.t.Helper()
	request, err := http.NewRequest(http.MethodGet, g.admin["entry-1"]+adminapi.PathGroups+"g1", nil)
	if err != nil {
		g.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer vera-token")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		g.t.Fatal(err)
	}
	defer response.Body.Close()
	var decision mapgroup.Decision
	if err := json.NewDecoder(response.Body).Decode(&decision); err != nil {
		g.t.Fatal(err)
	}
	return decision
}
