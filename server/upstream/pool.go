package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"persimmonwind.dev/server/intact"
)

const (
	// maxIdlePerServer is the maximum number of idle connections to one server;
	// an entry has only a few requests in flight at a server.
	maxIdlePerServer = 8
	// defaultIdleLimit is how long an idle connection is kept if the server sends
	// no keep-alive timeout.
	defaultIdleLimit = 10 * time.Second
	// keepAliveShare is the share of the server's keep-alive timeout for which an idle
	// connection is kept, since the server starts counting earlier.
	keepAliveShare = 0.7
	// nonRepeatableIdleLimit is the idle time up to which a pooled connection is
	// used for requests that must not be sent twice.
	nonRepeatableIdleLimit = time.Second

	readBufferBytes = 8 << 10
)

// ErrUnreachable means that no connection to the backend server could be made
// and no byte of the request was sent.
var ErrUnreachable = errors.New("backend server can't be reached")

// Target describes the server that a request is sent to.
type Target struct {
	Address string
	// NonRepeatable means that the request must not be sent twice. Get then uses no
	// connection that has been idle for long, since the server may be closing it.
	NonRepeatable bool
	// Fresh means that the request needs a connection that has carried no other.
	Fresh bool
	// MaxIdle is the number of idle connections to the server that may be kept;
	// those of all entries together must stay below the server's connection limit.
	MaxIdle int
}

// Conn is a connection to a backend server.
type Conn struct {
	net.Conn
	reader    *bufio.Reader // Reads through source.
	source    *headReader
	address   string
	maxIdle   int
	idleSince time.Time
	idleLimit time.Duration
	Reused    bool // The connection was taken from the pool.
}

// Pool keeps idle connections by address.
type Pool struct {
	dial DialFunc

	mu   sync.Mutex
	idle map[string][]*Conn // Idle connections by address, the most recently used last.
}

// NewPool returns an empty pool.
func NewPool(dial DialFunc) *Pool {
	return &Pool{dial: dial, idle: map[string][]*Conn{}}
}

// Get returns a reusable idle connection, or a new one. It returns
// ErrUnreachable if it can't connect.
func (p *Pool) Get(ctx context.Context, target Target) (*Conn, error) {
	for !target.Fresh {
		conn := p.takeIdle(target.Address)
		if conn == nil {
			break
		}
		idle := time.Since(conn.idleSince)
		if idle < conn.idleLimit && (!target.NonRepeatable || idle < nonRepeatableIdleLimit) && conn.reusable() {
			conn.Reused = true
			return conn, nil
		}
		discard(conn)
	}
	raw, err := p.dial(ctx, "tcp", target.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	source := &headReader{conn: raw}
	return &Conn{
		Conn: raw, reader: bufio.NewReaderSize(source, readBufferBytes), source: source, address: target.Address,
		maxIdle: min(max(1, target.MaxIdle), maxIdlePerServer), idleLimit: defaultIdleLimit,
	}, nil
}

// Put returns the connection to the pool for a later request.
func (p *Pool) Put(conn *Conn) {
	conn.idleSince = time.Now()
	p.mu.Lock()
	list := append(p.idle[conn.address], conn)
	var evicted *Conn
	if len(list) > conn.maxIdle {
		evicted, list = list[0], list[1:]
	}
	p.idle[conn.address] = list
	p.mu.Unlock()
	if evicted != nil {
		discard(evicted)
	}
}

// CloseIdle closes idle connections to addresses that are no longer in use and
// those that have exceeded their idle limit.
func (p *Pool) CloseIdle(inUse func(address string) bool) {
	var expired []*Conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, conn := range list {
			if inUse(address) && time.Since(conn.idleSince) < conn.idleLimit {
				kept = append(kept, conn)
			} else {
				expired = append(expired, conn)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, conn := range expired {
		discard(conn)
	}
}

// takeIdle removes the most recently used idle connection from the pool and returns
// it, or nil if there is none.
func (p *Pool) takeIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return conn
}

// reusable reports whether an idle connection is open and has received nothing
// from the server.
func (c *Conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	_, err := intact.Peek(socket)
	return errors.Is(err, unix.EAGAIN)
}

// parseKeepAlive returns the idle limit for the timeout of a Keep-Alive header.
func parseKeepAlive(header string) (time.Duration, bool) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if timeoutSeconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return time.Duration(keepAliveShare * float64(timeoutSeconds) * float64(time.Second)), true
		}
	}
	return 0, false
}

// reset closes a connection and drops the bytes that its peer has not received
// yet: an abandoned request must not arrive later.
func reset(conn *Conn) {
	if tcp, ok := conn.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // Without this the kernel would still deliver the bytes.
	}
	discard(conn)
}

// discard closes a connection that is no longer needed.
func discard(conn *Conn) {
	_ = conn.Close() // Nothing depends on the result.
}
