package engine

import (
	"container/list"

	"persimmonwind.dev/policy/prefix"
	"persimmonwind.dev/server/ports"
)

// maxCacheEvents is the number of events kept for readers. A reader that is
// further behind sees a gap.
const maxCacheEvents = 4096

// blockCache is a set of prefix blocks. When it is full, it evicts the least
// recently used block.
type blockCache struct {
	capacity int
	recency  *list.List // Blocks, most recently used first.
	blocks   map[uint64]*list.Element
	events   []ports.CacheEvent
	seq      uint64
}

func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, recency: list.New(), blocks: map[uint64]*list.Element{}}
}

func (c *blockCache) len() int { return len(c.blocks) }

func (c *blockCache) clear() {
	for block := range c.blocks {
		c.remove(block)
	}
}

func (c *blockCache) publish(block uint64, added bool) {
	c.seq++
	c.events = append(c.events, ports.CacheEvent{Seq: c.seq, Block: block, Added: added})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

func (c *blockCache) remove(block uint64) {
	c.recency.Remove(c.blocks[block])
	delete(c.blocks, block)
	c.publish(block, false)
}

// touch inserts the block or marks it as the most recently used one. It reports
// whether the block was present.
func (c *blockCache) touch(block uint64) bool {
	if element, ok := c.blocks[block]; ok {
		c.recency.MoveToFront(element)
		return true
	}
	c.blocks[block] = c.recency.PushFront(block)
	c.publish(block, true)
	if len(c.blocks) > c.capacity {
		c.remove(c.recency.Back().Value.(uint64))
	}
	return false
}

// cachePrompt stores the prompt's blocks and returns how many of its leading
// tokens were cached before.
func (e *Engine) cachePrompt(prompt string) int {
	blocks := prefix.NewPrompt(prompt).Blocks
	e.mu.Lock()
	defer e.mu.Unlock()
	cachedBlocks := 0
	inPrefix := true
	for _, block := range blocks {
		found := e.cache.touch(block)
		inPrefix = inPrefix && found
		if inPrefix {
			cachedBlocks++
		}
	}
	return cachedBlocks * prefix.BlockTokens
}

// CacheEvents returns the cache events after the sequence number.
func (e *Engine) CacheEvents(after uint64) []ports.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	for index, event := range e.cache.events {
		if event.Seq > after {
			return append([]ports.CacheEvent(nil), e.cache.events[index:]...)
		}
	}
	return nil
}
