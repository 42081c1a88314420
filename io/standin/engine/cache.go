package engine

import (
	"container/list"
	"hash/fnv"
	"time"

	"tarragonwalk/io/openai"
)

// blockBytes is the size of a prefix cache block.
const blockBytes = 256

// cacheEvent is one change of the prefix cache; Block is the hash of the prompt from its start to the end of the block.
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

// maxCacheEvents is the minimum number of recent events that are retained; at twice as many, the older half is dropped.
const maxCacheEvents = 1024

// cache is an LRU cache of prefix blocks; it is guarded by the engine's lock.
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

// covered returns the size of the longest cached prefix in bytes.
func (c *cache) covered(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.blocks[b]; !ok {
			return i * blockBytes
		}
	}

	return len(blocks) * blockBytes
}

// store marks blocks as most recently used. The first block of the prefix becomes the most recent one, so that a prefix
// is evicted from its end.
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

// since returns the events after seq that are not later than at. If gap is positive, it omits every gap-th event.
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
