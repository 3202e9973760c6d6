package evidence

import (
	"fmt"
	"math/rand/v2"
	"time"

	"persimmonwind.dev/ctl/experiment"
	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/evidence"
	"persimmonwind.dev/policy/view"
)

const (
	// outageSettleTime is the time after which the evidence from before the outage
	// has expired.
	outageSettleTime = 6 * time.Second
	// dataCentreLinkSubsetCount is the number of subsets of the three links between
	// data centres. They are the lowest three bits of a subset of links.
	dataCentreLinkSubsetCount = 1 << 3
	allStoreLinksCut          = 7 << 3 // The subset with every link to the store cut.
)

// outageRow returns the table row with the refused shares during a store outage.
func outageRow(policy evidence.Policy, seed uint64, seeds int) []string {
	row := []string{policy.ContactRule.String(), policy.StartupCheck.String()}
	for _, restart := range []processFault{noFault, restartTakenOutAgents, restartTakenOut, restartAll} {
		row = append(row, percent(refusedShare(policy, seed, seeds, restart, 1)))
	}
	return append(row, percent(refusedShare(policy, seed, seeds, noFault, dataCentreLinkSubsetCount)))
}

func percent(share float64) string { return fmt.Sprintf("%.1f %%", 100*share) }

// refusedShare returns the share of the agents' time in which they refuse new work
// during a store outage. It averages over the first subsets of cut links between
// data centres; with one subset all links are up.
func refusedShare(policy evidence.Policy, seed uint64, seeds int, restart processFault, subsets int) float64 {
	refused, all := 0, 0
	for index := range uint64(seeds) {
		for subset := range subsets {
			n := newNetwork(rand.New(rand.NewPCG(seed+index, uint64(subset))), policy, dataCentres, entries, agents)
			n.store = snapshot(1, dataCentres)
			n.advance(settleTime, nil)
			n.applyCuts(allStoreLinksCut | subset)
			n.advance(restartDelay, nil)
			takeOutCase{restart: restart}.restartProcesses(n)
			n.advance(outageSettleTime, nil)
			n.advance(observeTime, func() {
				for _, p := range n.processes {
					if p.agent {
						all++
						if !n.permitsNewWork(p) {
							refused++
						}
					}
				}
			})
		}
	}
	return float64(refused) / float64(all)
}

// propagationSize is a size of the system: the number of data centres, and the
// numbers of entries and agents in each of them.
type propagationSize struct{ dataCentres, entries, agents int }

// propagationTable measures, at three sizes of the system, the rates of store reads and
// exchanges, and the time until a change whose offers were all lost is in force
// everywhere.
func propagationTable(options experiment.Options) experiment.Table {
	table := experiment.Table{
		Title:   "Load and propagation time by size, with all offers lost",
		Columns: []string{"entries", "agents", "store reads/s", "most reads/s", "exchanges/s per entry", "in force everywhere, store up", "in force everywhere, store down"},
	}
	sizes := []propagationSize{{8, 4, 24}, {8, 20, 119}, {8, 41, 238}}
	if options.Quick {
		sizes = sizes[:2]
	}
	for _, size := range sizes {
		table.Rows = append(table.Rows, size.measureRow(options.Seed))
	}
	return table
}

func (s propagationSize) measureRow(seed uint64) []string {
	n := newNetwork(rand.New(rand.NewPCG(seed, 0)), evidence.DefaultPolicy, s.dataCentres, s.entries, s.agents)
	n.store = snapshot(1, s.dataCentres)
	n.advance(10*time.Second, nil)
	const window = 30 * time.Second
	n.storeReads, n.exchanges = 0, 0
	maxReads, previousReads := 0, 0
	ticks := 0
	n.advance(window, func() {
		if ticks++; ticks%int(time.Second/tickInterval) == 0 {
			maxReads = max(maxReads, n.storeReads-previousReads)
			previousReads = n.storeReads
		}
	})
	reads := float64(n.storeReads) / window.Seconds()
	exchanges := float64(n.exchanges) / window.Seconds() / float64(s.dataCentres*s.entries)
	up := n.propagate(snapshot(2, s.dataCentres, 0), false)
	down := n.propagate(snapshot(3, s.dataCentres, 0, 1), true)
	return []string{
		fmt.Sprint(s.dataCentres * s.entries), fmt.Sprint(s.dataCentres * s.agents), fmt.Sprintf("%.0f", reads), fmt.Sprint(maxReads),
		fmt.Sprintf("%.1f", exchanges), fmt.Sprintf("%.2f s", up.Seconds()), fmt.Sprintf("%.2f s", down.Seconds()),
	}
}

// propagate accepts the snapshot at one entry, which offers it to no process, and
// returns the time until it is in force everywhere, at most about a minute. While
// the store is down, it spreads through peers only.
func (n *network) propagate(accepted *config.Snapshot, storeDown bool) time.Duration {
	for dataCentre := range n.storeLinkCut {
		n.storeLinkCut[dataCentre] = storeDown
	}
	n.store = accepted
	n.step(n.entries[0][0], view.Fetched{Snapshot: accepted})
	began := n.now
	for !n.inForceEverywhere(accepted.Revision) && n.now.Sub(began) < time.Minute {
		n.advance(tickInterval, nil)
	}
	return n.now.Sub(began)
}

func (n *network) inForceEverywhere(revision uint64) bool {
	for _, p := range n.processes {
		if p.view.Revision() < revision {
			return false
		}
	}
	return true
}
