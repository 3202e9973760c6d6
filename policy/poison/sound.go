package poison

import (
	"maps"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// soundShares and soundTraitsEach bound the memory of sound traits. Each organisation has
	// a share of its own for each kind, so that none can displace another's.
	soundShares     = 512
	soundTraitsEach = 128
)

// shareKey names the traits of one kind of an organisation's requests to a service.
type shareKey struct {
	service, organisation string
	kind                  Kind
}

// soundTraits remembers when requests with a trait were last answered.
type soundTraits struct {
	shares  *simplelru.LRU[shareKey, *simplelru.LRU[string, struct{}]]
	byTrait map[traitKey]map[string]time.Time // By organisation; an index of shares.
}

func newSoundTraits() *soundTraits {
	s := &soundTraits{byTrait: map[traitKey]map[string]time.Time{}}
	s.shares = mustLRU(soundShares, func(_ shareKey, ids *simplelru.LRU[string, struct{}]) { ids.Purge() })
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

func (s *soundTraits) add(organisation string, key traitKey, now time.Time) {
	share := shareKey{key.service, organisation, key.trait.Kind}
	ids, ok := s.shares.Get(share)
	if !ok {
		ids = mustLRU(soundTraitsEach, func(id string, _ struct{}) { s.forget(share, id) })
		s.shares.Add(share, ids)
	}
	ids.Add(key.trait.ID, struct{}{})
	if s.byTrait[key] == nil {
		s.byTrait[key] = map[string]time.Time{}
	}
	s.byTrait[key][organisation] = now
}

// forget removes an evicted trait from the index.
func (s *soundTraits) forget(share shareKey, id string) {
	key := traitKey{share.service, Trait{share.kind, id}}
	delete(s.byTrait[key], share.organisation)
	if len(s.byTrait[key]) == 0 {
		delete(s.byTrait, key)
	}
}

// organisations returns the organisations whose requests with the trait were answered, with
// the times of the last answers.
func (s *soundTraits) organisations(key traitKey) map[string]time.Time {
	if known := s.byTrait[key]; known != nil {
		return maps.Clone(known)
	}
	return map[string]time.Time{}
}
