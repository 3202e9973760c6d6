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
	// fanOut is the number of peers called at a time when all are called.
	fanOut = 64
)

// Self returns the node's own line of the instance list.
func (n *Node) Self() ports.Instance {
	self := n.options.Self
	return ports.Instance{
		ID: self.ID, Role: self.Role, DataCentre: self.DataCentre, BackendServer: self.BackendServer,
		Control: reachable(n.options.Control.Addr().String()), Traffic: reachable(n.options.Traffic),
		Leaving: n.State().Leaving,
	}
}

// reachable returns the address unless it names no host, as that of a listener
// on all interfaces does.
func reachable(address string) string {
	endpoint, err := netip.ParseAddrPort(address)
	if err != nil || endpoint.Addr().IsUnspecified() {
		return ""
	}
	return address
}

// ask exchanges with one peer in each data centre, with any one for none.
func (n *Node) ask(ctx context.Context, dataCentres []string) {
	if len(dataCentres) == 0 {
		n.exchangeWith(ctx, n.peersIn(""), 1)
		return
	}
	for _, dataCentre := range dataCentres {
		n.exchangeWith(ctx, n.peersIn(dataCentre), 1)
	}
}

// peersIn returns the peers in the data centre, or everywhere for "": the
// entries, since they read the store most, or the agents where there are none.
func (n *Node) peersIn(dataCentre string) []ports.Instance {
	in := func(instance ports.Instance) bool { return dataCentre == "" || instance.DataCentre == dataCentre }
	peers := n.members.peers(func(instance ports.Instance) bool {
		return in(instance) && instance.Role == ports.RoleEntry
	})
	if len(peers) == 0 {
		peers = n.members.peers(in)
	}
	if len(peers) == 0 && dataCentre == "" {
		peers = n.configuredPeers()
	}
	return peers
}

// configuredPeers returns the peers from the settings.
func (n *Node) configuredPeers() []ports.Instance {
	var peers []ports.Instance
	for _, address := range n.options.Peers {
		peers = append(peers, ports.Instance{Control: address})
	}
	return peers
}

// sample returns up to count of the peers, drawn evenly.
func sample(peers []ports.Instance, count int) []ports.Instance {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}

// exchangeWith starts exchanges with count of the peers.
func (n *Node) exchangeWith(ctx context.Context, peers []ports.Instance, count int) {
	for _, peer := range sample(peers, count) {
		go func() { _ = n.exchange(ctx, peer) }()
	}
}

// exchange posts what the peer knows.
func (n *Node) exchange(ctx context.Context, peer ports.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	// The time before the call: what the peer says is true at that time or later.
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

// forEach calls the function for each peer, a bounded number at a time, and
// returns when all have ended.
func forEach(peers []ports.Instance, call func(ports.Instance)) {
	slots := make(chan struct{}, fanOut)
	var group sync.WaitGroup
	for _, peer := range peers {
		slots <- struct{}{}
		group.Go(func() {
			call(peer)
			<-slots
		})
	}
	group.Wait()
}

// announce tells every entry where this process listens and whether it leaves,
// ahead of the instance list.
func (n *Node) announce(ctx context.Context) {
	entries := n.members.peers(func(instance ports.Instance) bool { return instance.Role == ports.RoleEntry })
	forEach(entries, func(peer ports.Instance) { _ = n.exchange(ctx, peer) })
}

// announceStart announces the process once it knows others.
func (n *Node) announceStart(ctx context.Context) {
	for ctx.Err() == nil {
		if len(n.members.list()) > 0 {
			n.announce(ctx)
			return
		}
		n.askInstances(ctx)
		wait.For(ctx, exchangeTimeout)
	}
}

// askInstances fills the instance list from the configured peers while the
// platform's list was never read.
func (n *Node) askInstances(ctx context.Context) {
	if len(n.members.list()) > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	for _, peer := range sample(n.configuredPeers(), fetchPeers) {
		reply := new(wire.InstancesReply)
		if n.Pool.Call(ctx, peer.Control, "Peer.Instances", wire.InstancesRequest{Stamp: n.Stamp()}, reply) != nil {
			continue
		}
		for _, instance := range reply.Instances {
			n.members.hear(instance, time.Now())
		}
		return
	}
}
