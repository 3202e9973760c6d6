package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/rpc"
	"persimmonwind.dev/server/wire"
)

const (
	// maxRecentSnapshots is the number of configuration snapshots kept. A peer that
	// has one of them is sent only the differences from it.
	maxRecentSnapshots = 4
	// maxOfferBytes bounds the file texts in an offer. The offer of a larger change
	// carries only its revision, and the receivers fetch the change.
	maxOfferBytes = 64 << 10
	offerTimeout  = 2 * time.Second
	reportTimeout = 2 * time.Second
)

// recentSnapshots keeps the most recently installed configuration snapshots.
type recentSnapshots struct {
	mu        sync.Mutex
	snapshots []*config.Snapshot
}

func (r *recentSnapshots) add(snapshot *config.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.snapshots = append(r.snapshots, snapshot)
	if len(r.snapshots) > maxRecentSnapshots {
		r.snapshots = r.snapshots[1:]
	}
}

// fileText returns the text of the file with the digest, or nil if no kept
// snapshot contains it.
func (r *recentSnapshots) fileText(file, digest string) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, snapshot := range r.snapshots {
		if snapshot.Versions[file].Digest == digest {
			return snapshot.Files[file]
		}
	}
	return nil
}

// deltaFor returns the snapshot as edits for a process that already has the file
// texts whose digests, by file name, are in have.
func (r *recentSnapshots) deltaFor(snapshot *config.Snapshot, have map[string]string) wire.Configuration {
	delta := wire.Configuration{Revision: snapshot.Revision, Versions: snapshot.Versions, Splices: map[string]config.Splice{}}
	for name, version := range snapshot.Versions {
		if have[name] != version.Digest {
			delta.Splices[name] = config.NewSplice(r.fileText(name, have[name]), snapshot.Files[name])
		}
	}
	return delta
}

// offerToPeers sends the snapshot to all other processes. It closes the
// connections that it opens: at the target size of 330 entries and 1,900 agents,
// connections kept between all processes would exceed a process's control-plane
// budget of 256 MB of memory and 26 KB a second of traffic.
func (n *Node) offerToPeers(ctx context.Context, old, snapshot *config.Snapshot) (reached, total int) {
	request := wire.OfferRequest{Stamp: n.Stamp(), Configuration: n.snapshotCache.deltaFor(snapshot, digests(old))}
	request.Stamp.Revision = snapshot.Revision
	if insertedBytes(request.Configuration) > maxOfferBytes {
		request.Configuration = wire.Configuration{}
	}
	pool := rpc.NewPool(clientTLS(n.options.Keys))
	defer pool.Close()
	peers := n.members.peers(func(ports.Instance) bool { return true })
	var count atomic.Int64
	forEach(peers, func(peer ports.Instance) {
		ctx, cancel := context.WithTimeout(ctx, offerTimeout)
		defer cancel()
		if pool.Call(ctx, peer.Control, "Peer.Offer", request, new(wire.OfferReply)) == nil {
			count.Add(1)
		}
	})
	return int(count.Load()), len(peers)
}

func insertedBytes(configuration wire.Configuration) int {
	total := 0
	for _, splice := range configuration.Splices {
		total += len(splice.Insert)
	}
	return total
}

// CollectReports asks every process which configuration it has in force. The
// report of a process that does not answer contains only its instance.
func (n *Node) CollectReports(ctx context.Context) []wire.ReportReply {
	pool := rpc.NewPool(clientTLS(n.options.Keys))
	defer pool.Close()
	var mu sync.Mutex
	reports := []wire.ReportReply{n.localReport()}
	peers := n.members.peers(func(ports.Instance) bool { return true })
	forEach(peers, func(peer ports.Instance) {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		reply := new(wire.ReportReply)
		if pool.Call(ctx, peer.Control, "Peer.Report", wire.ReportRequest{Stamp: n.Stamp()}, reply) != nil {
			reply = &wire.ReportReply{Instance: peer}
		}
		mu.Lock()
		defer mu.Unlock()
		reports = append(reports, *reply)
	})
	return reports
}

func (n *Node) localReport() wire.ReportReply {
	state := n.State()
	report := wire.ReportReply{Stamp: n.Stamp(), Instance: n.Self(), Current: !state.View.CurrentAt.IsZero()}
	if report.Current {
		report.Age = state.View.Age(time.Now())
	}
	if state.View.InForce != nil {
		report.Versions = state.View.InForce.Versions
	}
	return report
}

// peerReceiver serves the RPC calls of other processes of the system.
type peerReceiver struct{ node *Node }

// Exchange returns this node's revision and its evidence that the revision is the
// newest, and records the caller's stamp and instance.
func (r *peerReceiver) Exchange(request wire.ExchangeRequest, reply *wire.ExchangeReply) error {
	r.node.ObserveStamp(request.Stamp)
	r.node.members.addReported(request.Instance, time.Now())
	state := r.node.State()
	reply.Stamp = r.node.Stamp()
	reply.Stamp.Revision = state.View.Revision()
	reply.Started = state.Evidence.Started
	if !state.View.CurrentAt.IsZero() {
		reply.Current = true
		reply.Age = state.View.Age(time.Now())
	}
	return nil
}

// Configuration returns this node's configuration if it is newer than the
// caller's.
func (r *peerReceiver) Configuration(request wire.ConfigurationRequest, reply *wire.ConfigurationReply) error {
	r.node.ObserveStamp(request.Stamp)
	reply.Stamp = r.node.Stamp()
	snapshot := r.node.State().View.InForce
	if snapshot != nil && snapshot.Revision > request.Stamp.Revision {
		reply.Configuration = r.node.snapshotCache.deltaFor(snapshot, request.Have)
	}
	return nil
}

// Offer installs a newly accepted configuration. If the offer can't be applied
// to the configuration in force, the stamp of the request still reports the new
// revision, and the control loop fetches it.
func (r *peerReceiver) Offer(request wire.OfferRequest, reply *wire.OfferReply) error {
	snapshot, err := buildSnapshot(r.node.State().View.InForce, request.Configuration)
	if err == nil && snapshot != nil {
		r.node.installIfNewer(snapshot)
	}
	if err != nil {
		logevent.Write(r.node.Log(), logevent.OfferIncomplete, logrus.Fields{"from": request.Stamp.From, "error": err.Error()})
	}
	r.node.ObserveStamp(request.Stamp)
	reply.Stamp = r.node.Stamp()
	return nil
}

// Report returns which configuration this node has in force.
func (r *peerReceiver) Report(request wire.ReportRequest, reply *wire.ReportReply) error {
	r.node.ObserveStamp(request.Stamp)
	*reply = r.node.localReport()
	return nil
}

// Instances returns this node's instance list, with the node itself first.
func (r *peerReceiver) Instances(request wire.InstancesRequest, reply *wire.InstancesReply) error {
	r.node.ObserveStamp(request.Stamp)
	reply.Stamp = r.node.Stamp()
	reply.Instances = append([]ports.Instance{r.node.Self()}, r.node.Instances()...)
	return nil
}
