// Package node implements what entries and agents have in common: the control
// loop, the configuration in force, the instance list and the control RPC
// server.
package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/control"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/view"
	"persimmonwind.dev/server/configstore"
	"persimmonwind.dev/server/keys"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/loop"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/ports/httpapi"
	"persimmonwind.dev/server/rpc"
	"persimmonwind.dev/server/wait"
	"persimmonwind.dev/server/wire"
)

const (
	tickInterval = 100 * time.Millisecond
	// instancesInterval is the time between two reads of the instance list.
	instancesInterval = 2 * time.Second
)

// Options configure a node.
type Options struct {
	Self     control.Self
	Control  net.Listener // Listener of the control RPC server; closed by Run.
	StoreURL string
	Traffic  string      // host:port at which other processes reach the traffic server.
	Peers    []string    // Control addresses of peers to ask while no instance or configuration is known.
	Keys     keys.Source // TLS keys for the connections between the system's processes; nil for plain TCP.
	Log      *logrus.Entry
}

// Node runs the control loop and the control RPC server of one process.
type Node struct {
	options        Options
	Loop           *loop.Loop[control.State, control.State]
	Store          *httpapi.Store
	ConfigStore    *configstore.Store
	Pool           *rpc.Pool
	Transport      *http.Transport // HTTP transport for the platform and the backend server.
	AgentTransport *http.Transport // HTTP transport for the agents' traffic servers.

	executors     []func(context.Context, reduce.Effect) bool
	receivers     map[string]any
	members       *members
	snapshotCache recentSnapshots        // Recent configurations, from which differences for peers are computed.
	newerPeerID   atomic.Pointer[string] // ID of the peer that last reported a newer revision.
	runContext    context.Context
}

// New returns a node that is not running yet.
func New(options Options) *Node {
	transport := httpapi.NewTransport()
	store := httpapi.NewStore(options.StoreURL, transport)
	clientTLS := clientTLS(options.Keys)
	n := &Node{
		options:        options,
		Store:          store,
		ConfigStore:    &configstore.Store{Table: store, Objects: store.Objects()},
		Pool:           rpc.NewPool(clientTLS),
		Transport:      transport,
		AgentTransport: httpapi.NewTransport(),
		receivers:      map[string]any{},
	}
	n.AgentTransport.TLSClientConfig = clientTLS
	n.receivers["Peer"] = &peerReceiver{node: n}
	n.members = newMembers(options.Self.ID)
	identity := func(state control.State) control.State { return state }
	n.Loop = loop.New(control.Step, identity, n.execute, nil)
	n.AddExecutor(n.executeConfiguration)
	return n
}

func clientTLS(source keys.Source) *tls.Config {
	if source == nil {
		return nil
	}
	return keys.ClientConfig(source)
}

// SecureListener wraps the listener in TLS if the node has keys.
func (n *Node) SecureListener(listener net.Listener) net.Listener {
	if n.options.Keys == nil {
		return listener
	}
	return tls.NewListener(listener, keys.ServerConfig(n.options.Keys))
}

// AgentScheme returns the URL scheme of agents' traffic servers.
func (n *Node) AgentScheme() string {
	if n.options.Keys == nil {
		return "http"
	}
	return "https"
}

// AddExecutor registers a function that executes effects. It must not block, and
// reports whether it handled the effect. AddExecutor must be called before Run.
func (n *Node) AddExecutor(execute func(context.Context, reduce.Effect) bool) {
	n.executors = append(n.executors, execute)
}

// AddReceiver registers an RPC receiver under the name. It must be called before
// Run.
func (n *Node) AddReceiver(name string, receiver any) { n.receivers[name] = receiver }

// Log returns the node's logger.
func (n *Node) Log() *logrus.Entry { return n.options.Log }

// State returns the control state last published by the loop, or the initial
// state before the first.
func (n *Node) State() control.State {
	state := n.Loop.View()
	if state == nil {
		return control.New(n.options.Self)
	}
	return *state
}

// Stamp returns the stamp that identifies the node as the sender of a message.
func (n *Node) Stamp() wire.Stamp {
	self := n.options.Self
	return wire.Stamp{From: self.ID, Role: self.Role, DataCentre: self.DataCentre, Revision: n.State().View.Revision()}
}

// Leave begins a graceful shutdown: the node keeps running, but accepts no new
// work.
func (n *Node) Leave() {
	logevent.Write(n.Log(), logevent.ProcessLeaving, nil)
	n.Loop.Post(control.Leave{})
}

// ObserveStamp processes the stamp of a received message. If the sender has a
// newer revision, the control loop is informed of it.
func (n *Node) ObserveStamp(stamp wire.Stamp) {
	if stamp.Revision > n.State().View.Revision() {
		n.newerPeerID.Store(&stamp.From)
		n.Loop.Post(view.RevisionSeen{Revision: stamp.Revision})
	}
}

// Instances returns the instance list as last read, merged with what other
// processes have reported about themselves. The result must not be modified.
func (n *Node) Instances() []ports.Instance { return n.members.list() }

// Run runs the node until ctx is done.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.runContext = ctx
	defer n.Pool.Close()
	serveErr := make(chan error, 1)
	go func() { serveErr <- rpc.Serve(n.SecureListener(n.options.Control), n.receivers, n.Log()) }()
	go n.watchInstances(ctx)
	go n.logReady(ctx)
	go n.announceStart(ctx)
	err := n.Loop.Run(ctx, control.New(n.options.Self), tickInterval)
	if closeErr := n.options.Control.Close(); closeErr != nil && !errors.Is(closeErr, net.ErrClosed) {
		return fmt.Errorf("close control listener: %w", closeErr)
	}
	return errors.Join(err, <-serveErr)
}

// execute passes the effect to the executors until one has handled it.
func (n *Node) execute(effect reduce.Effect) {
	for _, execute := range n.executors {
		if execute(n.runContext, effect) {
			return
		}
	}
}

// watchInstances reads the platform's instance list at intervals until ctx is
// done. When a read fails, the previous list stays in use.
func (n *Node) watchInstances(ctx context.Context) {
	for ctx.Err() == nil {
		n.readInstances(ctx)
		wait.For(ctx, instancesInterval)
	}
}

// readInstances reads the instance list once, for storeTimeout at most.
func (n *Node) readInstances(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	list, err := n.Store.Instances().List(callCtx)
	if err == nil || errors.Is(err, ports.ErrMalformedEntries) {
		n.members.setListed(list, time.Now())
	}
	if err != nil && ctx.Err() == nil {
		logevent.Write(n.Log(), logevent.InstanceListStale, logrus.Fields{"error": err.Error()})
	}
}
