package node

import (
	"slices"
	"strings"
	"sync"
	"time"

	"persimmonwind.dev/server/ports"
)

// reportedTTL is how long an instance that was reported by a process, but is
// missing from the platform's instance list, counts as a member.
const reportedTTL = time.Minute

// members merges the platform's instance list, which lags behind, with what
// processes report about themselves. For an instance in both, the report takes
// precedence; the list adds the instances that have not reported.
type members struct {
	selfID string // ID of this instance, which is not among its own peers.

	mu       sync.Mutex
	listed   []ports.Instance // The platform's instance list as last read.
	listedAt time.Time
	reported map[string]reportedInstance // Instances as reported by their processes, by instance ID.
	merged   []ports.Instance            // Cached result of merge, which is never modified; nil if listed or reported has changed since.
}

// reportedInstance is an instance as last reported by its process, directly or
// through a peer.
type reportedInstance struct {
	instance ports.Instance
	at       time.Time
}

func newMembers(selfID string) *members {
	return &members{selfID: selfID, reported: map[string]reportedInstance{}}
}

// setListed replaces the platform's instance list and drops reported instances
// that are not on it and have expired.
func (m *members) setListed(list []ports.Instance, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed, m.listedAt, m.merged = list, now, nil
	listedIDs := map[string]bool{}
	for _, instance := range list {
		listedIDs[instance.ID] = true
	}
	for id, reported := range m.reported {
		if !listedIDs[id] && now.Sub(reported.at) > reportedTTL {
			delete(m.reported, id)
		}
	}
}

// addReported adds or updates a reported instance. It ignores one without an ID
// or control address.
func (m *members) addReported(instance ports.Instance, now time.Time) {
	if instance.ID == "" || instance.Control == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reported[instance.ID] = reportedInstance{instance: instance, at: now}
	m.merged = nil
}

// list returns all members sorted by ID. The result must not be modified.
func (m *members) list() []ports.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.merged == nil {
		m.merged = m.merge()
	}
	return m.merged
}

// merge merges the listed and the reported instances. An instance is leaving if
// either source says so.
func (m *members) merge() []ports.Instance {
	merged := make([]ports.Instance, 0, len(m.listed)+len(m.reported))
	listedIDs := map[string]bool{}
	for _, instance := range m.listed {
		listedIDs[instance.ID] = true
		if reported, ok := m.reported[instance.ID]; ok {
			leaving := instance.Leaving
			instance = reported.instance
			instance.Leaving = instance.Leaving || leaving
		}
		merged = append(merged, instance)
	}
	for id, reported := range m.reported {
		if !listedIDs[id] {
			merged = append(merged, reported.instance)
		}
	}
	slices.SortFunc(merged, func(a, b ports.Instance) int { return strings.Compare(a.ID, b.ID) })
	return merged
}

// peers returns the other members for which keep returns true.
func (m *members) peers(keep func(ports.Instance) bool) []ports.Instance {
	var peers []ports.Instance
	for _, instance := range m.list() {
		if instance.ID != m.selfID && keep(instance) {
			peers = append(peers, instance)
		}
	}
	return peers
}
