package wholesystem

import (
	"persimmonwind.dev/policy/admission"
	"persimmonwind.dev/policy/evidence"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/view"
)

const fetchPeers = 3 // Peers asked by one fetch.

func (w *world) dataCentre(address int) string {
	if address == table {
		return ""
	}
	return w.processes[address].self.DataCentre
}

// isCut reports whether the message can't arrive.
func (w *world) isCut(m message) bool {
	from, to := w.dataCentre(m.from), w.dataCentre(m.to)
	return w.cut[[2]string{min(from, to), max(from, to)}]
}

// deliver brings the pending message to its receiver unless the link is cut.
func (w *world) deliver(i int) {
	if w.isCut(w.bag[i]) {
		return
	}
	m := w.drop(i)
	if m.to == table {
		w.answer(m)
		return
	}
	w.take(w.processes[m.to], m)
}

// answer is the table's side.
func (w *world) answer(m message) {
	reply := message{kind: readReply, from: table, to: m.from, boot: m.boot, began: m.began, fetch: m.fetch, failed: !w.store.up}
	if m.kind == submitAsk {
		reply.kind = submitReply
		if w.store.up {
			reply.revision = w.store.submit(m.change)
		}
		if p := w.processes[m.from]; reply.revision > 0 && p.boot == m.boot {
			p.unsettled = append(p.unsettled, reply.revision)
		}
	}
	reply.snapshot = w.store.head()
	w.send(reply)
}

// handle processes a message at a running process.
func (w *world) handle(p *process, m message) {
	switch m.kind {
	case local:
		w.step(p, m.event)
	case exchangeAsk:
		w.hear(p, m.revision)
		w.send(w.exchangeAnswer(p, m))
	case exchangeReply:
		w.hear(p, m.revision)
		w.step(p, m.event)
	case peerAsk:
		w.send(message{kind: peerReply, from: p.index, to: m.from, boot: m.boot, fetch: m.fetch, snapshot: p.state.View.InForce})
	case peerReply:
		w.endPeerRead(p, m)
	case readReply:
		w.endRead(p, m)
	case submitReply:
		if m.revision > 0 {
			w.settle(p, m.revision)
			w.step(p, view.Fetched{Snapshot: m.snapshot})
			w.offerAll(p)
		}
	case offer:
		w.step(p, view.Fetched{Snapshot: m.snapshot})
	}
}

func (w *world) hear(p *process, revision uint64) {
	if revision > p.state.View.Revision() {
		w.step(p, view.RevisionSeen{Revision: revision})
	}
}

func (w *world) exchangeAnswer(p *process, m message) message {
	known := p.state.View
	met := view.ExchangeAnswered{
		Peer: p.self.ID, DataCentre: p.self.DataCentre, Revision: known.Revision(), BeganAt: m.began,
		Current: !known.CurrentAt.IsZero(), Started: p.state.Evidence.Started,
	}
	if met.Current {
		met.Age = known.Age(w.now)
	}
	return message{kind: exchangeReply, from: p.index, to: m.from, boot: m.boot, revision: met.Revision, event: met}
}

func (w *world) endPeerRead(p *process, m message) {
	if m.snapshot == nil {
		return
	}
	newer := m.snapshot.Revision > p.state.View.Revision()
	w.step(p, view.Fetched{Snapshot: m.snapshot})
	if newer {
		w.endFetch(p, m.fetch, false)
	}
}

// endRead takes in the table's head, which also settles changes whose answers
// were lost.
func (w *world) endRead(p *process, m message) {
	if !m.failed {
		w.step(p, view.Fetched{Snapshot: m.snapshot})
		w.step(p, view.StoreRead{Revision: m.snapshot.Revision, BeganAt: m.began})
		for _, revision := range append([]uint64(nil), p.unsettled...) {
			if revision <= m.snapshot.Revision {
				w.settle(p, revision)
			}
		}
	}
	w.endStoreRead(p, m.fetch, m.failed)
}

// endStoreRead ends the fetch; where the table failed, peers are asked too.
func (w *world) endStoreRead(p *process, fetch int, failed bool) {
	if failed && p.fetching && fetch == p.fetches {
		w.askPeers(p)
	}
	w.endFetch(p, fetch, failed)
}

func (w *world) endFetch(p *process, fetch int, failed bool) {
	if p.fetching && fetch == p.fetches {
		p.fetching = false
		w.step(p, view.FetchDone{Failed: failed})
	}
}

// settle tells the operator that the change is accepted.
func (w *world) settle(p *process, revision uint64) {
	w.counts.accepted++
	w.store.tell(revision, w.now)
	left := p.unsettled[:0]
	for _, other := range p.unsettled {
		if other != revision {
			left = append(left, other)
		}
	}
	p.unsettled = left
}

func (w *world) offerAll(p *process) {
	for _, other := range w.processes {
		if other != p {
			w.send(message{kind: offer, from: p.index, to: other.index, snapshot: p.state.View.InForce})
		}
	}
}

// execute carries out one effect.
func (w *world) execute(p *process, effect reduce.Effect) {
	switch effect := effect.(type) {
	case view.Fetch:
		w.fetch(p, effect.PeersFirst)
	case evidence.AskPeers:
		w.exchange(p, effect.DataCentres)
	case admission.Admit:
		w.start(p, effect.Ticket)
	case admission.Refuse:
		w.counts.refused++
	}
}

// fetch asks the table, and some peers at once where these are to be asked
// first.
func (w *world) fetch(p *process, peersFirst bool) {
	p.fetches++
	p.fetching, p.fetchFrom = true, w.now
	w.send(message{kind: readAsk, from: p.index, to: table, boot: p.boot, began: w.now, fetch: p.fetches})
	if peersFirst {
		w.askPeers(p)
	}
}

func (w *world) askPeers(p *process) {
	for range fetchPeers {
		if peer := w.pick(p, ""); peer != nil {
			w.send(message{kind: peerAsk, from: p.index, to: peer.index, boot: p.boot, fetch: p.fetches})
		}
	}
}

// exchange asks one peer in each data centre, any one for none.
func (w *world) exchange(p *process, names []string) {
	if len(names) == 0 {
		names = []string{""}
	}
	for _, name := range names {
		if peer := w.pick(p, name); peer != nil {
			w.send(message{kind: exchangeAsk, from: p.index, to: peer.index, boot: p.boot, began: w.now, revision: p.state.View.Revision()})
		}
	}
}

// pick returns a peer in the data centre, anywhere for "": an entry where there
// is one; nil for none.
func (w *world) pick(p *process, dataCentre string) *process {
	var entries, agents []*process
	for _, other := range w.processes {
		switch {
		case other == p || dataCentre != "" && other.self.DataCentre != dataCentre:
		case other.server == nil:
			entries = append(entries, other)
		default:
			agents = append(agents, other)
		}
	}
	if len(entries) == 0 {
		entries = agents
	}
	if len(entries) == 0 {
		return nil
	}
	return entries[w.next()%uint64(len(entries))]
}
