package poison

import (
	"maps"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// soundOrganisations and soundPartsEach bound the memory of sound parts. Each
	// organisation has its own share, so that none can displace another's.
	soundOrganisations = 256
	soundPartsEach     = 128
)

// organisationKey names an organisation's requests to a service.
type organisationKey struct{ service, organisation string }

// soundParts remembers when requests with a part were last answered.
type soundParts struct {
	byOrganisation *simplelru.LRU[organisationKey, *simplelru.LRU[string, struct{}]]
	byPart         map[partKey]map[string]time.Time // By organisation; an index of byOrganisation.
}

func newSoundParts() *soundParts {
	s := &soundParts{byPart: map[partKey]map[string]time.Time{}}
	s.byOrganisation = mustLRU(soundOrganisations, func(_ organisationKey, parts *simplelru.LRU[string, struct{}]) { parts.Purge() })
	return s
}

// mustLRU returns an empty cache of a size above 0.
func mustLRU[K comparable, V any](size int, evicted func(K, V)) *simplelru.LRU[K, V] {
	cache, err := simplelru.NewLRU(size, evicted)
	if err != nil {
		panic(err) // Only for a size of 0 or less.
	}
	return cache
}

func (s *soundParts) add(key organisationKey, part string, now time.Time) {
	parts, ok := s.byOrganisation.Get(key)
	if !ok {
		parts = mustLRU(soundPartsEach, func(part string, _ struct{}) { s.forget(key, part) })
		s.byOrganisation.Add(key, parts)
	}
	parts.Add(part, struct{}{})
	index := partKey{key.service, part}
	if s.byPart[index] == nil {
		s.byPart[index] = map[string]time.Time{}
	}
	s.byPart[index][key.organisation] = now
}

// forget removes an evicted part from the index.
func (s *soundParts) forget(key organisationKey, part string) {
	index := partKey{key.service, part}
	delete(s.byPart[index], key.organisation)
	if len(s.byPart[index]) == 0 {
		delete(s.byPart, index)
	}
}

// organisations returns the organisations whose requests with the part were answered, with
// the times of the last answers.
func (s *soundParts) organisations(key partKey) map[string]time.Time {
	if known := s.byPart[key]; known != nil {
		return maps.Clone(known)
	}
	return map[string]time.Time{}
}
