// Package loadreport sends the load of backend servers from the agents on their
// machines to the entries, in small datagrams: an entry subscribes at an agent,
// and the agent sends reports until the subscription expires. A lost datagram is not
// sent again, since the next one replaces it.
package loadreport

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"persimmonwind.dev/policy/topology"
)

const (
	// reportInterval is how often an agent sends a report: about once per pass, the
	// joint computation of all ranks of a model group.
	reportInterval = 100 * time.Millisecond
	// memoryReportEvery is how many reports an agent sends for one that tells the memory
	// in use. Memory changes over the seconds of an answer, and every byte of a report is
	// sent to every entry.
	memoryReportEvery = 10
	// subscribeInterval is how often an entry renews its subscriptions.
	subscribeInterval = time.Second
	// agentScanInterval is how often an entry checks for new agents.
	agentScanInterval = 100 * time.Millisecond
	// subscriptionTTL is long enough to survive two lost renewals.
	subscriptionTTL = 3500 * time.Millisecond
	// maxDatagramBytes fits one Ethernet frame.
	maxDatagramBytes = 1400
)

// Report is the load of one backend server.
type Report struct {
	Server string  // host:port of the backend server.
	Open   bool    // The server's group accepts work.
	Queued int     // Number of requests that wait at the server.
	Active int     // Number of requests that run at the server.
	Pace   float64 // Slowdown relative to a normal server; above 1 for a slow one.

	Group   string // Name of the server's group.
	Entries int    // Number of entries that subscribe to the agent's reports.

	// MemoryTokens is the number of tokens in the server's memory that can't be evicted;
	// 0 if the report doesn't tell. The key is short as every byte of a report is sent to
	// every entry.
	MemoryTokens int `json:"M,omitempty"`
}

// Publisher sends an agent's reports to its subscribers.
type Publisher struct {
	conn net.PacketConn

	mu          sync.Mutex
	subscribers map[netip.AddrPort]time.Time // When each subscription was last renewed.
}

// NewPublisher returns a publisher on the socket.
func NewPublisher(conn net.PacketConn) *Publisher {
	return &Publisher{conn: conn, subscribers: map[netip.AddrPort]time.Time{}}
}

// Serve receives subscriptions until the socket is closed.
func (p *Publisher) Serve() error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		_, from, err := p.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue // An ICMP error for an earlier datagram; the socket stays usable.
		}
		if address, err := netip.ParseAddrPort(from.String()); err == nil {
			p.mu.Lock()
			p.subscribers[address] = time.Now()
			p.mu.Unlock()
		}
	}
}

// Run sends the state that read returns to the subscribers until ctx ends.
func (p *Publisher) Run(ctx context.Context, server string, read func() (topology.RankState, bool)) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	number := 0
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		subscribers := p.activeSubscribers()
		if len(subscribers) == 0 {
			continue
		}
		state, ok := read()
		if !ok {
			continue
		}
		p.send(newReport(server, state, len(subscribers), number), subscribers)
		number++
	}
}

// newReport returns the report with the number, counted from 0 for the first.
func newReport(server string, state topology.RankState, subscribers, number int) Report {
	report := Report{Server: server, Open: state.Open, Queued: state.Queued, Active: state.Active, Pace: state.Pace, Group: state.Group, Entries: subscribers}
	if number%memoryReportEvery == 0 {
		report.MemoryTokens = max(0, state.MemoryTokens)
	}
	return report
}

func (p *Publisher) send(report Report, subscribers []netip.AddrPort) {
	data, err := json.Marshal(report)
	if err != nil {
		panic(fmt.Sprintf("encode load report: %v", err))
	}
	for _, address := range subscribers {
		// A report that can't be sent is replaced by the next one.
		_, _ = p.conn.WriteTo(data, net.UDPAddrFromAddrPort(address))
	}
}

// activeSubscribers removes expired subscriptions and returns the addresses of the
// others.
func (p *Publisher) activeSubscribers() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var activeSubscribers []netip.AddrPort
	for address, renewedAt := range p.subscribers {
		if time.Since(renewedAt) > subscriptionTTL {
			delete(p.subscribers, address)
			continue
		}
		activeSubscribers = append(activeSubscribers, address)
	}
	return activeSubscribers
}

// Subscriber receives reports at an entry.
type Subscriber struct {
	conn net.PacketConn
}

// NewSubscriber returns a subscriber on the socket.
func NewSubscriber(conn net.PacketConn) *Subscriber { return &Subscriber{conn: conn} }

// Serve passes received reports to handle until the socket is closed.
func (s *Subscriber) Serve(handle func(Report)) error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := s.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue // An ICMP error for an earlier datagram; the socket stays usable.
		}
		if report, ok := decode(buffer[:n]); ok {
			handle(report)
		}
	}
}

// decode decodes a datagram. Fields that a newer process has added are ignored.
func decode(datagram []byte) (Report, bool) {
	var report Report
	err := json.Unmarshal(datagram, &report)
	return report, err == nil && report.Server != ""
}

// Run subscribes at the agents' addresses and renews the subscriptions until ctx
// ends. It subscribes at a new address within agentScanInterval.
func (s *Subscriber) Run(ctx context.Context, agents func() []string) {
	ticker := time.NewTicker(agentScanInterval)
	defer ticker.Stop()
	subscribed := map[string]time.Time{}
	for {
		for _, agent := range agents() {
			if time.Since(subscribed[agent]) >= subscribeInterval {
				subscribed[agent] = time.Now()
				s.subscribe(agent)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Subscriber) subscribe(agent string) {
	address, err := netip.ParseAddrPort(agent)
	if err != nil {
		return // Not a valid address; the reader of the list has logged the row.
	}
	// A subscription that can't be sent is replaced by its next renewal.
	_, _ = s.conn.WriteTo([]byte{1}, net.UDPAddrFromAddrPort(address))
}
