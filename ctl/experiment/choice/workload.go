package choice

import (
	"math"
	"math/rand/v2"
	"time"

	"persimmonwind.dev/ctl/experiment/model"
	"persimmonwind.dev/policy/prefix"
)

const (
	templateBlocks   = 32 // Prompt blocks shared by all requests of one organisation.
	turnBlocks       = 16 // Prompt blocks that each turn of a conversation adds.
	tailTokens       = 9  // Prompt tokens after the last full block.
	maxTurns         = 6
	continueFraction = 0.6 // Fraction of requests that continue a conversation.
	meanAnswerTokens = 370
	zipfExponent     = 1.0 // Exponent of the Zipf distribution of requests over the organisations.
	driftInterval    = 20 * time.Second
	driftStride      = 7   // At each drift, one in this many popularity ranks is swapped with a random one.
	surgeFactor      = 0.4 // Additional request rate during a surge, relative to the normal total rate.
	requestTimeout   = 30 * time.Second
)

// workload generates random requests. The organisations' popularity follows a
// drifting Zipf distribution; each organisation has its own prompt template and
// conversations that grow by turns.
type workload struct {
	random            *rand.Rand
	cumulativeWeights []float64          // Cumulative Zipf weights, by popularity rank.
	orgByRank         []int              // The organisation at each popularity rank.
	conversations     map[int][][]uint64 // The prompt blocks of each open conversation, by organisation.
	surgingOrg        int                // Organisation whose request rate surges; -1 for none.
}

func newWorkload(seed uint64, orgs int) *workload {
	w := &workload{random: rand.New(rand.NewPCG(seed, 1)), conversations: map[int][][]uint64{}, surgingOrg: -1}
	total := 0.0
	for rank := range orgs {
		total += 1 / math.Pow(float64(rank+1), zipfExponent)
		w.cumulativeWeights = append(w.cumulativeWeights, total)
		w.orgByRank = append(w.orgByRank, rank)
	}
	return w
}

// drift changes the popularity of organisations: it swaps the organisation at every
// driftStride-th popularity rank with a random other one.
func (w *workload) drift() {
	for rank := 0; rank < len(w.orgByRank); rank += driftStride {
		other := w.random.IntN(len(w.orgByRank))
		w.orgByRank[rank], w.orgByRank[other] = w.orgByRank[other], w.orgByRank[rank]
	}
}

func (w *workload) org() int {
	if w.surgingOrg >= 0 && w.random.Float64() < surgeFactor/(1+surgeFactor) {
		return w.surgingOrg
	}
	drawn := w.random.Float64() * w.cumulativeWeights[len(w.cumulativeWeights)-1]
	low, high := 0, len(w.cumulativeWeights)-1
	for low < high {
		if middle := (low + high) / 2; w.cumulativeWeights[middle] < drawn {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return w.orgByRank[low]
}

// nextRequest returns a random request.
func (w *workload) nextRequest() model.Work {
	org := w.org()
	blocks := w.drawPrompt(org)
	tokens := len(blocks)*prefix.BlockTokens + tailTokens
	return model.Work{
		Org: orgName(org), Weight: 1, Deadline: requestTimeout,
		Prompt: prefix.Prompt{Tokens: tokens, Blocks: blocks},
		Tokens: 1 + int(w.random.ExpFloat64()*(meanAnswerTokens-1)),
	}
}

func orgName(org int) string { return "org-" + string(rune('a'+org%26)) + string(rune('0'+org/26)) }

// drawPrompt returns the prompt of the next turn of a new or an open conversation.
func (w *workload) drawPrompt(org int) []uint64 {
	conversations := w.conversations[org]
	if len(conversations) == 0 || w.random.Float64() > continueFraction {
		conversations = append(conversations, promptTemplate(org))
	}
	index := w.random.IntN(len(conversations))
	if w.random.Float64() > continueFraction {
		index = len(conversations) - 1
	}
	blocks := append([]uint64(nil), conversations[index]...)
	for range turnBlocks {
		blocks = append(blocks, w.random.Uint64())
	}
	conversations[index] = blocks
	if len(blocks) >= templateBlocks+maxTurns*turnBlocks {
		conversations = append(conversations[:index], conversations[index+1:]...)
	}
	w.conversations[org] = conversations
	return blocks
}

func promptTemplate(org int) []uint64 {
	random := rand.New(rand.NewPCG(uint64(org), 2))
	blocks := make([]uint64, templateBlocks)
	for index := range blocks {
		blocks[index] = random.Uint64()
	}
	return blocks
}
