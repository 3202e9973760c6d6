package agent

import (
	"context"
	"errors"
	"time"

	"persimmonwind.dev/policy/admission"
	"persimmonwind.dev/policy/prefix"
	"persimmonwind.dev/server/ports"
)

const (
	pollInterval = 100 * time.Millisecond
	pollTimeout  = time.Second
)

// poller reads a model engine's load reports and cache events and posts them
// to the control loop.
type poller struct {
	agent        *Agent
	startedAt    time.Time
	bootID       string
	lastCacheSeq uint64 // Sequence number of the last cache event read.
}

// run polls until ctx ends; for a plain service it only waits.
func (p *poller) run(ctx context.Context) error {
	p.startedAt = time.Now()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		if p.agent.engine != nil {
			p.poll(ctx)
		}
	}
}

func (p *poller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := p.agent.engine.Load(ctx)
	if errors.Is(err, ports.ErrUnavailable) {
		p.agent.node.Loop.Post(admission.Unreachable{})
	}
	if err != nil {
		return
	}
	if load.BootID != p.bootID {
		p.bootID, p.lastCacheSeq = load.BootID, 0
	}
	p.agent.node.Loop.Post(admission.Reported{
		BootID: load.BootID, Running: load.Running, Waiting: load.Waiting, CachedTokens: load.CachedTokens,
		Cold: load.Cold, At: load.At, AgentStarted: p.startedAt,
	})
	p.pollCache(ctx)
}

func (p *poller) pollCache(ctx context.Context) {
	events, err := p.agent.engine.CacheEvents(ctx, p.lastCacheSeq)
	if err != nil || len(events) == 0 {
		return
	}
	p.lastCacheSeq = events[len(events)-1].Seq
	changed := make([]prefix.Event, len(events))
	for index, event := range events {
		changed[index] = prefix.Event{Seq: event.Seq, Block: event.Block, Added: event.Added}
	}
	p.agent.node.Loop.Post(admission.CacheChanged{Events: changed})
}
