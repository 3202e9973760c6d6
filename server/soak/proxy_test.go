package soak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// linkMode is what a proxy does with the bytes of its connections.
type linkMode int

const (
	passBytes linkMode = iota
	delayBytes
	resetConnections // Those that are open, and new ones.
	silenceBoth      // Connections stay open; no byte comes through.
	silenceAnswers   // Bytes reach the target; its answers don't come back.
)

const linkDelay = 150 * time.Millisecond

// proxy carries connections to a target on loopback and harms them on demand. A
// connection that was silenced never delivers a byte again.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  linkMode
	links map[*link]bool
}

type link struct {
	caller, target net.Conn
	lost           [2]bool // By direction, towards the target first.
}

func newProxy(t *testing.T, address, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatalf("proxy: %v", err)
	}
	p := &proxy{listener: listener, target: target, links: map[*link]bool{}}
	go p.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		p.set(resetConnections)
	})
	return p
}

// set changes the mode, also for open connections.
func (p *proxy) set(mode linkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	for l := range p.links {
		switch mode {
		case resetConnections:
			l.reset()
		case silenceBoth:
			l.lost = [2]bool{true, true}
		case silenceAnswers:
			l.lost[1] = true
		}
	}
}

func (p *proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return // The listener is closed.
		}
		go p.carry(caller)
	}
}

func (p *proxy) carry(caller net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConn(caller)
		return
	}
	l := &link{caller: caller, target: target}
	p.mu.Lock()
	p.links[l] = true
	mode := p.mode
	l.lost = [2]bool{mode == silenceBoth, mode == silenceBoth || mode == silenceAnswers}
	p.mu.Unlock()
	if mode == resetConnections {
		l.reset()
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(l, 0, target, caller) })
	both.Go(func() { p.copy(l, 1, caller, target) })
	both.Wait()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

func (p *proxy) copy(l *link, direction int, to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		lost, mode := l.lost[direction], p.mode
		p.mu.Unlock()
		if mode == delayBytes {
			time.Sleep(linkDelay)
		}
		if n > 0 && !lost {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				l.reset()
				return
			}
		}
		switch {
		case err == io.EOF && !lost:
			_ = to.(*net.TCPConn).CloseWrite() // The other direction shows a broken connection.
			return
		case err != nil:
			if !lost {
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
	_ = conn.(*net.TCPConn).SetLinger(0) // A closed connection needs no reset.
	_ = conn.Close()
}
