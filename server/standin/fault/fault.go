// Package fault injects faults into a stand-in: the stand-in can be slow or down,
// or lose answers. Faults are set through PUT /faults on every stand-in.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Faults describes the faults of a stand-in. The zero value has none.
type Faults struct {
	Down        bool `json:"down"`         // Refuse every request, which then has no effect.
	SlowMS      int  `json:"slow_ms"`      // Delay every request by this many milliseconds.
	LoseAnswers int  `json:"lose_answers"` // Number of writes that take effect but whose connection is closed without an answer.
}

// Injector applies faults to an HTTP handler.
type Injector struct {
	mu     sync.Mutex
	faults Faults
}

// Set replaces the faults in force.
func (i *Injector) Set(faults Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = faults
}

// Get returns the faults in force.
func (i *Injector) Get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

func (i *Injector) consumeLostAnswer() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.LoseAnswers == 0 {
		return false
	}
	i.faults.LoseAnswers--
	return true
}

// ServeHTTP reads (GET) or replaces (PUT) the faults.
func (i *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var faults Faults
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		i.Set(faults)
	}
	_ = json.NewEncoder(w).Encode(i.Get())
}

// Wrap returns a handler that applies the faults to next. Only requests other
// than GET lose answers.
func (i *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := i.Get()
		if faults.SlowMS > 0 {
			time.Sleep(time.Duration(faults.SlowMS) * time.Millisecond)
		}
		if faults.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if r.Method != http.MethodGet && i.consumeLostAnswer() {
			next.ServeHTTP(discardWriter{}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// discardWriter is an http.ResponseWriter that drops the answer.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) WriteHeader(int)             {}
