// Package service is the stand-in for plain services. It records every run, so
// that a test can tell whether non-idempotent work ran at most once.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"persimmonwind.dev/server/ports/httpapi"
	"persimmonwind.dev/server/standin/fault"
)

// Run records one execution of an operation.
type Run struct {
	RunID     string `json:"run_id"`
	RequestID string `json:"request_id"`
	Service   string `json:"service"`
	Operation string `json:"operation"`
	Body      string `json:"body"`
}

// Service simulates a plain service: it records and answers calls.
type Service struct {
	Faults   fault.Injector
	WorkTime time.Duration // Time that each run takes.

	mu   sync.Mutex
	runs []Run
}

// New returns a service whose runs take workTime.
func New(workTime time.Duration) *Service { return &Service{WorkTime: workTime} }

// Runs returns all runs so far.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Handler serves POST /{service}/{operation}, GET /runs and /faults.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{service}/{operation}", s.serveCall)
	outer := http.NewServeMux()
	outer.Handle("/faults", &s.Faults)
	outer.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Runs())
	})
	outer.Handle("/", s.Faults.Wrap(mux))
	return outer
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	run := Run{
		RunID:     uuid.NewString(),
		RequestID: r.Header.Get(httpapi.HeaderRequestID),
		Service:   r.PathValue("service"),
		Operation: r.PathValue("operation"),
		Body:      string(body),
	}
	s.record(run)
	time.Sleep(s.WorkTime)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(httpapi.HeaderRequestID, run.RequestID)
	_ = json.NewEncoder(w).Encode(run)
}

func (s *Service) record(run Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run)
}
