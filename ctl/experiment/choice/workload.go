package choice

import (
	"math"
	"math/rand/v2"
	"time"

	"persimmonwind.dev/ctl/experiment/model"
	"persimmonwind.dev/policy/prefix"
)

const (
	templateBlocks = 32 // Prompt blocks that all requests of one organisation share.
	turnBlocks     = 16 // Prompt blocks that each turn of a conversation adds.
	tailTokens     = 9  // Prompt tokens after the last full block.
	maxTurns       = 6
	continueShare  = 0.6 // Share of requests that continue a conversation.
	answerTokens   = 370 // Mean length of an answer.
	zipfExponent   = 1.0 // Of the organisations' popularity.
	driftInterval  = 20 * time.Second
	driftShare     = 7 // One in this many ranks is exchanged at each drift.
	surgeFactor    = 0.4
	deadline       = 30 * time.Second
)

// workload draws requests: organisations by a drifting Zipf popularity, each
// with its own prompt template, and conversations that grow by turns.
type workload struct {
	random  *rand.Rand
	weights []float64 // By rank, cumulative.
	ranks   []int     // Organisation at each rank.
	open    map[int][][]uint64
	surging int // Organisation that surges, -1 for none.
}

func newWorkload(seed uint64, orgs int) *workload {
	w := &workload{random: rand.New(rand.NewPCG(seed, 1)), open: map[int][][]uint64{}, surging: -1}
	total := 0.0
	for rank := range orgs {
		total += 1 / math.Pow(float64(rank+1), zipfExponent)
		w.weights = append(w.weights, total)
		w.ranks = append(w.ranks, rank)
	}
	return w
}

// drift exchanges some popular organisations with random others.
func (w *workload) drift() {
	for rank := 0; rank < len(w.ranks); rank += driftShare {
		other := w.random.IntN(len(w.ranks))
		w.ranks[rank], w.ranks[other] = w.ranks[other], w.ranks[rank]
	}
}

func (w *workload) org() int {
	if w.surging >= 0 && w.random.Float64() < surgeFactor/(1+surgeFactor) {
		return w.surging
	}
	drawn := w.random.Float64() * w.weights[len(w.weights)-1]
	low, high := 0, len(w.weights)-1
	for low < high {
		if middle := (low + high) / 2; w.weights[middle] < drawn {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return w.ranks[low]
}

// next draws one request.
func (w *workload) next() model.Request {
	org := w.org()
	blocks := w.conversation(org)
	tokens := len(blocks)*prefix.BlockTokens + tailTokens
	return model.Request{
		Org: orgName(org), Weight: 1, Timeout: deadline,
		Prompt:       prefix.Prompt{Tokens: tokens, Blocks: blocks},
		AnswerTokens: 1 + int(w.random.ExpFloat64()*(answerTokens-1)),
	}
}

func orgName(org int) string { return "org-" + string(rune('a'+org%26)) + string(rune('0'+org/26)) }

// conversation returns the prompt of a new or a continued conversation.
func (w *workload) conversation(org int) []uint64 {
	open := w.open[org]
	if len(open) == 0 || w.random.Float64() > continueShare {
		open = append(open, template(org))
	}
	index := w.random.IntN(len(open))
	if w.random.Float64() > continueShare {
		index = len(open) - 1
	}
	blocks := append([]uint64(nil), open[index]...)
	for range turnBlocks {
		blocks = append(blocks, w.random.Uint64())
	}
	open[index] = blocks
	if len(blocks) >= templateBlocks+maxTurns*turnBlocks {
		open = append(open[:index], open[index+1:]...)
	}
	w.open[org] = open
	return blocks
}

func template(org int) []uint64 {
	random := rand.New(rand.NewPCG(uint64(org), 2))
	blocks := make([]uint64, templateBlocks)
	for index := range blocks {
		blocks[index] = random.Uint64()
	}
	return blocks
}
