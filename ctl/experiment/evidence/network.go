// Package evidence compares the rules by which an agent may treat its
// configuration as current, over all subsets of cut links between three data
// centres and the store. It drives the reducers of the processes with a simulated
// network that delivers each message at once or not at all.
package evidence

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/evidence"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/view"
)

const (
	tickInterval = 250 * time.Millisecond
	// fetchPeersPerDataCentre is how many peers are asked for a newer configuration
	// in each data centre.
	fetchPeersPerDataCentre = 3
)

// process is one entry or agent with the state of the reducers that track its
// configuration.
type process struct {
	id         string
	dataCentre int
	agent      bool
	paused     bool
	crashed    bool
	view       view.State
	evidence   evidence.State
	inbox      []reduce.Event
}

// network connects the processes of several data centres with each other and with
// one store. The entry that accepts a change offers the new configuration to every
// process at once. Processes that miss it learn of it from reads of the store and
// from exchanges, in which a process and a peer tell each other their revisions.
type network struct {
	random       *rand.Rand
	policy       evidence.Policy
	now          time.Time
	processes    []*process
	entries      [][]*process     // The entries of each data centre.
	store        *config.Snapshot // The accepted configuration.
	storeLinkCut []bool           // Whether the link to the store is cut, by data centre.
	linkCut      [][]bool         // Whether the link between two data centres is cut, by their indices.
	storeReads   int
	exchanges    int
}

func newNetwork(random *rand.Rand, policy evidence.Policy, dataCentres, entries, agents int) *network {
	n := &network{
		random: random, policy: policy, now: time.Unix(1_000_000, 0),
		entries: make([][]*process, dataCentres), storeLinkCut: make([]bool, dataCentres),
	}
	for dataCentre := range dataCentres {
		n.linkCut = append(n.linkCut, make([]bool, dataCentres))
		for index := range entries + agents {
			p := &process{id: fmt.Sprintf("%d-%d", dataCentre, index), dataCentre: dataCentre, agent: index >= entries}
			n.restart(p)
			n.processes = append(n.processes, p)
			if !p.agent {
				n.entries[dataCentre] = append(n.entries[dataCentre], p)
			}
		}
	}
	return n
}

// restart resets the process's state to that of a new process.
func (n *network) restart(p *process) {
	p.view = view.State{PollAfter: view.EntryPollAfter}
	if p.agent {
		p.view.PollAfter = view.AgentPollAfter
	}
	p.evidence = evidence.State{Policy: n.policy}
	p.inbox = nil
}

// snapshot returns a configuration with the given data centres taken out.
func snapshot(revision uint64, dataCentres int, out ...int) *config.Snapshot {
	takenOut := map[int]bool{}
	for _, index := range out {
		takenOut[index] = true
	}
	var text strings.Builder
	text.WriteString(`{"data_centres": [`)
	for index := range dataCentres {
		fmt.Fprintf(&text, `{"name": %q, "region": "r", "taken_out": %v},`, dataCentreName(index), takenOut[index])
	}
	text.WriteString("]}")
	built, err := config.Build(revision, config.Files{config.FileDataCentres: []byte(text.String())})
	if err != nil {
		panic(err)
	}
	return built
}

func dataCentreName(dataCentre int) string { return fmt.Sprintf("dc-%d", dataCentre+1) }

// reaches reports whether a request from one process is answered by the other.
func (n *network) reaches(from, to *process) bool {
	return !to.crashed && !to.paused && !n.linkCut[from.dataCentre][to.dataCentre]
}

// advance runs the network for the duration and calls check after each tick.
func (n *network) advance(duration time.Duration, check func()) {
	for end := n.now.Add(duration); n.now.Before(end); {
		n.now = n.now.Add(tickInterval)
		for _, p := range n.processes {
			if !p.crashed && !p.paused {
				n.step(p, reduce.Tick{})
			}
		}
		if check != nil {
			check()
		}
	}
}

func (n *network) step(p *process, event reduce.Event) {
	input := reduce.Input{Now: n.now, Random: n.random.Uint64(), Event: event}
	var effects, more []reduce.Effect
	p.view, effects = view.Step(p.view, input)
	p.evidence, more = evidence.Step(p.evidence, p.view, input)
	for _, effect := range append(effects, more...) {
		switch effect := effect.(type) {
		case view.Fetch:
			n.fetch(p, effect)
		case evidence.AskPeers:
			n.askPeers(p, effect)
		}
	}
}

func (n *network) fetch(p *process, effect view.Fetch) {
	ok := effect.PeersFirst && n.fetchFromPeers(p)
	if !ok {
		ok = n.fetchFromStore(p)
		if !ok && !effect.PeersFirst {
			n.fetchFromPeers(p)
		}
	}
	n.step(p, view.FetchDone{Failed: !ok})
}

func (n *network) fetchFromStore(p *process) bool {
	if n.storeLinkCut[p.dataCentre] {
		return false
	}
	n.storeReads++
	if n.store.Revision > p.view.Revision() {
		n.step(p, view.Fetched{Snapshot: n.store})
	}
	n.step(p, view.StoreRead{Revision: n.store.Revision, BeganAt: n.now})
	return true
}

func (n *network) fetchFromPeers(p *process) bool {
	var newest *config.Snapshot
	for dataCentre := range n.entries {
		for range fetchPeersPerDataCentre {
			peer := n.drawPeer(p, dataCentre)
			if peer == nil || !n.reaches(p, peer) || peer.view.InForce == nil {
				continue
			}
			if newest == nil || peer.view.Revision() > newest.Revision {
				newest = peer.view.InForce
			}
		}
	}
	if newest == nil || newest.Revision <= p.view.Revision() {
		return false
	}
	n.step(p, view.Fetched{Snapshot: newest})
	return true
}

// drawPeer returns a random other entry in the data centre, or nil if there is
// none.
func (n *network) drawPeer(p *process, dataCentre int) *process {
	entries := n.entries[dataCentre]
	peer := entries[n.random.IntN(len(entries))]
	if peer != p {
		return peer
	}
	if len(entries) == 1 {
		return nil
	}
	return n.drawPeer(p, dataCentre)
}

func (n *network) askPeers(p *process, effect evidence.AskPeers) {
	if len(effect.DataCentres) == 0 {
		n.exchange(p, n.random.IntN(len(n.entries)))
		return
	}
	for dataCentre := range n.entries {
		for _, asked := range effect.DataCentres {
			if asked == dataCentreName(dataCentre) {
				n.exchange(p, dataCentre)
			}
		}
	}
}

func (n *network) exchange(p *process, dataCentre int) {
	peer := n.drawPeer(p, dataCentre)
	if peer == nil || !n.reaches(p, peer) {
		return
	}
	n.exchanges++
	if p.view.Revision() > peer.view.Revision() {
		n.step(peer, view.RevisionSeen{Revision: p.view.Revision()})
	}
	answer := view.ExchangeAnswered{
		Peer: peer.id, DataCentre: dataCentreName(peer.dataCentre), Revision: peer.view.Revision(), BeganAt: n.now,
		Started: peer.evidence.Started,
	}
	if !peer.view.CurrentAt.IsZero() {
		answer.Current, answer.Age = true, peer.view.Age(n.now)
	}
	n.step(p, answer)
}

// commit stores the snapshot through the entry. The entry then offers it to every
// process that it reaches, unless it crashes right after the commit.
func (n *network) commit(entry *process, committed *config.Snapshot, entryCrashes bool) {
	n.store = committed
	if entryCrashes {
		entry.crashed = true
		return
	}
	n.step(entry, view.Fetched{Snapshot: committed})
	for _, p := range n.processes {
		if p != entry && n.reaches(entry, p) {
			n.step(p, view.Fetched{Snapshot: committed})
		}
	}
}

// permitsNewWork reports whether the process would start new work now.
func (n *network) permitsNewWork(p *process) bool {
	if p.crashed || p.paused || p.view.InForce == nil || p.view.InForce.DataCentres[dataCentreName(p.dataCentre)].TakenOut {
		return false
	}
	return p.evidence.CheckNewWork(p.view, dataCentreName(p.dataCentre), n.now) == nil
}
