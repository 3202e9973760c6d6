// Package dispatch decides at one entry which backend server of a service gets
// a request, which requests wait and which are refused at once.
//
// A Desk holds the state of one service. It reads no clock and takes no lock:
// the caller passes the time and serializes the calls.
package dispatch

import (
	"sort"
	"time"

	"persimmonwind.dev/policy/topology"
)

const (
	// blindLimit is the number of own requests at an engine whose load is not
	// reported: three from each of four entries fill an engine's slots.
	blindLimit = 3
	// reportLife is the age up to which a report of a server's load counts;
	// reports come about every 100 ms.
	reportLife = time.Second
	// busyPause is how long a server that refused a request for load gets none.
	busyPause = 60 * time.Millisecond
	// replacedPause outlasts the time in which the list learns of a server that
	// has gone: three heartbeats of about a second.
	replacedPause = 5 * time.Second
	// maxPredictedWait is the predicted wait above which a request is refused at
	// once: beyond it even a late answer takes room that newer requests use in
	// time.
	maxPredictedWait = time.Second
	// maxWait is how long a request waits at most where predictions fail.
	maxWait = 2 * time.Second
	// rateWindow is the span over which the rate of freed places is measured.
	rateWindow = 2 * time.Second
	// minRate is the rate that is assumed where fewer places became free: after a
	// start or an outage there were none yet.
	minRate = 5.0
	// minRetryAfter keeps refused callers from coming back while nothing has
	// changed.
	minRetryAfter = 300 * time.Millisecond
	// serveMargin is the time before its objective by which a request must start
	// to be in time, at a plain service: the usual work of a call.
	serveMargin = 60 * time.Millisecond
	// servePasses is the same at an engine: the rest of the pass under way, the
	// pass that reads the prompt, and half of one for a long prompt.
	servePasses = 2.5
	// lateWait is how long a request that can no longer be in time waits for a
	// place that nobody else wants.
	lateWait = 800 * time.Millisecond
	// lateShare of the places are open to requests that can no longer be in time.
	// A backlog would otherwise take all places of a group that has just opened,
	// and everyone who comes in the next seconds would be late too.
	lateShare = 0.7
	// fillShare of an engine group's places are used, so that entries which place
	// at the same moment rarely find a server full.
	fillShare = 0.95
)

// lastResort is added to the load of a server that may have left, so that any
// other one with room comes first.
const lastResort = 1 << 20

const (
	// slowLimit is the slowness from which a rank is given work only when all
	// others are full: in lock-step its own part is in every pass of the group.
	slowLimit = 1.25
	// slowSurplus is more than the places of a server.
	slowSurplus = 1 << 10
	// moveLimit is the slowness from which resumable streams are moved off a
	// rank: its base time alone is then half of the longest pause that users
	// allow. A rank without requests does not slow its group.
	moveLimit = 2.0
)

// Ticket is a request that wants a place at a backend server.
type Ticket struct {
	ID       uint64
	Arrived  time.Time
	InTime   time.Time // When the first answer must be there for full credit.
	GiveUp   time.Time // When it is of no use any more.
	Priority int       // 0 is the most urgent.
	Avoid    string    // A server that has just failed the request; empty for none.
	Tried    bool      // The request has found the group closed; another one tries next.
}

// Verdict is what the desk decides about a ticket.
type Verdict int

// The verdicts.
const (
	Wait Verdict = iota
	Go
	Refuse
)

// Decision is a verdict with the inputs that decided it, for the log.
type Decision struct {
	Ticket     uint64
	Verdict    Verdict
	Server     topology.Candidate // Of Go.
	RetryAfter time.Duration      // Of Refuse.
	Reason     string
	Own        int           // Requests of this entry under way at the service.
	Total      int           // Of all entries, as far as known.
	Limit      int           // Of Total; 0 for none.
	Predicted  time.Duration // Wait.
	ReportAge  time.Duration // Of the oldest report that counted.
}

// Desk is the state of one service at one entry.
type Desk struct {
	pace    Pace
	ramp    Ramp
	servers []*server
	byID    map[string]*server
	waiting []Ticket
	freed   []time.Time // When places became free, within rateWindow.
	limit   int         // Places of all servers together; 0 for no bound.
	gate    gate
}

type server struct {
	candidate topology.Candidate
	own       int
	others    int // Requests of other entries, as of reportAt.
	reportAt  time.Time
	closed    bool    // The server's group takes no work.
	slowness  float64 // 1 for a usual server.
	busyUntil time.Time
	health    health
	tokens    rampTokens
}

// NewDesk returns the desk of a service.
func NewDesk(ramp Ramp) *Desk {
	return &Desk{ramp: ramp, byID: map[string]*server{}}
}

// Configure sets the servers that may get new work and the engine's model, nil
// for plain services.
func (d *Desk) Configure(candidates []topology.Candidate, service topology.Service, pauseGoal time.Duration) {
	d.pace.configure(service.Engine, pauseGoal)
	d.ramp.PerSecond = service.WarmUpPerSecond
	servers := make([]*server, 0, len(candidates))
	byID := make(map[string]*server, len(candidates))
	for _, candidate := range candidates {
		known := d.byID[candidate.ID]
		if known == nil {
			known = &server{}
		}
		known.candidate = candidate
		servers = append(servers, known)
		byID[candidate.ID] = known
	}
	d.servers, d.byID = servers, byID
}

// Report is the load of a server as reported from beside it.
type Report struct {
	Queued int
	Active int
	Open   bool    // Its group takes work.
	Pace   float64 // Over 1 for a slow server.
}

// Report takes in the load of a server.
func (d *Desk) Report(id string, report Report, now time.Time) {
	server := d.byID[id]
	if server == nil {
		return
	}
	server.others = max(0, report.Queued+report.Active-server.own)
	server.closed, server.slowness, server.reportAt = !report.Open, max(1, report.Pace), now
	d.pace.slowest = d.slowest(now)
}

// slowest returns the slowness of the slowest server that has requests, 1 for a
// usual one.
func (d *Desk) slowest(now time.Time) float64 {
	slowest := 1.0
	for _, server := range d.servers {
		if server.fresh(now) && server.own+server.others > 0 {
			slowest = max(slowest, server.slowness)
		}
	}
	return slowest
}

// MoveOff reports whether resumable streams should go on at another server: this
// one holds its whole group up, and most others would not.
func (d *Desk) MoveOff(id string, now time.Time) bool {
	server := d.byID[id]
	if server == nil || d.pace.engine == nil || !server.fresh(now) || server.slowness < moveLimit {
		return false
	}
	usual := 0
	for _, other := range d.servers {
		if other.fresh(now) && !other.closed && other.slowness < slowLimit {
			usual++
		}
	}
	return 2*usual > len(d.servers)
}

// Gap takes in the time between two events of a stream.
func (d *Desk) Gap(gap time.Duration, now time.Time) {
	d.pace.observe(gap, d.writers(now), now)
}

// Ask decides about a new ticket.
func (d *Desk) Ask(ticket Ticket, random float64, now time.Time) Decision {
	if len(d.waiting) == 0 || d.inTime(ticket, now) && !d.anyInTime(now) {
		if decision, ok := d.place(ticket, random, now); ok {
			return decision
		}
	}
	decision := d.describe(ticket, now)
	decision.Predicted = d.predictedWait(ticket, now)
	if len(d.servers) == 0 {
		decision.Verdict, decision.Reason = Refuse, "no_server"
		decision.RetryAfter = maxPredictedWait
		return decision
	}
	if d.gate.closed {
		// Nobody knows when the group opens; as many as it can take may wait.
		if len(d.waiting) >= d.room() {
			decision.Verdict, decision.Reason = Refuse, "group_closed"
			decision.RetryAfter = closedRetryAfter
			return decision
		}
		decision.Predicted = 0
	}
	if decision.Predicted > maxPredictedWait || now.Add(decision.Predicted).After(ticket.GiveUp) {
		decision.Verdict, decision.Reason = Refuse, "wait_too_long"
		decision.RetryAfter = max(minRetryAfter, decision.Predicted-maxPredictedWait/2)
		return decision
	}
	d.waiting = append(d.waiting, ticket)
	decision.Verdict, decision.Reason = Wait, "no_room"
	return decision
}

// Next decides about waiting tickets; it is called whenever a place may have
// become free, and every few tens of milliseconds.
func (d *Desk) Next(random func() float64, now time.Time) []Decision {
	var decisions []Decision
	d.order(now)
	kept := d.waiting[:0]
	full := false
	for _, ticket := range d.waiting {
		if !full {
			if decision, ok := d.place(ticket, random(), now); ok {
				decisions = append(decisions, decision)
				continue
			}
			// Those behind one that has tried a closed group may still try.
			full = !(d.gate.closed && ticket.Tried)
		}
		if d.hopeless(ticket, now) {
			decision := d.describe(ticket, now)
			decision.Verdict, decision.Reason = Refuse, "waited_too_long"
			decision.RetryAfter = max(minRetryAfter, d.predictedWait(ticket, now))
			if d.gate.closed {
				decision.Reason, decision.RetryAfter = "group_closed", closedRetryAfter
			}
			decisions = append(decisions, decision)
			continue
		}
		kept = append(kept, ticket)
	}
	d.waiting = kept
	return decisions
}

// likelyEntries share the places of a group that opens; a data centre has one
// or two entries, and the users three data centres.
const likelyEntries = 3

// room returns this entry's part of the places, for requests that wait for a
// closed group.
func (d *Desk) room() int {
	places := 0
	for _, server := range d.servers {
		places += server.candidate.Slots
	}
	return places / likelyEntries
}

// reportedOpen returns whether most servers report that their group takes work,
// and whether there are reports at all.
func (d *Desk) reportedOpen(now time.Time) reportedState {
	open, closed := 0, 0
	for _, server := range d.servers {
		switch {
		case !server.fresh(now):
		case server.closed:
			closed++
		default:
			open++
		}
	}
	switch {
	case open+closed == 0:
		return unreported
	case open > closed:
		return reportsOpen
	default:
		return reportsClosed
	}
}

// Accepted notes that a server has begun to answer a request.
func (d *Desk) Accepted() { d.gate.accepted() }

// Leave takes a waiting ticket out, because its caller has left.
func (d *Desk) Leave(id uint64) {
	for i, ticket := range d.waiting {
		if ticket.ID == id {
			d.waiting = append(d.waiting[:i], d.waiting[i+1:]...)
			return
		}
	}
}

// Waiting returns the number of waiting tickets.
func (d *Desk) Waiting() int { return len(d.waiting) }

// Outcome is how a request at a server ended.
type Outcome int

// The outcomes.
const (
	Served     Outcome = iota
	Busy               // Refused for load; it did not run.
	Failed             // The server failed, or the exchange broke off.
	Unreached          // No connection could be made.
	Replaced           // Another server answers at its address.
	CallerLeft         // Says nothing of the server.
)

// Done gives the request's place at the server back. It reports whether the
// server's group takes no work.
func (d *Desk) Done(id string, outcome Outcome, now time.Time) (closed bool) {
	server := d.byID[id]
	if server == nil {
		return d.gate.closed // The server has left the list meanwhile.
	}
	server.own = max(0, server.own-1)
	switch outcome {
	case Served:
		d.freed = append(d.freed, now)
		server.health.succeeded()
	case Busy:
		server.busyUntil = now.Add(busyPause)
		if d.pace.engine != nil && 2*(server.own+server.freshOthers(now)) < server.candidate.Slots {
			d.gate.refused(now)
		}
	case Replaced:
		server.busyUntil = now.Add(replacedPause)
	case Failed:
		server.health.failed(now)
	case Unreached:
		server.health.unreached(now)
	case CallerLeft:
		d.freed = append(d.freed, now)
	}
	return d.gate.closed
}

// Cold notes that a server says it is in cold start until the time.
func (d *Desk) Cold(id string, until time.Time) {
	if server := d.byID[id]; server != nil && until.After(server.candidate.ColdUntil) {
		server.candidate.ColdUntil = until
	}
}

// place finds a server for the ticket and takes a place there.
func (d *Desk) place(ticket Ticket, random float64, now time.Time) (Decision, bool) {
	if !d.gate.passes(d.reportedOpen(now), now) || d.gate.closed && ticket.Tried {
		return Decision{}, false
	}
	total := d.writers(now)
	d.limit = d.pace.limit(len(d.servers), total)
	if d.limit > 0 && total >= d.limit {
		return Decision{}, false
	}
	if d.limit > 0 && !d.inTime(ticket, now) && float64(total) >= lateShare*float64(d.limit) {
		return Decision{}, false
	}
	best := d.choose(ticket, random, now)
	if best == nil {
		return Decision{}, false
	}
	decision := d.describe(ticket, now)
	decision.Verdict, decision.Server, decision.Reason = Go, best.candidate, "least_loaded"
	best.own++
	best.tokens.take(now)
	d.gate.passed()
	return decision, true
}

// choose returns the least loaded server with room, nil for none. Ties fall on
// a random one.
func (d *Desk) choose(ticket Ticket, random float64, now time.Time) *server {
	var best *server
	bestLoad, ties := 0, 0
	for _, candidate := range d.servers {
		if !d.hasRoom(candidate, now) || candidate.candidate.ID == ticket.Avoid && len(d.servers) > 1 {
			continue
		}
		load := candidate.own + candidate.freshOthers(now)
		if candidate.candidate.Unlisted {
			load += lastResort
		}
		if candidate.fresh(now) && candidate.slowness >= slowLimit {
			load += slowSurplus
		}
		switch {
		case best == nil || load < bestLoad:
			best, bestLoad, ties = candidate, load, 1
		case load == bestLoad:
			ties++
			// Each of the tied servers is kept with the same probability.
			if random*float64(ties) < 1 {
				best = candidate
			}
			random = fraction(random * float64(ties))
		}
	}
	return best
}

func fraction(x float64) float64 { return x - float64(int(x)) }

func (d *Desk) hasRoom(s *server, now time.Time) bool {
	if now.Before(s.busyUntil) || s.closed && s.fresh(now) || s.health.excluded(now) {
		return false
	}
	if !s.tokens.has(d.ramp, s.candidate.Cold(now), now) {
		return false
	}
	if d.pace.engine != nil && !s.fresh(now) {
		return s.own < blindLimit
	}
	return s.own+s.freshOthers(now) < max(1, s.candidate.Slots)
}

func (s *server) fresh(now time.Time) bool {
	return !s.reportAt.IsZero() && now.Sub(s.reportAt) < reportLife
}

func (s *server) freshOthers(now time.Time) int {
	if !s.fresh(now) {
		return 0
	}
	return s.others
}

// writers returns the requests of all entries at the service, as far as known.
func (d *Desk) writers(now time.Time) int {
	total := 0
	for _, server := range d.servers {
		total += server.own + server.freshOthers(now)
	}
	return total
}

// order sorts the waiting tickets: those that can still be in time first, by
// urgency and then by arrival; after them the late ones by arrival.
func (d *Desk) order(now time.Time) {
	sort.SliceStable(d.waiting, func(i, j int) bool {
		a, b := d.waiting[i], d.waiting[j]
		if inTime := d.inTime(a, now); inTime != d.inTime(b, now) {
			return inTime
		}
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
		return a.Arrived.Before(b.Arrived)
	})
}

// inTime reports whether the ticket, placed now, would have its first answer in
// time.
func (d *Desk) inTime(ticket Ticket, now time.Time) bool {
	return now.Add(d.margin()).Before(ticket.InTime)
}

// margin is how long a placed request needs until its first answer.
func (d *Desk) margin() time.Duration {
	if d.pace.engine == nil {
		return serveMargin
	}
	return time.Duration(servePasses * float64(d.pace.passTime()))
}

// hopeless reports whether the ticket has waited for as long as it pays.
func (d *Desk) hopeless(ticket Ticket, now time.Time) bool {
	late := ticket.InTime.Add(lateWait - d.margin())
	if d.gate.closed {
		late = ticket.GiveUp // The group may open at any moment, with all its places free.
	}
	return now.Sub(ticket.Arrived) > maxWait || now.After(late) || !now.Before(ticket.GiveUp)
}

func (d *Desk) anyInTime(now time.Time) bool {
	for _, ticket := range d.waiting {
		if d.inTime(ticket, now) {
			return true
		}
	}
	return false
}

// predictedWait is how long the ticket would wait if it joined the waiting ones:
// one that can be in time goes before those that can't.
func (d *Desk) predictedWait(ticket Ticket, now time.Time) time.Duration {
	cut := 0
	for cut < len(d.freed) && now.Sub(d.freed[cut]) > rateWindow {
		cut++
	}
	d.freed = d.freed[cut:]
	ahead := len(d.waiting)
	if d.inTime(ticket, now) {
		ahead = 0
		for _, other := range d.waiting {
			if d.inTime(other, now) {
				ahead++
			}
		}
	}
	rate := max(minRate, float64(len(d.freed))/rateWindow.Seconds())
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

func (d *Desk) describe(ticket Ticket, now time.Time) Decision {
	decision := Decision{Ticket: ticket.ID, Limit: d.limit, Total: d.writers(now)}
	for _, server := range d.servers {
		decision.Own += server.own
		if server.fresh(now) {
			decision.ReportAge = max(decision.ReportAge, now.Sub(server.reportAt))
		}
	}
	return decision
}
