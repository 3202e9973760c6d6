// Package quarantine keeps requests that crash backend servers away from them. It
// confirms that a server has crashed, exchanges what the entries have observed through
// the platform's store, and tells the gateway which requests to refuse; policy/poison
// decides.
package quarantine

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/poison"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/loop"
	"persimmonwind.dev/server/wait"
	"persimmonwind.dev/server/watch"
)

const (
	// confirmDelay is the time from the first broken exchange with a server until the
	// entry checks whether the server has ended. It is shorter than the time after which a
	// caller sends its request again. Exchanges that break meanwhile, or within
	// confirmInterval, are of the same crash.
	confirmDelay = 15 * time.Millisecond
	// confirmInterval is the shortest time between two checks of one server: a server that
	// breaks connections and goes on is not checked for each.
	confirmInterval = time.Second
	// confirmTimeout is how long a check waits. The machine of a process that has ended
	// refuses at once.
	confirmTimeout = 500 * time.Millisecond
	// minExecution is the shortest time in which a server reads a prompt and begins to
	// answer it. A request sent later than that before a crash is no suspect.
	minExecution = 5 * time.Millisecond
	// abandonedWindow is how long a request whose exchange this entry has broken off itself
	// may still crash its server: servers notice closed connections late.
	abandonedWindow = time.Second
	// maxAbandoned bounds the requests that are remembered for one server.
	maxAbandoned = 32
	// maxLoggedSuspects bounds a log line about a server that has ended.
	maxLoggedSuspects = 16

	// tickInterval is how often expired evidence is dropped and failed writes are repeated.
	tickInterval = 500 * time.Millisecond
	// batchDelay is how long the watch collects the records of other entries after the
	// first one, as those that observe a crash write theirs within a few milliseconds.
	batchDelay = 50 * time.Millisecond
	// pollWait is how long a poll waits for a change of the records, which are few.
	pollWait = 25 * time.Second
	// retryInterval is the longest time between two calls while the store is lost. Entries
	// that have just read their configuration read the records after refreshDelay in any case.
	retryInterval = 2 * time.Second
	// refreshDelay is the time from a sign of a crash until the records are read anew, in
	// case that the connection on which they are awaited is dead. It leaves the entries
	// that observed the crash time to write.
	refreshDelay = time.Second
	// refreshInterval is the shortest time between two such reads.
	refreshInterval = 3 * time.Second
	// writeTimeout bounds a write of the entry's record.
	writeTimeout = 2 * time.Second
)

// Store is the part of the platform's store that a quarantine uses.
type Store interface {
	watch.Store
	Replace(ctx context.Context, row platform.Row) error
	Remove(ctx context.Context, rows []platform.Row) error
}

// Request is what is known of a request that a quarantine compares with others.
type Request struct {
	Service string
	poison.Suspect
}

// Quarantine is the quarantine of one entry. It is safe for concurrent use.
type Quarantine struct {
	entry    string
	store    Store
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	log      *logrus.Entry
	metrics  *Metrics
	restores prometheus.Counter
	loop     *loop.Loop[poison.State, *poison.Verdicts]
	refresh  chan struct{}

	mu          sync.Mutex
	suspicions  map[string]*suspicion          // Broken exchanges that are being checked, by server ID.
	abandoned   map[string][]abandonedExchange // Exchanges that this entry broke off, by server ID.
	waiting     map[*waiter]bool
	refreshedAt time.Time
}

// suspicion is a server that may have ended, with the requests that it had.
type suspicion struct {
	suspects []poison.Suspect
	since    time.Time
	checked  bool
	ended    bool // Set by the check.
}

// abandonedExchange is an exchange that this entry broke off before the server had
// answered.
type abandonedExchange struct {
	suspect poison.Suspect
	at      time.Time
}

// waiter is a request that waits in a queue.
type waiter struct {
	request Request
	cancel  context.CancelCauseFunc
}

// New returns the quarantine of the entry with the name.
func New(entry string, store Store, dial func(ctx context.Context, network, address string) (net.Conn, error), log *logrus.Entry, metrics *Metrics, restores prometheus.Counter) *Quarantine {
	q := &Quarantine{
		entry: entry, store: store, dial: dial, log: log, metrics: metrics, restores: restores,
		refresh: make(chan struct{}, 1), suspicions: map[string]*suspicion{}, abandoned: map[string][]abandonedExchange{}, waiting: map[*waiter]bool{},
	}
	q.loop = loop.New(poison.Step, func(state poison.State) *poison.Verdicts { return state.Verdicts }, q.execute, nil)
	return q
}

// Run follows and writes the records until ctx ends.
func (q *Quarantine) Run(ctx context.Context) error {
	records := &watch.Watch{
		Store: q.store, Table: recordTable, Decode: watch.Decoder{List: listRecords, Change: changedRecord},
		Post: q.loop.Post, Log: q.log, BatchDelay: batchDelay, PollWait: pollWait, MaxRetryInterval: retryInterval, Refresh: q.refresh, Restores: q.restores,
	}
	go records.Run(ctx)
	go q.dropSuspicions(ctx)
	return q.loop.Run(ctx, poison.New(q.entry), tickInterval)
}

// Check returns the refusal of a request that must not be sent to a server, or nil.
func (q *Quarantine) Check(request Request) *result.Error {
	verdicts := q.loop.View()
	if verdicts == nil {
		return nil
	}
	return refusal(*verdicts, request)
}

func refusal(verdicts *poison.Verdicts, request Request) *result.Error {
	now := time.Now()
	trait, accusation, found := verdicts.Find(request.Service, request.Suspect, now)
	if !found {
		return nil
	}
	refused := result.Errorf(result.CrashingRequest, "%d servers have ended while they began to answer %s, the last one %v ago",
		len(accusation.Servers), describe(trait), now.Sub(accusation.LastCrash).Round(time.Second))
	refused.RetryAfter = accusation.Until().Sub(now)
	return refused
}

// describe names the requests with the trait.
func describe(trait poison.Trait) string {
	if trait.Kind == poison.WholeRequest {
		return "the request with fingerprint " + trait.ID
	}
	return "prompts with part " + trait.ID
}

// Queued registers a request that waits in a queue, until the returned function is
// called. cancel is called with a *result.Error as soon as the request must not be sent.
func (q *Quarantine) Queued(request Request, cancel context.CancelCauseFunc) (remove func()) {
	w := &waiter{request: request, cancel: cancel}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting[w] = true
	if refused := q.Check(request); refused != nil {
		cancel(refused)
	}
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		delete(q.waiting, w)
	}
}

// Answered records that a server has answered the request, or has gone on for a while after
// it began to.
func (q *Quarantine) Answered(request Request) {
	q.loop.Post(poison.Answered{Service: request.Service, Request: request.Suspect})
}

// Broken records that a server has broken an exchange off before it had answered: before
// the first event or just after it. The request becomes evidence if the server turns out
// to have ended.
func (q *Quarantine) Broken(request Request, server, address string, sentAt time.Time) {
	if time.Since(sentAt) < minExecution {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if known := q.suspicions[server]; known != nil {
		switch {
		case !known.checked:
			known.suspects = append(known.suspects, request.Suspect)
		case known.ended:
			q.loop.Post(poison.CrashObserved{Crash: poison.Crash{Service: request.Service, Server: server, At: known.since, Suspects: []poison.Suspect{request.Suspect}}})
		}
		return
	}
	q.suspect(request.Service, server, address, request.Suspect)
}

// suspect starts the check whether the server has ended. The caller holds the lock.
func (q *Quarantine) suspect(service, server, address string, suspects ...poison.Suspect) {
	suspects = append(suspects, q.takeAbandoned(server)...)
	q.suspicions[server] = &suspicion{suspects: suspects, since: time.Now()}
	time.AfterFunc(confirmDelay, func() { q.confirm(service, server, address) })
}

// Abandoned records that this entry has broken an exchange off before the server had
// answered, as its caller left, say. The request becomes evidence if the server turns out
// to have ended within abandonedWindow.
func (q *Quarantine) Abandoned(request Request, server, address string, sentAt time.Time) {
	q.mu.Lock()
	known := q.suspicions[server]
	if known == nil && time.Since(sentAt) >= minExecution && len(q.abandoned[server]) < maxAbandoned {
		q.abandoned[server] = append(q.abandoned[server], abandonedExchange{request.Suspect, time.Now()})
	}
	q.mu.Unlock()
	if known != nil {
		q.Broken(request, server, address, sentAt)
	}
}

// Refused records that no process listens at the server's address.
func (q *Quarantine) Refused(service, server, address string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if suspects := q.takeAbandoned(server); len(suspects) > 0 && q.suspicions[server] == nil {
		q.suspect(service, server, address, suspects...)
	}
}

// takeAbandoned returns the requests that this entry has abandoned at the server within
// abandonedWindow, and forgets them. The caller holds the lock.
func (q *Quarantine) takeAbandoned(server string) []poison.Suspect {
	var suspects []poison.Suspect
	for _, exchange := range q.abandoned[server] {
		if time.Since(exchange.at) < abandonedWindow {
			suspects = append(suspects, exchange.suspect)
		}
	}
	delete(q.abandoned, server)
	return suspects
}

// confirm checks whether the server has ended, and if so reports the crash.
func (q *Quarantine) confirm(service, server, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	conn, err := q.dial(ctx, "tcp", address)
	ended := errors.Is(err, syscall.ECONNREFUSED)
	if err == nil {
		_ = conn.Close() // Nothing was sent.
	}
	q.mu.Lock()
	suspicion := q.suspicions[server]
	suspicion.checked, suspicion.ended = true, ended
	suspects := suspicion.suspects
	q.mu.Unlock()
	fields := logrus.Fields{"server": server, "service": service, "address": address, "ended": ended, "suspects": len(suspects), "fingerprints": fingerprints(suspects)}
	if err != nil {
		fields["error"] = err.Error()
	}
	logevent.Write(q.log, logevent.BrokenServerChecked, fields)
	if ended {
		q.metrics.crashes.Inc()
		q.loop.Post(poison.CrashObserved{Crash: poison.Crash{Service: service, Server: server, At: suspicion.since, Suspects: suspects}})
	}
}

// fingerprints returns the fingerprints of the first suspects, for the log.
func fingerprints(suspects []poison.Suspect) []string {
	var listed []string
	for _, suspect := range suspects[:min(len(suspects), maxLoggedSuspects)] {
		listed = append(listed, suspect.Fingerprint)
	}
	return listed
}

// dropSuspicions removes the suspicions that have been checked, and what was abandoned long
// ago, until ctx ends.
func (q *Quarantine) dropSuspicions(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, confirmInterval)
		q.mu.Lock()
		for server, suspicion := range q.suspicions {
			if suspicion.checked && time.Since(suspicion.since) > confirmInterval {
				delete(q.suspicions, server)
			}
		}
		for server, exchanges := range q.abandoned {
			exchanges = slices.DeleteFunc(exchanges, func(e abandonedExchange) bool { return time.Since(e.at) > abandonedWindow })
			if q.abandoned[server] = exchanges; len(exchanges) == 0 {
				delete(q.abandoned, server)
			}
		}
		q.mu.Unlock()
	}
}

// Refresh makes the quarantine read the records anew after refreshDelay: there are signs
// that a server has crashed, or that connections to the store have been lost.
func (q *Quarantine) Refresh() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if time.Since(q.refreshedAt) < refreshInterval {
		return
	}
	q.refreshedAt = time.Now()
	time.AfterFunc(refreshDelay, func() {
		select {
		case q.refresh <- struct{}{}:
		default: // One is pending.
		}
	})
}

// execute carries out an effect of the reducer.
func (q *Quarantine) execute(effect reduce.Effect) {
	switch effect := effect.(type) {
	case poison.WriteRecord:
		go q.write(effect)
	case poison.RemoveRows:
		go q.remove(effect.Entries)
	case poison.VerdictChanged:
		q.verdictChanged(effect)
	}
}

func (q *Quarantine) write(effect poison.WriteRecord) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	err := q.store.Replace(ctx, platform.Row{Table: recordTable, Key: q.entry, Value: encodeRecord(effect.Record), Version: effect.Version})
	if err != nil {
		logevent.Write(q.log, logevent.CrashRecordNotWritten, logrus.Fields{"version": effect.Version, "error": err.Error()})
	}
	q.loop.Post(poison.RecordWritten{Err: err})
}

func (q *Quarantine) remove(entries []string) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	var rows []platform.Row
	for _, entry := range entries {
		rows = append(rows, platform.Row{Table: recordTable, Key: entry})
	}
	if err := q.store.Remove(ctx, rows); err != nil {
		logevent.Write(q.log, logevent.CrashRecordNotWritten, logrus.Fields{"removed": entries, "error": err.Error()})
	}
}

// traitField returns the name of the log field for a trait of the kind.
func traitField(kind poison.Kind) string {
	if kind == poison.WholeRequest {
		return "fingerprint"
	}
	return "part"
}

// verdictChanged logs the verdict and ends the waiting of requests that must not be sent
// any more. The new verdicts are published before effects are executed.
func (q *Quarantine) verdictChanged(change poison.VerdictChanged) {
	accusation := change.Accusation
	fields := logrus.Fields{
		"service": change.Service, traitField(change.Trait.Kind): change.Trait.ID, "accused": !change.Cleared, "servers": accusation.Servers,
		"episodes": accusation.Episodes, "organisations": accusation.Organisations,
		"age_ms": time.Since(accusation.LastCrash).Milliseconds(), "until_ms": time.Until(accusation.Until()).Milliseconds(),
	}
	logevent.Write(q.log, logevent.TraitJudged, fields)
	verdicts := *q.loop.View()
	q.metrics.accusedParts.Set(float64(verdicts.Len(poison.PromptPart)))
	q.metrics.accusedRequests.Set(float64(verdicts.Len(poison.WholeRequest)))
	q.mu.Lock()
	defer q.mu.Unlock()
	for w := range q.waiting {
		if refused := refusal(verdicts, w.request); refused != nil {
			w.cancel(refused)
		}
	}
}
