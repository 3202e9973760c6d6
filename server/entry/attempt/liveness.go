package attempt

import (
	"context"
	"errors"
	"sync"
	"time"

	"persimmonwind.dev/server/node"
	"persimmonwind.dev/server/wire"
)

const (
	heartbeatInterval   = time.Second
	heartbeatTimeout    = time.Second
	maxMissedHeartbeats = 2 // Consecutive missed heartbeats after which an agent is declared dead.
)

// errAgentDead is the cause with which attempts are cancelled if their agent does not
// respond to heartbeats.
var errAgentDead = errors.New("agent answers no heartbeats")

// liveness monitors the agents that have attempts in flight. All attempts at
// one agent share its heartbeats.
type liveness struct {
	heartbeat func(ctx context.Context, address string) error
	dropConn  func(address string)

	mu     sync.Mutex
	agents map[string]*watchedAgent
}

// watchedAgent is an agent that is sent heartbeats, with the attempts in flight at it.
type watchedAgent struct {
	attempts map[*watchdog]struct{}
	stop     context.CancelFunc
}

func newLiveness(n *node.Node) *liveness {
	heartbeat := func(ctx context.Context, address string) error {
		var reply wire.ExchangeReply
		err := n.Pool.Call(ctx, address, "Peer.Exchange", wire.ExchangeRequest{Stamp: n.Stamp()}, &reply)
		if err == nil {
			n.ObserveStamp(reply.Stamp)
		}
		return err
	}
	return &liveness{heartbeat: heartbeat, dropConn: n.Pool.Drop, agents: map[string]*watchedAgent{}}
}

// watch cancels the attempt if the agent at the control address is declared
// dead; the returned function stops watching.
func (l *liveness) watch(address string, attempt *watchdog) (unwatch func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	agent := l.agents[address]
	if agent == nil {
		ctx, stop := context.WithCancel(context.Background())
		agent = &watchedAgent{attempts: map[*watchdog]struct{}{}, stop: stop}
		l.agents[address] = agent
		go l.run(ctx, address, agent)
	}
	agent.attempts[attempt] = struct{}{}
	return func() { l.unwatch(address, agent, attempt) }
}

func (l *liveness) unwatch(address string, agent *watchedAgent, attempt *watchdog) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(agent.attempts, attempt)
	if len(agent.attempts) > 0 {
		return
	}
	agent.stop()
	if l.agents[address] == agent {
		delete(l.agents, address)
	}
}

// run sends heartbeats while an attempt has heard nothing from the agent for
// heartbeatInterval, and declares the agent dead after maxMissedHeartbeats.
func (l *liveness) run(ctx context.Context, address string, agent *watchedAgent) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for missed := 0; missed < maxMissedHeartbeats; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !l.hasSilentAttempt(agent) || l.alive(ctx, address) {
			missed = 0
		} else {
			missed++
		}
	}
	l.declareDead(address, agent)
}

func (l *liveness) alive(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	return l.heartbeat(ctx, address) == nil
}

func (l *liveness) hasSilentAttempt(agent *watchedAgent) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for attempt := range agent.attempts {
		if attempt.idleTime() >= heartbeatInterval {
			return true
		}
	}
	return false
}

// declareDead cancels every attempt at the agent and drops the connection to
// it.
func (l *liveness) declareDead(address string, agent *watchedAgent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for attempt := range agent.attempts {
		attempt.cancel(errAgentDead)
	}
	if l.agents[address] == agent {
		delete(l.agents, address)
	}
	l.dropConn(address)
}
