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

// Work is one generation request.
type Work struct {
	Org      string
	Weight   float64
	Priority int
	Prompt   prefix.Prompt
	Tokens   int           // Number of tokens of the answer.
	Deadline time.Duration // Time from the submission to the deadline of the request.
}

// Callbacks receives the result of one attempt. Exactly one of Refused, Done and
// Broken is called. Begun is called at the first token, before Done.
type Callbacks struct {
	Refused func(err *result.Error) // The agent refused the work.
	Begun   func(cachedTokens int)  // The first token arrived; cachedTokens is the number of prompt tokens found in the prefix cache.
	Done    func()                  // The answer is complete.
	Broken  func()                  // The engine stopped or crashed before the answer was complete.
}

// Server is one backend server with its agent.
type Server struct {
	Name           string
	clock          *Clock
	engine         *engine
	admissionState admission.State
	agentStarted   time.Time
	lastTicket     uint64                     // The last ticket issued; a ticket identifies a probe or request at the agent.
	pending        map[uint64]pending         // Requests that the agent has neither admitted nor refused, by ticket.
	offers         map[uint64]admission.Offer // Replies to probes, by ticket.
	oracle         bool                       // Admit by the engine's true limit instead of the policy.
	oracleQueue    []pending
}

// pending is work submitted to a server that has not started.
type pending struct {
	work      Work
	callbacks Callbacks
	ticket    uint64
}

// NewServer returns a server in cold start. phase is the delay of its first poll.
func NewServer(clock *Clock, name string, config EngineConfig, phase time.Duration) *Server {
	s := &Server{
		Name: name, clock: clock, engine: newEngine(clock, config), agentStarted: clock.Time(),
		pending: map[uint64]pending{}, offers: map[uint64]admission.Offer{},
	}
	s.configure()
	clock.Every(phase, PollInterval, s.poll)
	return s
}

func (s *Server) configure() {
	s.admissionState = admission.State{}.Configure(admission.Settings{
		Full: s.engine.Full, Cold: s.engine.Cold, ReportsLoad: true,
	})
}

// Probe asks the agent how soon it could start a request with the prompt. The offer
// is the agent's reply, with its headroom, its queue and its expected time to first
// token.
func (s *Server) Probe(prompt prefix.Prompt) admission.Offer {
	s.lastTicket++
	s.step(admission.Probed{
		Ticket: s.lastTicket, Tokens: prompt.Tokens, Blocks: len(prompt.Blocks), Sample: prefix.Sample(prompt.Blocks),
	})
	offer := s.offers[s.lastTicket]
	delete(s.offers, s.lastTicket)
	return offer
}

// Submit asks the agent to run the work.
func (s *Server) Submit(work Work, callbacks Callbacks) {
	s.lastTicket++
	p := pending{work: work, callbacks: callbacks, ticket: s.lastTicket}
	if s.oracle {
		s.submitToOracle(p)
		return
	}
	s.pending[p.ticket] = p
	s.step(admission.SlotRequested{
		Ticket: p.ticket, Org: work.Org, Weight: work.Weight, Priority: work.Priority,
		Deadline: s.clock.Time().Add(work.Deadline), Prompt: work.Prompt,
	})
}

func (s *Server) step(event reduce.Event) {
	var effects []reduce.Effect
	s.admissionState, effects = admission.Step(s.admissionState, reduce.Input{Now: s.clock.Time(), Event: event})
	for _, effect := range effects {
		switch effect := effect.(type) {
		case admission.Offer:
			s.offers[effect.Ticket] = effect
		case admission.Refuse:
			p := s.pending[effect.Ticket]
			delete(s.pending, effect.Ticket)
			p.callbacks.Refused(effect.Err)
		case admission.Admit:
			p := s.pending[effect.Ticket]
			delete(s.pending, effect.Ticket)
			s.run(p)
		}
	}
}

// run starts the work at the engine. Its first token and its end reach the agent
// as events, unless the agent has restarted since.
func (s *Server) run(p pending) {
	agentAtStart := s.agentStarted
	sendToAgent := func(event reduce.Event) {
		if s.agentStarted.Equal(agentAtStart) && !s.oracle {
			s.step(event)
		}
	}
	s.engine.start(&generation{
		ticket: p.ticket, prompt: p.work.Prompt, answerTokens: p.work.Tokens,
		notify: engineCallbacks{
			firstToken: func(cached int) {
				p.callbacks.Begun(cached)
				sendToAgent(admission.Begun{Ticket: p.ticket})
			},
			done: func() {
				p.callbacks.Done()
				sendToAgent(admission.Released{Ticket: p.ticket, Completed: true})
				s.startOracleQueue()
			},
			broken: func() {
				p.callbacks.Broken()
				sendToAgent(admission.Released{Ticket: p.ticket, Broken: true})
				s.startOracleQueue()
			},
		},
	})
}

// poll reads the engine's report and cache events.
func (s *Server) poll() {
	if s.oracle {
		s.startOracleQueue()
		return
	}
	if s.engine.stopped {
		s.step(admission.Unreachable{})
		return
	}
	if report, ok := s.engine.report(); ok {
		report.AgentStarted = s.agentStarted
		s.step(report)
	}
	if events := s.engine.cache.drainEvents(); len(events) > 0 {
		bootCount := s.engine.bootCount
		s.clock.After(s.engine.EventLag, func() {
			if s.engine.bootCount == bootCount {
				s.step(admission.CacheChanged{Events: events})
			}
		})
	}
	s.step(reduce.Tick{})
}

// Running returns the number of requests at the engine.
func (s *Server) Running() int { return len(s.engine.generations) }

// Queued returns the number of requests waiting at the agent.
func (s *Server) Queued() int { return s.admissionState.Queued + len(s.oracleQueue) }

// Overloads returns how often the engine crashed from overload in cold start.
func (s *Server) Overloads() int { return s.engine.overloadCrashes }

// ColdStartsOverLimit returns how many requests were started in cold start while
// at least as many as the cold limit were running, including those started before
// the engine turned cold.
func (s *Server) ColdStartsOverLimit() int { return s.engine.coldStartsOverLimit }

// SetSlowdown multiplies the engine's step and prefill times by the factor; 1 is
// normal speed.
func (s *Server) SetSlowdown(factor float64) { s.engine.slowdown = factor }

// TurnCold puts the engine into cold start without a reboot, so that the agent
// learns of it only from a later report. Running requests continue.
func (s *Server) TurnCold() { s.engine.turnCold() }

// Restart reboots the engine, which breaks off its running requests.
func (s *Server) Restart() { s.engine.reboot() }

// Stop shuts down the engine permanently.
func (s *Server) Stop() {
	s.engine.reboot()
	s.engine.stopped = true
}

// RestartAgent replaces the agent by one without state. The engine continues its
// running requests, but the new agent is not told when they end; requests that
// waited at the old agent are refused.
func (s *Server) RestartAgent() {
	s.agentStarted = s.clock.Time()
	waiting := s.pending
	s.pending = map[uint64]pending{}
	s.configure()
	for _, p := range waiting {
		p.callbacks.Refused(&result.Error{Code: result.NoBackendServer})
	}
}

// WarmUp ends the engine's cold start.
func (s *Server) WarmUp() { s.engine.cold = false }
