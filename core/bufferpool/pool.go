package bufferpool

import (
	"math/bits"
	"sync"
)

const (
	// minBits and maxBits are the binary logarithms of the smallest and the largest size that is kept.
	minBits = 13
	maxBits = 20
)

// Pool is safe for concurrent use; the zero value is empty. It keeps nothing for good: the collector takes what is not used.
type Pool struct {
	classes [maxBits - minBits + 1]sync.Pool
}

// Get returns an empty buffer with room for at least a number of bytes.
func (p *Pool) Get(size int) []byte {
	class := max(bits.Len(uint(max(size, 1)-1))-minBits, 0)
	if class >= len(p.classes) {
		return make([]byte, 0, size)
	}
	if b, ok := p.classes[class].Get().(*[]byte); ok {
		return (*b)[:0]
	}

	return make([]byte, 0, 1<<(class+minBits))
}

// Put takes a buffer back that is not used any more; those of other sizes than Get returns are left to the collector.
func (p *Pool) Put(b []byte) {
	class := bits.Len(uint(cap(b))) - 1 - minBits
	if class < 0 || class >= len(p.classes) || cap(b) != 1<<(class+minBits) {
		return
	}
	b = b[:0]
	p.classes[class].Put(&b)
}
