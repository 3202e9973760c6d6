package store

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// weightsBytesPerSecond is the throughput of the weight store.
const weightsBytesPerSecond = 8e9

// weightLimiter limits the weight store's throughput: it delivers weights to one
// caller after another.
type weightLimiter struct {
	mu        sync.Mutex
	busyUntil time.Time // When all reserved bytes will have been delivered.
}

// reserve reserves the bytes and returns the time at which they will have been
// delivered.
func (w *weightLimiter) reserve(bytes int64) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); w.busyUntil.Before(now) {
		w.busyUntil = now
	}
	w.busyUntil = w.busyUntil.Add(time.Duration(float64(bytes) / weightsBytesPerSecond * float64(time.Second)))
	return w.busyUntil
}

func (s *Store) serveWeights(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Bytes int64 `json:"bytes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	select {
	case <-time.After(time.Until(s.weights.reserve(request.Bytes))):
		writeJSON(w, struct{}{})
	case <-r.Context().Done():
	}
}
