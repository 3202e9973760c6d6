// Package control is the one reducer of a process's control state: it passes
// every input to the parts that concern it and collects their effects.
package control

import (
	"persimmonwind.dev/policy/admission"
	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/evidence"
	"persimmonwind.dev/policy/expertmap"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/policy/view"
)

// Self is what a process knows of itself from its settings.
type Self struct {
	ID            string
	Role          string
	DataCentre    string
	BackendServer string // Agents only.
}

// State is the whole control state of a process.
type State struct {
	Self      Self
	View      view.State
	Evidence  evidence.State
	StaleErr  *result.Error    // Why the evidence permits no new work, or nil.
	Admission admission.State  // Agents only.
	Member    expertmap.Member // Agents of a group only.
	Leaving   bool
}

// Leave starts a graceful shutdown.
type Leave struct{}

// EventName implements reduce.Event.
func (Leave) EventName() string { return "control.leave" }

// Announce asks to tell every entry how this process is and where it listens.
type Announce struct{}

// EffectName implements reduce.Effect.
func (Announce) EffectName() string { return "control.announce" }

// Step reduces one input.
func Step(state State, input reduce.Input) (State, []reduce.Effect) {
	var effects, more []reduce.Effect
	_, leaves := input.Event.(Leave)
	state.Leaving = state.Leaving || leaves
	wasOut := state.takenOut()
	state, effects = stepConfiguration(state, input)
	server := state.backendServer()
	state.Admission = state.Admission.Configure(admission.Settings{Full: server.FullLimit, Cold: server.ColdLimit, Reports: server.Model != ""})
	if wasOut && !state.takenOut() {
		state.Admission, more = admission.Step(state.Admission, reduce.Input{Now: input.Now, Event: admission.Returned{}})
		effects = append(effects, more...)
	}
	if leaves {
		effects = append(effects, Announce{})
	}
	state, more = stepMember(state, server, input)
	effects = append(effects, more...)
	state, more = stepAdmission(state, input)
	return state, append(effects, more...)
}

// stepAdmission reduces the input in the admission of work. While the gate is
// closed nothing is started: neither what is asked for now nor what was queued
// before.
func stepAdmission(state State, input reduce.Input) (State, []reduce.Effect) {
	var effects, more []reduce.Effect
	err := state.CheckNewWork()
	if err != nil && state.Admission.Queued > 0 {
		closed := reduce.Input{Now: input.Now, Event: admission.Closed{Err: err}}
		state.Admission, effects = admission.Step(state.Admission, closed)
	}
	if asked, ok := input.Event.(admission.Asked); ok && err != nil {
		return state, append(effects, admission.Refuse{Ticket: asked.Ticket, Err: err})
	}
	state.Admission, more = admission.Step(state.Admission, input)
	return state, append(effects, more...)
}

// New returns the first state of a process.
func New(self Self) State {
	state := State{Self: self, Evidence: evidence.State{Policy: evidence.DefaultPolicy}}
	state.View.PollAfter = view.EntryPollAfter
	if self.BackendServer != "" {
		state.View.PollAfter = view.AgentPollAfter
	}
	return state
}

// stepConfiguration reduces the input in the parts that know the
// configuration and how current it is.
func stepConfiguration(state State, input reduce.Input) (State, []reduce.Effect) {
	var effects, more []reduce.Effect
	state.View, effects = view.Step(state.View, input)
	state.Evidence, more = evidence.Step(state.Evidence, state.View, input)
	state.StaleErr = state.Evidence.CheckNewWork(state.View, state.Self.DataCentre, input.Now)
	return state, append(effects, more...)
}

// stepMember reduces the input in the agent's part in its group.
func stepMember(state State, server config.BackendServer, input reduce.Input) (State, []reduce.Effect) {
	if server.Group == "" {
		return state, nil
	}
	size := 0
	for _, other := range state.View.InForce.BackendServers {
		if other.Group == server.Group {
			size++
		}
	}
	state.Member = state.Member.Configure(state.Self.ID, server.Group, server.Rank, size)
	var effects []reduce.Effect
	state.Member, effects = expertmap.StepMember(state.Member, input)
	return state, effects
}

func (s State) backendServer() config.BackendServer {
	if s.View.InForce == nil {
		return config.BackendServer{}
	}
	return s.View.InForce.BackendServers[s.Self.BackendServer]
}

// takenOut reports whether the agent's backend server is out of service.
func (s State) takenOut() bool {
	return s.View.InForce != nil && s.View.InForce.TakenOut(s.backendServer())
}

// CheckNewWork returns why the agent may not start new work, or nil.
func (s State) CheckNewWork() *result.Error {
	switch {
	case s.Leaving:
		return result.Errorf(result.Leaving, "agent %q is leaving", s.Self.ID)
	case s.View.InForce == nil:
		return result.Errorf(result.NotReady, "agent %q has no configuration", s.Self.ID)
	case s.takenOut():
		return result.Errorf(result.DataCentreOut, "backend server %q is taken out", s.Self.BackendServer)
	case s.Member.Blocked:
		return result.Errorf(result.GroupWaiting, "rank %d of group %q waits for its expert map", s.Member.Rank, s.Member.Group)
	case s.StaleErr != nil:
		return s.StaleErr
	}
	return nil
}
