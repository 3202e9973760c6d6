package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// linkMode is how a proxy handles the bytes of its connections.
type linkMode int

const (
	passBytes        linkMode = iota // Forward all bytes.
	delayBytes                       // Delay all bytes by linkDelay.
	resetConnections                 // Reset open and new connections.
	dropBoth                         // Keep connections open, but drop bytes in both directions.
	dropAnswers                      // Forward bytes to the target, but drop its responses.
)

const linkDelay = 150 * time.Millisecond

// proxy forwards TCP connections to a target on loopback and injects link faults. A
// connection whose bytes were dropped once drops all later bytes of that direction
// too.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  linkMode
	links map[*link]bool
}

// link is one connection that a proxy forwards.
type link struct {
	caller, target net.Conn
	dropped        [2]bool // Whether bytes towards the target (index 0) and towards the caller (index 1) are dropped.
}

func newProxy(t *testing.T, address, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatalf("start proxy: %v", err)
	}
	p := &proxy{listener: listener, target: target, links: map[*link]bool{}}
	go p.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		p.setMode(resetConnections)
	})
	return p
}

// setMode sets the mode for new connections and applies it to the open ones.
func (p *proxy) setMode(mode linkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	for l := range p.links {
		switch mode {
		case resetConnections:
			l.reset()
		case dropBoth:
			l.dropped = [2]bool{true, true}
		case dropAnswers:
			l.dropped[1] = true
		}
	}
}

func (p *proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return // The listener is closed.
		}
		go p.forward(caller)
	}
}

func (p *proxy) forward(caller net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConn(caller)
		return
	}
	l := &link{caller: caller, target: target}
	p.mu.Lock()
	p.links[l] = true
	mode := p.mode
	l.dropped = [2]bool{mode == dropBoth, mode == dropBoth || mode == dropAnswers}
	p.mu.Unlock()
	if mode == resetConnections {
		l.reset()
	}
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(l, 0, target, caller) })
	copies.Go(func() { p.copy(l, 1, caller, target) })
	copies.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

func (p *proxy) copy(l *link, direction int, to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		dropped, mode := l.dropped[direction], p.mode
		p.mu.Unlock()
		if mode == delayBytes {
			time.Sleep(linkDelay)
		}
		if n > 0 && !dropped {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				l.reset()
				return
			}
		}
		switch {
		case err == io.EOF && !dropped:
			_ = to.(*net.TCPConn).CloseWrite() // A broken connection is detected by the copy in the other direction.
			return
		case err != nil:
			if !dropped {
				l.reset()
			}
			return
		}
	}
}

func (l *link) reset() {
	resetConn(l.caller)
	resetConn(l.target)
}

// resetConn closes a connection so that its peer sees a reset.
func resetConn(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // Fails only on a closed connection, which needs no reset.
	_ = conn.Close()
}
