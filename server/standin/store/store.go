// Package store is the stand-in for the platform: table service, object store,
// instance list and weight store, in memory.
package store

import (
	"context"
	"sort"
	"strings"
	"sync"

	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/standin/fault"
)

// Store implements the platform's ports in memory.
type Store struct {
	Faults  fault.Injector
	weights weightLimiter

	mu        sync.Mutex
	rows      map[string]ports.Row
	objects   map[string][]byte
	instances map[string]ports.Instance
	version   uint64
	reads     int
	writes    int
}

// New returns an empty store.
func New() *Store {
	return &Store{
		rows:      map[string]ports.Row{},
		objects:   map[string][]byte{},
		instances: map[string]ports.Instance{},
	}
}

// Counts holds the numbers of requests that the table service has served.
type Counts struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
}

// Counts returns the numbers of requests that the table service has served so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{Reads: s.reads, Writes: s.writes}
}

func (s *Store) Get(_ context.Context, key string) (ports.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	row, ok := s.rows[key]
	if !ok {
		return ports.Row{Key: key}, nil
	}
	return row, nil
}

func (s *Store) List(_ context.Context, prefix, after string, limit int) ([]ports.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	var rows []ports.Row
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if limit > 0 && len(rows) > limit {
		rows = rows[:limit]
	}
	return rows, nil
}

func (s *Store) Commit(_ context.Context, tx ports.Tx) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	for _, condition := range tx.Conditions {
		if s.rows[condition.Key].Version != condition.Version {
			return ports.ErrConflict
		}
	}
	for _, write := range tx.Writes {
		s.apply(write)
	}
	return nil
}

func (s *Store) apply(write ports.Write) {
	if write.Delete {
		delete(s.rows, write.Key)
		return
	}
	s.version++
	s.rows[write.Key] = ports.Row{Key: write.Key, Value: write.Value, Version: s.version}
}

// ObjectStore returns the store's object store.
func (s *Store) ObjectStore() ports.Objects { return objectStore{store: s} }

type objectStore struct{ store *Store }

func (o objectStore) Put(_ context.Context, name string, body []byte) error {
	o.store.mu.Lock()
	defer o.store.mu.Unlock()
	o.store.objects[name] = body
	return nil
}

func (o objectStore) Get(_ context.Context, name string) ([]byte, error) {
	o.store.mu.Lock()
	defer o.store.mu.Unlock()
	body, ok := o.store.objects[name]
	if !ok {
		return nil, ports.ErrNotFound
	}
	return body, nil
}

// SetInstance adds or replaces an item of the instance list.
func (s *Store) SetInstance(instance ports.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[instance.ID] = instance
}

// RemoveInstance removes an item of the instance list.
func (s *Store) RemoveInstance(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.instances, id)
}

// Instances returns the instance list, sorted by ID.
func (s *Store) Instances() []ports.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]ports.Instance, 0, len(s.instances))
	for _, instance := range s.instances {
		list = append(list, instance)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
