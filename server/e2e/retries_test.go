package e2e

import (
	"fmt"
	"testing"
	"time"
)

// TestHalfOfTheEnginesKilled kills one of two engines under load. It guards against
// retries that multiply the load on the remaining engine: the attempts per request stay
// under a limit, and the remaining engine goes on answering.
func TestHalfOfTheEnginesKilled(t *testing.T) {
	const maxAttemptsPerRequest = 1.2
	s := newSystem(t)
	for index := range 2 {
		s.addBackend(fmt.Sprintf("engine-%d", index+1), fmt.Sprintf("dc-%d", index+1), "engine", "--warm-after", "8")
	}
	for index := range 2 {
		s.addEntry(fmt.Sprintf("entry-%d", index+1), "dc-1")
	}
	load := s.startLoad(6)
	time.Sleep(3 * time.Second)
	s.backends["engine-2"].kill()
	answered, attempts, requests := load.answered.Load(), s.startedGenerations("engine-1"), load.finished()
	time.Sleep(3 * time.Second)
	attempts, requests = s.startedGenerations("engine-1")-attempts, load.finished()-requests
	load.stop()
	t.Logf("%d attempts at the remaining engine for %d requests; in total %d answered, %d refused, %d failed",
		attempts, requests, load.answered.Load(), load.refused.Load(), load.failed.Load())
	if load.answered.Load() == answered {
		t.Error("no request was answered after the kill")
	}
	if float64(attempts) >= maxAttemptsPerRequest*float64(requests) {
		t.Errorf("%d attempts at the remaining engine for %d requests", attempts, requests)
	}
	if load.incorrect.Load() != 0 {
		t.Errorf("%d answers were incomplete or wrong", load.incorrect.Load())
	}
}

// startedGenerations returns how many generations the engine has started.
func (s *system) startedGenerations(name string) int64 {
	s.t.Helper()
	return int64(s.number(s.backendURLs[name] + "/test/started"))
}

// finished returns the number of requests that have ended, whatever their outcome.
func (l *callerLoad) finished() int64 {
	return l.answered.Load() + l.refused.Load() + l.failed.Load() + l.incorrect.Load()
}
