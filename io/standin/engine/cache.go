package engine

import (
	"container/list"
	"hash/fnv"
	"time"

	"tarragonwalk/io/openai"
)

// blockBytes is the unit of the prefix cache.
const blockBytes = 256

// cacheEvent is one change of the prefix cache; Block is the hash of the whole prefix up to the end of the block.
type cacheEvent struct {
	Seq   int64
	Kind  string // stored or evicted
	Block uint64
	At    time.Time
}

// cacheEvents is the answer to GET /v1/cache/events.
type cacheEvents struct {
	Events []cacheEvent
}

// maxCacheEvents bounds the events that are kept; older ones are lost.
const maxCacheEvents = 1024

// cache holds the least recently used prefix blocks; it is guarded by the engine's lock.
type cache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
	seq      int64
	events   []cacheEvent
}

func newCache(capacity int) *cache {
	return &cache{
		capacity: capacity,
		order:    list.New(),
		blocks:   make(map[uint64]*list.Element),
	}
}

func promptBlocks(r *openai.ChatRequest) (blocks []uint64, size int) {
	h := fnv.New64a()
	for _, m := range r.Messages {
		for _, s := range []string{m.Role, m.Content} {
			for i := range len(s) {
				h.Write([]byte{s[i]})
				size++
				if size%blockBytes == 0 {
					blocks = append(blocks, h.Sum64())
				}
			}
		}
	}

	return blocks, size
}

// covered returns the bytes of the longest cached prefix.
func (c *cache) covered(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.blocks[b]; !ok {
			return i * blockBytes
		}
	}

	return len(blocks) * blockBytes
}

// store makes blocks the most recently used ones, the start of the prefix last to be evicted.
func (c *cache) store(blocks []uint64, at time.Time) {
	if len(blocks) > c.capacity {
		blocks = blocks[:c.capacity]
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if e, ok := c.blocks[b]; ok {
			c.order.MoveToFront(e)

			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		c.record("stored", b, at)
	}
	for c.order.Len() > c.capacity {
		e := c.order.Back()
		b, _ := c.order.Remove(e).(uint64)
		delete(c.blocks, b)
		c.record("evicted", b, at)
	}
}

func (c *cache) record(kind string, block uint64, at time.Time) {
	c.seq++
	if len(c.events) >= 2*maxCacheEvents {
		c.events = append([]cacheEvent(nil), c.events[maxCacheEvents:]...)
	}
	c.events = append(c.events, cacheEvent{
		Seq:   c.seq,
		Kind:  kind,
		Block: block,
		At:    at,
	})
}

// since returns the events after seq that are not later than at, without every gap-th one if gap is positive.
func (c *cache) since(seq int64, at time.Time, gap int) cacheEvents {
	r := cacheEvents{
		Events: []cacheEvent{},
	}
	for _, e := range c.events {
		if e.Seq > seq && !e.At.After(at) && (gap <= 0 || e.Seq%int64(gap) != 0) {
			r.Events = append(r.Events, e)
		}
	}

	return r
}
