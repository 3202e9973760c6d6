// Package admission decides which work an agent's backend server takes: the
// agent alone admits.
//
// Invariants:
//   - Work is started only while all work at the backend server, also what was
//     not started by this agent, stays within the limit.
//   - After any sign of coldness the limit is the cold limit, until a report
//     taken later says that the backend server is warm, or, where the backend
//     server makes no reports, until work was completed.
//   - Where the backend server reports its load, never more work than the cold
//     limit is under way without proof that the backend server was warm when it
//     began: one that turns cold unannounced meets no more than it can bear.
package admission

import (
	"time"

	"persimmonwind.dev/policy/prefix"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/result"
)

// Settings are what the configuration says of the backend server.
type Settings struct {
	Full    int  // Requests at a time when warm.
	Cold    int  // Requests at a time in cold start.
	Reports bool // The backend server reports its load.
}

// Summary is what traffic goroutines may read of the State.
type Summary struct {
	Limit   int // Requests at a time.
	Running int // Started by this agent.
	Foreign int // At the backend server, but not started by this agent.
	Queued  int
	Cold    bool // In cold start, or in doubt.
	Down    bool // The backend server can't be reached.
	Doubts  int  // Signs of coldness so far.
}

// State is the agent's account of its backend server. Only the Summary may be
// read by other goroutines than the reducer's.
type State struct {
	Summary
	settings Settings
	limit    limiter
	pace     pace
	queue    queue
	running  map[uint64]*work
	history  history

	lastBegun time.Time // When the last first piece came.
	index     *prefix.Index
}

// work is one piece of work that has been started.
type work struct {
	started time.Time
	cost    float64   // Tokens that the backend server reads before the first piece.
	begun   time.Time // When the backend server sent the first piece; zero before.
	inDoubt bool      // Started while the backend server counted as cold.
	proved  bool      // Begun by a warm backend server.
	ended   time.Time // When its answer was given up or broken off; zero before.
}

// Asked is a request for a slot; Ticket names it in the effects.
type Asked struct {
	Ticket   uint64
	Org      string
	Weight   float64 // Share of the organisation; 0 counts as 1.
	Priority int     // 0 is the highest.
	Deadline time.Time
	Prompt   prefix.Prompt // Empty for a plain service.
}

// EventName implements reduce.Event.
func (Asked) EventName() string { return "admission.asked" }

// Left tells that the asker of a slot has gone before it got an answer.
type Left struct{ Ticket uint64 }

// EventName implements reduce.Event.
func (Left) EventName() string { return "admission.left" }

// Closed tells why no new work may be started now: what is queued is refused.
type Closed struct{ Err *result.Error }

// EventName implements reduce.Event.
func (Closed) EventName() string { return "admission.closed" }

// Begun tells that the backend server has sent the first piece of an answer.
type Begun struct{ Ticket uint64 }

// EventName implements reduce.Event.
func (Begun) EventName() string { return "admission.begun" }

// Released gives a slot back.
type Released struct {
	Ticket    uint64
	Completed bool // The backend server answered in whole.
	Broken    bool // The backend server broke the answer off.
}

// EventName implements reduce.Event.
func (Released) EventName() string { return "admission.released" }

// Admit grants the slot to the ticket.
type Admit struct{ Ticket uint64 }

// EffectName implements reduce.Effect.
func (Admit) EffectName() string { return "admission.admit" }

// Refuse denies the slot to the ticket.
type Refuse struct {
	Ticket uint64
	Err    *result.Error
}

// EffectName implements reduce.Effect.
func (Refuse) EffectName() string { return "admission.refuse" }

// Configure takes in the settings; the zero State is valid.
func (s State) Configure(settings Settings) State {
	if s.running == nil {
		s.running = map[uint64]*work{}
		s.index = prefix.NewIndex()
		s.queue = newQueue()
		s.limit = newLimiter()
	}
	settings.Cold = min(max(1, settings.Cold), settings.Full)
	s.settings = settings
	return s
}

// Step reduces one input. The state must have been configured.
func Step(state State, input reduce.Input) (State, []reduce.Effect) {
	effects := state.handle(input)
	effects = append(effects, state.expire(input.Now)...)
	effects = append(effects, state.start(input.Now)...)
	state.summarise()
	return state, effects
}

func (s *State) handle(input reduce.Input) []reduce.Effect {
	switch event := input.Event.(type) {
	case Asked:
		return s.ask(event, input.Now)
	case Left:
		return s.leave(event.Ticket)
	case Closed:
		return s.close(event.Err, input.Now)
	case Begun:
		s.begin(event, input.Now)
	case Released:
		s.release(event, input.Now)
	case Reported:
		s.report(event)
	case Returned:
		s.limit.doubt(input.Now, signReturned)
	case Unreachable:
		s.limit.unreachable(input.Now)
	case CacheChanged:
		s.index.Apply(event.Events)
	case Probed:
		return []reduce.Effect{s.offer(event)}
	case reduce.Tick:
		s.limit.tick(s.settings, input.Now)
	}
	return nil
}

// ask queues the work, unless the wait would be too long: then it is refused
// at once, or pushes out the queued work that is furthest beyond its
// organisation's share.
func (s *State) ask(event Asked, now time.Time) []reduce.Effect {
	if s.limit.down {
		return []reduce.Effect{Refuse{Ticket: event.Ticket, Err: s.refusal()}}
	}
	s.queue.push(event, s.cost(event.Prompt), now)
	if s.wait() <= maxWait || s.startable() >= s.queue.len() {
		return nil
	}
	last := s.queue.popLast()
	return []reduce.Effect{Refuse{Ticket: last.Ticket, Err: s.refusal()}}
}

// leave refuses the ticket if it is still queued.
func (s *State) leave(ticket uint64) []reduce.Effect {
	if !s.queue.remove(ticket) {
		return nil
	}
	return []reduce.Effect{Refuse{Ticket: ticket, Err: &result.Error{Code: result.Cancelled}}}
}

// close refuses all queued work.
func (s *State) close(err *result.Error, now time.Time) []reduce.Effect {
	var effects []reduce.Effect
	for _, ticket := range s.queue.popOverdue(now, true) {
		effects = append(effects, Refuse{Ticket: ticket, Err: err})
	}
	return effects
}

// expire refuses the queued work that has waited too long or whose deadline
// has passed, and all of it when the backend server can't be reached.
func (s *State) expire(now time.Time) []reduce.Effect {
	var effects []reduce.Effect
	for _, ticket := range s.queue.popOverdue(now, s.limit.down) {
		effects = append(effects, Refuse{Ticket: ticket, Err: s.refusal()})
	}
	return effects
}

// start admits queued work while it may be started.
func (s *State) start(now time.Time) []reduce.Effect {
	var effects []reduce.Effect
	for s.queue.len() > 0 && s.startable() > 0 {
		asked := s.queue.popFirst()
		ticket := asked.Ticket
		s.running[ticket] = &work{started: now, cost: s.cost(asked.Prompt), inDoubt: s.limit.doubted()}
		s.index.RecordPrompt(asked.Prompt.Blocks)
		s.history.record(now, s.alive())
		effects = append(effects, Admit{Ticket: ticket})
	}
	return effects
}

// startable returns how much more work may be started now.
func (s *State) startable() int {
	if s.limit.down || s.limit.unknown(s.settings) {
		return 0
	}
	within := max(0, s.currentLimit()-len(s.running)-s.limit.foreign)
	if !s.settings.Reports {
		return within
	}
	return max(0, min(within, s.settings.Cold-s.unproved()))
}

// alive counts the running work whose answer was not given up.
func (s *State) alive() int {
	count := 0
	for _, w := range s.running {
		if w.ended.IsZero() {
			count++
		}
	}
	return count
}

// unproved counts the work that may be a burden to a backend server which has
// turned cold unnoticed: it was started, and neither its first piece nor a
// later report has shown that the backend server was warm.
func (s *State) unproved() int {
	count := 0
	for _, w := range s.running {
		if !w.proved {
			count++
		}
	}
	return count
}

func (s *State) currentLimit() int { return s.limit.current(s.settings) }

func (s *State) begin(event Begun, now time.Time) {
	w, ok := s.running[event.Ticket]
	if !ok || !w.begun.IsZero() {
		return
	}
	w.begun = now
	s.judge(w, now)
}

// judge takes a late first piece for a sign of coldness; one in time proves,
// once the usual pace is known, that the backend server was warm. A backend
// server reads one prompt after the other, so the time counts from the first
// piece before.
func (s *State) judge(w *work, now time.Time) {
	took, cost := now.Sub(later(w.started, s.lastBegun)), w.cost
	s.lastBegun = now
	if s.limit.doubted() || w.inDoubt {
		s.pace.learnCold(took, cost)
		return
	}
	if s.pace.late(took, cost) {
		s.limit.doubt(now, signLate)
		s.pace.suspect(took, cost)
		return
	}
	if s.pace.known() {
		s.prove(w)
	}
	s.pace.sample(now, took, cost)
	if !s.settings.Reports {
		s.pace.confirm(now)
	}
}

func later(one, two time.Time) time.Time {
	if one.After(two) {
		return one
	}
	return two
}

// prove records that the backend server was warm when the work began.
func (s *State) prove(w *work) {
	if !w.proved {
		w.proved = true
		s.limit.raise(s.settings, len(s.running))
	}
}

// cost returns the tokens that the backend server reads before the first
// piece of the answer to the prompt.
func (s *State) cost(prompt prefix.Prompt) float64 {
	cached := s.index.Lookup(prefix.Sample(prompt.Blocks), len(prompt.Blocks))
	return cost(prompt.Tokens, cached)
}

// pending returns the cost of the started work without a first piece.
func (s *State) pending() float64 {
	total := 0.0
	for _, w := range s.running {
		if w.begun.IsZero() && w.ended.IsZero() {
			total += w.cost
		}
	}
	return total
}

// release gives the slot back. Work that was given up or broken off may still
// run at the backend server, so where that reports its load, the slot stays
// taken until a later report has shown what runs.
func (s *State) release(event Released, now time.Time) {
	w, ok := s.running[event.Ticket]
	if !ok || !w.ended.IsZero() {
		return
	}
	if event.Broken {
		s.limit.doubt(now, signReset)
	}
	w.ended = now
	if event.Completed || !s.settings.Reports {
		delete(s.running, event.Ticket)
	}
	s.history.record(now, s.alive())
	if event.Completed {
		s.pace.complete(now.Sub(w.started))
		s.limit.completed(s.settings, len(s.running)+1)
	}
}

// settle frees the slots of work that ended before the report was true.
func (s *State) settle(at time.Time) {
	for ticket, w := range s.running {
		if !w.ended.IsZero() && at.After(w.ended) {
			delete(s.running, ticket)
		}
	}
}

func (s *State) summarise() {
	s.Summary = Summary{
		Limit: s.currentLimit(), Running: len(s.running), Foreign: s.limit.foreign, Queued: s.queue.len(),
		Cold: s.limit.doubted(), Down: s.limit.down, Doubts: s.limit.doubts,
	}
}

// refusal tells why no more work is taken, and when to come back.
func (s *State) refusal() *result.Error {
	err := &result.Error{Code: result.Overloaded, RetryAfter: s.comeBack()}
	switch {
	case s.limit.down:
		err.Code, err.RetryAfter = result.NoBackendServer, downRetryAfter
	case s.limit.doubted():
		err.Code = result.ColdStart
	}
	return err
}

// comeBack is the time in which the queue will have shrunk by half.
func (s *State) comeBack() time.Duration {
	return max(minRetryAfter, s.wait()/2)
}

// wait is the expected time in the queue of the work queued last: for a slot,
// and for the prompts before it to be read.
func (s *State) wait() time.Duration {
	reading := s.pace.first(s.queue.cost, s.limit.doubted())
	beyond := len(s.running) + s.limit.foreign + s.queue.len() - s.currentLimit()
	if beyond <= 0 || s.currentLimit() == 0 {
		return reading
	}
	return reading + s.pace.service()*time.Duration(beyond)/time.Duration(s.currentLimit())
}
