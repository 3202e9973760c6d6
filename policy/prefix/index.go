package prefix

import "container/list"

// Event tells that a block entered or left the engine's cache. A gap in Seq
// means that events were lost.
type Event struct {
	Seq   uint64
	Block uint64
	Added bool
}

// Index is what an agent knows about its engine's cache. Events come late and
// with gaps, so it also notes the prompts that the agent passed on, and evicts
// the least recently used blocks beyond the size that the engine reports.
type Index struct {
	seq    uint64
	gaps   int
	order  *list.List // Front is the most recently used.
	blocks map[uint64]*list.Element
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{order: list.New(), blocks: map[uint64]*list.Element{}}
}

// Len returns the number of blocks.
func (x *Index) Len() int { return len(x.blocks) }

// Seq returns the number of the last event applied.
func (x *Index) Seq() uint64 { return x.seq }

// Gaps returns how often events were found lost.
func (x *Index) Gaps() int { return x.gaps }

// Clear forgets every block: the engine has booted anew.
func (x *Index) Clear() {
	x.order.Init()
	clear(x.blocks)
	x.seq = 0
}

// Apply takes in events in order; old ones are skipped.
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
		x.remove(x.order.Back().Value.(uint64))
	}
}

// Lookup returns how many leading blocks of a prompt of n blocks are cached,
// from the hashes at its marks: the length of the longest mark found without a
// mark missing before it.
func (x *Index) Lookup(sample []uint64, n int) int {
	found := 0
	for index, mark := range SamplePoints(n) {
		if index >= len(sample) {
			break
		}
		if _, ok := x.blocks[sample[index]]; !ok {
			break
		}
		found = mark
	}
	return found
}

func (x *Index) touch(block uint64) {
	if element, ok := x.blocks[block]; ok {
		x.order.MoveToFront(element)
		return
	}
	x.blocks[block] = x.order.PushFront(block)
}

func (x *Index) remove(block uint64) {
	if element, ok := x.blocks[block]; ok {
		x.order.Remove(element)
		delete(x.blocks, block)
	}
}
