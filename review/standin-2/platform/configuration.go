package main

import "sync"

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
