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
	// storeTimeout and peerFetchTimeout bound the two parts of a fetch. After an outage both
	// may have to pass, and then the delay before the next fetch, 3.5 s at most, within the
	// 9 s in which a change must be in force.
	storeTimeout     = 3 * time.Second
	peerFetchTimeout = 2 * time.Second
	// fetchPeerCount is the number of random peers that are asked for a newer
	// configuration or for the instance list. A node without a configuration asks
	// this many in each data centre for a configuration.
	fetchPeerCount = 3
)

var errNoNewerConfiguration = errors.New("no peer has a newer configuration")

func (n *Node) executeConfiguration(ctx context.Context, effect reduce.Effect) bool {
	switch effect := effect.(type) {
	case view.Fetch:
		go n.fetch(ctx, effect)
	case evidence.AskPeers:
		n.exchangePerDataCentre(ctx, effect.DataCentres)
	case control.Announce:
		go n.announce(ctx)
	default:
		return false
	}
	return true
}

// fetch fetches the newest configuration, from peers first if the effect says
// so, otherwise from the store. If the store fails and no peer was asked before,
// it asks peers as a fallback. In every case it posts view.FetchDone at the end.
func (n *Node) fetch(ctx context.Context, effect view.Fetch) {
	err := error(errNoNewerConfiguration)
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
	snapshot, err := n.ConfigStore.Refresh(ctx, n.State().View.InForce)
	if err != nil {
		return err
	}
	if snapshot == nil {
		return fmt.Errorf("the store contains no configuration")
	}
	n.installIfNewer(snapshot)
	n.Loop.Post(view.StoreRead{Revision: snapshot.Revision, BeganAt: began})
	return nil
}

// installIfNewer posts the snapshot to the control loop if it is newer than the
// one in force.
func (n *Node) installIfNewer(snapshot *config.Snapshot) {
	if snapshot.Revision <= n.State().View.Revision() {
		return
	}
	n.snapshotCache.add(snapshot)
	logevent.Write(n.Log(), logevent.ConfigInstalled, logrus.Fields{"revision": snapshot.Revision})
	n.Loop.Post(view.Fetched{Snapshot: snapshot})
}

// Install puts a newly accepted configuration in force in this process and offers
// it to all other processes. It returns the number of processes that
// received the offer and the number of all other processes.
func (n *Node) Install(ctx context.Context, snapshot *config.Snapshot) (reached, total int) {
	old := n.State().View.InForce
	n.installIfNewer(snapshot)
	return n.offerToPeers(ctx, old, snapshot)
}

// fetchFromPeers asks several peers concurrently and installs the newest
// configuration that they return.
func (n *Node) fetchFromPeers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
	defer cancel()
	current := n.State().View.InForce
	peers := n.fetchCandidates(current)
	snapshots := make(chan *config.Snapshot, len(peers))
	forEach(peers, func(peer ports.Instance) {
		snapshot, err := n.requestConfiguration(ctx, peer, current)
		if err != nil {
			logevent.Write(n.Log(), logevent.PeerFetchFailed, logrus.Fields{"peer": peer.Control, "error": err.Error()})
			return
		}
		if snapshot != nil {
			snapshots <- snapshot
		}
	})
	close(snapshots)
	var newest *config.Snapshot
	for snapshot := range snapshots {
		if newest == nil || snapshot.Revision > newest.Revision {
			newest = snapshot
		}
	}
	if newest == nil {
		return errNoNewerConfiguration
	}
	n.installIfNewer(newest)
	return nil
}

// fetchCandidates returns the peers to ask for a newer configuration: the one
// that last reported a newer revision and a random sample of the others. A node
// that has no configuration yet samples each data centre and adds the peers from
// the settings, so that it finds the newest configuration that it can reach.
func (n *Node) fetchCandidates(current *config.Snapshot) []ports.Instance {
	var peers []ports.Instance
	if newerPeerID := n.newerPeerID.Load(); newerPeerID != nil {
		peers = n.members.peers(func(instance ports.Instance) bool { return instance.ID == *newerPeerID })
	}
	if current != nil {
		return append(peers, sample(n.peersIn(""), fetchPeerCount)...)
	}
	byDataCentre := map[string]bool{}
	for _, instance := range n.members.list() {
		byDataCentre[instance.DataCentre] = true
	}
	for dataCentre := range byDataCentre {
		peers = append(peers, sample(n.peersIn(dataCentre), fetchPeerCount)...)
	}
	return append(peers, n.configuredPeers()...)
}

// requestConfiguration returns the peer's configuration, or nil if it is not
// newer than current.
func (n *Node) requestConfiguration(ctx context.Context, peer ports.Instance, current *config.Snapshot) (*config.Snapshot, error) {
	request := wire.ConfigurationRequest{Stamp: n.Stamp(), Have: digests(current)}
	reply := new(wire.ConfigurationReply)
	if err := n.Pool.Call(ctx, peer.Control, "Peer.Configuration", request, reply); err != nil {
		return nil, err
	}
	return buildSnapshot(current, reply.Configuration)
}

// digests returns the digest of each file of the snapshot, by file name.
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

// buildSnapshot builds the snapshot of a received configuration from the texts
// of current and the received splices. It returns nil if the configuration is
// not newer than current. Every text is checked against its digest.
func buildSnapshot(current *config.Snapshot, received wire.Configuration) (*config.Snapshot, error) {
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
			return nil, fmt.Errorf("apply splice to file %q of revision %d: %w", name, received.Revision, err)
		}
		files[name] = text
	}
	for name, version := range received.Versions {
		if digest := config.Digest(files[name]); digest != version.Digest {
			return nil, fmt.Errorf("file %q of revision %d has digest %s, want %s", name, received.Revision, digest, version.Digest)
		}
	}
	return config.BuildVersions(received.Revision, received.Versions, files)
}
