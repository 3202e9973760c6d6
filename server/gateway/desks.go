package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/dispatch"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/logevent"
)

// pollInterval is how often waiting requests are looked at beside the moments
// at which places become free: a fraction of a pass.
const pollInterval = 20 * time.Millisecond

// desks holds one desk for each service and lets requests wait for it.
type desks struct {
	ramp dispatch.WarmUpLimit
	log  *logrus.Entry

	mu       sync.Mutex
	snapshot *topology.Snapshot
	byName   map[string]*desk
	next     uint64
}

type desk struct {
	*dispatch.Dispatcher
	waiting map[uint64]chan dispatch.Decision
	movable map[string]map[*call]context.CancelCauseFunc // Streams that may be moved, by server.
}

func newDesks(ramp dispatch.WarmUpLimit, log *logrus.Entry) *desks {
	return &desks{ramp: ramp, log: log, byName: map[string]*desk{}}
}

// configure passes a new snapshot to all desks.
func (d *desks) configure(snapshot *topology.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if snapshot.Config == nil {
		return
	}
	d.snapshot = snapshot
	pauses := pauseGoals(snapshot.Config)
	for name := range snapshot.Config.Services {
		if d.byName[name] == nil {
			d.byName[name] = &desk{Dispatcher: dispatch.NewDispatcher(d.ramp), waiting: map[uint64]chan dispatch.Decision{}, movable: map[string]map[*call]context.CancelCauseFunc{}}
		}
	}
	for name, desk := range d.byName {
		desk.Configure(snapshot.Candidates(name), snapshot.Service(name), pauses[name])
		desk.settle()
	}
}

// pauseGoals returns the shortest allowed pause of the routes to each service.
func pauseGoals(config *topology.Configuration) map[string]time.Duration {
	goals := map[string]time.Duration{}
	for _, route := range config.Routes {
		for _, target := range route.Targets {
			goal, known := goals[target.Service]
			if route.InterTokenTarget > 0 && (!known || route.InterTokenTarget < goal) {
				goals[target.Service] = route.InterTokenTarget
			}
		}
	}
	return goals
}

// ask returns the desk's decision about the ticket, which is never Wait: a
// waiting ticket is decided later, or left when ctx ends.
func (d *desks) ask(ctx context.Context, service string, ticket dispatch.Ticket, waits func(dispatch.Decision)) (dispatch.Decision, error) {
	d.mu.Lock()
	desk := d.byName[service]
	if desk == nil {
		d.mu.Unlock()
		return dispatch.Decision{Verdict: dispatch.Refuse, Reason: "unknown_service", RetryAfter: time.Second}, nil
	}
	d.next++
	ticket.ID = d.next
	decision := desk.Submit(ticket, rand.Float64(), time.Now())
	if decision.Verdict != dispatch.Wait {
		d.mu.Unlock()
		return decision, nil
	}
	decided := make(chan dispatch.Decision, 1)
	desk.waiting[ticket.ID] = decided
	d.mu.Unlock()
	waits(decision)
	select {
	case decision = <-decided:
		return decision, nil
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case decision = <-decided:
		if decision.Verdict == dispatch.Go {
			desk.Done(decision.Server.ID, dispatch.CallerLeft, time.Now())
			desk.settle()
		}
	default:
		desk.Cancel(ticket.ID)
		delete(desk.waiting, ticket.ID)
	}
	return dispatch.Decision{}, ctx.Err()
}

// done gives a place back. It reports whether the server's group takes no work.
func (d *desks) done(service, server string, outcome dispatch.Outcome) (closed bool) {
	d.with(service, func(desk *desk) {
		closed = desk.Done(server, outcome, time.Now())
		desk.settle()
	})
	return closed
}

// accepted notes that a server of the service has begun to answer.
func (d *desks) accepted(service string) {
	d.with(service, func(desk *desk) { desk.Accepted() })
}

// heard notes that a server has sent the first event of a stream.
func (d *desks) heard(service, server string) {
	d.with(service, func(desk *desk) { desk.ObserveEvent(server, time.Now()) })
}

// gap takes in the time between two events of a stream.
func (d *desks) gap(service, server string, gap time.Duration) {
	d.with(service, func(desk *desk) { desk.ObserveGap(server, gap, time.Now()) })
}

// report takes in the load of a server from the agent beside it, and moves
// streams off a server that holds up its group.
func (d *desks) report(service, server string, report dispatch.Report) {
	d.with(service, func(desk *desk) {
		desk.Report(server, report, time.Now())
		if len(desk.movable[server]) > 0 && desk.ShouldMigrateStreams(server, time.Now()) {
			desk.moveOff(server, errMovedSlow)
		}
	})
}

// moveOff lets the streams at a server that may go on elsewhere do so.
func (d *desk) moveOff(server string, cause error) {
	for _, move := range d.movable[server] {
		move(cause)
	}
}

// leaveSilent moves streams off servers that are silent while their group goes on.
func (d *desks) leaveSilent(service string, desk *desk) {
	for _, server := range desk.FindSilent(time.Now()) {
		logevent.Write(d.log, logevent.ServerSilent, logrus.Fields{
			"service": service, "server": server, "movable": len(desk.movable[server]), "config": d.snapshot.Config.Version,
		})
		desk.moveOff(server, errMovedSilent)
	}
}

// allowMove lets the stream be moved off the server until the returned function
// is called.
func (d *desks) allowMove(service, server string, c *call, move context.CancelCauseFunc) (forbid func()) {
	d.with(service, func(desk *desk) {
		if desk.movable[server] == nil {
			desk.movable[server] = map[*call]context.CancelCauseFunc{}
		}
		desk.movable[server][c] = move
	})
	return func() {
		d.with(service, func(desk *desk) {
			delete(desk.movable[server], c)
			if len(desk.movable[server]) == 0 {
				delete(desk.movable, server)
			}
		})
	}
}

func (d *desks) with(service string, do func(*desk)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if desk := d.byName[service]; desk != nil {
		do(desk)
	}
}

// run looks at the waiting requests until ctx ends.
func (d *desks) run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		d.mu.Lock()
		for name, desk := range d.byName {
			d.leaveSilent(name, desk)
			desk.settle()
		}
		d.mu.Unlock()
	}
}

// settle hands out the decisions about waiting tickets.
func (d *desk) settle() {
	if len(d.waiting) == 0 {
		return
	}
	for _, decision := range d.DispatchQueued(rand.Float64, time.Now()) {
		if decided, ok := d.waiting[decision.Ticket]; ok {
			decided <- decision
			delete(d.waiting, decision.Ticket)
		}
	}
}
