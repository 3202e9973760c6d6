package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Names of headers; see PROTOCOL.md.
const (
	headerAttempt     = "Persimmonwind-Attempt-Id"
	headerDeadline    = "Persimmonwind-Deadline-Ms"
	headerStamp       = "Persimmonwind-Server-Stamp"
	headerExpect      = "Persimmonwind-Expect-Instance"
	headerNotExecuted = "Persimmonwind-Not-Executed"
	headerInstance    = "Persimmonwind-Instance-Id"
	headerTenant      = "Persimmonwind-Tenant"
)

const routeHost = "ficu95.example"

// runs records which worker ran a request, by attempt.
type runs struct {
	mu sync.Mutex
	by map[string][]string
}

func (r *runs) add(attempt, worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.by[attempt] = append(r.by[attempt], worker)
}

func (r *runs) of(attempt string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.by[attempt]
}

// worker is a worker of a plain service.
type worker struct {
	id, service string
	slots       int
	queue       int
	work        func() time.Duration // How long a request takes.
	readBody    func(body io.Reader) // How the worker reads bodies; nil for at once.
	runs        *runs

	active atomic.Int32
	slot   chan struct{}
}

func newWorker(id, service string, work func() time.Duration, r *runs) *worker {
	w := &worker{id: id, service: service, slots: 6, queue: 24, work: work, runs: r}
	w.slot = make(chan struct{}, w.slots)
	return w
}

// body returns the whole body of the worker's answer.
func (w *worker) body(attempt string) string {
	return strings.Repeat(fmt.Sprintf("%s by %s;", attempt, w.id), 20)
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(headerAttempt)
	if r.URL.Path == "/healthz" {
		out.Header().Set(headerInstance, w.id)
		return
	}
	out.Header().Set(headerAttempt, attempt)
	if expected := r.Header.Get(headerExpect); expected != "" && expected != w.id {
		out.Header().Set(headerInstance, w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer w.active.Add(-1)
	if int(w.active.Add(1)) > w.slots+w.queue {
		out.Header().Set(headerNotExecuted, "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if w.readBody != nil {
		w.readBody(r.Body)
	} else {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	select {
	case w.slot <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-w.slot }()
	w.runs.add(attempt, w.id)
	select {
	case <-time.After(w.work()):
	case <-r.Context().Done():
		return
	}
	out.Header().Set(headerStamp, w.id)
	_, _ = io.WriteString(out, w.body(attempt)) // The caller may have left.
}

// startWorkers starts workers of a service on the addresses from first on, and writes their
// entries.
func (f *fleet) startWorkers(s *store, service string, first, count int, work func() time.Duration, r *runs) []*worker {
	var started []*worker
	for i := range count {
		w := newWorker(fmt.Sprintf("i-%s-%d", service, i), service, work, r)
		address := fmt.Sprintf("%s:%d", f.ip(first+i), workerPort)
		f.listen(address, w)
		s.put("servers", w.id, map[string]any{
			"backend": service, "address": address, "zone": zoneOf(i), "version": "v1", "slots": w.slots, "state": "ready",
			"warmup_left_ms": 0, "phase": "both", "models": []any{}, "seq": 0, "born": time.Now().UnixMilli(),
		})
		started = append(started, w)
	}
	return started
}

func zoneOf(i int) string { return []string{"zone-a", "zone-b", "zone-c"}[i%3] }

// route returns a route as the operator writes it.
func route(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "hostname": routeHost, "prefix": prefix, "route_kind": kind, "timeout_ms": 1500, "slo_ms": 300, "priority": 2,
		"backend": service, "max_attempts": attempts, "public": false, "sticky": false, "resumable": false,
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false, "warmup_s": 0.0, "warmup_per_s": 0.0}
}

func limits() map[string]any {
	return map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}
