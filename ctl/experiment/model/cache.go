package model

import (
	"container/list"

	"persimmonwind.dev/policy/prefix"
)

// cache is a least-recently-used set of prefix blocks that records an event for
// every block added or evicted.
type cache struct {
	capacity     int
	lossInterval int // One in this many batches of events is lost; 0 loses none.
	batches      int
	lru          *list.List
	blocks       map[uint64]*list.Element
	events       []prefix.Event
	lastSeq      uint64
}

func newCache(capacity, lossInterval int) *cache {
	return &cache{capacity: capacity, lossInterval: lossInterval, lru: list.New(), blocks: map[uint64]*list.Element{}}
}

func (c *cache) len() int { return len(c.blocks) }

func (c *cache) record(block uint64, added bool) {
	c.lastSeq++
	c.events = append(c.events, prefix.Event{Seq: c.lastSeq, Block: block, Added: added})
}

func (c *cache) clear() {
	for c.lru.Len() > 0 {
		c.evict()
	}
}

// reset empties the cache without events and restarts the event numbering.
func (c *cache) reset() {
	c.lru.Init()
	clear(c.blocks)
	c.events, c.lastSeq = nil, 0
}

func (c *cache) evict() {
	block := c.lru.Remove(c.lru.Back()).(uint64)
	delete(c.blocks, block)
	c.record(block, false)
}

// access stores the blocks and returns how many leading ones were cached.
func (c *cache) access(blocks []uint64) int {
	present, leading := 0, true
	for _, block := range blocks {
		element, found := c.blocks[block]
		leading = leading && found
		if leading {
			present++
		}
		if found {
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.lru.PushFront(block)
		c.record(block, true)
		if len(c.blocks) > c.capacity {
			c.evict()
		}
	}
	return present
}

// drainEvents returns the events since the last call. Every lossInterval-th batch
// is dropped.
func (c *cache) drainEvents() []prefix.Event {
	events := c.events
	c.events = nil
	c.batches++
	if c.lossInterval > 0 && c.batches%c.lossInterval == 0 {
		return nil
	}
	return events
}
