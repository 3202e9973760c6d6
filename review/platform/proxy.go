package main

import (
	"net"
	"sync"
)

// proxy forwards connections to the store.
type proxy struct {
	target string

	mu          sync.Mutex
	connections map[*connection]bool
}

// connection is a connection through a proxy. Once it is silent, nothing that it gets is
// forwarded, and it stays open until its client closes it.
type connection struct {
	client, target net.Conn
	mu             sync.Mutex
	silent         bool
}

func (p *proxy) serve(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &connection{client: client, target: target}
		p.mu.Lock()
		p.connections[c] = true
		p.mu.Unlock()
		go c.forward(target, client)
		go func() {
			c.forward(client, target)
			_, _ = client.Close(), target.Close()
			p.mu.Lock()
			defer p.mu.Unlock()
			delete(p.connections, c)
		}()
	}
}

// forward copies bytes until the source ends. A silent connection swallows them.
func (c *connection) forward(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		if n > 0 && !c.silent {
			_, _ = to.Write(buffer[:n])
		}
		silent := c.silent
		c.mu.Unlock()
		if err != nil {
			if from == c.target && !silent {
				_ = c.client.Close()
			}
			return
		}
	}
}

// silenceAll makes all open connections silent for good.
func (p *proxy) silenceAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

// open returns the number of open connections.
func (p *proxy) open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.connections)
}
