package admission

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/result"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "5")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var epoch = time.Unix(1_700_000_000, 0)

// driver applies events to a State and tracks the requests by the effects alone,
// independently of the State.
type driver struct {
	state      State
	now        time.Time
	lastTicket uint64
	askedAt    map[uint64]time.Time
	running    map[uint64]bool // By ticket of a started request: whether the first chunk of its answer has arrived.
	refusals   map[uint64]*result.Error
	grantOrder []uint64 // Tickets in the order in which slots were granted.
}

func newDriver(settings Settings) *driver {
	return &driver{
		state: State{}.Configure(settings), now: epoch,
		askedAt: map[uint64]time.Time{}, running: map[uint64]bool{}, refusals: map[uint64]*result.Error{},
	}
}

func (d *driver) step(event reduce.Event) {
	var effects []reduce.Effect
	d.state, effects = Step(d.state, reduce.Input{Now: d.now, Event: event})
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Admit:
			delete(d.askedAt, effect.Ticket)
			d.running[effect.Ticket] = false
			d.grantOrder = append(d.grantOrder, effect.Ticket)
		case Refuse:
			delete(d.askedAt, effect.Ticket)
			d.refusals[effect.Ticket] = effect.Err
		}
	}
}

func (d *driver) ask(org string, weight float64, priority int) uint64 {
	d.lastTicket++
	d.askedAt[d.lastTicket] = d.now
	d.step(SlotRequested{Ticket: d.lastTicket, Org: org, Weight: weight, Priority: priority, Deadline: d.now.Add(time.Minute)})
	return d.lastTicket
}

func (d *driver) report(boot string, running int, cold bool) {
	d.step(Reported{BootID: boot, Running: running, Cold: cold, At: d.now, AgentStarted: epoch})
}

// warm completes requests until the concurrency limit reaches full.
func (d *driver) warm(full int) {
	for d.state.Limit < full {
		d.now = d.now.Add(time.Second)
		d.report("boot", 0, false)
		var tickets []uint64
		for range d.state.Limit {
			tickets = append(tickets, d.ask("warm", 1, 0))
		}
		d.now = d.now.Add(100 * time.Millisecond)
		for _, ticket := range tickets {
			d.step(Begun{Ticket: ticket})
		}
		d.report("boot", len(d.running), false)
		d.now = d.now.Add(100 * time.Millisecond)
		for _, ticket := range tickets {
			d.step(Begun{Ticket: ticket})
			d.step(Released{Ticket: ticket, Completed: true})
			delete(d.running, ticket)
		}
	}
	d.grantOrder = nil
}

func (d *driver) anyRunning() (uint64, bool) {
	lowest, found := uint64(0), false
	for ticket := range d.running {
		if !found || ticket < lowest {
			lowest, found = ticket, true
		}
	}
	return lowest, found
}

// The invariants of the package must hold for any order of events.
func TestAdmissionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{Full: 16, Cold: rapid.IntRange(1, 4).Draw(t, "cold"), ReportsLoad: rapid.Bool().Draw(t, "reports")}
		d := newDriver(settings)
		lastSign := time.Time{}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			d.now = d.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			before, externalRequests := len(d.grantOrder), d.state.External
			switch rapid.SampledFrom([]string{"ask", "ask", "ask", "begin", "complete", "complete", "break", "leave", "report", "warm", "cold", "tick"}).Draw(t, "action") {
			case "ask":
				org := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org")
				d.ask(org, 1, rapid.IntRange(0, 2).Draw(t, "priority"))
			case "begin":
				if ticket, ok := d.anyRunning(); ok {
					d.running[ticket] = true
					d.step(Begun{Ticket: ticket})
				}
			case "complete":
				if ticket, ok := d.anyRunning(); ok {
					delete(d.running, ticket)
					d.step(Released{Ticket: ticket, Completed: true})
				}
			case "break":
				if ticket, ok := d.anyRunning(); ok {
					delete(d.running, ticket)
					lastSign = d.now
					d.step(Released{Ticket: ticket, Broken: true})
				}
			case "leave":
				for ticket := range d.askedAt {
					d.step(Left{Ticket: ticket})
					break
				}
			case "report":
				externalRequests = rapid.IntRange(0, 6).Draw(t, "foreign")
				d.report("boot", len(d.running)+externalRequests, false)
			case "warm":
				externalRequests = 0
				d.report("boot", len(d.running), false)
			case "cold":
				externalRequests, lastSign = 0, d.now
				d.report("boot", len(d.running), true)
			}
			d.step(reduce.Tick{})
			checkInvariants(t, d, settings, before, externalRequests, lastSign)
		}
	})
}

func checkInvariants(t *rapid.T, d *driver, settings Settings, before, externalRequests int, lastSign time.Time) {
	started := len(d.grantOrder) > before
	if started && len(d.running)+externalRequests > d.state.Limit {
		t.Fatalf("%d running and %d external requests exceed the limit %d", len(d.running), externalRequests, d.state.Limit)
	}
	if d.state.Limit > settings.Full {
		t.Fatalf("limit %d exceeds the full limit", d.state.Limit)
	}
	if lastSign.Equal(d.now) && d.state.Limit > settings.Cold {
		t.Fatalf("limit %d right after a sign of a cold start", d.state.Limit)
	}
	unconfirmed := 0
	for _, begun := range d.running {
		if !begun {
			unconfirmed++
		}
	}
	if settings.ReportsLoad && started && unconfirmed > settings.Cold {
		t.Fatalf("%d requests without a first chunk, cold limit %d", unconfirmed, settings.Cold)
	}
	for ticket, since := range d.askedAt {
		if d.now.Sub(since) > maxWait {
			t.Fatalf("ticket %d has waited for %v", ticket, d.now.Sub(since))
		}
	}
	for ticket, err := range d.refusals {
		if err.Code != result.Cancelled && err.RetryAfter <= 0 {
			t.Fatalf("refusal %v of ticket %d has no retry time", err, ticket)
		}
	}
}

func TestRestartedAgentCountsEarlierWork(t *testing.T) {
	d := newDriver(Settings{Full: 16, Cold: 4, ReportsLoad: true})
	d.ask("a", 1, 0)
	if len(d.grantOrder) != 0 {
		t.Fatal("started work before the first report")
	}
	d.now = d.now.Add(600 * time.Millisecond)
	d.report("boot", 3, true)
	for range 5 {
		d.ask("a", 1, 0)
	}
	if len(d.grantOrder) != 1 {
		t.Fatalf("started %d besides 3 earlier requests, cold limit 4", len(d.grantOrder))
	}
}

// A load report may omit requests that were in transit to the engine when the engine
// made it. The agent must then not count them among the reported requests, or it
// would underestimate the requests from before its start.
func TestWorkInTransitDoesNotHideEarlierWork(t *testing.T) {
	d := newDriver(Settings{Full: 16, Cold: 4, ReportsLoad: true})
	d.now = d.now.Add(time.Second)
	d.report("boot", 3, true)
	d.ask("a", 1, 0)
	d.ask("a", 1, 0)
	d.report("boot", 3, true)
	if len(d.grantOrder) != 1 {
		t.Fatalf("started %d besides 3 earlier requests, cold limit 4", len(d.grantOrder))
	}
}

// An engine may continue a request that the caller has abandoned, so the slot stays
// taken until a later report shows what runs.
func TestAbandonedWorkKeepsItsSlotUntilALaterReport(t *testing.T) {
	d := newDriver(Settings{Full: 16, Cold: 2, ReportsLoad: true})
	d.now = d.now.Add(time.Second)
	d.report("boot", 0, true)
	first, second := d.ask("a", 1, 0), d.ask("a", 1, 0)
	d.now = d.now.Add(100 * time.Millisecond)
	for _, ticket := range []uint64{first, second} {
		d.step(Begun{Ticket: ticket})
		d.step(Released{Ticket: ticket})
	}
	d.ask("a", 1, 0)
	if len(d.grantOrder) != 2 {
		t.Fatalf("started %d besides 2 that may still run", len(d.grantOrder)-2)
	}
	d.now = d.now.Add(100 * time.Millisecond)
	d.report("boot", 1, true)
	if len(d.grantOrder) != 3 {
		t.Fatalf("started %d besides 1 that still runs", len(d.grantOrder)-2)
	}
}

func TestEveryColdSignLowersTheLimit(t *testing.T) {
	signs := map[string]func(d *driver){
		"reset": func(d *driver) { d.step(Released{Ticket: d.ask("a", 1, 0), Broken: true}) },
		"late first chunk": func(d *driver) {
			ticket := d.ask("a", 1, 0)
			d.now = d.now.Add(time.Second)
			d.step(Begun{Ticket: ticket})
		},
		"boot id":           func(d *driver) { d.report("other", 0, false) },
		"cold report":       func(d *driver) { d.report("boot", 0, true) },
		"connection denied": func(d *driver) { d.step(Unreachable{}) },
		"silence": func(d *driver) {
			d.now = d.now.Add(reportMaxAge + time.Second)
			d.step(reduce.Tick{})
		},
	}
	for name, apply := range signs {
		d := newDriver(Settings{Full: 16, Cold: 2, ReportsLoad: true})
		d.warm(16)
		apply(d)
		if d.state.Limit != 2 || !d.state.Cold {
			t.Errorf("after the sign %q the limit is %d", name, d.state.Limit)
		}
	}
}

func TestLaterWarmReportEndsFalseAlarm(t *testing.T) {
	d := newDriver(Settings{Full: 16, Cold: 2, ReportsLoad: true})
	d.warm(16)
	ticket := d.ask("a", 1, 0)
	d.now = d.now.Add(time.Second)
	d.step(Begun{Ticket: ticket})
	stale := Reported{BootID: "boot", At: d.now.Add(-time.Millisecond), AgentStarted: epoch}
	d.step(stale)
	if d.state.Limit != 2 {
		t.Fatalf("a report older than the sign raised the limit to %d", d.state.Limit)
	}
	d.now = d.now.Add(time.Second)
	d.report("boot", 1, false)
	if d.state.Limit != 16 {
		t.Fatalf("limit %d after the false alarm", d.state.Limit)
	}
}

// While organisations ask for more than the concurrency limit, each is served in
// proportion to its weight. Low priority is served less but not starved.
func TestSharesFollowWeightsAndPriorities(t *testing.T) {
	d := newDriver(Settings{Full: 4, Cold: 4})
	owner := map[uint64]string{}
	flows := []struct {
		org      string
		weight   float64
		priority int
	}{{"one", 1, 0}, {"three", 3, 0}, {"low", 1, 1}}
	served := map[string]int{}
	for range 4000 {
		for _, f := range flows {
			owner[d.ask(f.org, f.weight, f.priority)] = f.org
		}
		d.now = d.now.Add(10 * time.Millisecond)
		ticket, _ := d.anyRunning()
		delete(d.running, ticket)
		served[owner[ticket]]++
		d.step(Released{Ticket: ticket, Completed: true})
	}
	if ratio := float64(served["three"]) / float64(served["one"]); ratio < 2.7 || ratio > 3.3 {
		t.Errorf("served %v: weight 3 got %.2f times as much as weight 1", served, ratio)
	}
	if ratio := float64(served["one"]) / float64(served["low"]); ratio < 7 || ratio > 9 {
		t.Errorf("served %v: high priority got %.2f times as much as low priority", served, ratio)
	}
}

func TestOrganisationBurstDoesNotStarveOthers(t *testing.T) {
	d := newDriver(Settings{Full: 4, Cold: 4})
	d.ask("seed", 1, 0)
	d.now = d.now.Add(time.Second)
	delete(d.running, 1)
	d.step(Released{Ticket: 1, Completed: true})
	for range 200 {
		d.ask("surge", 1, 0)
	}
	quiet := d.ask("quiet", 1, 0)
	if err := d.refusals[quiet]; err != nil {
		t.Fatalf("the quiet organisation was refused: %v", err)
	}
	ticket, _ := d.anyRunning()
	d.step(Released{Ticket: ticket, Completed: true})
	delete(d.running, ticket)
	ticket, _ = d.anyRunning()
	d.step(Released{Ticket: ticket, Completed: true})
	if _, ok := d.running[quiet]; !ok {
		t.Fatalf("the quiet organisation's work was not among the next two; order %v", d.grantOrder)
	}
}

func BenchmarkAskAndRelease(b *testing.B) {
	for _, running := range []int{4, 64, 256} {
		b.Run(fmt.Sprint(running), func(b *testing.B) {
			d := newDriver(Settings{Full: running + 1, Cold: running + 1})
			for range running {
				d.ask("a", 1, 0)
			}
			for range b.N {
				d.step(Released{Ticket: d.ask("a", 1, 0), Completed: true})
			}
		})
	}
}
