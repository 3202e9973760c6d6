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
	// recentCount is the number of snapshots kept to send only what changed.
	recentCount = 4
	// maxOfferBytes bounds the texts in an offer; of a larger change the
	// receivers are only told, and fetch it.
	maxOfferBytes = 64 << 10
	offerTimeout  = 2 * time.Second
	reportTimeout = 2 * time.Second
)

// recentSnapshots keeps the last installed snapshots.
type recentSnapshots struct {
	mu        sync.Mutex
	snapshots []*config.Snapshot
}

func (r *recentSnapshots) add(snapshot *config.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.snapshots = append(r.snapshots, snapshot)
	if len(r.snapshots) > recentCount {
		r.snapshots = r.snapshots[1:]
	}
}

// text returns the text of a file with the digest, nil where it is not kept.
func (r *recentSnapshots) text(file, digest string) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, snapshot := range r.snapshots {
		if snapshot.Versions[file].Digest == digest {
			return snapshot.Files[file]
		}
	}
	return nil
}

// pack returns the snapshot for a process that has the texts of the digests.
func (r *recentSnapshots) pack(snapshot *config.Snapshot, have map[string]string) wire.Configuration {
	packed := wire.Configuration{Revision: snapshot.Revision, Versions: snapshot.Versions, Splices: map[string]config.Splice{}}
	for name, version := range snapshot.Versions {
		if have[name] != version.Digest {
			packed.Splices[name] = config.NewSplice(r.text(name, have[name]), snapshot.Files[name])
		}
	}
	return packed
}

// offer brings the snapshot to all other processes. Connections made for it
// are closed again: a lasting full mesh would not fit.
func (n *Node) offer(ctx context.Context, old, snapshot *config.Snapshot) (reached, total int) {
	request := wire.OfferRequest{Stamp: n.Stamp(), Configuration: n.recent.pack(snapshot, digests(old))}
	request.Stamp.Revision = snapshot.Revision
	if spliceBytes(request.Configuration) > maxOfferBytes {
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

func spliceBytes(configuration wire.Configuration) int {
	total := 0
	for _, splice := range configuration.Splices {
		total += len(splice.Insert)
	}
	return total
}

// CollectReports asks every process which configuration is in force there. Of those
// that don't answer only the instance is filled in.
func (n *Node) CollectReports(ctx context.Context) []wire.ReportReply {
	pool := rpc.NewPool(clientTLS(n.options.Keys))
	defer pool.Close()
	var mu sync.Mutex
	reports := []wire.ReportReply{n.ownReport()}
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

func (n *Node) ownReport() wire.ReportReply {
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

// peerReceiver answers other processes of the system.
type peerReceiver struct{ node *Node }

// Exchange tells the caller this node's revision and evidence, and hears the
// caller's.
func (r *peerReceiver) Exchange(request wire.ExchangeRequest, reply *wire.ExchangeReply) error {
	r.node.ObserveStamp(request.Stamp)
	r.node.members.hear(request.Instance, time.Now())
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

// Configuration hands out this node's configuration.
func (r *peerReceiver) Configuration(request wire.ConfigurationRequest, reply *wire.ConfigurationReply) error {
	r.node.ObserveStamp(request.Stamp)
	reply.Stamp = r.node.Stamp()
	snapshot := r.node.State().View.InForce
	if snapshot != nil && snapshot.Revision > request.Stamp.Revision {
		reply.Configuration = r.node.recent.pack(snapshot, request.Have)
	}
	return nil
}

// Offer takes in a newly accepted configuration.
func (r *peerReceiver) Offer(request wire.OfferRequest, reply *wire.OfferReply) error {
	snapshot, err := assemble(r.node.State().View.InForce, request.Configuration)
	if err == nil && snapshot != nil {
		r.node.install(snapshot)
	}
	if err != nil {
		logevent.Write(r.node.Log(), logevent.OfferIncomplete, logrus.Fields{"from": request.Stamp.From, "error": err.Error()})
	}
	r.node.ObserveStamp(request.Stamp)
	reply.Stamp = r.node.Stamp()
	return nil
}

// Report tells which configuration is in force here.
func (r *peerReceiver) Report(request wire.ReportRequest, reply *wire.ReportReply) error {
	r.node.ObserveStamp(request.Stamp)
	*reply = r.node.ownReport()
	return nil
}

// Instances hands out this node's instance list.
func (r *peerReceiver) Instances(request wire.InstancesRequest, reply *wire.InstancesReply) error {
	r.node.ObserveStamp(request.Stamp)
	reply.Stamp = r.node.Stamp()
	reply.Instances = append([]ports.Instance{r.node.Self()}, r.node.Instances()...)
	return nil
}
