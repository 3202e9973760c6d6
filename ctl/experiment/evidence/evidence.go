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
	dataCentres = 3
	entries     = 2 // In each data centre.
	agents      = 1 // In each data centre.
	settleTime  = 3 * time.Second
	restartTime = time.Second
	// takeOutBound is when a data centre that was taken out must get no new
	// work.
	takeOutBound = 5 * time.Second
	watchTime    = 10 * time.Second
	workers      = 4
	pauseTime    = 8 * time.Second
)

// Experiment compares the rules of evidence.
var Experiment = experiment.Experiment{
	Name:    "evidence",
	Summary: "Rules by which an agent takes its configuration for current, over all cuts",
	Run:     run,
}

// variants lists the policies compared. The bit makes no difference to a rule
// that takes no peer as evidence, but for refusing itself.
func variants() []evidence.Policy {
	var all []evidence.Policy
	for _, rule := range []evidence.ContactRule{evidence.StoreOnly, evidence.EveryDataCentre, evidence.OtherDataCentre, evidence.AnyPeer} {
		for _, bit := range []evidence.StartupCheck{evidence.NoStartupCheck, evidence.PeerStartupCheck, evidence.StoreStartupCheck} {
			all = append(all, evidence.Policy{ContactRule: rule, StartupCheck: bit})
		}
	}
	return all
}

func run(ctx context.Context, options experiment.Options) (experiment.Report, error) {
	seeds := max(options.Seeds, 1)
	report := experiment.Report{Title: "Evidence that a configuration is current"}
	unsafe := experiment.Table{
		Title:   "Runs with new work in the taken-out data centre after 5 s",
		Columns: []string{"rule", "bit", "runs", "entry lives", "after a power cut", "entry dies at once", "entry in a data centre that is out"},
	}
	refused := experiment.Table{
		Title:   "Share of the time for which agents refuse work while the store is down for all and nothing changes",
		Columns: []string{"rule", "bit", "all links up", "an agent restarted", "a data centre restarted", "all restarted", "over all cuts of links"},
	}
	policies := variants()
	unsafe.Rows, refused.Rows = make([][]string, len(policies)), make([][]string, len(policies))
	slots := make(chan struct{}, workers)
	var group sync.WaitGroup
	for index, policy := range policies {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			if ctx.Err() == nil {
				unsafe.Rows[index] = takeOuts(policy, options.Seed, seeds).cells(policy)
				refused.Rows[index] = outages(policy, options.Seed, seeds)
			}
		})
	}
	group.Wait()
	if err := ctx.Err(); err != nil {
		return report, err
	}
	report.Tables = append(report.Tables, unsafe, refused, propagation(options))
	report.Notes = append(report.Notes,
		fmt.Sprintf("%d data centres with %d entries and %d agent each; 64 subsets of cut links; %d seeds from %d.", dataCentres, entries, agents, seeds, options.Seed),
		"\"entry lives\" counts all runs but those of the columns to its right.",
		"A power cut restarts every process of the accepting entry's data centre or of all data centres.",
		"The last column needs a change that the store's Submit refuses (result code 4011).",
	)
	return report, nil
}

// applyCuts cuts the links of the subset: three between data centres, three to
// the store.
func (n *network) applyCuts(subset int) {
	link := 0
	for a := range dataCentres {
		for b := a + 1; b < dataCentres; b++ {
			n.cut[a][b] = subset>>link&1 == 1
			n.cut[b][a] = n.cut[a][b]
			link++
		}
	}
	for dataCentre := range dataCentres {
		n.storeCut[dataCentre] = subset>>(link+dataCentre)&1 == 1
	}
}

const subsets = 1 << 6

// restartPattern says which processes restart after the change.
type restartPattern int

const (
	restartNone restartPattern = iota
	restartAgent
	restartTakenOut
	restartAccepting
	restartAll
	pauseAgent
	restartPatterns
)

// takeOut is one run: the first data centre is taken out through an entry in
// another or the same one.
type takeOut struct {
	subset    int
	accepting int           // Data centre of the entry.
	wait      time.Duration // Between the cuts and the change.
	restart   restartPattern
	dies      bool // The entry dies right after the commit.
	outBefore bool // The third data centre was taken out before.
	heals     bool // The links between data centres come back after the restart.
}

// unsafeCounts counts runs with new work after the bound.
type unsafeCounts struct {
	runs, lives, power, dies, fromOut int
}

func (c unsafeCounts) cells(policy evidence.Policy) []string {
	return []string{
		policy.ContactRule.String(), policy.StartupCheck.String(), fmt.Sprint(c.runs),
		fmt.Sprint(c.lives), fmt.Sprint(c.power), fmt.Sprint(c.dies), fmt.Sprint(c.fromOut),
	}
}

func takeOuts(policy evidence.Policy, seed uint64, seeds int) unsafeCounts {
	var counts unsafeCounts
	for index := range uint64(seeds) {
		for _, c := range takeOutCases() {
			counts.runs++
			if !c.unsafe(rand.New(rand.NewPCG(seed+index, uint64(c.subset))), policy) {
				continue
			}
			switch {
			case c.outBefore && c.accepting == dataCentres-1:
				counts.fromOut++
			case c.dies:
				counts.dies++
			case c.restart == restartAccepting || c.restart == restartAll:
				counts.power++
			default:
				counts.lives++
			}
		}
	}
	return counts
}

func takeOutCases() []takeOut {
	var all []takeOut
	for subset := range subsets {
		for accepting := range dataCentres {
			for _, wait := range []time.Duration{0, takeOutBound * 2} {
				for restart := range restartPatterns {
					for _, dies := range []bool{false, true} {
						for variation := range 4 {
							outBefore, heals := variation&1 == 1, variation&2 == 2
							all = append(all, takeOut{subset, accepting, wait, restart, dies, outBefore, heals})
						}
					}
				}
			}
		}
	}
	return all
}

// unsafe reports whether an agent of the taken-out data centre would start new
// work after the bound. The accepting entry reaches the store at the moment of
// the commit, even where its link is cut from then on.
func (c takeOut) unsafe(random *rand.Rand, policy evidence.Policy) bool {
	n := newNetwork(random, policy, dataCentres, entries, agents)
	var before []int
	if c.outBefore {
		before = []int{dataCentres - 1}
	}
	n.store = snapshot(1, dataCentres, before...)
	n.run(settleTime, nil)
	n.applyCuts(c.subset)
	n.run(c.wait, nil)
	c.pause(n, true)
	n.accept(n.entries[c.accepting][0], snapshot(2, dataCentres, append(before, 0)...), c.dies)
	n.run(restartTime, nil)
	c.restartSome(n)
	if c.heals {
		n.applyCuts(c.subset &^ (linkSubsets - 1))
	}
	n.run(takeOutBound-restartTime, nil)
	found := false
	check := func() { found = found || c.startsWork(n) }
	n.run(pauseTime-takeOutBound, check)
	c.pause(n, false)
	check()
	n.run(watchTime, check)
	return found
}

func (c takeOut) startsWork(n *network) bool {
	for _, p := range n.processes {
		if p.agent && p.dataCentre == 0 && n.permits(p) {
			return true
		}
	}
	return false
}

func (c takeOut) pause(n *network, paused bool) {
	for _, p := range n.processes {
		if c.restart == pauseAgent && p.agent && p.dataCentre == 0 {
			p.paused = paused
		}
	}
}

func (c takeOut) restartSome(n *network) {
	for _, p := range n.processes {
		restarts := false
		switch c.restart {
		case restartAgent:
			restarts = p.agent && p.dataCentre == 0
		case restartTakenOut:
			restarts = p.dataCentre == 0
		case restartAccepting:
			restarts = p.dataCentre == c.accepting
		case restartAll:
			restarts = true
		}
		if restarts {
			n.restart(p)
		}
	}
}
