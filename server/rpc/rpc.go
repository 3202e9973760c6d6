// Package rpc sends control messages between the system's processes over
// net/rpc, optionally over TLS.
package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/server/logevent"
)

const dialTimeout = time.Second

// ErrUnreachable means that the peer could not be called or did not answer.
var ErrUnreachable = errors.New("peer unreachable")

const (
	// acceptBackoff is the delay after the first failed Accept. It doubles with each
	// further failure up to maxAcceptBackoff. net/http's server uses the same values.
	acceptBackoff    = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
)

// Serve answers calls on the listener until it is closed. Each receiver's
// methods are registered under its name. A failed Accept, for instance for lack of
// file descriptors, is logged and retried with a backoff; existing connections
// are still served.
func Serve(listener net.Listener, receivers map[string]any, log *logrus.Entry) error {
	server := rpc.NewServer()
	for name, receiver := range receivers {
		if err := server.RegisterName(name, receiver); err != nil {
			return fmt.Errorf("register RPC receiver %q: %w", name, err)
		}
	}
	backoff := acceptBackoff
	for {
		connection, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			logevent.Write(log, logevent.AcceptFailed, logrus.Fields{"error": err.Error()})
			time.Sleep(backoff)
			backoff = min(2*backoff, maxAcceptBackoff)
			continue
		}
		backoff = acceptBackoff
		go server.ServeConn(&boundedConn{Conn: connection})
	}
}

// Pool keeps one connection to each peer that is called, by control address.
type Pool struct {
	tls  *tls.Config // TLS configuration of outgoing connections; nil for plain TCP.
	open DialFunc    // Opens connections; nil for TCP.

	mu      sync.Mutex
	clients map[string]*peerClient
}

// peerClient is a client with the connection that it uses.
type peerClient struct {
	*rpc.Client
	connection *observedConn
}

// observedConn is a connection that records when bytes last arrived on it.
type observedConn struct {
	net.Conn
	lastReadAt atomic.Int64 // Nanoseconds since connectedAt; 0 if nothing has arrived yet.

	connectedAt time.Time
}

func (c *observedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n > 0 {
		c.lastReadAt.Store(int64(time.Since(c.connectedAt)))
	}
	return n, err
}

// silentSince reports whether nothing has arrived on the connection since the time.
func (c *observedConn) silentSince(since time.Time) bool {
	return c.connectedAt.Add(time.Duration(c.lastReadAt.Load())).Before(since)
}

// NewPool returns a pool that dials with the TLS configuration, or without TLS if
// it is nil.
func NewPool(config *tls.Config) *Pool {
	return &Pool{tls: config, clients: map[string]*peerClient{}}
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// NewPoolWithDialer returns a pool that opens connections with open, as over a simulated
// network.
func NewPoolWithDialer(open DialFunc) *Pool {
	return &Pool{open: open, clients: map[string]*peerClient{}}
}

// Call calls the method at the address and waits for its reply. It fails with
// ErrUnreachable if there is none. A reply that arrives after ctx has ended does not change
// reply, which the caller may use for another call.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	client, err := p.client(ctx, address)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, address, err)
	}
	received := reflect.New(reflect.TypeOf(reply).Elem())
	call := client.Go(method, args, received.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(received.Elem())
		}
		return p.checkReply(address, client, call.Error)
	case <-ctx.Done():
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, address, ctx.Err())
	}
}

func (p *Pool) checkReply(address string, client *peerClient, err error) error {
	var remote rpc.ServerError
	if err == nil || errors.As(err, &remote) {
		return err
	}
	p.removeClient(address, client)
	return fmt.Errorf("%w: %s: %v", ErrUnreachable, address, err)
}

func (p *Pool) client(ctx context.Context, address string) (*peerClient, error) {
	p.mu.Lock()
	client := p.clients[address]
	p.mu.Unlock()
	if client != nil {
		return client, nil
	}
	connection, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	observed := &observedConn{Conn: connection, connectedAt: time.Now()}
	return p.storeClient(address, &peerClient{Client: rpc.NewClient(&boundedConn{Conn: observed}), connection: observed}), nil
}

func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	if p.open != nil {
		return p.open(ctx, address)
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	if p.tls == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	tlsDialer := &tls.Dialer{NetDialer: dialer, Config: p.tls}
	return tlsDialer.DialContext(ctx, "tcp", address)
}

// storeClient stores the client and returns it. If another call has stored one in
// the meantime, it closes the client and returns the stored one.
func (p *Pool) storeClient(address string, client *peerClient) *peerClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if existing := p.clients[address]; existing != nil {
		_ = client.Close()
		return existing
	}
	p.clients[address] = client
	return client
}

func (p *Pool) removeClient(address string, client *peerClient) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clients[address] == client {
		delete(p.clients, address)
	}
	_ = client.Close()
}

// Drop closes the connection to a peer that does not answer. All calls in flight
// on it fail.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	client := p.clients[address]
	p.mu.Unlock()
	if client != nil {
		p.removeClient(address, client)
	}
}

// DropSilent closes the connection to a peer on which nothing has arrived since the
// time. All calls in flight on it fail.
func (p *Pool) DropSilent(address string, since time.Time) {
	p.mu.Lock()
	client := p.clients[address]
	p.mu.Unlock()
	if client != nil && client.connection.silentSince(since) {
		p.removeClient(address, client)
	}
}

// Close closes every connection.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, client := range p.clients {
		_ = client.Close()
		delete(p.clients, address)
	}
}
