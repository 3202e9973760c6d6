package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Figures of sooas-persimmon and glorieta-ops for a group of model workers.
const (
	groupRanks   = 12
	groupSets    = 4
	groupExperts = 72
	groupSlots   = 12
	stallTime    = 1500 * time.Millisecond
	formTime     = 600 * time.Millisecond
	streamEvents = 26
	firstEvent   = 120 * time.Millisecond
	passTime     = 40 * time.Millisecond
)

// group is a stand-in of a group of model workers. If a rank ends, all ranks stall and then
// cut their work off; when all are back, the group opens in a new epoch. Nobody prefers an
// expert, so that no change of the map is asked for.
type group struct {
	f       *fleet
	store   *store
	service string
	runs    *runs

	mu      sync.Mutex
	epoch   int64
	open    bool
	broken  chan struct{} // Closed once the work of the epoch is cut off.
	step    int64
	workers []*modelWorker
}

// modelWorker is one rank of a group.
type modelWorker struct {
	group   *group
	rank    int
	id      string
	address string
	starts  int

	mu     sync.Mutex
	up     bool
	active int
	server *http.Server
	conns  map[net.Conn]bool
	ended  chan struct{}
}

// startGroup starts the workers on the addresses from first on.
func (f *fleet) startGroup(s *store, service string, first int, r *runs) *group {
	g := &group{f: f, store: s, service: service, runs: r, epoch: 1, open: true, broken: make(chan struct{})}
	for rank := range groupRanks {
		g.workers = append(g.workers, &modelWorker{group: g, rank: rank, address: net.JoinHostPort(f.ip(first+rank), strconv.Itoa(workerPort))})
	}
	for _, w := range g.workers {
		w.start()
	}
	go func() {
		for range time.Tick(passTime) {
			g.mu.Lock()
			if g.open {
				g.step++
			}
			g.mu.Unlock()
		}
	}()
	return g
}

// start starts a new incarnation of the worker and writes its entry.
func (w *modelWorker) start() {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		cannotRun("listen: %v", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	w.id = fmt.Sprintf("i-%s-%d-%d", w.group.service, w.rank, w.starts)
	w.up, w.active, w.conns, w.ended = true, 0, map[net.Conn]bool{}, make(chan struct{})
	w.server = &http.Server{Handler: w, ConnState: func(conn net.Conn, state http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if state == http.StateClosed {
			delete(w.conns, conn)
		} else {
			w.conns[conn] = true
		}
	}}
	go func(server *http.Server) { _ = server.Serve(listener) }(w.server)
	w.group.store.put("servers", w.id, map[string]any{
		"backend": w.group.service, "address": w.address, "zone": zoneOf(w.rank), "version": "v1", "slots": groupSlots, "state": "ready",
		"warmup_left_ms": 0, "phase": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": 0, "born": time.Now().UnixMilli(),
	})
}

// crash ends the worker's process: its connections are reset and its address refuses new
// ones.
func (w *modelWorker) crash() {
	w.mu.Lock()
	w.up = false
	close(w.ended)
	server, conns := w.server, w.conns
	for conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	w.mu.Unlock()
	_ = server.Close()
}

// crashZone ends all workers of a zone at once. They are back after the time, under new ids.
func (g *group) crashZone(zone string, dark time.Duration) {
	g.mu.Lock()
	g.open = false
	broken := g.broken
	g.mu.Unlock()
	var down []*modelWorker
	var ids []string
	for _, w := range g.workers {
		if zoneOf(w.rank) == zone {
			down, ids = append(down, w), append(ids, w.id)
		}
	}
	for _, w := range down {
		w.crash()
	}
	g.f.note("%d workers of %s have crashed", len(down), zone)
	time.AfterFunc(stallTime, func() { close(broken) })
	time.AfterFunc(3600*time.Millisecond, func() { // Three heartbeats.
		for _, id := range ids {
			g.store.remove("servers", id)
		}
	})
	time.AfterFunc(dark, func() {
		for _, w := range down {
			w.start()
		}
		g.f.note("the workers of %s are back", zone)
		time.Sleep(formTime)
		g.mu.Lock()
		g.epoch, g.open, g.step, g.broken = g.epoch+1, true, 0, make(chan struct{})
		g.mu.Unlock()
		g.f.note("the group is open again")
	})
}

func (w *modelWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/persimmonwind/report":
		w.report(out)
	case "/persimmonwind/picked":
		w.picked(out, r.URL.Query().Has("lists"))
	case "/persimmonwind/order":
		out.WriteHeader(http.StatusConflict) // There is nothing to change.
	case "/healthz":
		out.Header().Set(headerInstance, w.id)
	default:
		w.stream(out, r)
	}
}

func (w *modelWorker) report(out http.ResponseWriter) {
	w.mu.Lock()
	active := w.active
	w.mu.Unlock()
	g := w.group
	g.mu.Lock()
	defer g.mu.Unlock()
	state := "open"
	if !g.open {
		state = "broken"
	}
	reply(out, http.StatusOK, map[string]any{
		"phase": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq": 0,
		"queued": 0, "active": active, "kv_used": 1000 * active, "kv_total": 494000, "handles": 0, "pace": 1,
		"group": map[string]any{"name": "g", "epoch": g.epoch, "rank": w.rank, "state": state}, "size": groupRanks,
		"step": g.step, "mapping": 0, "prepared": 0, "held": 0,
	})
}

func (w *modelWorker) picked(out http.ResponseWriter, lists bool) {
	g := w.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if !lists {
		reply(out, http.StatusOK, map[string]any{"step": g.step, "epoch": g.epoch, "counts": make([]int64, groupSets*groupExperts)})
		return
	}
	experts := make([][]int, groupSets)
	for set := range experts {
		for expert := w.rank; expert < groupExperts; expert += groupRanks {
			experts[set] = append(experts[set], expert)
		}
	}
	reply(out, http.StatusOK, map[string]any{"mapping": map[string]any{"version": 0, "experts": experts}})
}

// stream answers a request with a stream of events, one a pass.
func (w *modelWorker) stream(out http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(headerAttempt)
	out.Header().Set(headerAttempt, attempt)
	if expected := r.Header.Get(headerExpect); expected != "" && expected != w.id {
		out.Header().Set(headerInstance, w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	g := w.group
	g.mu.Lock()
	open, broken := g.open, g.broken
	g.mu.Unlock()
	w.mu.Lock()
	full := w.active >= 3*groupSlots
	ended := w.ended
	if open && !full {
		w.active++
	}
	w.mu.Unlock()
	if !open || full {
		out.Header().Set(headerNotExecuted, "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		w.mu.Lock()
		w.active--
		w.mu.Unlock()
	}()
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	wait := firstEvent
	for id := first; id <= streamEvents; id++ {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
		// A rank that stalls sends nothing until the group is cut off.
		g.mu.Lock()
		stalled := !g.open || g.broken != broken
		g.mu.Unlock()
		if stalled {
			select {
			case <-broken:
			case <-r.Context().Done():
			case <-ended:
			}
			if id == first {
				out.Header().Set(headerNotExecuted, "1")
				out.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			panic(http.ErrAbortHandler)
		}
		if id == first {
			g.runs.add(attempt, w.id)
			out.Header().Set(headerStamp, w.id)
			out.Header().Set("Content-Type", "text/event-stream")
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s %d\n\n", id, attempt, id)
		out.(http.Flusher).Flush()
		wait = passTime
	}
}

// modelService returns the service of model workers as the operator writes it.
func modelService(name string) map[string]any {
	service := plainService(name)
	service["max_conns"], service["warmup_s"], service["warmup_per_s"] = 328, 3.0, 36.0
	service["engine"] = map[string]any{
		"slots": groupSlots, "kv_capacity": 494000, "kv_token_bytes": 35136, "link_mbps": 180000.0, "stride": 6, "models": []any{map[string]any{"name": "m"}},
		"step_ms": 4.84, "per_seq_ms": 0.362, "context_per_k": 0.011, "read_per_s": 74800.0, "pairs_per_m": 0.232, "chunk": 512, "report_lag_ms": 200.0,
		"loads_per_s": 0.0, "loads_at_once": 8, "delays": []any{}, "usual": map[string]any{"prompt": 835, "answer": 159},
		"sets": groupSets, "experts": groupExperts, "placements": 8, "spare": 3, "expert_mb": 2200.0, "expert_share": 0.85, "form_ms": 600.0,
	}
	return service
}
