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
	heartbeatInterval = time.Second
	heartbeatTimeout  = time.Second
	maxMissed         = 2 // Heartbeats in a row.
)

// errAgentDead means that an agent answers no heartbeats.
var errAgentDead = errors.New("agent answers no heartbeats")

// liveness watches the agents that attempts wait for. All attempts at one agent
// share its heartbeats.
type liveness struct {
	beat func(ctx context.Context, address string) error
	drop func(address string)

	mu     sync.Mutex
	agents map[string]*watchedAgent
}

// watchedAgent is one agent with the attempts that wait for it.
type watchedAgent struct {
	attempts map[*watchdog]struct{}
	stop     context.CancelFunc
}

func newLiveness(n *node.Node) *liveness {
	beat := func(ctx context.Context, address string) error {
		var reply wire.ExchangeReply
		err := n.Pool.Call(ctx, address, "Peer.Exchange", wire.ExchangeRequest{Stamp: n.Stamp()}, &reply)
		if err == nil {
			n.ObserveStamp(reply.Stamp)
		}
		return err
	}
	return &liveness{beat: beat, drop: n.Pool.Drop, agents: map[string]*watchedAgent{}}
}

// watch ends the attempt if the agent at the control address dies; the returned
// function ends the watching.
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

// run sends heartbeats while an attempt waits for the agent in silence.
func (l *liveness) run(ctx context.Context, address string, agent *watchedAgent) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for missed := 0; missed < maxMissed; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if !l.anySilent(agent) || l.answers(ctx, address) {
			missed = 0
		} else {
			missed++
		}
	}
	l.declareDead(address, agent)
}

func (l *liveness) answers(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	return l.beat(ctx, address) == nil
}

func (l *liveness) anySilent(agent *watchedAgent) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for attempt := range agent.attempts {
		if attempt.silence() >= heartbeatInterval {
			return true
		}
	}
	return false
}

// declareDead ends every attempt that waits for the agent.
func (l *liveness) declareDead(address string, agent *watchedAgent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for attempt := range agent.attempts {
		attempt.cancel(errAgentDead)
	}
	if l.agents[address] == agent {
		delete(l.agents, address)
	}
	l.drop(address)
}
