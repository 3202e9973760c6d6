package expertmap

import (
	"time"

	"persimmonwind.dev/policy/lease"
	"persimmonwind.dev/policy/reduce"
)

const (
	leaseDelayPerRank = 500 * time.Millisecond // Spreads the candidates for a lapsed lease over time.
	blockedTimeout    = 3 * time.Second        // After it a rank that can't run takes no new work.
)

// Member is an agent's part in its group: its rank, and the coordinator while
// it holds the group's lease. The zero value is no member of any group.
type Member struct {
	Group          string
	Rank           int
	Size           int // Number of ranks.
	Lease          lease.State
	Coordinator    Coordinator
	Orders         Rank
	LastRunnableAt time.Time // When the engine was last seen able to run.
	Blocked        bool      // The engine has waited for its map for too long.
}

// EngineReported brings the engine's state as its agent sees it.
type EngineReported struct{ State EngineState }

// EventName implements reduce.Event.
func (EngineReported) EventName() string { return "expertmap.engine_seen" }

// Configure makes the agent the member of its group; a group keeps its size
// while its agents run.
func (m Member) Configure(self, group string, rank, size int) Member {
	if m.Group != "" || group == "" {
		return m
	}
	wait := time.Duration(rank) * leaseDelayPerRank
	return Member{Group: group, Rank: rank, Size: size, Lease: lease.State{Self: self, TakeoverDelay: wait}}
}

// StepMember reduces one input.
func StepMember(m Member, input reduce.Input) (Member, []reduce.Effect) {
	if m.Group == "" {
		return m, nil
	}
	if seen, ok := input.Event.(EngineReported); ok {
		return m.seen(seen.State, input.Now), nil
	}
	var effects, more []reduce.Effect
	held := m.Lease.Held
	m.Lease, effects = lease.Step(m.Lease, input)
	m.Orders, more = StepRank(m.Orders, input)
	effects = append(effects, more...)
	for _, effect := range more {
		if forward, ok := effect.(Forward); ok {
			m.Lease, _ = lease.Step(m.Lease, reduce.Input{Now: input.Now, Event: lease.HolderHeard{Fence: forward.Order.Number.Fence}})
		}
	}
	if m.Lease.Held && (!held || m.Coordinator.Number.Fence < m.Lease.Fence) {
		m.Coordinator, more = StepCoordinator(m.Coordinator, reduce.Input{Now: input.Now, Event: LeaseAcquired{Fence: m.Lease.Fence, Ranks: m.Size}})
		effects = append(effects, more...)
	}
	if held && !m.Lease.Held {
		m.Coordinator, _ = StepCoordinator(m.Coordinator, reduce.Input{Now: input.Now, Event: LeaseLost{}})
	}
	m.Coordinator, more = StepCoordinator(m.Coordinator, input)
	return m, append(effects, more...)
}

func (m Member) seen(state EngineState, now time.Time) Member {
	if state.CanRunNext() || m.LastRunnableAt.IsZero() {
		m.LastRunnableAt = now
	}
	m.Blocked = now.Sub(m.LastRunnableAt) > blockedTimeout
	return m
}
