package node

import (
	"slices"
	"strings"
	"sync"
	"time"

	"persimmonwind.dev/server/ports"
)

// heardLifetime is how long a process counts as a member by its own word while
// the instance list, read later, does not name it.
const heardLifetime = time.Minute

// members joins the platform's lagging instance list with what processes have
// said of themselves. A process's own word counts more, the list names those
// that were never heard.
type members struct {
	self string // Own instance ID, which is left out of peers.

	mu       sync.Mutex
	listed   []ports.Instance
	listedAt time.Time
	heard    map[string]heardInstance // By instance ID.
	joined   []ports.Instance         // Never modified; nil after a change.
}

// heardInstance is what a process said of itself.
type heardInstance struct {
	instance ports.Instance
	at       time.Time
}

func newMembers(self string) *members {
	return &members{self: self, heard: map[string]heardInstance{}}
}

func (m *members) setListed(list []ports.Instance, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed, m.listedAt, m.joined = list, now, nil
	named := map[string]bool{}
	for _, instance := range list {
		named[instance.ID] = true
	}
	for id, heard := range m.heard {
		if !named[id] && now.Sub(heard.at) > heardLifetime {
			delete(m.heard, id)
		}
	}
}

func (m *members) hear(instance ports.Instance, now time.Time) {
	if instance.ID == "" || instance.Control == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard[instance.ID] = heardInstance{instance: instance, at: now}
	m.joined = nil
}

// list returns all members in order of ID. The result must not be modified.
func (m *members) list() []ports.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.joined == nil {
		m.joined = m.join()
	}
	return m.joined
}

func (m *members) join() []ports.Instance {
	joined := make([]ports.Instance, 0, len(m.listed)+len(m.heard))
	named := map[string]bool{}
	for _, instance := range m.listed {
		named[instance.ID] = true
		if heard, ok := m.heard[instance.ID]; ok {
			leaving := instance.Leaving
			instance = heard.instance
			instance.Leaving = instance.Leaving || leaving
		}
		joined = append(joined, instance)
	}
	for id, heard := range m.heard {
		if !named[id] {
			joined = append(joined, heard.instance)
		}
	}
	slices.SortFunc(joined, func(a, b ports.Instance) int { return strings.Compare(a.ID, b.ID) })
	return joined
}

// peers returns the other members that keep reports true.
func (m *members) peers(keep func(ports.Instance) bool) []ports.Instance {
	var peers []ports.Instance
	for _, instance := range m.list() {
		if instance.ID != m.self && keep(instance) {
			peers = append(peers, instance)
		}
	}
	return peers
}
