// Package leave supports graceful shutdown. It counts the requests in flight, so
// that a process can stop without interrupting any.
package leave

import (
	"context"
	"net/http"
	"sync"
)

// InFlightCounter counts the requests that a server is working on.
type InFlightCounter struct {
	mu    sync.Mutex
	count int
	idle  chan struct{} // Closed when count drops to zero; nil if no goroutine waits for that.
}

// Wrap returns a handler that counts the requests that next is serving.
func (f *InFlightCounter) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.begin()
		defer f.end()
		next.ServeHTTP(w, r)
	})
}

// Count returns the number of requests in flight.
func (f *InFlightCounter) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

// Wait returns once no request is in flight, or with the error of ctx.
func (f *InFlightCounter) Wait(ctx context.Context) error {
	select {
	case <-f.idleChannel():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *InFlightCounter) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
}

func (f *InFlightCounter) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

func (f *InFlightCounter) idleChannel() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.count == 0 {
		idle := make(chan struct{})
		close(idle)
		return idle
	}
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	return f.idle
}
