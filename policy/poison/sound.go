package poison

import (
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
	byOrganisation *simplelru.LRU[organisationKey, *simplelru.LRU[string, time.Time]]
}

func newSoundParts() *soundParts {
	return &soundParts{byOrganisation: mustLRU[organisationKey, *simplelru.LRU[string, time.Time]](soundOrganisations)}
}

// mustLRU returns an empty cache of a size above 0.
func mustLRU[K comparable, V any](size int) *simplelru.LRU[K, V] {
	cache, err := simplelru.NewLRU[K, V](size, nil)
	if err != nil {
		panic(err) // Only for a size of 0 or less.
	}
	return cache
}

func (s *soundParts) add(key organisationKey, part string, now time.Time) {
	parts, ok := s.byOrganisation.Get(key)
	if !ok {
		parts = mustLRU[string, time.Time](soundPartsEach)
		s.byOrganisation.Add(key, parts)
	}
	parts.Add(part, now)
}

// last returns when a request of the organisation with the part was last answered; the
// zero time if none is remembered.
func (s *soundParts) last(key organisationKey, part string) time.Time {
	parts, ok := s.byOrganisation.Peek(key)
	if !ok {
		return time.Time{}
	}
	at, _ := parts.Peek(part)
	return at
}

// organisations returns the organisations whose requests with the part were answered.
func (s *soundParts) organisations(service, part string) map[string]bool {
	known := map[string]bool{}
	for _, key := range s.byOrganisation.Keys() {
		if key.service == service && !s.last(key, part).IsZero() {
			known[key.organisation] = true
		}
	}
	return known
}
