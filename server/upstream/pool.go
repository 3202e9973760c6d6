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
)

const (
	// maxIdlePerServer is the greatest number of kept connections to one server;
	// an entry has a few requests at a server at a time.
	maxIdlePerServer = 8
	// defaultIdleLimit is how long a connection is kept where the server names
	// no time.
	defaultIdleLimit = 10 * time.Second
	// keepAliveShare of the time that the server names is used, since the
	// server counts from an earlier moment.
	keepAliveShare = 0.7
	// nonRepeatableIdleLimit is the idle time up to which a kept connection is used for
	// requests that can't be sent again.
	nonRepeatableIdleLimit = time.Second

	readBufferBytes = 8 << 10
)

// ErrUnreachable means that no byte of the request has left: the backend server
// could not be connected to.
var ErrUnreachable = errors.New("backend server can't be reached")

// Target is where a request goes.
type Target struct {
	Address string
	// NonRepeatable says that the request can't be sent again, so a connection that was
	// idle for long isn't used.
	NonRepeatable bool
	// MaxIdle is how many connections to the server may be kept; all entries
	// together must leave room under what the server accepts.
	MaxIdle int
}

// Conn is a connection to a backend server.
type Conn struct {
	net.Conn
	reader    *bufio.Reader
	address   string
	maxIdle   int
	idleSince time.Time
	idleLimit time.Duration
	Reused    bool
}

// Pool keeps idle connections by address.
type Pool struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*Conn // The most recently used last.
}

// NewPool returns an empty pool.
func NewPool(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Pool {
	return &Pool{dial: dial, idle: map[string][]*Conn{}}
}

// Get returns a kept connection that looks sound, or a new one. It fails with
// ErrNotSent.
func (p *Pool) Get(ctx context.Context, target Target) (*Conn, error) {
	for {
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
	return &Conn{
		Conn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes), address: target.Address,
		maxIdle: min(max(1, target.MaxIdle), maxIdlePerServer), idleLimit: defaultIdleLimit,
	}, nil
}

// Put keeps the connection for a later request.
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

// CloseIdle closes connections to addresses that are not in use any more and
// those that have been idle for too long.
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

// reusable reports whether an idle connection is open and has sent nothing.
func (c *Conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = errors.Is(recvErr, unix.EAGAIN)
		return true
	})
	return err == nil && reusable
}

// parseKeepAlive reads the time that the server keeps an idle connection.
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

// reset closes a connection so that bytes which its peer has not had yet are
// dropped: a request that was given up on must not arrive later.
func reset(conn *Conn) {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Without it the bytes merely arrive late.
	}
	discard(conn)
}

// discard closes a connection that is no longer needed.
func discard(conn *Conn) {
	_ = conn.Close() // Nothing waits for its outcome.
}
