package expertmap

import (
	"time"

	"persimmonwind.dev/policy/lease"
	"persimmonwind.dev/policy/reduce"
)

const (
	leaseDelayPerRank = 500 * time.Millisecond // Staggers the candidates for an expired lease: each rank waits this much longer than the one before it.
	blockedTimeout    = 3 * time.Second        // A rank whose engine can't run for longer than this takes no new work.
)

// Member is the state of an agent as member of its group: its rank, and the
// coordinator while it holds the group's lease. The zero value belongs to no
// group.
type Member struct {
	Group          string
	Rank           int
	Size           int         // Number of ranks.
	Lease          lease.State // The group's lease as this agent knows it.
	Coordinator    Coordinator // Passive unless this agent holds the lease.
	OrderFilter    Rank        // Decides which orders are forwarded to the engine.
	LastRunnableAt time.Time   // When the engine was last known to be able to run.
	Blocked        bool        // The engine has been unable to run for longer than blockedTimeout.
}

// EngineReported carries the engine's state, which its agent polls.
type EngineReported struct{ State EngineState }

func (EngineReported) EventName() string { return "expertmap.engine_seen" }

// Configure makes the agent a member of the group. Later calls have no effect:
// an agent keeps its group, and the group its size, while the agent runs.
func (m Member) Configure(self, group string, rank, size int) Member {
	if m.Group != "" || group == "" {
		return m
	}
	takeoverDelay := time.Duration(rank) * leaseDelayPerRank
	return Member{Group: group, Rank: rank, Size: size, Lease: lease.State{Self: self, TakeoverDelay: takeoverDelay}}
}

// StepMember applies one input and returns the new state and its effects.
func StepMember(m Member, input reduce.Input) (Member, []reduce.Effect) {
	if m.Group == "" {
		return m, nil
	}
	if seen, ok := input.Event.(EngineReported); ok {
		return m.seen(seen.State, input.Now), nil
	}
	var effects, more []reduce.Effect
	wasHolder := m.Lease.IsHolder
	m.Lease, effects = lease.Step(m.Lease, input)
	m.OrderFilter, more = StepRank(m.OrderFilter, input)
	effects = append(effects, more...)
	for _, effect := range more {
		if forward, ok := effect.(Forward); ok {
			m.Lease, _ = lease.Step(m.Lease, reduce.Input{Now: input.Now, Event: lease.HolderSeen{Fence: forward.Order.Number.Fence}})
		}
	}
	if m.Lease.IsHolder && (!wasHolder || m.Coordinator.Number.Fence < m.Lease.Fence) {
		m.Coordinator, more = StepCoordinator(m.Coordinator, reduce.Input{Now: input.Now, Event: LeaseAcquired{Fence: m.Lease.Fence, Ranks: m.Size}})
		effects = append(effects, more...)
	}
	if wasHolder && !m.Lease.IsHolder {
		m.Coordinator, _ = StepCoordinator(m.Coordinator, reduce.Input{Now: input.Now, Event: LeaseLost{}})
	}
	m.Coordinator, more = StepCoordinator(m.Coordinator, input)
	return m, append(effects, more...)
}

// seen updates whether the engine is blocked from its reported state.
func (m Member) seen(state EngineState, now time.Time) Member {
	if state.CanRunNext() || m.LastRunnableAt.IsZero() {
		m.LastRunnableAt = now
	}
	m.Blocked = now.Sub(m.LastRunnableAt) > blockedTimeout
	return m
}
