// Package choose selects the backend server for one attempt of a request: which
// few agents to probe for an offer, and which of their offers to take.
package choose

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"persimmonwind.dev/policy/prefix"
)

const (
	shallowBlocks = 4  // Leading blocks shared by prompts from the same template of an organisation.
	deepBlocks    = 16 // Leading blocks shared by the turns of one conversation.

	shallowCandidates = 2 // Candidates by the hash of the first shallowBlocks blocks.
	deepCandidates    = 1 // Candidates by the hash of the first deepBlocks blocks.
	randomCandidates  = 2 // Candidates chosen at random.
)

// Work describes the request for which a backend server is chosen.
type Work struct {
	Model   string // Name of the model or of the plain service: a backend service that is not a model engine.
	Version string
	Adapter string
	Prompt  prefix.Prompt // Empty for a plain service.
}

// Candidates returns the indices of the few backend servers to probe, without
// duplicates: those that rendezvous hashing selects for the work's leading blocks,
// so that equal prefixes reach the same servers, and random ones, so that load
// spreads.
func Candidates(names []string, work Work, random uint64) []int {
	var chosen []int
	if len(work.Prompt.Blocks) > 0 || work.Adapter != "" {
		chosen = appendBest(chosen, names, affinityKey(work, shallowBlocks), shallowCandidates)
		chosen = appendBest(chosen, names, affinityKey(work, deepBlocks), deepCandidates)
	}
	return appendRandom(chosen, len(names), random)
}

// affinityKey returns the rendezvous key of the work: a hash of the model, version,
// adapter and first blocks of the prompt.
// Block hashes are chained, so the hash of the last of these blocks covers all.
func affinityKey(work Work, blocks int) uint64 {
	digest := xxhash.New()
	for _, part := range []string{work.Model, work.Version, work.Adapter} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	if blocks = min(blocks, len(work.Prompt.Blocks)); blocks > 0 {
		var last [8]byte
		binary.LittleEndian.PutUint64(last[:], work.Prompt.Blocks[blocks-1])
		_, _ = digest.Write(last[:])
	}
	return digest.Sum64()
}

// Rendezvous returns the indices of the count names with the highest rendezvous
// hash scores for the key, best first.
func Rendezvous(names []string, key uint64, count int) []int {
	best := make([]int, 0, count+1)
	scores := make([]uint64, 0, count+1)
	for index, name := range names {
		score := mix(xxhash.Sum64String(name) ^ key)
		at := len(scores)
		for at > 0 && scores[at-1] < score {
			at--
		}
		if at >= count {
			continue
		}
		best = insert(best, at, index, count)
		scores = insert(scores, at, score, count)
	}
	return best
}

func insert[T any](list []T, at int, value T, limit int) []T {
	list = append(list, value)
	copy(list[at+1:], list[at:])
	list[at] = value
	return list[:min(len(list), limit)]
}

// mix is the finalizer of SplitMix64, which spreads each input bit over the word.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func appendBest(chosen []int, names []string, key uint64, count int) []int {
	for _, index := range Rendezvous(names, key, count) {
		chosen = appendNew(chosen, index)
	}
	return chosen
}

func appendRandom(chosen []int, n int, random uint64) []int {
	source := rand.New(rand.NewPCG(random, 0))
	want := min(len(chosen)+randomCandidates, n)
	for len(chosen) < want {
		chosen = appendNew(chosen, source.IntN(n))
	}
	return chosen
}

func appendNew(chosen []int, index int) []int {
	for _, present := range chosen {
		if present == index {
			return chosen
		}
	}
	return append(chosen, index)
}

// RendezvousKey returns the rendezvous key of a name.
func RendezvousKey(name string) uint64 { return xxhash.Sum64String(name) }
