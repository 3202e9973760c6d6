package dispatch

import (
	"math"
	"time"

	"persimmonwind.dev/policy/workload"
)

const (
	// readingGoalShare is the share of the longest allowed pause that a pass may be expected
	// to take together with the prompts that it reads. The rest allows for prompts of other
	// entries that no load report shows yet. In simulated overload 0.85 made up to 6 % of
	// the requests late that 0.9 did not, with passes of up to 133 of 150 ms.
	readingGoalShare = 0.9
	// rankFillShare is the share of what all ranks can read in one pass from which no more
	// prompts are sent until some are read. Prompts fall on ranks unevenly, and those that
	// don't fit into a pass of their rank hold up the ones behind them. With 0.5 of
	// it, the ticket's own prompt included, simulated passes after a return took up to 162 ms.
	rankFillShare = 0.25
	// burstPrompts is the number of prompts pending from one entry from which a burst is
	// assumed to arrive at all entries. Fewer often arrive together at one of them.
	burstPrompts = 4
	// usualReadingTime is the time constant of the rate at which a group usually reads. It
	// is long against slopeTimeConstant, so that the prompts of a burst, of which the
	// observed slope knows nothing yet, are not taken off it.
	usualReadingTime = 2 * time.Second
	// eventDelay is how much later than the end of its pass an event may be seen. A prompt
	// sent meanwhile has missed the pass that began then.
	eventDelay = 20 * time.Millisecond
	// maxReadingWait is the longest time for which the reading budget keeps a request
	// waiting that is the next one to be sent, whatever its prompt's length and however
	// many prompts are sent meanwhile. It is over one longest pause, within which a pass
	// usually reads what is pending, and under the 210 ms that remain of an objective of
	// 500 ms when a first event takes 2.9 passes of 100 ms.
	maxReadingWait = 200 * time.Millisecond
)

// reading is what a dispatcher knows of prompts: the cost of reading them, the unread ones
// that it has sent, and the tickets that wait for others to be read.
type reading struct {
	model     workload.Model
	ledger    workload.Ledger
	heldSince map[uint64]time.Time // When tickets were first held back by the reading budget.
	exceptAt  time.Time            // When a request was last sent beyond the reading budget.
}

// FirstEvent records that the server with this ID has sent the first event of the
// answer to a ticket, so that it has read the prompt.
func (d *Dispatcher) FirstEvent(id string, ticket uint64, now time.Time) {
	read := d.reading.release(ticket)
	if server := d.byID[id]; server != nil {
		server.group.promptsRead.add(read.Tokens, now)
	}
	d.ObserveEvent(id, now)
}

// DoneTicket releases a ticket's slot at the server, its part in the load of its class and
// its prompt if it is unread. It reports whether the server's group is closed, that is,
// takes no work.
func (d *Dispatcher) DoneTicket(id string, ticket uint64, outcome Outcome, now time.Time) (closed bool) {
	d.recordEnded(ticket)
	d.reading.release(ticket)
	return d.Done(id, outcome, now)
}

// Unread returns the prompts that this entry has sent and that have had no event.
func (d *Dispatcher) Unread(now time.Time) workload.Load { return d.reading.ledger.Total(now) }

// MemoryTokens returns the tokens in the memory of the server with this ID as last
// reported, 0 if unknown.
func (d *Dispatcher) MemoryTokens(id string) int {
	if server := d.byID[id]; server != nil {
		return server.memoryTokens
	}
	return 0
}

// mayRead reports whether the ticket's prompt fits into the group's reading budget. All
// ranks advance in lock-step, so the prompts that one pass reads delay every stream of the
// group. An entry doesn't know what others have just sent, and assumes that they send as
// much as itself. A request is let through whatever the budget if no other is pending, and
// after maxReadingWait, at most one in that time.
func (d *Dispatcher) mayRead(ticket Ticket, g *group, now time.Time) bool {
	if !d.readingLimited(g) || d.fitsBudget(ticket, g, now) {
		return true
	}
	since, held := d.reading.heldSince[ticket.ID]
	if !held {
		d.hold(ticket.ID, now)
		return false
	}
	return now.Sub(since) >= maxReadingWait && now.Sub(d.reading.exceptAt) >= maxReadingWait
}

// readingLimited reports whether the group has a reading budget.
func (d *Dispatcher) readingLimited(g *group) bool {
	return d.classes.Enabled() && d.engine != nil && d.reading.model.Known() && g.pace.pauseGoal > 0 && len(g.servers) > 0
}

// fitsBudget reports whether the group's next pass is expected to stay under its goal if
// the ticket is sent.
func (d *Dispatcher) fitsBudget(ticket Ticket, g *group, now time.Time) bool {
	pending := d.pendingPrompts(g, now)
	if pending.Prompts == 0 {
		return true
	}
	servers, entries := float64(len(g.servers)), 1.0
	if d.isPressed(g, now) || pending.Prompts >= burstPrompts {
		entries = float64(d.runningEntries())
	}
	slope, skew := d.slopeWithoutReading(g, now)
	// In a burst, and while the group is pressed, all entries are assumed to have as much
	// pending as this one. The ticket's own
	// size does not count against what ranks can read, so that a long prompt is let through
	// whenever a short one is.
	if entries*float64(pending.Tokens) > rankFillShare*servers*float64(d.reading.model.PassTokens()) {
		return false
	}
	tokens := entries * float64(pending.Tokens+d.reading.model.Charge(ticket.Work))
	pass := g.pace.baseSeconds() + slope*float64(g.inFlight(now)-pending.Prompts) + slope*entries*float64(pending.Prompts+1) +
		tokens/(d.reading.model.TokensPerSecond()*servers)*skew
	return pass <= readingGoalShare*g.pace.pauseGoal.Seconds()
}

// pendingPrompts returns this entry's prompts that the group's next pass may read. The
// group's events come at the end of each pass, so a prompt that was sent before the last
// event is read by the pass that began then, though its own first event comes a pass later.
// While a group stalls and sends no events, all prompts stay pending.
func (d *Dispatcher) pendingPrompts(g *group, now time.Time) workload.Load {
	return d.reading.ledger.Pending(g.name, g.lastEventAt().Add(-eventDelay), now)
}

// lastEventAt returns when a server of the group last sent an event.
func (g *group) lastEventAt() time.Time {
	var last time.Time
	for _, s := range g.servers {
		if s.lastEventAt.After(last) {
			last = s.lastEventAt
		}
	}
	return last
}

// slopeWithoutReading returns the seconds that one request in flight adds to a pass that
// reads no prompts, and the expert load skew from which that results. The observed slope
// includes what passes usually read, which would count twice.
func (d *Dispatcher) slopeWithoutReading(g *group, now time.Time) (slope, skew float64) {
	even := g.pace.evenSlope(len(g.servers))
	if even <= 0 {
		return g.pace.slope, 1
	}
	if g.pace.observedAt.IsZero() {
		return initialMapSkew * even, initialMapSkew
	}
	// At any skew, a prompt token that is read takes as long as this many requests.
	requestsPerToken := 1 / (d.reading.model.TokensPerSecond() * float64(len(g.servers)) * even)
	usuallyRead := g.promptsRead.perSecond(now) * g.pace.passDuration().Seconds() * float64(d.runningEntries())
	inFlight := float64(max(1, g.inFlight(now)))
	slope = max(even, g.pace.slope*inFlight/(inFlight+usuallyRead*requestsPerToken))
	return slope, slope / even
}

// tokenRate is a rate of tokens, smoothed with usualReadingTime.
type tokenRate struct {
	sum float64 // Tokens, weighted by their age.
	at  time.Time
}

func (r *tokenRate) add(tokens int, now time.Time) {
	r.sum, r.at = r.decayed(now)+float64(tokens), now
}

func (r *tokenRate) decayed(now time.Time) float64 {
	return r.sum * math.Exp(-max(0, now.Sub(r.at).Seconds())/usualReadingTime.Seconds())
}

func (r *tokenRate) perSecond(now time.Time) float64 {
	return r.decayed(now) / usualReadingTime.Seconds()
}

// promptSent records that the ticket is sent to the server.
func (d *Dispatcher) promptSent(ticket Ticket, s *server, now time.Time) {
	if !d.classes.Enabled() || d.engine == nil {
		return
	}
	if d.readingLimited(s.group) && !d.fitsBudget(ticket, s.group, now) {
		d.reading.exceptAt = now
	}
	delete(d.reading.heldSince, ticket.ID)
	d.reading.ledger.Sent(ticket.ID, s.candidate.ID, s.group.name, d.reading.model, ticket.Work, now)
}

// hold records that the reading budget holds the ticket back. It forgets tickets that
// have left the queue when they may be as many as those in it.
func (d *Dispatcher) hold(ticket uint64, now time.Time) {
	const slack = 16 // So that the queue is not searched for each of a few tickets.
	if d.reading.heldSince == nil {
		d.reading.heldSince = map[uint64]time.Time{}
	}
	if len(d.reading.heldSince) >= 2*len(d.queue)+slack {
		queued := make(map[uint64]time.Time, len(d.queue))
		for _, waiting := range d.queue {
			if since, held := d.reading.heldSince[waiting.ID]; held {
				queued[waiting.ID] = since
			}
		}
		d.reading.heldSince = queued
	}
	d.reading.heldSince[ticket] = now
}

// release records that the ticket's prompt is not unread any more, and returns it.
func (r *reading) release(ticket uint64) workload.Load {
	delete(r.heldSince, ticket)
	return r.ledger.Release(ticket)
}

// extraReadTime returns by how much later than that of a usual prompt the first event of
// the ticket is expected, as a rank reads its prompt in several passes.
func (d *Dispatcher) extraReadTime(ticket Ticket) time.Duration {
	if !d.classes.Enabled() || d.engine == nil {
		return 0
	}
	return d.passesDuration(float64(d.reading.model.Passes(ticket.Work) - 1))
}
