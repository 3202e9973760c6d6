package evidence

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"persimmonwind.dev/ctl/experiment"
	"persimmonwind.dev/policy/evidence"
)

const (
	dataCentres  = 3
	entries      = 2 // Entries in each data centre.
	agents       = 1 // Agents in each data centre.
	settleTime   = 3 * time.Second
	restartDelay = time.Second // Time from the change, or from the start of a store outage, to the restarts.
	// maxTakeOutDelay is the time after a take-out from which the data centre must
	// start no new work.
	maxTakeOutDelay       = 5 * time.Second
	observeTime           = 10 * time.Second // Time for which the agents are observed at the end of a run.
	maxConcurrentPolicies = 4
	pauseTime             = 8 * time.Second // Time from the change until paused agents continue.
)

// Experiment compares the rules for evidence that a configuration is current.
var Experiment = experiment.Experiment{
	Name:    "evidence",
	Summary: "rules by which an agent treats its configuration as current, over all network partitions",
	Run:     run,
}

// policyVariants lists the policies compared. Under a rule that accepts no contact
// with a peer as evidence, the start-up check has no effect other than its own
// refusals.
func policyVariants() []evidence.Policy {
	var all []evidence.Policy
	for _, rule := range []evidence.ContactRule{evidence.StoreOnly, evidence.EveryDataCentre, evidence.OtherDataCentre, evidence.AnyPeer} {
		for _, check := range []evidence.StartupCheck{evidence.NoStartupCheck, evidence.PeerStartupCheck, evidence.StoreStartupCheck} {
			all = append(all, evidence.Policy{ContactRule: rule, StartupCheck: check})
		}
	}
	return all
}

func run(ctx context.Context, options experiment.Options) (experiment.Report, error) {
	seeds := max(options.Seeds, 1)
	report := experiment.Report{Title: "Evidence that a configuration is current"}
	unsafeTable := experiment.Table{
		Title:   "Runs in which the taken-out data centre would start new work after 5 s",
		Columns: []string{"rule", "bit", "runs", "entry lives", "after a power cut", "entry dies at once", "entry in a data centre that is out"},
	}
	refusedTable := experiment.Table{
		Title:   "Share of the time in which agents refuse work while the store is down for all and nothing changes",
		Columns: []string{"rule", "bit", "all links up", "an agent restarted", "a data centre restarted", "all restarted", "over all cuts of links"},
	}
	policies := policyVariants()
	unsafeTable.Rows, refusedTable.Rows = make([][]string, len(policies)), make([][]string, len(policies))
	slots := make(chan struct{}, maxConcurrentPolicies)
	var wg sync.WaitGroup
	for index, policy := range policies {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if ctx.Err() == nil {
				unsafeTable.Rows[index] = countUnsafeRuns(policy, options.Seed, seeds).cells(policy)
				refusedTable.Rows[index] = outageRow(policy, options.Seed, seeds)
			}
		})
	}
	wg.Wait()
	if err := ctx.Err(); err != nil {
		return report, err
	}
	report.Tables = append(report.Tables, unsafeTable, refusedTable, propagationTable(options))
	report.Notes = append(report.Notes,
		fmt.Sprintf("%d data centres with %d entries and %d agent each; 64 subsets of cut links; %d seeds from %d.", dataCentres, entries, agents, seeds, options.Seed),
		"\"entry lives\" counts all runs except those of the columns to its right.",
		"A power cut restarts every process of the accepting entry's data centre or of all data centres.",
		"In the last column the change goes through an entry in a data centre that is taken out; the store's Submit refuses such a change (result code 4011).",
	)
	return report, nil
}

// applyCuts cuts the links of the subset: three between data centres, three to
// the store.
func (n *network) applyCuts(subset int) {
	link := 0
	for a := range dataCentres {
		for b := a + 1; b < dataCentres; b++ {
			n.linkCut[a][b] = subset>>link&1 == 1
			n.linkCut[b][a] = n.linkCut[a][b]
			link++
		}
	}
	for dataCentre := range dataCentres {
		n.storeLinkCut[dataCentre] = subset>>(link+dataCentre)&1 == 1
	}
}

// linkSubsetCount is the number of subsets of the six links: three between data
// centres and three to the store.
const linkSubsetCount = 1 << 6

// processFault is a fault of some processes in a run: a restart after the change,
// or a pause during the change.
type processFault int

const (
	noFault               processFault = iota
	restartTakenOutAgents              // Restart the agents of the taken-out data centre.
	restartTakenOut                    // Restart all processes of the taken-out data centre.
	restartAccepting                   // Restart all processes of the accepting entry's data centre.
	restartAll                         // Restart all processes of all data centres.
	pauseTakenOutAgents                // Pause the agents of the taken-out data centre.
	processFaultCount                  // Number of values, including noFault.
)

// takeOutCase describes one simulated run: some links are cut, and then the first
// data centre is taken out through an entry in the same or another data centre.
type takeOutCase struct {
	cutLinks            int           // Subset of the six links that are cut, as a bit set; see applyCuts.
	acceptingDataCentre int           // Data centre of the entry that accepts the change.
	changeDelay         time.Duration // Time between the cutting of the links and the take-out.
	restart             processFault  // Fault of processes after or during the take-out.
	entryCrashes        bool          // The entry crashes right after the commit.
	thirdTakenOutBefore bool          // The third data centre was taken out before the run.
	restoresLinks       bool          // The links between data centres are restored after the restart.
}

// unsafeCounts counts simulated runs. All fields except total count unsafe runs, in
// which the taken-out data centre would start new work after maxTakeOutDelay. Each
// unsafe run is counted once, under the last of these fields that applies to it:
//   - liveEntryRuns: none of the other fields applies;
//   - powerCutRuns: all processes in the accepting entry's data centre, or in all
//     data centres, restart;
//   - entryCrashes: the accepting entry crashes right after the commit;
//   - takenOutEntryRuns: the accepting entry's data centre was already taken out.
type unsafeCounts struct {
	total, liveEntryRuns, powerCutRuns, entryCrashes, takenOutEntryRuns int
}

func (c unsafeCounts) cells(policy evidence.Policy) []string {
	return []string{
		policy.ContactRule.String(), policy.StartupCheck.String(), fmt.Sprint(c.total),
		fmt.Sprint(c.liveEntryRuns), fmt.Sprint(c.powerCutRuns), fmt.Sprint(c.entryCrashes), fmt.Sprint(c.takenOutEntryRuns),
	}
}

func countUnsafeRuns(policy evidence.Policy, seed uint64, seeds int) unsafeCounts {
	var counts unsafeCounts
	for index := range uint64(seeds) {
		for _, c := range takeOutCases() {
			counts.total++
			if !c.violatesBound(rand.New(rand.NewPCG(seed+index, uint64(c.cutLinks))), policy) {
				continue
			}
			switch {
			case c.thirdTakenOutBefore && c.acceptingDataCentre == dataCentres-1:
				counts.takenOutEntryRuns++
			case c.entryCrashes:
				counts.entryCrashes++
			case c.restart == restartAccepting || c.restart == restartAll:
				counts.powerCutRuns++
			default:
				counts.liveEntryRuns++
			}
		}
	}
	return counts
}

func takeOutCases() []takeOutCase {
	var all []takeOutCase
	for cutLinks := range linkSubsetCount {
		for accepting := range dataCentres {
			for _, changeDelay := range []time.Duration{0, maxTakeOutDelay * 2} {
				for restart := range processFaultCount {
					for _, entryCrashes := range []bool{false, true} {
						for variation := range 4 {
							thirdTakenOutBefore, restoresLinks := variation&1 == 1, variation&2 == 2
							all = append(all, takeOutCase{cutLinks, accepting, changeDelay, restart, entryCrashes, thirdTakenOutBefore, restoresLinks})
						}
					}
				}
			}
		}
	}
	return all
}

// violatesBound reports whether an agent of the taken-out data centre would start
// new work after maxTakeOutDelay. The accepting entry reaches the store at the
// moment of the commit even if its link to the store is cut.
func (c takeOutCase) violatesBound(random *rand.Rand, policy evidence.Policy) bool {
	n := newNetwork(random, policy, dataCentres, entries, agents)
	var takenOutBefore []int
	if c.thirdTakenOutBefore {
		takenOutBefore = []int{dataCentres - 1}
	}
	n.store = snapshot(1, dataCentres, takenOutBefore...)
	n.advance(settleTime, nil)
	n.applyCuts(c.cutLinks)
	n.advance(c.changeDelay, nil)
	c.setPaused(n, true)
	n.commit(n.entries[c.acceptingDataCentre][0], snapshot(2, dataCentres, append(takenOutBefore, 0)...), c.entryCrashes)
	n.advance(restartDelay, nil)
	c.restartProcesses(n)
	if c.restoresLinks {
		n.applyCuts(c.cutLinks &^ (dataCentreLinkSubsetCount - 1))
	}
	n.advance(maxTakeOutDelay-restartDelay, nil)
	violated := false
	check := func() { violated = violated || c.permitsWorkInTakenOut(n) }
	n.advance(pauseTime-maxTakeOutDelay, check)
	c.setPaused(n, false)
	check()
	n.advance(observeTime, check)
	return violated
}

func (c takeOutCase) permitsWorkInTakenOut(n *network) bool {
	for _, p := range n.processes {
		if p.agent && p.dataCentre == 0 && n.permitsNewWork(p) {
			return true
		}
	}
	return false
}

func (c takeOutCase) setPaused(n *network, paused bool) {
	for _, p := range n.processes {
		if c.restart == pauseTakenOutAgents && p.agent && p.dataCentre == 0 {
			p.paused = paused
		}
	}
}

func (c takeOutCase) restartProcesses(n *network) {
	for _, p := range n.processes {
		restarts := false
		switch c.restart {
		case restartTakenOutAgents:
			restarts = p.agent && p.dataCentre == 0
		case restartTakenOut:
			restarts = p.dataCentre == 0
		case restartAccepting:
			restarts = p.dataCentre == c.acceptingDataCentre
		case restartAll:
			restarts = true
		}
		if restarts {
			n.restart(p)
		}
	}
}
