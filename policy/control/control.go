// Package control combines the reducers of a process's control state: it passes
// every input to the reducers that it concerns and collects their effects.
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

// Self identifies the process itself; the values come from its settings.
type Self struct {
	ID            string
	Role          string
	DataCentre    string
	BackendServer string // Name of the agent's backend server; empty for entries.
}

// State is the whole control state of a process.
type State struct {
	Self      Self
	View      view.State
	Evidence  evidence.State
	StaleErr  *result.Error    // Why the evidence does not permit new work, or nil.
	Admission admission.State  // Used by agents only.
	Member    expertmap.Member // Used by agents of a group only.
	Leaving   bool             // The process shuts down and takes no new work.
}

// Leave starts a graceful shutdown.
type Leave struct{}

func (Leave) EventName() string { return "control.leave" }

// Announce requests that the process send its state and addresses to every
// entry.
type Announce struct{}

func (Announce) EffectName() string { return "control.announce" }

// Step applies one input to the state and returns the resulting effects.
func Step(state State, input reduce.Input) (State, []reduce.Effect) {
	var effects, moreEffects []reduce.Effect
	_, leaving := input.Event.(Leave)
	state.Leaving = state.Leaving || leaving
	wasTakenOut := state.takenOut()
	state, effects = stepConfiguration(state, input)
	server := state.backendServer()
	state.Admission = state.Admission.Configure(admission.Settings{Full: server.FullLimit, Cold: server.ColdLimit, ReportsLoad: server.Model != ""})
	if wasTakenOut && !state.takenOut() {
		state.Admission, moreEffects = admission.Step(state.Admission, reduce.Input{Now: input.Now, Event: admission.Returned{}})
		effects = append(effects, moreEffects...)
	}
	if leaving {
		effects = append(effects, Announce{})
	}
	state, moreEffects = stepMember(state, server, input)
	effects = append(effects, moreEffects...)
	state, moreEffects = stepAdmission(state, input)
	return state, append(effects, moreEffects...)
}

// stepAdmission passes the input to admission control. While CheckNewWork
// returns an error no work starts: queued work is refused, and so are new
// requests.
func stepAdmission(state State, input reduce.Input) (State, []reduce.Effect) {
	var effects, more []reduce.Effect
	err := state.CheckNewWork()
	if err != nil && state.Admission.Queued > 0 {
		closed := reduce.Input{Now: input.Now, Event: admission.Closed{Err: err}}
		state.Admission, effects = admission.Step(state.Admission, closed)
	}
	if asked, ok := input.Event.(admission.SlotRequested); ok && err != nil {
		return state, append(effects, admission.Refuse{Ticket: asked.Ticket, Err: err})
	}
	state.Admission, more = admission.Step(state.Admission, input)
	return state, append(effects, more...)
}

// New returns the initial state of a process.
func New(self Self) State {
	state := State{Self: self, Evidence: evidence.State{Policy: evidence.DefaultPolicy}}
	state.View.PollAfter = view.EntryPollAfter
	if self.BackendServer != "" {
		state.View.PollAfter = view.AgentPollAfter
	}
	return state
}

// stepConfiguration passes the input to the reducers that track the configuration
// and the evidence that it is current.
func stepConfiguration(state State, input reduce.Input) (State, []reduce.Effect) {
	var effects, more []reduce.Effect
	state.View, effects = view.Step(state.View, input)
	state.Evidence, more = evidence.Step(state.Evidence, state.View, input)
	state.StaleErr = state.Evidence.CheckNewWork(state.View, state.Self.DataCentre, input.Now)
	return state, append(effects, more...)
}

// stepMember passes the input to the reducer for the agent's membership in its
// expert-parallel group, if it has one.
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
