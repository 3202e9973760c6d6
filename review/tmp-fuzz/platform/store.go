package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// historyTime is how long the store keeps changes.
	historyTime = 20 * time.Second
	maxPageRows = 500
	maxPage     = 1 << 20
)

// row is a row of the store as it is sent.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"schema_version"`
	Deleted bool   `json:"deleted,omitempty"`

	at time.Time
}

type rowName struct{ table, part, key string }

func (r row) name() rowName { return rowName{r.Table, r.Part, r.Key} }

// rowsAnswer is the body of an answer about rows.
type rowsAnswer struct {
	Rows    []row  `json:"rows"`
	Version uint64 `json:"schema_version"`
	HasMore bool   `json:"has_more"`
	NowMS   int64  `json:"now_ms"`
}

// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	began time.Time

	mu      sync.Mutex
	version uint64
	rows    map[rowName]row
	history []row
	dropped uint64 // Version of the newest change that is no longer kept.
	changed chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), rows: map[rowName]row{}, changed: make(chan struct{})}
}

// put writes a row as the operator or a worker does, and returns the size of its value.
func (s *store) put(table, key string, value any) int {
	data, err := json.Marshal(value)
	if err != nil {
		cannotRun("encode row: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: data}})
	return len(data)
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Deleted: true}})
}

// apply carries out the changes of one transaction.
func (s *store) apply(rows []row) {
	s.version++
	for _, change := range rows {
		change.Version, change.at = s.version, time.Now()
		if change.Deleted {
			change.Value = nil
			delete(s.rows, change.name())
		} else {
			s.rows[change.name()] = change
		}
		s.history = append(s.history, change)
	}
	s.forget()
	close(s.changed)
	s.changed = make(chan struct{})
}

// forget drops the history that is too old.
func (s *store) forget() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.dropped = s.history[0].Version
		s.history = s.history[1:]
	}
}

func (s *store) answer(rows []row) rowsAnswer {
	if rows == nil {
		rows = []row{}
	}
	return rowsAnswer{Rows: rows, Version: s.version, NowMS: time.Since(s.began).Milliseconds()}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	switch r.URL.Path {
	case "/persimmonwind/rows-get":
		s.get(w, r)
	case "/persimmonwind/rows-feed":
		s.feed(w, r)
	case "/persimmonwind/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	var found []row
	for name, candidate := range s.rows {
		if name.table == query.Get("table") && name.part == query.Get("part") && name.key >= query.Get("from") && (query.Get("to") == "" || name.key < query.Get("to")) {
			found = append(found, candidate)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	size, count := 0, 0
	for count < len(found) && count < limit && (count == 0 || size+len(found[count].Value) <= maxPage) {
		size += len(found[count].Value)
		count++
	}
	answer := s.answer(found[:count])
	answer.HasMore = count < len(found)
	s.mu.Unlock()
	reply(w, http.StatusOK, answer)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, afterErr := strconv.ParseUint(query.Get("after_rev"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if afterErr != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		s.forget()
		gone := after < s.dropped
		var found []row
		for _, change := range s.history {
			if change.Version > after && change.Table == query.Get("table") {
				found = append(found, change)
			}
		}
		answer, changed := s.answer(found), s.changed
		s.mu.Unlock()
		if gone {
			reply(w, http.StatusGone, s.answer(nil))
			return
		}
		if len(found) > 0 {
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, answer)
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
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range slices.Concat(request.Writes, request.Remove) {
		if write.Table == "op" || write.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var current []row
	holds := true
	for _, condition := range request.Conditions {
		known, exists := s.rows[condition.name()]
		if exists {
			current = append(current, known)
		}
		holds = holds && known.Version == condition.Version
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, s.answer(current))
		return
	}
	changes := slices.Clone(request.Writes)
	for _, removed := range request.Remove {
		removed.Deleted = true
		changes = append(changes, removed)
	}
	s.apply(changes)
	reply(w, http.StatusOK, s.answer(nil))
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The caller may have left.
}
