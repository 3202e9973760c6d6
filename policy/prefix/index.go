package prefix

import "container/list"

// Event reports that a block was added to or evicted from the engine's prefix
// cache. A gap in Seq means that events were lost.
type Event struct {
	Seq   uint64 // Sequence number, from 1.
	Block uint64 // Chained hash of the block.
	Added bool   // The block was added; false if it was evicted.
}

// Index is an agent's view of its engine's cache. Events arrive late and with gaps,
// so the index also records the prompts that the agent passed on, and evicts the
// least recently used blocks beyond the size that the engine reports.
type Index struct {
	seq    uint64     // Sequence number of the last event applied.
	gaps   int        // Number of detected gaps in the events.
	lru    *list.List // Front is the most recently used.
	blocks map[uint64]*list.Element
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{lru: list.New(), blocks: map[uint64]*list.Element{}}
}

// Len returns the number of blocks in the index.
func (x *Index) Len() int { return len(x.blocks) }

// Seq returns the sequence number of the last event applied.
func (x *Index) Seq() uint64 { return x.seq }

// Gaps returns the number of detected gaps in the events.
func (x *Index) Gaps() int { return x.gaps }

// Clear empties the index after a restart of the engine.
func (x *Index) Clear() {
	x.lru.Init()
	clear(x.blocks)
	x.seq = 0
}

// Apply applies events in order and skips those already applied.
func (x *Index) Apply(events []Event) {
	for _, event := range events {
		if event.Seq <= x.seq {
			continue
		}
		if event.Seq != x.seq+1 {
			x.gaps++
		}
		x.seq = event.Seq
		if event.Added {
			x.touch(event.Block)
		} else {
			x.remove(event.Block)
		}
	}
}

// RecordPrompt records that the engine has just read a prompt with these blocks.
func (x *Index) RecordPrompt(blocks []uint64) {
	for _, block := range blocks {
		x.touch(block)
	}
}

// Resize evicts the least recently used blocks beyond capacity.
func (x *Index) Resize(capacity int) {
	for len(x.blocks) > capacity {
		x.remove(x.lru.Back().Value.(uint64))
	}
}

// Lookup returns how many leading blocks of a prompt of n blocks are cached, given
// the hashes at its sample points: the longest sample point for which that point
// and all before it are cached.
func (x *Index) Lookup(sample []uint64, n int) int {
	found := 0
	for index, point := range SamplePoints(n) {
		if index >= len(sample) {
			break
		}
		if _, ok := x.blocks[sample[index]]; !ok {
			break
		}
		found = point
	}
	return found
}

func (x *Index) touch(block uint64) {
	if element, ok := x.blocks[block]; ok {
		x.lru.MoveToFront(element)
		return
	}
	x.blocks[block] = x.lru.PushFront(block)
}

func (x *Index) remove(block uint64) {
	if element, ok := x.blocks[block]; ok {
		x.lru.Remove(element)
		delete(x.blocks, block)
	}
}
