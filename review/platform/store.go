package main

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"persimmonwind.dev/platform/platformtest"
)

// storeAnswerTime is how long the store takes to answer.
const storeAnswerTime = 4 * time.Millisecond

// store is the platform's store. While it is silent it accepts calls and answers none; a
// call whose answer is due meanwhile, or that arrived meanwhile, is never answered.
type store struct {
	*platformtest.Store
	silent   atomic.Bool
	silences atomic.Int64 // Number of silences that have begun.
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	silences := s.silences.Load()
	recorder := httptest.NewRecorder()
	if !s.silent.Load() {
		s.Store.ServeHTTP(recorder, r)
		time.Sleep(storeAnswerTime)
	}
	if s.silent.Load() || s.silences.Load() != silences {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes())
}

func (s *store) setSilent(silent bool) {
	if silent {
		s.silences.Add(1)
	}
	s.silent.Store(silent)
}
