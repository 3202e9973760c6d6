package wholesystem

import (
	"persimmonwind.dev/policy/admission"
	"persimmonwind.dev/policy/evidence"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/view"
)

const fetchPeers = 3 // Peers asked by one fetch.

func (w *world) dataCentre(address int) string {
	if address == tableAddress {
		return ""
	}
	return w.processes[address].self.DataCentre
}

// isLinkCut reports whether the link that the message uses is cut.
func (w *world) isLinkCut(m message) bool {
	from, to := w.dataCentre(m.from), w.dataCentre(m.to)
	return w.cutLinks[[2]string{min(from, to), max(from, to)}]
}

// deliver passes the in-flight message with index i to its receiver unless the link
// is cut.
func (w *world) deliver(i int) {
	if w.isLinkCut(w.inFlight[i]) {
		return
	}
	m := w.removeMessage(i)
	if m.to == tableAddress {
		w.answerAsTable(m)
		return
	}
	w.receive(w.processes[m.to], m)
}

// answerAsTable handles a request at the table service and sends the reply.
func (w *world) answerAsTable(m message) {
	reply := message{kind: readReply, from: tableAddress, to: m.from, boot: m.boot, beganAt: m.beganAt, fetch: m.fetch, failed: !w.store.up}
	if m.kind == submitRequest {
		reply.kind = submitReply
		if w.store.up {
			reply.revision = w.store.submit(m.change)
		}
		if p := w.processes[m.from]; reply.revision > 0 && p.boot == m.boot {
			p.unacknowledged = append(p.unacknowledged, reply.revision)
		}
	}
	reply.snapshot = w.store.head()
	w.send(reply)
}

// handle processes a message at a process that is not paused.
func (w *world) handle(p *process, m message) {
	switch m.kind {
	case localEvent:
		w.step(p, m.event)
	case exchangeRequest:
		w.observeRevision(p, m.revision)
		w.send(w.exchangeAnswer(p, m))
	case exchangeReply:
		w.observeRevision(p, m.revision)
		w.step(p, m.event)
	case peerRequest:
		w.send(message{kind: peerReply, from: p.index, to: m.from, boot: m.boot, fetch: m.fetch, snapshot: p.state.View.InForce})
	case peerReply:
		w.finishPeerRead(p, m)
	case readReply:
		w.finishTableRead(p, m)
	case submitReply:
		if m.revision > 0 {
			w.acknowledgeChange(p, m.revision)
			w.step(p, view.Fetched{Snapshot: m.snapshot})
			w.offerAll(p)
		}
	case offer:
		w.step(p, view.Fetched{Snapshot: m.snapshot})
	}
}

func (w *world) observeRevision(p *process, revision uint64) {
	if revision > p.state.View.Revision() {
		w.step(p, view.RevisionSeen{Revision: revision})
	}
}

func (w *world) exchangeAnswer(p *process, m message) message {
	v := p.state.View
	answer := view.ExchangeAnswered{
		Peer: p.self.ID, DataCentre: p.self.DataCentre, Revision: v.Revision(), BeganAt: m.beganAt,
		Current: !v.CurrentAt.IsZero(), Started: p.state.Evidence.Started,
	}
	if answer.Current {
		answer.Age = v.Age(w.now)
	}
	return message{kind: exchangeReply, from: p.index, to: m.from, boot: m.boot, revision: answer.Revision, event: answer}
}

func (w *world) finishPeerRead(p *process, m message) {
	if m.snapshot == nil {
		return
	}
	newer := m.snapshot.Revision > p.state.View.Revision()
	w.step(p, view.Fetched{Snapshot: m.snapshot})
	if newer {
		w.finishFetch(p, m.fetch, false)
	}
}

// finishTableRead applies the newest revision that the process has read from the
// table service. The read also acknowledges changes of the process whose replies
// were lost.
func (w *world) finishTableRead(p *process, m message) {
	if !m.failed {
		w.step(p, view.Fetched{Snapshot: m.snapshot})
		w.step(p, view.StoreRead{Revision: m.snapshot.Revision, BeganAt: m.beganAt})
		for _, revision := range append([]uint64(nil), p.unacknowledged...) {
			if revision <= m.snapshot.Revision {
				w.acknowledgeChange(p, revision)
			}
		}
	}
	w.finishTableFetch(p, m.fetch, m.failed)
}

// finishTableFetch ends the fetch; if the table service failed, peers are asked for
// their configurations as well.
func (w *world) finishTableFetch(p *process, fetch int, failed bool) {
	if failed && p.fetching && fetch == p.lastFetchID {
		w.askPeers(p)
	}
	w.finishFetch(p, fetch, failed)
}

func (w *world) finishFetch(p *process, fetch int, failed bool) {
	if p.fetching && fetch == p.lastFetchID {
		p.fetching = false
		w.step(p, view.FetchDone{Failed: failed})
	}
}

// acknowledgeChange tells the operator that the change with this revision was
// accepted.
func (w *world) acknowledgeChange(p *process, revision uint64) {
	w.counts.accepted++
	w.store.acknowledge(revision, w.now)
	left := p.unacknowledged[:0]
	for _, other := range p.unacknowledged {
		if other != revision {
			left = append(left, other)
		}
	}
	p.unacknowledged = left
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

// fetch asks the table service for the newest configuration and, if peersFirst is
// set, some peers at the same time.
func (w *world) fetch(p *process, peersFirst bool) {
	p.lastFetchID++
	p.fetching, p.fetchBeganAt = true, w.now
	w.send(message{kind: readRequest, from: p.index, to: tableAddress, boot: p.boot, beganAt: w.now, fetch: p.lastFetchID})
	if peersFirst {
		w.askPeers(p)
	}
}

func (w *world) askPeers(p *process) {
	for range fetchPeers {
		if peer := w.pickPeer(p, ""); peer != nil {
			w.send(message{kind: peerRequest, from: p.index, to: peer.index, boot: p.boot, fetch: p.lastFetchID})
		}
	}
}

// exchange asks one peer in each of the named data centres for its revision, or one
// peer anywhere if no data centre is named.
func (w *world) exchange(p *process, names []string) {
	if len(names) == 0 {
		names = []string{""}
	}
	for _, name := range names {
		if peer := w.pickPeer(p, name); peer != nil {
			w.send(message{kind: exchangeRequest, from: p.index, to: peer.index, boot: p.boot, beganAt: w.now, revision: p.state.View.Revision()})
		}
	}
}

// pickPeer returns a random peer in the data centre, or in any data centre for "".
// It prefers entries to agents and returns nil if there is no peer.
func (w *world) pickPeer(p *process, dataCentre string) *process {
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
	return entries[w.nextRandom()%uint64(len(entries))]
}
