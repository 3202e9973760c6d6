package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"persimmonwind.dev/policy/classes"
	"persimmonwind.dev/policy/topology"
)

// load is the requests of one kind that a simulation sends.
type load struct {
	priority     int
	objective    time.Duration
	perSecond    func(at time.Duration) float64
	meanPrompt   float64
	organisation string
}

// steady returns a constant rate.
func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// usualLoads returns the streaming routes of deployment A, with factor times its rates.
func usualLoads(factor float64) []load {
	return []load{
		{0, 500 * time.Millisecond, steady(80 * factor), 714, ""},
		{1, 500 * time.Millisecond, steady(105 * factor), 1000, ""},
		{2, time.Second, steady(35 * factor), 827, ""},
	}
}

// simRequest is a request and its answer.
type simRequest struct {
	Ticket
	load       int
	entry      int
	retries    int
	rank       int
	unread     float64 // Tokens of the prompt still to be read.
	events     int     // Events of the answer still to be sent.
	firstEvent time.Time
	lastEvent  time.Time
	longestGap time.Duration
	sentAt     time.Time
	refusal    Decision
}

func (r *simRequest) onTime(pause time.Duration) bool {
	return !r.firstEvent.IsZero() && !r.firstEvent.After(r.SLODeadline) && r.longestGap <= pause
}

// simulation runs the dispatchers of several entries before one group of deployment A. A
// pass takes the base, the slope of the requests at the current skew, and the time for
// reading prompts. Load reports arrive with a delay.
type simulation struct {
	loads       []load
	skew        func(at time.Duration) float64
	open        func(at time.Duration) bool
	reportDelay time.Duration
	entries     []*Dispatcher

	random   *rand.Rand
	requests []*simRequest // By ID.
	ranks    [][]*simRequest
	passEnds time.Time
	inPass   []*simRequest
	passes   []time.Duration
	passSeen []time.Time
	reports  []func()
	due      []time.Time
}

const (
	simRanks        = 63
	simPause        = 150 * time.Millisecond
	simReadPerMS    = 61.4
	simChunk        = 512
	simMeanEvents   = 19
	simMaxEvents    = 48
	simPromptSpread = 0.9
	simMaxPrompt    = 2880
)

var simEngine = topology.Engine{Slots: 10, Stride: 5, StepMS: 4.55, PerSequenceMS: 1.09}

func newSimulation(seed uint64, entries int, loads []load) *simulation {
	s := &simulation{
		loads: loads, random: rand.New(rand.NewPCG(seed, 1)), ranks: make([][]*simRequest, simRanks), reportDelay: 50 * time.Millisecond,
		skew: func(time.Duration) float64 { return 1.13 }, open: func(time.Duration) bool { return true },
	}
	var routes []classes.Route
	for _, l := range loads {
		routes = append(routes, classes.Route{Priority: l.priority, Objective: l.objective})
	}
	for range entries {
		d := NewDispatcher(WarmUpLimit{Entries: 8})
		d.SetClasses(classes.NewTable(routes))
		d.SetEntries(entries)
		d.Configure(candidates(simRanks, simEngine.Slots), topology.Service{Engine: &simEngine}, simPause, start)
		s.entries = append(s.entries, d)
	}
	return s
}

// run simulates the period after start in steps of a millisecond.
func (s *simulation) run(period time.Duration) {
	for at := time.Duration(0); at < period; at += time.Millisecond {
		now := start.Add(at)
		s.report(at, now)
		if !s.open(at) {
			s.closeGroup(now)
		} else if !s.passEnds.After(now) {
			s.endPass(now)
			s.beginPass(at, now)
		}
		for kind, l := range s.loads {
			for range s.poisson(l.perSecond(at) / 1000) {
				s.arrive(kind, l, now)
			}
		}
		for i, d := range s.entries {
			if (int(at.Milliseconds())+i)%20 == 0 {
				s.decided(d.DispatchQueued(s.random.Float64, now), now)
			}
		}
	}
}

func (s *simulation) poisson(mean float64) (count int) {
	for p := s.random.Float64(); p > math.Exp(-mean); p *= s.random.Float64() {
		count++
	}
	return count
}

func (s *simulation) arrive(kind int, l load, now time.Time) {
	prompt := l.meanPrompt * math.Exp(simPromptSpread*s.random.NormFloat64()-simPromptSpread*simPromptSpread/2)
	r := &simRequest{
		Ticket: Ticket{
			ID: uint64(len(s.requests)), Arrived: now, SLODeadline: now.Add(l.objective), Priority: l.priority, Organisation: l.organisation,
			Deadline: now.Add(max(2*time.Second, 4*l.objective, 8*simPause) - 300*time.Millisecond),
		},
		load: kind, entry: s.random.IntN(len(s.entries)), unread: min(simMaxPrompt, prompt),
		events: min(simMaxEvents, 1+int(s.random.ExpFloat64()*simMeanEvents)),
	}
	s.requests = append(s.requests, r)
	s.decided([]Decision{s.entries[r.entry].Submit(r.Ticket, s.random.Float64(), now)}, now)
}

// decided carries out decisions.
func (s *simulation) decided(decisions []Decision, now time.Time) {
	for _, decision := range decisions {
		r := s.requests[decision.Ticket]
		switch decision.Verdict {
		case Refuse:
			r.refusal = decision
		case Go:
			if _, err := fmt.Sscanf(decision.Server.ID, "s%d", &r.rank); err != nil {
				panic(err)
			}
			if s.open(now.Sub(start)) && len(s.ranks[r.rank]) < simEngine.Slots {
				r.sentAt = now
				s.ranks[r.rank] = append(s.ranks[r.rank], r)
				s.entries[r.entry].Accepted(decision.Server.ID)
			} else {
				r.refusal, r.Avoid = decision, decision.Server.ID
				s.end(r, Busy, now)
				if r.retries++; r.retries <= 2 {
					s.decided([]Decision{s.entries[r.entry].Submit(r.Ticket, s.random.Float64(), now)}, now)
				}
			}
		case Wait:
		}
	}
}

func (s *simulation) end(r *simRequest, outcome Outcome, now time.Time) {
	s.entries[r.entry].DoneTicket(fmt.Sprint("s", r.rank), r.ID, outcome, now)
}

// closeGroup ends all streams.
func (s *simulation) closeGroup(now time.Time) {
	for i, requests := range s.ranks {
		s.ranks[i] = nil
		for _, r := range requests {
			s.end(r, Failed, now)
		}
	}
	s.inPass, s.passEnds = nil, now
}

// beginPass begins a pass with the requests at the ranks, which read their prompts up to
// the chunk of each rank.
func (s *simulation) beginPass(at time.Duration, now time.Time) {
	s.inPass = s.inPass[:0]
	read := 0.0
	for _, requests := range s.ranks {
		chunk := float64(simChunk * simEngine.Stride)
		for _, r := range requests {
			part := min(chunk, r.unread)
			chunk -= part
			read += part
			if r.unread -= part; r.unread <= 0 {
				s.inPass = append(s.inPass, r)
			}
		}
	}
	running := 0
	for _, requests := range s.ranks {
		running += len(requests)
	}
	stepMS := simEngine.StepMS + simEngine.PerSequenceMS*float64(running)/simRanks*s.skew(at)
	ms := stepMS*float64(simEngine.Stride) + read/simReadPerMS/simRanks*s.skew(at)
	duration := time.Duration(ms * float64(time.Millisecond))
	s.passes, s.passSeen = append(s.passes, duration), append(s.passSeen, now)
	s.passEnds = now.Add(duration)
}

// endPass sends the events of the pass.
func (s *simulation) endPass(now time.Time) {
	ended := map[*simRequest]bool{}
	for _, r := range s.inPass {
		d, id := s.entries[r.entry], fmt.Sprint("s", r.rank)
		if r.firstEvent.IsZero() {
			r.firstEvent = now
			d.FirstEvent(id, r.ID, now)
		} else {
			r.longestGap = max(r.longestGap, now.Sub(r.lastEvent))
			d.ObserveGap(id, now.Sub(r.lastEvent), now)
		}
		r.lastEvent = now
		if r.events--; r.events <= 0 {
			ended[r] = true
			s.end(r, Served, now)
		}
	}
	if len(ended) == 0 {
		return
	}
	for i, requests := range s.ranks {
		var kept []*simRequest
		for _, r := range requests {
			if !ended[r] {
				kept = append(kept, r)
			}
		}
		s.ranks[i] = kept
	}
	for _, d := range s.entries {
		s.decided(d.DispatchQueued(s.random.Float64, now), now)
	}
}

// report lets each rank report its load every 100 ms to all entries.
func (s *simulation) report(at time.Duration, now time.Time) {
	for i, requests := range s.ranks {
		if (int(at.Milliseconds())+i*37)%100 != 0 {
			continue
		}
		id, report := fmt.Sprint("s", i), Report{Active: len(requests), Open: s.open(at), Pace: 1, Group: "g"}
		s.due = append(s.due, now.Add(s.reportDelay))
		s.reports = append(s.reports, func() {
			for _, d := range s.entries {
				d.Report(id, report, now.Add(s.reportDelay))
			}
		})
	}
	for len(s.due) > 0 && !s.due[0].After(now) {
		s.reports[0]()
		s.due, s.reports = s.due[1:], s.reports[1:]
	}
}

// share returns the share of requests on time and their number, of those that arrived
// between from and to and that count selects.
func (s *simulation) share(from, to time.Duration, count func(*simRequest) bool) (share float64, number int) {
	onTime := 0
	for _, r := range s.requests {
		if at := r.Arrived.Sub(start); at < from || at >= to || !count(r) {
			continue
		}
		number++
		if r.onTime(simPause) {
			onTime++
		}
	}
	return float64(onTime) / float64(max(1, number)), number
}

// longestPass returns the longest pass that began between from and to.
func (s *simulation) longestPass(from, to time.Duration) (longest time.Duration) {
	for i, duration := range s.passes {
		if at := s.passSeen[i].Sub(start); at >= from && at < to {
			longest = max(longest, duration)
		}
	}
	return longest
}

func anyRequest(*simRequest) bool { return true }
