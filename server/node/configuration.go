package node

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/control"
	"persimmonwind.dev/policy/evidence"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/view"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/wire"
)

const (
	storeTimeout = 4 * time.Second
	peersTimeout = 2 * time.Second
	// fetchPeers is the number of peers asked for a newer configuration.
	fetchPeers = 3
)

// errNoSnapshot means that no peer has a newer configuration.
var errNoSnapshot = errors.New("no peer has a newer configuration")

func (n *Node) executeConfiguration(ctx context.Context, effect reduce.Effect) bool {
	switch effect := effect.(type) {
	case view.Fetch:
		go n.fetch(ctx, effect)
	case evidence.AskPeers:
		n.ask(ctx, effect.DataCentres)
	case control.Announce:
		go n.announce(ctx)
	default:
		return false
	}
	return true
}

// fetch looks for a newer configuration and always ends with FetchDone.
func (n *Node) fetch(ctx context.Context, effect view.Fetch) {
	err := error(errNoSnapshot)
	if effect.PeersFirst {
		err = n.fetchFromPeers(ctx)
	}
	if err != nil {
		err = n.fetchFromStore(ctx)
	}
	if err != nil && ctx.Err() == nil {
		logevent.Write(n.Log(), logevent.ConfigFetchFailed, logrus.Fields{"error": err.Error()})
		if !effect.PeersFirst {
			_ = n.fetchFromPeers(ctx)
		}
	}
	n.Loop.Post(view.FetchDone{Failed: err != nil})
}

func (n *Node) fetchFromStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	began := time.Now()
	snapshot, err := n.Config.Refresh(ctx, n.State().View.InForce)
	if err != nil {
		return err
	}
	if snapshot == nil {
		return fmt.Errorf("the store holds no configuration")
	}
	n.install(snapshot)
	n.Loop.Post(view.StoreRead{Revision: snapshot.Revision, BeganAt: began})
	return nil
}

// install posts a snapshot that is newer than the one in force.
func (n *Node) install(snapshot *config.Snapshot) {
	if snapshot.Revision <= n.State().View.Revision() {
		return
	}
	n.recent.add(snapshot)
	logevent.Write(n.Log(), logevent.ConfigInstalled, logrus.Fields{"revision": snapshot.Revision})
	n.Loop.Post(view.Fetched{Snapshot: snapshot})
}

// Install puts a snapshot in force that this process has just accepted, and
// offers it to every other process; it returns how many were reached, of how
// many.
func (n *Node) Install(ctx context.Context, snapshot *config.Snapshot) (reached, total int) {
	old := n.State().View.InForce
	n.install(snapshot)
	return n.offer(ctx, old, snapshot)
}

// fetchFromPeers asks several peers at once and installs the newest
// configuration among theirs.
func (n *Node) fetchFromPeers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, peersTimeout)
	defer cancel()
	current := n.State().View.InForce
	peers := n.fetchCandidates(current)
	found := make(chan *config.Snapshot, len(peers))
	forEach(peers, func(peer ports.Instance) {
		snapshot, err := n.configurationOf(ctx, peer, current)
		if err != nil {
			logevent.Write(n.Log(), logevent.PeerFetchFailed, logrus.Fields{"peer": peer.Control, "error": err.Error()})
			return
		}
		if snapshot != nil {
			found <- snapshot
		}
	})
	close(found)
	var newest *config.Snapshot
	for snapshot := range found {
		if newest == nil || snapshot.Revision > newest.Revision {
			newest = snapshot
		}
	}
	if newest == nil {
		return errNoSnapshot
	}
	n.install(newest)
	return nil
}

// fetchCandidates returns the peers to ask: the one that told of a newer
// revision and some others, or without any configuration some in each data
// centre, so that the newest reachable one is found.
func (n *Node) fetchCandidates(current *config.Snapshot) []ports.Instance {
	var peers []ports.Instance
	if teller := n.teller.Load(); teller != nil {
		peers = n.members.peers(func(instance ports.Instance) bool { return instance.ID == *teller })
	}
	if current != nil {
		return append(peers, sample(n.peersIn(""), fetchPeers)...)
	}
	byDataCentre := map[string]bool{}
	for _, instance := range n.members.list() {
		byDataCentre[instance.DataCentre] = true
	}
	for dataCentre := range byDataCentre {
		peers = append(peers, sample(n.peersIn(dataCentre), fetchPeers)...)
	}
	return append(peers, n.configuredPeers()...)
}

// configurationOf returns the peer's configuration, nil where it is not newer.
func (n *Node) configurationOf(ctx context.Context, peer ports.Instance, current *config.Snapshot) (*config.Snapshot, error) {
	request := wire.ConfigurationRequest{Stamp: n.Stamp(), Have: digests(current)}
	reply := new(wire.ConfigurationReply)
	if err := n.Pool.Call(ctx, peer.Control, "Peer.Configuration", request, reply); err != nil {
		return nil, err
	}
	return assemble(current, reply.Configuration)
}

func digests(snapshot *config.Snapshot) map[string]string {
	have := map[string]string{}
	if snapshot == nil {
		return have
	}
	for name, version := range snapshot.Versions {
		have[name] = version.Digest
	}
	return have
}

// assemble builds the snapshot of a received configuration, nil where it is
// not newer than current. Every text is checked against its digest.
func assemble(current *config.Snapshot, received wire.Configuration) (*config.Snapshot, error) {
	files := config.Files{}
	if current != nil {
		if received.Revision <= current.Revision {
			return nil, nil
		}
		maps.Copy(files, current.Files)
	}
	if received.Revision == 0 {
		return nil, nil
	}
	for name, splice := range received.Splices {
		text, err := splice.Apply(files[name])
		if err != nil {
			return nil, fmt.Errorf("file %q of revision %d: %w", name, received.Revision, err)
		}
		files[name] = text
	}
	for name, version := range received.Versions {
		if digest := config.Digest(files[name]); digest != version.Digest {
			return nil, fmt.Errorf("file %q of revision %d has digest %s, not %s", name, received.Revision, digest, version.Digest)
		}
	}
	return config.BuildVersions(received.Revision, received.Versions, files)
}
