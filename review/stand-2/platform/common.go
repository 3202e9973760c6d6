package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The exit codes of a script.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// host is the host name of all routes.
const host = "review.example"

// record writes record.txt: what was sent, answered and run, with seconds since the start.
type record struct {
	mu        sync.Mutex
	out       *os.File
	startedAt time.Time
}

func newRecord(path string) (*record, error) {
	out, err := os.Create(path)
	return &record{out: out, startedAt: time.Now()}, err
}

func (r *record) log(format string, args ...any) { r.logAt(time.Now(), format, args...) }

func (r *record) logAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", at.Sub(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// freePort returns a TCP port of the loopback address that was free a moment ago.
func freePort() int {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

// entry is a running process of the project on an edge machine.
type entry struct {
	name    string
	front   string // Address for callers.
	ready   string // Address for readiness checks.
	command *exec.Cmd
	ended   chan struct{}
}

// startEntry starts an entry with the command of the deploy file and waits until it is
// ready.
func startEntry(folder, name, storeAddress string, memoryMB int) (*entry, error) {
	front, ready, peer, metrics := freePort(), freePort(), freePort(), freePort()
	path := filepath.Join(folder, name+".conf")
	settings := fmt.Sprintf(`node_name=%s
role=entry
machine_class=edge
serves=edge
ip=127.0.0.1
zone=zone-a
region=region-a
zones.zone-a=region-a
listen.front=127.0.0.1:%d
listen.ready_addr=127.0.0.1:%d
internal_ports=%d,%d
bootstrap=true
limits.cpu_share=0.304
limits.cores=1
limits.memory_mb=%d
limits.max_fds=4200
limits.link_mbps=1000.0
heartbeat_ms=1200
bounds.contact_ms=3000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.retry_ratio=0.2
bounds.retry_window_s=10
bounds.retry_slack=90
bounds.warmup_overshoot=1.5
bounds.warmup_slack=5
platform.address=%s
platform.form=table
`, name, front, ready, peer, peer+15, memoryMB, storeAddress)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	command := exec.Command("target/persimmonwind", "platform", "entry", "--metrics-port", strconv.Itoa(metrics))
	command.Env = []string{"PERSIMMONWIND_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + folder}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, err
	}
	e := &entry{name: name, front: fmt.Sprintf("127.0.0.1:%d", front), ready: fmt.Sprintf("127.0.0.1:%d", ready), command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(e.ended)
	}()
	for range 200 {
		if response, err := http.Get("http://" + e.ready + "/persimmonwind/readyz"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return e, nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	e.kill()
	return nil, fmt.Errorf("%s did not become ready", name)
}

func (e *entry) kill() {
	_ = e.command.Process.Kill()
	<-e.ended
}

// residentMB returns the resident memory of the process in MB, 0 if it has ended.
func (e *entry) residentMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// run is a run of a request at a worker.
type run struct {
	id, worker, tenant string
	at                 time.Time
}

// worker is a plain backend server: it runs up to slots requests at the same time and
// rejects others, and requests that are meant for another instance.
type worker struct {
	id, address, service string
	slots                int
	work                 time.Duration
	record               *record // Nil for a worker with so many runs that they are not recorded one by one.
	server               *http.Server

	mu     sync.Mutex
	active int
	runs   []run
}

func startWorker(id, service string, slots int, work time.Duration, r *record) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, address: listener.Addr().String(), service: service, slots: slots, work: work, record: r}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

// row returns the entry with which the worker registers.
func (w *worker) row() map[string]any {
	return map[string]any{
		"backend": w.service, "address": w.address, "zone": "zone-a", "version": "v1", "slots": w.slots,
		"state": "ready", "warmup_left_ms": 0, "seq": 0, "born": time.Now().UnixMilli(),
	}
}

func (w *worker) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}

func (w *worker) ServeHTTP(response http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	id := r.Header.Get("Persimmonwind-Attempt-Id")
	response.Header().Set("Persimmonwind-Attempt-Id", id)
	if expected := r.Header.Get("Persimmonwind-Expect-Instance"); expected != "" && expected != w.id {
		response.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	if w.active >= w.slots {
		w.mu.Unlock()
		response.Header().Set("Persimmonwind-Not-Executed", "1")
		response.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.active++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.active--
		w.mu.Unlock()
	}()
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return // The sender has broken the request off; it did not run.
	}
	w.mu.Lock()
	w.runs = append(w.runs, run{id: id, worker: w.id, tenant: r.Header.Get("Persimmonwind-Tenant"), at: arrivedAt})
	w.mu.Unlock()
	if w.record != nil {
		w.record.logAt(arrivedAt, "worker %s runs %s, tenant %q, body %d bytes", w.id, id, r.Header.Get("Persimmonwind-Tenant"), size)
	}
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	response.Header().Set("Persimmonwind-Server-Stamp", "stamp-"+w.id+"-"+id)
	_, _ = response.Write(bytes.Repeat([]byte("w"), 800))
}

// route returns a route of the configuration.
func route(prefix, kind, service string, timeoutMS, attempts int, public bool) map[string]any {
	return map[string]any{
		"name": "r-" + strings.Trim(prefix, "/"), "hostname": host, "prefix": prefix, "route_kind": kind, "timeout_ms": timeoutMS,
		"slo_ms": 150, "priority": 2, "backend": service, "max_attempts": attempts, "public": public,
	}
}

// configuration returns a configuration with the limits of the pages' example.
func configuration(version int64, routes, tenants []any, services ...string) map[string]any {
	var list []any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/healthz", "max_conns": 200, "protocol": "h1", "tls": false, "warmup_s": 0, "warmup_per_s": 0})
	}
	config := map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if tenants != nil {
		config["tenants"] = tenants
	}
	return config
}

// reply is what a caller got.
type reply struct {
	status            int // 0 if the connection ended without a whole answer.
	stamp             string
	err               error
	sentAt, arrivedAt time.Time
}

// caller sends requests over connections that it keeps.
type caller struct {
	http   *http.Client
	record *record
}

func newCaller(r *record) *caller {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 200, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &caller{http: &http.Client{Transport: transport}, record: r}
}

// send sends one attempt and returns its answer.
func (c *caller) send(front, method, path, id, key string, deadline time.Duration, body []byte) reply {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.GetBody = nil // So that the library never sends an attempt twice.
	request.Host = host
	request.Header.Set("Persimmonwind-Attempt-Id", id)
	request.Header.Set("Persimmonwind-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		request.Header.Set("Authorization", "Token "+key)
	}
	got := reply{sentAt: time.Now()}
	response, err := c.http.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	got.arrivedAt, got.err = time.Now(), err
	if err == nil {
		got.status, got.stamp = response.StatusCode, response.Header.Get("Persimmonwind-Server-Stamp")
	}
	c.record.logAt(got.sentAt, "caller sends %s %s as %s, key %q", method, path, id, key)
	c.record.logAt(got.arrivedAt, "caller has the answer to %s: status %d, error %v", id, got.status, got.err)
	return got
}
