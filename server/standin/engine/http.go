package engine

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/stream"
)

var errCancelled = errors.New("generation cancelled")

// Handler serves the engine's HTTP interface; see package httpapi. The paths
// /faults and /test/ are for tests.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generations/{id}", e.serveSubmit)
	mux.HandleFunc("GET /generations/{id}", e.serveResume)
	mux.HandleFunc("DELETE /generations/{id}", e.serveCancel)
	mux.HandleFunc("GET /generations/{id}/kv", e.serveExport)
	mux.HandleFunc("PUT /generations/{id}/kv", e.serveImport)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Load()) })
	mux.HandleFunc("GET /cache-events", e.serveCacheEvents)
	mux.HandleFunc("POST /orders", e.serveOrder)
	outer := http.NewServeMux()
	outer.Handle("/faults", &e.Faults)
	outer.HandleFunc("POST /test/cold", func(http.ResponseWriter, *http.Request) { e.TurnCold() })
	outer.HandleFunc("POST /test/restart", func(http.ResponseWriter, *http.Request) { e.Restart() })
	outer.HandleFunc("POST /test/stall", func(http.ResponseWriter, *http.Request) { e.Stall(true) })
	outer.HandleFunc("DELETE /test/stall", func(http.ResponseWriter, *http.Request) { e.Stall(false) })
	outer.HandleFunc("PUT /test/stream", e.serveStreamFaults)
	outer.HandleFunc("GET /test/running", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.RunningGenerations()) })
	outer.HandleFunc("GET /test/started", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.StartedGenerations()) })
	outer.HandleFunc("GET /test/overloads", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.OverloadCrashes()) })
	outer.Handle("/", e.Faults.Wrap(mux))
	return outer
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (e *Engine) serveSubmit(w http.ResponseWriter, r *http.Request) {
	var request ports.Generation
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request.ID = r.PathValue("id")
	g := newGeneration(request)
	e.mu.Lock()
	e.generations[request.ID] = g
	e.startedCount++
	e.mu.Unlock()
	go e.run(g)
	e.streamGeneration(r.Context(), w, g, request.From)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g := e.lookup(r.PathValue("id"))
	if g == nil {
		http.Error(w, "no such generation", http.StatusNotFound)
		return
	}
	e.streamGeneration(r.Context(), w, g, from)
}

func (e *Engine) lookup(id string) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generations[id]
}

// streamGeneration streams the generation's pieces. On a failure it aborts the
// connection.
func (e *Engine) streamGeneration(ctx context.Context, w http.ResponseWriter, g *generation, from int) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	flusher, _ := w.(http.Flusher)
	writer := stream.NewWriter(w, flusher.Flush)
	if err := g.follow(ctx, from, e.withStreamFaults(writer.Write)); err != nil {
		writer.Flush()
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	g := e.lookup(r.PathValue("id"))
	if g == nil {
		http.Error(w, "no such generation", http.StatusNotFound)
		return
	}
	g.fail(errCancelled)
	e.mu.Lock()
	delete(e.generations, g.request.ID)
	e.slotFreed.Broadcast()
	e.mu.Unlock()
	writeJSON(w, struct{}{})
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	g := e.lookup(r.PathValue("id"))
	if g == nil {
		http.Error(w, "no such generation", http.StatusNotFound)
		return
	}
	_, _ = io.WriteString(w, g.request.Prompt)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	state, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.cachePrompt(string(state))
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, e.CacheEvents(after))
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order ports.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := e.Order(order); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	writeJSON(w, struct{}{})
}
