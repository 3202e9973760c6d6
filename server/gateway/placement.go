package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/dispatch"
	"persimmonwind.dev/policy/topology"
)

// verdictNames are the verdicts' names in logs and metrics.
var verdictNames = [...]string{dispatch.Wait: "wait", dispatch.Go: "go", dispatch.Refuse: "refuse"}

// waitingTicket is a ticket that waits for a decision.
type waitingTicket struct {
	ticket    dispatch.Ticket
	since     time.Time
	placement *placement      // The decision by which it waits.
	decided   chan *placement // Receives the decision that ends the wait.
}

// placement is the dispatcher's decision about a ticket and what is counted for it.
type placement struct {
	dispatch.Decision
	byClass      bool          // The request is scheduled by class.
	waited       time.Duration // Time in the queue.
	memoryTokens int           // Tokens in the memory of the chosen server as last reported; 0 if unknown.
	unreadTokens int           // Stated prompt tokens that the server has not read as far as known.
}

// place returns the placement of a ticket and counts it.
func (d *dispatcher) place(waiting *waitingTicket, decision dispatch.Decision, now time.Time) *placement {
	placed := &placement{Decision: decision, byClass: d.byClass, waited: now.Sub(waiting.since)}
	if !placed.byClass {
		return placed
	}
	d.metrics.ObserveDecision(decision)
	switch decision.Verdict {
	case dispatch.Wait:
		d.metrics.waiting.WithLabelValues(levelLabel(decision.Level)).Inc()
	case dispatch.Go:
		placed.memoryTokens, placed.unreadTokens = d.memoryTokens[decision.Server.ID], waiting.ticket.Work.PromptTokens
		d.metrics.inFlight.WithLabelValues(levelLabel(decision.Level)).Inc()
		d.metrics.unreadTokens.Add(float64(placed.unreadTokens))
	}
	return placed
}

// endWaiting removes a ticket that no longer waits.
func (d *dispatcher) endWaiting(waiting *waitingTicket) {
	delete(d.waitingTickets, waiting.ticket.ID)
	if waiting.placement.byClass {
		d.metrics.waiting.WithLabelValues(levelLabel(waiting.placement.Level)).Dec()
	}
}

// promptRead counts the prompt of a request that was sent as read.
func (d *dispatcher) promptRead(placed *placement) {
	d.metrics.unreadTokens.Sub(float64(placed.unreadTokens))
	placed.unreadTokens = 0
}

// end frees the slot of a request that was sent. It reports whether the server's group is
// closed.
func (d *dispatcher) end(placed *placement, outcome dispatch.Outcome) (closed bool) {
	closed = d.DoneTicket(placed.Server.ID, placed.Ticket, outcome, time.Now())
	d.promptRead(placed)
	if placed.byClass {
		d.metrics.inFlight.WithLabelValues(levelLabel(placed.Level)).Dec()
	}
	d.resolveWaiting()
	return closed
}

// keepMemoryOf forgets the memory in use of servers that may get no new work.
func (d *dispatcher) keepMemoryOf(candidates []topology.Candidate) {
	kept := make(map[string]int, len(candidates))
	for _, candidate := range candidates {
		if tokens := d.memoryTokens[candidate.ID]; tokens > 0 {
			kept[candidate.ID] = tokens
		}
	}
	d.memoryTokens = kept
}

// logFields adds the log fields of a stream that is scheduled by class. The key "level" is
// the severity of the line.
func (p *placement) logFields(fields logrus.Fields, promptTokens int, waited time.Duration) {
	fields["prompt_tokens"], fields["class_level"], fields["waited_ms"] = promptTokens, p.Level, waited.Milliseconds()
	if p.memoryTokens > 0 {
		fields["memory_tokens"] = p.memoryTokens
	}
}
