package route

import (
	"sync"
	"time"
)

// suspicionTimeout is how long an agent whose probe failed is probed only when
// no other candidate is left.
const suspicionTimeout = 3 * time.Second

// suspects holds the agents whose latest probe failed, by the names of their
// backend servers.
type suspects struct {
	mu             sync.Mutex
	suspectedUntil map[string]time.Time
}

func newSuspects() *suspects { return &suspects{suspectedUntil: map[string]time.Time{}} }

// add marks the agent as suspected for suspicionTimeout.
func (s *suspects) add(name string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspectedUntil[name] = now.Add(suspicionTimeout)
}

// clear removes the suspicion from an agent that has answered.
func (s *suspects) clear(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.suspectedUntil, name)
}

// split splits the targets into those whose agents are not suspected and those
// whose agents are.
func (s *suspects) split(targets []Target, now time.Time) (trusted, suspected []Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, target := range targets {
		if now.Before(s.suspectedUntil[target.BackendServer]) {
			suspected = append(suspected, target)
		} else {
			trusted = append(trusted, target)
		}
	}
	return trusted, suspected
}
