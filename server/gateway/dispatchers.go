package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/classes"
	"persimmonwind.dev/policy/dispatch"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/logevent"
)

// queuePollInterval is how often waiting requests are reconsidered, in addition to
// the times at which slots become free. It is a fraction of the duration of a pass.
const queuePollInterval = 20 * time.Millisecond

// dispatchers holds one dispatcher for each service, serializes the calls to it and
// blocks requests until it has decided about them. A ticket represents a request that
// needs a slot at a server of the service.
type dispatchers struct {
	warmUp  dispatch.WarmUpLimit
	log     *logrus.Entry
	metrics *Metrics

	mu           sync.Mutex
	snapshot     *topology.Snapshot
	byService    map[string]*dispatcher
	nextTicketID uint64
	entries      int // Number of running entries; 0 while unknown.
}

// dispatcher is the dispatcher of one service with the requests that wait for it.
type dispatcher struct {
	*dispatch.Dispatcher
	metrics           *Metrics
	byClass           bool                                         // Requests of the service are scheduled by class.
	memoryTokens      map[string]int                               // By server, the last reported tokens in its memory.
	waitingTickets    map[uint64]*waitingTicket                    // By ticket ID.
	migratableStreams map[string]map[*call]context.CancelCauseFunc // By server; each function cancels the exchange of one stream, so that another server continues it.
}

func newDispatchers(warmUp dispatch.WarmUpLimit, log *logrus.Entry, metrics *Metrics) *dispatchers {
	return &dispatchers{warmUp: warmUp, log: log, metrics: metrics, byService: map[string]*dispatcher{}}
}

// configure passes a new snapshot to all dispatchers.
func (d *dispatchers) configure(snapshot *topology.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if snapshot.Config == nil {
		return
	}
	d.snapshot = snapshot
	targets, tables := interTokenTargets(snapshot.Config), classTables(snapshot.Config)
	for name := range snapshot.Config.Services {
		if d.byService[name] == nil {
			d.byService[name] = &dispatcher{Dispatcher: dispatch.NewDispatcher(d.warmUp), metrics: d.metrics, memoryTokens: map[string]int{}, waitingTickets: map[uint64]*waitingTicket{}, migratableStreams: map[string]map[*call]context.CancelCauseFunc{}}
		}
	}
	for name, dispatcher := range d.byService {
		dispatcher.SetEntries(d.entries)
		dispatcher.SetClasses(tables[name])
		dispatcher.byClass = tables[name].Enabled()
		candidates := snapshot.Candidates(name)
		dispatcher.keepMemoryOf(candidates)
		dispatcher.Configure(candidates, snapshot.Service(name), targets[name], time.Now())
		dispatcher.resolveWaiting()
	}
}

// interTokenTargets returns, for each service, the shortest inter-token target of the
// routes to it.
func interTokenTargets(config *topology.Configuration) map[string]time.Duration {
	shortest := map[string]time.Duration{}
	for _, route := range config.Routes {
		for _, target := range route.Targets {
			current, known := shortest[target.Service]
			if route.InterTokenTarget > 0 && (!known || route.InterTokenTarget < current) {
				shortest[target.Service] = route.InterTokenTarget
			}
		}
	}
	return shortest
}

// classTables returns, for each service, the levels of the streaming routes to it.
func classTables(config *topology.Configuration) map[string]classes.Table {
	routes := map[string][]classes.Route{}
	for _, route := range config.Routes {
		if route.Kind != topology.Stream {
			continue
		}
		for _, target := range route.Targets {
			routes[target.Service] = append(routes[target.Service], classes.Route{Priority: route.Priority, Objective: route.Objective})
		}
	}
	var organisations []int
	for _, organisation := range config.Organisations {
		if organisation.HasPriority {
			organisations = append(organisations, organisation.Priority)
		}
	}
	tables := make(map[string]classes.Table, len(routes))
	for service, ofService := range routes {
		tables[service] = classes.NewTable(ofService).Combined(organisations)
	}
	return tables
}

// setEntries sets the reported number of running entries.
func (d *dispatchers) setEntries(count int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = count
	for _, dispatcher := range d.byService {
		dispatcher.SetEntries(count)
	}
}

// acquire returns the dispatcher's decision about the ticket that describe returns, which is never Wait. If
// the ticket is queued, acquire calls onWait and blocks until the ticket is decided;
// it cancels the ticket if ctx ends before, and returns the last decision with the error.
func (d *dispatchers) acquire(ctx context.Context, service string, describe func(byClass bool) dispatch.Ticket, onWait func(*placement)) (*placement, error) {
	d.mu.Lock()
	dispatcher := d.byService[service]
	if dispatcher == nil {
		d.mu.Unlock()
		return &placement{Decision: dispatch.Decision{Verdict: dispatch.Refuse, Reason: "unknown_service", RetryAfter: time.Second}}, nil
	}
	d.nextTicketID++
	ticket := describe(dispatcher.byClass)
	ticket.ID = d.nextTicketID
	now := time.Now()
	waiting := &waitingTicket{ticket: ticket, since: now, decided: make(chan *placement, 1)}
	placed := dispatcher.place(waiting, dispatcher.Submit(ticket, rand.Float64(), now), now)
	if placed.Verdict != dispatch.Wait {
		d.mu.Unlock()
		return placed, nil
	}
	waiting.placement = placed
	dispatcher.waitingTickets[ticket.ID] = waiting
	d.mu.Unlock()
	onWait(placed)
	select {
	case placed = <-waiting.decided:
		return placed, nil
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case placed = <-waiting.decided:
		if placed.Verdict == dispatch.Go {
			dispatcher.end(placed, dispatch.CallerLeft)
		}
	default:
		dispatcher.Cancel(ticket.ID)
		dispatcher.endWaiting(waiting)
		placed.waited = time.Since(waiting.since)
	}
	return placed, ctx.Err()
}

// release frees the slot of a request that was sent. It reports whether the server's
// group is closed, that is, accepts no new work.
func (d *dispatchers) release(service string, placed *placement, outcome dispatch.Outcome) (closed bool) {
	d.withService(service, func(dispatcher *dispatcher) { closed = dispatcher.end(placed, outcome) })
	return closed
}

// observeAccepted records that a server has accepted a request and begun to answer it.
func (d *dispatchers) observeAccepted(service, server string) {
	d.withService(service, func(dispatcher *dispatcher) { dispatcher.Accepted(server) })
}

// observeFirstEvent records that a server has sent the first event of a stream.
func (d *dispatchers) observeFirstEvent(service string, placed *placement) {
	d.withService(service, func(dispatcher *dispatcher) {
		dispatcher.FirstEvent(placed.Server.ID, placed.Ticket, time.Now())
		dispatcher.promptRead(placed)
	})
}

// gap records the time between two events of a stream.
func (d *dispatchers) gap(service, server string, gap time.Duration) {
	d.withService(service, func(dispatcher *dispatcher) { dispatcher.ObserveGap(server, gap, time.Now()) })
}

// report records the load of a server as reported by its agent, and migrates
// streams off a server that slows down its group.
func (d *dispatchers) report(service, server string, report dispatch.Report) {
	d.withService(service, func(dispatcher *dispatcher) {
		dispatcher.Report(server, report, time.Now())
		if report.MemoryTokens > 0 { // Most reports don't tell.
			dispatcher.memoryTokens[server] = report.MemoryTokens
		}
		if len(dispatcher.migratableStreams[server]) > 0 && dispatcher.ShouldMigrateStreams(server, time.Now()) {
			dispatcher.migrateStreams(server, errMigratedSlow)
		}
	})
}

// migrateStreams cancels the exchanges of the migratable streams at a server, so that
// they continue at another one.
func (d *dispatcher) migrateStreams(server string, cause error) {
	for _, migrate := range d.migratableStreams[server] {
		migrate(cause)
	}
}

// migrateFromSilent migrates streams off servers that send no events while the rest of
// their group does.
func (d *dispatchers) migrateFromSilent(service string, dispatcher *dispatcher) {
	for _, server := range dispatcher.FindSilent(time.Now()) {
		logevent.Write(d.log, logevent.BackendServerSilent, logrus.Fields{
			"service": service, "server": server, "movable": len(dispatcher.migratableStreams[server]), "config": d.snapshot.Config.Version,
		})
		dispatcher.migrateStreams(server, errMigratedSilent)
	}
}

// serverLeaving records that a server has said in an answer that it stops soon. It
// reports whether this was not known.
func (d *dispatchers) serverLeaving(service string, server topology.Candidate) (isNew bool) {
	d.withService(service, func(dispatcher *dispatcher) {
		if isNew = dispatcher.ServerLeaving(server, time.Now()); isNew {
			dispatcher.resolveWaiting()
		}
	})
	return isNew
}

// expectedToRun reports whether nothing is known by which the server may have stopped or
// broken exchanges off as its group did.
func (d *dispatchers) expectedToRun(service, server string) (expected bool) {
	d.withService(service, func(dispatcher *dispatcher) { expected = dispatcher.ExpectedToRun(server, time.Now()) })
	return expected
}

// pauseRequested records that a server has asked to get no requests for a while. It
// returns the end of the pause.
func (d *dispatchers) pauseRequested(service string, server topology.Candidate, pause time.Duration) (until time.Time) {
	d.withService(service, func(dispatcher *dispatcher) { until = dispatcher.PauseRequested(server, pause, time.Now()) })
	return until
}

// limitNamed records the limit that a server has named, nil for none. It reports whether
// that is new.
func (d *dispatchers) limitNamed(service string, server topology.Candidate, limit *dispatch.NamedLimit, final bool) (isNew bool) {
	d.withService(service, func(dispatcher *dispatcher) { isNew = dispatcher.LimitNamed(server, limit, final, time.Now()) })
	return isNew
}

// registerStream allows the stream to be migrated off the server until the returned
// function is called.
func (d *dispatchers) registerStream(service, server string, c *call, migrate context.CancelCauseFunc) (unregister func()) {
	d.withService(service, func(dispatcher *dispatcher) {
		if dispatcher.migratableStreams[server] == nil {
			dispatcher.migratableStreams[server] = map[*call]context.CancelCauseFunc{}
		}
		dispatcher.migratableStreams[server][c] = migrate
	})
	return func() {
		d.withService(service, func(dispatcher *dispatcher) {
			delete(dispatcher.migratableStreams[server], c)
			if len(dispatcher.migratableStreams[server]) == 0 {
				delete(dispatcher.migratableStreams, server)
			}
		})
	}
}

// withService calls update with the service's dispatcher, if there is one, under the
// lock.
func (d *dispatchers) withService(service string, update func(*dispatcher)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if dispatcher := d.byService[service]; dispatcher != nil {
		update(dispatcher)
	}
}

// pollQueues reconsiders the waiting requests, and migrates streams off servers that
// send no events, at each queuePollInterval until ctx ends.
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
		for name, dispatcher := range d.byService {
			d.migrateFromSilent(name, dispatcher)
			dispatcher.resolveWaiting()
		}
		d.mu.Unlock()
	}
}

// resolveWaiting passes decisions to the requests that wait for them.
func (d *dispatcher) resolveWaiting() {
	if len(d.waitingTickets) == 0 {
		return
	}
	now := time.Now()
	for _, decision := range d.DispatchQueued(rand.Float64, now) {
		if waiting, ok := d.waitingTickets[decision.Ticket]; ok {
			d.endWaiting(waiting)
			waiting.decided <- d.place(waiting, decision, now)
		}
	}
}
