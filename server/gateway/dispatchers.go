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

// queuePollInterval is how often waiting requests are looked at beside the moments
// at which places become free: a fraction of a pass.
const queuePollInterval = 20 * time.Millisecond

// dispatchers holds one desk for each service and lets requests wait for it.
type dispatchers struct {
	warmUp dispatch.WarmUpLimit
	log    *logrus.Entry

	mu           sync.Mutex
	snapshot     *topology.Snapshot
	byService    map[string]*serviceDispatcher
	nextTicketID uint64
}

type serviceDispatcher struct {
	*dispatch.Dispatcher
	waiting    map[uint64]chan dispatch.Decision
	migratable map[string]map[*call]context.CancelCauseFunc // Streams that may be moved, by server.
}

func newDispatchers(ramp dispatch.WarmUpLimit, log *logrus.Entry) *dispatchers {
	return &dispatchers{warmUp: ramp, log: log, byService: map[string]*serviceDispatcher{}}
}

// configure passes a new snapshot to all desks.
func (d *dispatchers) configure(snapshot *topology.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if snapshot.Config == nil {
		return
	}
	d.snapshot = snapshot
	pauses := interTokenTargets(snapshot.Config)
	for name := range snapshot.Config.Services {
		if d.byService[name] == nil {
			d.byService[name] = &serviceDispatcher{Dispatcher: dispatch.NewDispatcher(d.warmUp), waiting: map[uint64]chan dispatch.Decision{}, migratable: map[string]map[*call]context.CancelCauseFunc{}}
		}
	}
	for name, desk := range d.byService {
		desk.Configure(snapshot.Candidates(name), snapshot.Service(name), pauses[name])
		desk.resolveWaiting()
	}
}

// interTokenTargets returns the shortest allowed pause of the routes to each service.
func interTokenTargets(config *topology.Configuration) map[string]time.Duration {
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

// acquire returns the desk's decision about the ticket, which is never Wait: a
// waiting ticket is decided later, or left when ctx ends.
func (d *dispatchers) acquire(ctx context.Context, service string, ticket dispatch.Ticket, waits func(dispatch.Decision)) (dispatch.Decision, error) {
	d.mu.Lock()
	desk := d.byService[service]
	if desk == nil {
		d.mu.Unlock()
		return dispatch.Decision{Verdict: dispatch.Refuse, Reason: "unknown_service", RetryAfter: time.Second}, nil
	}
	d.nextTicketID++
	ticket.ID = d.nextTicketID
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
			desk.resolveWaiting()
		}
	default:
		desk.Cancel(ticket.ID)
		delete(desk.waiting, ticket.ID)
	}
	return dispatch.Decision{}, ctx.Err()
}

// release gives a place back. It reports whether the server's group takes no work.
func (d *dispatchers) release(service, server string, outcome dispatch.Outcome) (closed bool) {
	d.withService(service, func(desk *serviceDispatcher) {
		closed = desk.Done(server, outcome, time.Now())
		desk.resolveWaiting()
	})
	return closed
}

// accepted notes that a server of the service has begun to answer.
func (d *dispatchers) accepted(service string) {
	d.withService(service, func(desk *serviceDispatcher) { desk.Accepted() })
}

// observeFirstEvent notes that a server has sent the first event of a stream.
func (d *dispatchers) observeFirstEvent(service, server string) {
	d.withService(service, func(desk *serviceDispatcher) { desk.ObserveEvent(server, time.Now()) })
}

// observeGap takes in the time between two events of a stream.
func (d *dispatchers) observeGap(service, server string, gap time.Duration) {
	d.withService(service, func(desk *serviceDispatcher) { desk.ObserveGap(server, gap, time.Now()) })
}

// report takes in the load of a server from the agent beside it, and moves
// streams off a server that holds up its group.
func (d *dispatchers) report(service, server string, report dispatch.Report) {
	d.withService(service, func(desk *serviceDispatcher) {
		desk.Report(server, report, time.Now())
		if len(desk.migratable[server]) > 0 && desk.ShouldMigrateStreams(server, time.Now()) {
			desk.migrateStreams(server, errMigratedSlow)
		}
	})
}

// migrateStreams lets the streams at a server that may go on elsewhere do so.
func (d *serviceDispatcher) migrateStreams(server string, cause error) {
	for _, move := range d.migratable[server] {
		move(cause)
	}
}

// migrateFromSilent moves streams off servers that are silent while their group goes on.
func (d *dispatchers) migrateFromSilent(service string, desk *serviceDispatcher) {
	for _, server := range desk.FindSilent(time.Now()) {
		logevent.Write(d.log, logevent.ServerSilent, logrus.Fields{
			"service": service, "server": server, "movable": len(desk.migratable[server]), "config": d.snapshot.Config.Version,
		})
		desk.migrateStreams(server, errMigratedSilent)
	}
}

// registerStream lets the stream be moved off the server until the returned function
// is called.
func (d *dispatchers) registerStream(service, server string, c *call, move context.CancelCauseFunc) (forbid func()) {
	d.withService(service, func(desk *serviceDispatcher) {
		if desk.migratable[server] == nil {
			desk.migratable[server] = map[*call]context.CancelCauseFunc{}
		}
		desk.migratable[server][c] = move
	})
	return func() {
		d.withService(service, func(desk *serviceDispatcher) {
			delete(desk.migratable[server], c)
			if len(desk.migratable[server]) == 0 {
				delete(desk.migratable, server)
			}
		})
	}
}

func (d *dispatchers) withService(service string, do func(*serviceDispatcher)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if desk := d.byService[service]; desk != nil {
		do(desk)
	}
}

// pollQueues looks at the waiting requests until ctx ends.
func (d *dispatchers) pollQueues(ctx context.Context) {
	ticker := time.NewTicker(queuePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		d.mu.Lock()
		for name, desk := range d.byService {
			d.migrateFromSilent(name, desk)
			desk.resolveWaiting()
		}
		d.mu.Unlock()
	}
}

// resolveWaiting hands out the decisions about waiting tickets.
func (d *serviceDispatcher) resolveWaiting() {
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
