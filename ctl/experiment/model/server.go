package model

import (
	"time"

	"persimmonwind.dev/policy/admission"
	"persimmonwind.dev/policy/prefix"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/result"
)

// PollInterval is the time between two reads of an engine's report.
const PollInterval = 100 * time.Millisecond

// Request is one request.
type Request struct {
	Org          string
	Weight       float64
	Priority     int
	Prompt       prefix.Prompt
	AnswerTokens int // Of the answer.
	Timeout      time.Duration
}

// Callbacks tells how an attempt went; exactly one of Refused, Done and Broken
// is called, Begun before Done.
type Callbacks struct {
	Refused    func(err *result.Error)
	FirstToken func(cachedTokens int)
	Done       func()
	Broken     func()
}

// Server is one backend server with its agent.
type Server struct {
	Name    string
	clock   *Clock
	engine  *engine
	agent   admission.State
	started time.Time // Of the agent.
	next    uint64
	asked   map[uint64]asked
	offers  map[uint64]admission.Offer
	fixed   bool // Admit by the true limit instead of the policy.
	waiting []asked
}

type asked struct {
	work    Request
	outcome Callbacks
	ticket  uint64
}

// NewServer returns a cold server. phase shifts its polls.
func NewServer(clock *Clock, name string, shape EngineConfig, phase time.Duration) *Server {
	v := &Server{
		Name: name, clock: clock, engine: newEngine(clock, shape), started: clock.Time(),
		asked: map[uint64]asked{}, offers: map[uint64]admission.Offer{},
	}
	v.configure()
	clock.Every(phase, PollInterval, v.poll)
	return v
}

func (v *Server) configure() {
	v.agent = admission.State{}.Configure(admission.Settings{
		Full: v.engine.FullLimit, Cold: v.engine.ColdLimit, ReportsLoad: true,
	})
}

// Probe returns the agent's offer.
func (v *Server) Probe(prompt prefix.Prompt) admission.Offer {
	v.next++
	v.step(admission.Probed{
		Ticket: v.next, Tokens: prompt.Tokens, Blocks: len(prompt.Blocks), Sample: prefix.Sample(prompt.Blocks),
	})
	offer := v.offers[v.next]
	delete(v.offers, v.next)
	return offer
}

// Submit asks the agent to run the work.
func (v *Server) Submit(work Request, outcome Callbacks) {
	v.next++
	a := asked{work: work, outcome: outcome, ticket: v.next}
	if v.fixed {
		v.askOracle(a)
		return
	}
	v.asked[a.ticket] = a
	v.step(admission.Asked{
		Ticket: a.ticket, Org: work.Org, Weight: work.Weight, Priority: work.Priority,
		Deadline: v.clock.Time().Add(work.Timeout), Prompt: work.Prompt,
	})
}

func (v *Server) step(event reduce.Event) {
	var effects []reduce.Effect
	v.agent, effects = admission.Step(v.agent, reduce.Input{Now: v.clock.Time(), Event: event})
	for _, effect := range effects {
		switch effect := effect.(type) {
		case admission.Offer:
			v.offers[effect.Ticket] = effect
		case admission.Refuse:
			a := v.asked[effect.Ticket]
			delete(v.asked, effect.Ticket)
			a.outcome.Refused(effect.Err)
		case admission.Admit:
			a := v.asked[effect.Ticket]
			delete(v.asked, effect.Ticket)
			v.run(a)
		}
	}
}

// run starts the work at the engine; its signs reach the agent as events.
func (v *Server) run(a asked) {
	agent := v.started
	tell := func(event reduce.Event) {
		if v.started.Equal(agent) && !v.fixed {
			v.step(event)
		}
	}
	v.engine.start(&generation{
		ticket: a.ticket, prompt: a.work.Prompt, tokens: a.work.AnswerTokens,
		on: callbacks{
			begun: func(cached int) {
				a.outcome.FirstToken(cached)
				tell(admission.Begun{Ticket: a.ticket})
			},
			done: func() {
				a.outcome.Done()
				tell(admission.Released{Ticket: a.ticket, Completed: true})
				v.startOracle()
			},
			broken: func() {
				a.outcome.Broken()
				tell(admission.Released{Ticket: a.ticket, Broken: true})
				v.startOracle()
			},
		},
	})
}

// poll reads the engine's report and cache events.
func (v *Server) poll() {
	if v.fixed {
		v.startOracle()
		return
	}
	if v.engine.dead {
		v.step(admission.Unreachable{})
		return
	}
	if report, ok := v.engine.report(); ok {
		report.AgentStarted = v.started
		v.step(report)
	}
	if events := v.engine.cache.take(); len(events) > 0 {
		boot := v.engine.boot
		v.clock.After(v.engine.EventLag, func() {
			if v.engine.boot == boot {
				v.step(admission.CacheChanged{Events: events})
			}
		})
	}
	v.step(reduce.Tick{})
}

// Running returns the number of requests at the engine.
func (v *Server) Running() int { return len(v.engine.generations) }

// Queued returns the number of requests waiting at the agent.
func (v *Server) Queued() int { return v.agent.Queued + len(v.waiting) }

// Overloads returns how often the engine fell over in cold start.
func (v *Server) Overloads() int { return v.engine.overloads }

// ColdStartsOverLimit returns how many requests were started in cold start while more
// work ran than the cold limit, counting also work begun before the cold turn.
func (v *Server) ColdStartsOverLimit() int { return v.engine.pressed }

// SetSlowdown sets the engine's slowness; 1 is the usual.
func (v *Server) SetSlowdown(factor float64) { v.engine.slow = factor }

// TurnCold makes the engine cold without an announcement.
func (v *Server) TurnCold() { v.engine.turnCold() }

// Restart boots the engine anew: its answers break off.
func (v *Server) Restart() { v.engine.reboot() }

// Stop ends the engine for good.
func (v *Server) Stop() {
	v.engine.reboot()
	v.engine.dead = true
}

// RestartAgent replaces the agent: the engine keeps its work, whose answers
// are lost.
func (v *Server) RestartAgent() {
	v.started = v.clock.Time()
	waiting := v.asked
	v.asked = map[uint64]asked{}
	v.configure()
	for _, a := range waiting {
		a.outcome.Refused(&result.Error{Code: result.NoBackendServer})
	}
}

// WarmUp makes the engine warm.
func (v *Server) WarmUp() { v.engine.cold = false }
