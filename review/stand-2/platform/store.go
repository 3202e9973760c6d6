// Package main is the stand-in of the platform with which the scripts of this review
// run: the store, backend servers, callers and the operator, in one process that starts
// the project's programs as processes of their own.
package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store as responses show it.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"schema_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is the platform's store: it keeps all rows and its whole history.
type store struct {
	startedAt time.Time

	mu      sync.Mutex
	version uint64
	rows    map[string]row // By table and key.
	history []row
	changed chan struct{} // Closed by the next change.
}

func newStore() *store {
	return &store{startedAt: time.Now(), rows: map[string]row{}, changed: make(chan struct{})}
}

// apply writes and removes rows in one transaction and returns when it was accepted.
func (s *store) apply(writes, remove []row) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	for _, r := range writes {
		r.Version = s.version
		s.rows[r.Table+"\x00"+r.Key] = r
		s.history = append(s.history, r)
	}
	for _, r := range remove {
		r.Version, r.Value, r.Deleted = s.version, nil, true
		delete(s.rows, r.Table+"\x00"+r.Key)
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

// put writes a value as the operator or a backend server does.
func (s *store) put(table, key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.apply([]row{{Table: table, Key: key, Value: data}}, nil)
}

func (s *store) remove(table, key string) time.Time {
	return s.apply(nil, []row{{Table: table, Key: key}})
}

func (s *store) answer(w http.ResponseWriter, status int, version uint64, rows []row) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "schema_version": version, "has_more": false, "now_ms": time.Since(s.startedAt).Milliseconds(),
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	var found []row
	for _, each := range s.rows {
		if each.Table == query.Get("table") && each.Part == query.Get("part") && each.Key >= query.Get("from") && (query.Get("to") == "" || each.Key < query.Get("to")) {
			found = append(found, each)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	s.answer(w, http.StatusOK, version, found)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after_rev"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		var found []row
		for _, each := range s.history {
			if each.Version > after && each.Table == query.Get("table") {
				found = append(found, each)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			s.answer(w, http.StatusOK, version, found)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answer(w, http.StatusOK, version, nil)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Conditions []row `json:"expected_rev"`
		Writes     []row `json:"writes"`
		Remove     []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	var current []row
	holds := true
	for _, condition := range request.Conditions {
		existing := s.rows[condition.Table+"\x00"+condition.Key]
		holds = holds && existing.Version == condition.Version
		if existing.Version != 0 {
			current = append(current, existing)
		}
	}
	version := s.version
	s.mu.Unlock()
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, version, current)
		return
	}
	s.apply(request.Writes, request.Remove)
	s.answer(w, http.StatusOK, version+1, nil)
}

// gate is the way of one machine to the store. While it is silent, calls of that machine
// get no response; a call that arrived meanwhile never gets one.
type gate struct {
	store   *store
	address string

	mu       sync.Mutex
	silent   bool
	polledAt map[string]time.Time // When the last poll of a table arrived.
}

// newGate listens on a free port of the loopback address.
func newGate(s *store) (*gate, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{store: s, address: listener.Addr().String(), polledAt: map[string]time.Time{}}
	go func() { _ = http.Serve(listener, g) }()
	return g, nil
}

func (g *gate) setSilent(silent bool) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silent = silent
	return time.Now()
}

func (g *gate) isSilent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.silent
}

// lastPoll returns when the last poll of the table arrived.
func (g *gate) lastPoll(table string) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.polledAt[table]
}

// held is a response that is sent only if the machine is served when it is ready.
type held struct {
	header http.Header
	status int
	body   []byte
}

func (h *held) Header() http.Header { return h.header }
func (h *held) WriteHeader(s int)   { h.status = s }
func (h *held) Write(b []byte) (int, error) {
	h.body = append(h.body, b...)
	return len(b), nil
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond) // The store's usual time for an answer.
	if r.URL.Path == "/persimmonwind/rows-feed" {
		g.mu.Lock()
		g.polledAt[r.URL.Query().Get("table")] = time.Now()
		g.mu.Unlock()
	}
	arrivedSilent := g.isSilent()
	response := &held{header: http.Header{}, status: http.StatusOK}
	if !arrivedSilent {
		switch r.URL.Path {
		case "/persimmonwind/rows-get":
			g.store.get(response, r)
		case "/persimmonwind/rows-feed":
			g.store.feed(response, r)
		case "/persimmonwind/rows-tx":
			g.store.transact(response, r)
		default:
			response.status = http.StatusNotFound
		}
	}
	if arrivedSilent || g.isSilent() {
		<-r.Context().Done() // No response, until the caller gives the connection up.
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.header {
		w.Header()[name] = values
	}
	w.WriteHeader(response.status)
	_, _ = w.Write(response.body)
}
