package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"persimmonwind.dev/policy/view"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/wait"
	"persimmonwind.dev/server/wire"
)

const (
	exchangeTimeout = 900 * time.Millisecond
	// maxConcurrentCalls bounds the concurrent calls when many peers are called.
	maxConcurrentCalls = 64
)

// Self returns the node's own instance, as it appears in instance lists.
func (n *Node) Self() ports.Instance {
	self := n.options.Self
	return ports.Instance{
		ID: self.ID, Role: self.Role, DataCentre: self.DataCentre, BackendServer: self.BackendServer,
		Control: advertisedAddress(n.options.Control.Addr().String()), Traffic: advertisedAddress(n.options.Traffic),
		Leaving: n.State().Leaving,
	}
}

// advertisedAddress returns the address, or "" if other hosts can't use it
// because it names no host, such as that of a listener on all interfaces.
func advertisedAddress(address string) string {
	endpoint, err := netip.ParseAddrPort(address)
	if err != nil || endpoint.Addr().IsUnspecified() {
		return ""
	}
	return address
}

// exchangePerDataCentre starts an exchange with one peer in each of the data
// centres, or with one peer in any data centre if none is given.
func (n *Node) exchangePerDataCentre(ctx context.Context, dataCentres []string) {
	if len(dataCentres) == 0 {
		n.startExchanges(ctx, n.peersIn(""), 1)
		return
	}
	for _, dataCentre := range dataCentres {
		n.startExchanges(ctx, n.peersIn(dataCentre), 1)
	}
}

// peersIn returns the peers in the data centre, or in all of them for "". It
// prefers entries, because they read the store most often, and returns agents
// only if there is no entry. If no peer is known at all, it returns the peers
// from the settings for "".
func (n *Node) peersIn(dataCentre string) []ports.Instance {
	matches := func(instance ports.Instance) bool { return dataCentre == "" || instance.DataCentre == dataCentre }
	peers := n.members.peers(func(instance ports.Instance) bool {
		return matches(instance) && instance.Role == ports.RoleEntry
	})
	if len(peers) == 0 {
		peers = n.members.peers(matches)
	}
	if len(peers) == 0 && dataCentre == "" {
		peers = n.configuredPeers()
	}
	return peers
}

// configuredPeers returns the peers that are listed in the settings, of which only
// the control addresses are known.
func (n *Node) configuredPeers() []ports.Instance {
	var peers []ports.Instance
	for _, address := range n.options.Peers {
		peers = append(peers, ports.Instance{Control: address})
	}
	return peers
}

// sample returns up to count of the peers, chosen uniformly at random. It
// shuffles the slice in place.
func sample(peers []ports.Instance, count int) []ports.Instance {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}

// startExchanges starts exchanges with up to count of the peers, chosen at
// random.
func (n *Node) startExchanges(ctx context.Context, peers []ports.Instance, count int) {
	for _, peer := range sample(peers, count) {
		go func() { _ = n.exchange(ctx, peer) }()
	}
}

// exchange calls the peer and posts the peer's revision, and its evidence that
// this revision is the newest, to the control loop.
func (n *Node) exchange(ctx context.Context, peer ports.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	// Taken before the call: the reply describes the peer at this time or later.
	began := time.Now()
	reply := new(wire.ExchangeReply)
	request := wire.ExchangeRequest{Stamp: n.Stamp(), Instance: n.Self()}
	if err := n.Pool.Call(ctx, peer.Control, "Peer.Exchange", request, reply); err != nil {
		return err
	}
	n.ObserveStamp(reply.Stamp)
	n.Loop.Post(view.ExchangeAnswered{
		Peer: reply.Stamp.From, DataCentre: reply.Stamp.DataCentre, Revision: reply.Stamp.Revision,
		BeganAt: began, Current: reply.Current, Age: reply.Age, Started: reply.Started,
	})
	return nil
}

// forEach calls the function for each peer, with at most maxConcurrentCalls
// running at a time, and returns when all calls have returned.
func forEach(peers []ports.Instance, call func(ports.Instance)) {
	semaphore := make(chan struct{}, maxConcurrentCalls)
	var group sync.WaitGroup
	for _, peer := range peers {
		semaphore <- struct{}{}
		group.Go(func() {
			call(peer)
			<-semaphore
		})
	}
	group.Wait()
}

// announce sends every entry this node's addresses and whether it is leaving, so
// that the entries know before the platform's instance list is updated.
func (n *Node) announce(ctx context.Context) {
	entries := n.members.peers(func(instance ports.Instance) bool { return instance.Role == ports.RoleEntry })
	forEach(entries, func(peer ports.Instance) { _ = n.exchange(ctx, peer) })
}

// announceStart announces the node once its instance list is not empty. Until
// then it asks the peers from the settings for their instance lists.
func (n *Node) announceStart(ctx context.Context) {
	for ctx.Err() == nil {
		if len(n.members.list()) > 0 {
			n.announce(ctx)
			return
		}
		n.fetchInstances(ctx)
		wait.For(ctx, exchangeTimeout)
	}
}

// fetchInstances fetches the instance list from a peer in the settings while this
// node knows no instance, because it has not read the platform's list yet.
func (n *Node) fetchInstances(ctx context.Context) {
	if len(n.members.list()) > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	for _, peer := range sample(n.configuredPeers(), fetchPeerCount) {
		reply := new(wire.InstancesReply)
		if n.Pool.Call(ctx, peer.Control, "Peer.Instances", wire.InstancesRequest{Stamp: n.Stamp()}, reply) != nil {
			continue
		}
		for _, instance := range reply.Instances {
			n.members.addReported(instance, time.Now())
		}
		return
	}
}
