// Package admission decides which requests an agent sends to its backend server
// and when. Only the agent admits requests.
//
// A backend server in cold start, for example after a restart, is slow and can
// handle only few concurrent requests; otherwise it is warm. The agent may learn of
// a cold start late, so it looks for signs of one, such as a late first chunk (a
// chunk is one part of a streamed answer). Some backend servers also report their
// load and whether they are in cold start.
//
// Invariants:
//   - Work is started only while all work at the backend server, including work
//     not started by this agent, stays within the concurrency limit.
//   - After any sign of a cold start the limit is the cold limit (Settings.Cold),
//     until a report taken later says that the backend server is warm or, if the
//     backend server makes no reports, until enough work was completed.
//   - If the backend server reports its load, the work in flight without proof
//     that the backend server was warm when the work began never exceeds the cold
//     limit. A backend server that turns cold unannounced therefore gets no more
//     work than it can handle.
package admission

import (
	"time"

	"persimmonwind.dev/policy/prefix"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/result"
)

// Settings holds the limits of the backend server.
type Settings struct {
	Full        int  // Maximum concurrent requests when warm.
	Cold        int  // Maximum concurrent requests in cold start.
	ReportsLoad bool // The backend server reports its load.
}

// Summary is the part of the State that traffic goroutines may read.
type Summary struct {
	Limit     int  // Current maximum of concurrent requests.
	Running   int  // Requests started by this agent.
	External  int  // Requests at the backend server not started by this agent.
	Queued    int  // Requests that wait for a slot.
	Cold      bool // The backend server is, or is suspected to be, in cold start.
	Down      bool // The backend server can't be connected to.
	ColdSigns int  // Times that a cold start was newly suspected.
}

// State is what the agent knows about its backend server. Goroutines other than
// the reducer's may read only the Summary.
type State struct {
	Summary
	settings      Settings
	limit         limiter
	speedEstimate speedEstimate
	queue         queue
	running       map[uint64]*work
	history       history

	lastFirstChunkAt time.Time // When the first chunk of any answer last arrived.
	index            *prefix.Index
}

// work is one request that has been started.
type work struct {
	startedAt     time.Time
	cost          float64   // Estimated work before the first chunk of the answer, in tokens; see the function cost.
	firstChunkAt  time.Time // When the first chunk of the answer arrived; zero before.
	startedCold   bool      // Started while the backend server counted as cold.
	confirmedWarm bool      // The backend server is known to have been warm when it began the work.
	endedAt       time.Time // When the caller abandoned the request or the answer was cut off; zero before.
}

// SlotRequested asks for a slot, that is, permission to start one request at the
// backend server. Ticket identifies the request in the effects.
type SlotRequested struct {
	Ticket   uint64
	Org      string
	Weight   float64 // The organisation's weight in fair queueing; 0 counts as 1.
	Priority int     // 0 is the highest.
	Deadline time.Time
	Prompt   prefix.Prompt // Empty for a plain service.
}

func (SlotRequested) EventName() string { return "admission.asked" }

// Left reports that the caller has disconnected before its request for a slot was
// decided.
type Left struct{ Ticket uint64 }

func (Left) EventName() string { return "admission.left" }

// Closed reports that no new work may be started now; all queued work is refused
// with Err, which says why.
type Closed struct{ Err *result.Error }

func (Closed) EventName() string { return "admission.closed" }

// Begun reports that the first chunk of the answer to a started request has
// arrived from the backend server.
type Begun struct{ Ticket uint64 }

func (Begun) EventName() string { return "admission.begun" }

// Released returns the slot of a started request, which has ended.
type Released struct {
	Ticket    uint64
	Completed bool // The backend server sent the whole answer.
	Broken    bool // The backend server broke the answer off before its end.
}

func (Released) EventName() string { return "admission.released" }

// Admit grants a slot to the request with this ticket.
type Admit struct{ Ticket uint64 }

func (Admit) EffectName() string { return "admission.admit" }

// Refuse denies a slot to the request with this ticket.
type Refuse struct {
	Ticket uint64
	Err    *result.Error
}

func (Refuse) EffectName() string { return "admission.refuse" }

// Configure returns the state with new settings. The zero State is valid.
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

// Step applies one input to the state and returns the resulting effects. The
// state must have been configured.
func Step(state State, input reduce.Input) (State, []reduce.Effect) {
	effects := state.handle(input)
	effects = append(effects, state.expire(input.Now)...)
	effects = append(effects, state.start(input.Now)...)
	state.updateSummary()
	return state, effects
}

func (s *State) handle(input reduce.Input) []reduce.Effect {
	switch event := input.Event.(type) {
	case SlotRequested:
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
		s.limit.suspectCold(input.Now, signReturned)
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

// ask queues the request. If the wait would be too long, it refuses at once the
// queued request with the greatest finish time in the fair queue, which belongs to
// the organisation furthest beyond its fair share and may be the new request.
func (s *State) ask(event SlotRequested, now time.Time) []reduce.Effect {
	if s.limit.down {
		return []reduce.Effect{Refuse{Ticket: event.Ticket, Err: s.refusal()}}
	}
	s.queue.push(event, s.cost(event.Prompt), now)
	if s.expectedWait() <= maxWait || s.availableSlots() >= s.queue.len() {
		return nil
	}
	last := s.queue.popLast()
	return []reduce.Effect{Refuse{Ticket: last.Ticket, Err: s.refusal()}}
}

// leave removes the ticket from the queue and refuses it if it is still queued.
func (s *State) leave(ticket uint64) []reduce.Effect {
	if !s.queue.remove(ticket) {
		return nil
	}
	return []reduce.Effect{Refuse{Ticket: ticket, Err: &result.Error{Code: result.Cancelled}}}
}

// close refuses all queued work with the given error.
func (s *State) close(err *result.Error, now time.Time) []reduce.Effect {
	var effects []reduce.Effect
	for _, ticket := range s.queue.popExpired(now, true) {
		effects = append(effects, Refuse{Ticket: ticket, Err: err})
	}
	return effects
}

// expire refuses the queued work that has waited too long or whose deadline
// has passed, and all of it when the backend server can't be reached.
func (s *State) expire(now time.Time) []reduce.Effect {
	var effects []reduce.Effect
	for _, ticket := range s.queue.popExpired(now, s.limit.down) {
		effects = append(effects, Refuse{Ticket: ticket, Err: s.refusal()})
	}
	return effects
}

// start admits queued work in the order of the fair queue while slots are
// available.
func (s *State) start(now time.Time) []reduce.Effect {
	var effects []reduce.Effect
	for s.queue.len() > 0 && s.availableSlots() > 0 {
		request := s.queue.popFirst()
		ticket := request.Ticket
		s.running[ticket] = &work{startedAt: now, cost: s.cost(request.Prompt), startedCold: s.limit.coldSuspected()}
		s.index.RecordPrompt(request.Prompt.Blocks)
		s.history.record(now, s.activeCount())
		effects = append(effects, Admit{Ticket: ticket})
	}
	return effects
}

// availableSlots returns how many more requests may be started now.
func (s *State) availableSlots() int {
	if s.limit.down || s.limit.unknown(s.settings) {
		return 0
	}
	free := max(0, s.currentLimit()-len(s.running)-s.limit.externalRequests)
	if !s.settings.ReportsLoad {
		return free
	}
	return max(0, min(free, s.settings.Cold-s.unconfirmed()))
}

// activeCount returns the number of running requests whose answer was neither
// abandoned nor cut off.
func (s *State) activeCount() int {
	count := 0
	for _, w := range s.running {
		if w.endedAt.IsZero() {
			count++
		}
	}
	return count
}

// unconfirmed returns the number of started requests for which neither the first
// chunk nor a later report has shown that the backend server was warm when it began
// them. They could overload a backend server that has gone into cold start without
// the agent having noticed.
func (s *State) unconfirmed() int {
	count := 0
	for _, w := range s.running {
		if !w.confirmedWarm {
			count++
		}
	}
	return count
}

func (s *State) currentLimit() int { return s.limit.current(s.settings) }

func (s *State) begin(event Begun, now time.Time) {
	w, ok := s.running[event.Ticket]
	if !ok || !w.firstChunkAt.IsZero() {
		return
	}
	w.firstChunkAt = now
	s.evaluateFirstChunk(w, now)
}

// evaluateFirstChunk evaluates the time from the start of a request to the first
// chunk of its answer. A late first chunk is a sign of a cold start. One that is
// in time proves that the backend server was warm, once there are enough samples
// of its usual speed. A backend server reads one prompt after the other, so the
// time is counted from the previous first chunk if that is later than the start.
func (s *State) evaluateFirstChunk(w *work, now time.Time) {
	took, cost := now.Sub(later(w.startedAt, s.lastFirstChunkAt)), w.cost
	s.lastFirstChunkAt = now
	if s.limit.coldSuspected() || w.startedCold {
		s.speedEstimate.learnCold(took, cost)
		return
	}
	if s.speedEstimate.late(took, cost) {
		s.limit.suspectCold(now, signLate)
		s.speedEstimate.recordLate(took, cost)
		return
	}
	if s.speedEstimate.calibrated() {
		s.confirmWarm(w)
	}
	s.speedEstimate.addSample(now, took, cost)
	if !s.settings.ReportsLoad {
		s.speedEstimate.learnUntil(now)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// confirmWarm records that the backend server was warm when the work began.
func (s *State) confirmWarm(w *work) {
	if !w.confirmedWarm {
		w.confirmedWarm = true
		s.limit.raise(s.settings, len(s.running))
	}
}

// cost returns the prompt tokens, with a fixed addition, that the backend server
// processes before the first chunk of the answer: those not in its prefix cache.
func (s *State) cost(prompt prefix.Prompt) float64 {
	cached := s.index.Lookup(prefix.Sample(prompt.Blocks), len(prompt.Blocks))
	return cost(prompt.Tokens, cached)
}

// pendingCost returns the cost of all started work for which no first chunk has
// arrived yet.
func (s *State) pendingCost() float64 {
	total := 0.0
	for _, w := range s.running {
		if w.firstChunkAt.IsZero() && w.endedAt.IsZero() {
			total += w.cost
		}
	}
	return total
}

// release returns the slot. Work that was abandoned or cut off may still run at
// the backend server. If the backend server reports its load, the slot therefore
// stays taken until a later report has shown what runs.
func (s *State) release(event Released, now time.Time) {
	w, ok := s.running[event.Ticket]
	if !ok || !w.endedAt.IsZero() {
		return
	}
	if event.Broken {
		s.limit.suspectCold(now, signReset)
	}
	w.endedAt = now
	if event.Completed || !s.settings.ReportsLoad {
		delete(s.running, event.Ticket)
	}
	s.history.record(now, s.activeCount())
	if event.Completed {
		s.speedEstimate.recordCompleted(now.Sub(w.startedAt))
		s.limit.completed(s.settings, len(s.running)+1)
	}
}

// freeEnded frees the slots of work that ended before the time at of a report.
func (s *State) freeEnded(at time.Time) {
	for ticket, w := range s.running {
		if !w.endedAt.IsZero() && at.After(w.endedAt) {
			delete(s.running, ticket)
		}
	}
}

func (s *State) updateSummary() {
	s.Summary = Summary{
		Limit: s.currentLimit(), Running: len(s.running), External: s.limit.externalRequests, Queued: s.queue.len(),
		Cold: s.limit.coldSuspected(), Down: s.limit.down, ColdSigns: s.limit.coldSigns,
	}
}

// refusal returns the error that says why no more work is taken and when to retry.
func (s *State) refusal() *result.Error {
	err := &result.Error{Code: result.Overloaded, RetryAfter: s.retryAfter()}
	switch {
	case s.limit.down:
		err.Code, err.RetryAfter = result.NoBackendServer, downRetryAfter
	case s.limit.coldSuspected():
		err.Code = result.ColdStart
	}
	return err
}

// retryAfter returns the Retry-After of a refusal: the expected time until the
// queue has shrunk by half.
func (s *State) retryAfter() time.Duration {
	return max(minRetryAfter, s.expectedWait()/2)
}

// expectedWait returns the expected time in the queue of the work queued last:
// until a slot is free and the prompts ahead of it have been read.
func (s *State) expectedWait() time.Duration {
	readTime := s.speedEstimate.timeToFirstChunk(s.queue.cost, s.limit.coldSuspected())
	excess := len(s.running) + s.limit.externalRequests + s.queue.len() - s.currentLimit()
	if excess <= 0 || s.currentLimit() == 0 {
		return readTime
	}
	return readTime + s.speedEstimate.serviceTime()*time.Duration(excess)/time.Duration(s.currentLimit())
}
