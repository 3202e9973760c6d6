package store

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/ports/httpapi"
)

// Handler serves the store's HTTP interface; see package httpapi.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table/row", s.serveGetRow)
	mux.HandleFunc("GET /table/list", s.serveListRows)
	mux.HandleFunc("POST /table/commit", s.serveCommit)
	mux.HandleFunc("PUT /objects/{name...}", s.servePutObject)
	mux.HandleFunc("GET /objects/{name...}", s.serveGetObject)
	mux.HandleFunc("DELETE /objects/{name...}", s.serveDeleteObject)
	mux.HandleFunc("POST /weights", s.serveWeights)
	mux.HandleFunc("GET /instances", s.serveInstances)
	mux.HandleFunc("PUT /instances/{id}", s.serveSetInstance)
	mux.HandleFunc("DELETE /instances/{id}", s.serveRemoveInstance)
	outer := http.NewServeMux()
	outer.Handle("/faults", &s.Faults)
	outer.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	outer.Handle("/", s.Faults.Wrap(mux))
	return outer
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Store) serveGetRow(w http.ResponseWriter, r *http.Request) {
	row, _ := s.Get(r.Context(), r.URL.Query().Get("key"))
	writeJSON(w, row)
}

func (s *Store) serveListRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	rows, _ := s.List(r.Context(), query.Get("prefix"), query.Get("after"), limit)
	writeJSON(w, rows)
}

func (s *Store) serveCommit(w http.ResponseWriter, r *http.Request) {
	var tx ports.Tx
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err := s.Commit(r.Context(), tx)
	if errors.Is(err, ports.ErrConflict) {
		http.Error(w, err.Error(), httpapi.StatusConditionFailed)
		return
	}
	writeJSON(w, struct{}{})
}

func (s *Store) servePutObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = s.ObjectStore().Put(r.Context(), r.PathValue("name"), body)
}

func (s *Store) serveDeleteObject(_ http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, r.PathValue("name"))
}

func (s *Store) serveGetObject(w http.ResponseWriter, r *http.Request) {
	body, err := s.ObjectStore().Get(r.Context(), r.PathValue("name"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	_, _ = w.Write(body)
}

// serveInstances answers with the instance list, or with status 304 if the caller already
// has the current one according to its ETag.
func (s *Store) serveInstances(w http.ResponseWriter, r *http.Request) {
	body, err := json.Marshal(s.Instances())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := `"` + strconv.FormatUint(xxhash.Sum64(body), 16) + `"`
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (s *Store) serveSetInstance(w http.ResponseWriter, r *http.Request) {
	var instance ports.Instance
	if err := json.NewDecoder(r.Body).Decode(&instance); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	instance.ID = r.PathValue("id")
	s.SetInstance(instance)
}

func (s *Store) serveRemoveInstance(_ http.ResponseWriter, r *http.Request) {
	s.RemoveInstance(r.PathValue("id"))
}
