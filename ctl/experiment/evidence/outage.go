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
	// outageSettle is when the evidence from before the outage has expired.
	outageSettle = 6 * time.Second
	linkSubsets  = 1 << 3
	storeDown    = 7 << 3 // The subset with every link to the store cut.
)

// outages returns the row of refused shares in a store outage.
func outages(policy evidence.Policy, seed uint64, seeds int) []string {
	row := []string{policy.ContactRule.String(), policy.StartupCheck.String()}
	for _, restart := range []restartPattern{restartNone, restartAgent, restartTakenOut, restartAll} {
		row = append(row, percent(refusedShare(policy, seed, seeds, restart, 1)))
	}
	return append(row, percent(refusedShare(policy, seed, seeds, restartNone, linkSubsets)))
}

func percent(share float64) string { return fmt.Sprintf("%.1f %%", 100*share) }

// refusedShare returns the share of the agents' time in which they refuse,
// over the first link subsets; with one subset all links are up.
func refusedShare(policy evidence.Policy, seed uint64, seeds int, restart restartPattern, links int) float64 {
	refused, all := 0, 0
	for index := range uint64(seeds) {
		for subset := range links {
			n := newNetwork(rand.New(rand.NewPCG(seed+index, uint64(subset))), policy, dataCentres, entries, agents)
			n.store = snapshot(1, dataCentres)
			n.run(settleTime, nil)
			n.applyCuts(storeDown | subset)
			n.run(restartTime, nil)
			takeOut{restart: restart}.restartSome(n)
			n.run(outageSettle, nil)
			n.run(watchTime, func() {
				for _, p := range n.processes {
					if p.agent {
						all++
						if !n.permits(p) {
							refused++
						}
					}
				}
			})
		}
	}
	return float64(refused) / float64(all)
}

// propagationSize is one size of the system.
type propagationSize struct{ dataCentres, entries, agents int } // Entries and agents of a data centre.

// propagation measures, at three sizes, the reads of the store and the
// exchanges, and the time until a change is in force everywhere whose offers
// were all lost.
func propagation(options experiment.Options) experiment.Table {
	table := experiment.Table{
		Title:   "Load and spread by size, with all offers lost",
		Columns: []string{"entries", "agents", "store reads/s", "most reads/s", "exchanges/s per entry", "in force everywhere, store up", "in force everywhere, store down"},
	}
	sizes := []propagationSize{{8, 4, 24}, {8, 20, 119}, {8, 41, 238}}
	if options.Quick {
		sizes = sizes[:2]
	}
	for _, size := range sizes {
		table.Rows = append(table.Rows, size.measure(options.Seed))
	}
	return table
}

func (s propagationSize) measure(seed uint64) []string {
	n := newNetwork(rand.New(rand.NewPCG(seed, 0)), evidence.DefaultPolicy, s.dataCentres, s.entries, s.agents)
	n.store = snapshot(1, s.dataCentres)
	n.run(10*time.Second, nil)
	const window = 30 * time.Second
	n.storeReads, n.exchanges = 0, 0
	most, last := 0, 0
	ticks := 0
	n.run(window, func() {
		if ticks++; ticks%int(time.Second/tick) == 0 {
			most = max(most, n.storeReads-last)
			last = n.storeReads
		}
	})
	reads := float64(n.storeReads) / window.Seconds()
	exchanges := float64(n.exchanges) / window.Seconds() / float64(s.dataCentres*s.entries)
	up := n.spread(snapshot(2, s.dataCentres, 0), false)
	down := n.spread(snapshot(3, s.dataCentres, 0, 1), true)
	return []string{
		fmt.Sprint(s.dataCentres * s.entries), fmt.Sprint(s.dataCentres * s.agents), fmt.Sprintf("%.0f", reads), fmt.Sprint(most),
		fmt.Sprintf("%.1f", exchanges), fmt.Sprintf("%.2f s", up.Seconds()), fmt.Sprintf("%.2f s", down.Seconds()),
	}
}

// spread accepts the snapshot at one entry, which offers it to nobody, and
// returns the time until it is in force everywhere. With the store down only
// peers carry it.
func (n *network) spread(accepted *config.Snapshot, storeDown bool) time.Duration {
	for dataCentre := range n.storeCut {
		n.storeCut[dataCentre] = storeDown
	}
	n.store = accepted
	n.step(n.entries[0][0], view.Fetched{Snapshot: accepted})
	began := n.now
	for !n.everywhere(accepted.Revision) && n.now.Sub(began) < time.Minute {
		n.run(tick, nil)
	}
	return n.now.Sub(began)
}

func (n *network) everywhere(revision uint64) bool {
	for _, p := range n.processes {
		if p.view.Revision() < revision {
			return false
		}
	}
	return true
}
