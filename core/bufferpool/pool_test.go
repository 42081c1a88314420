package bufferpool

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a buffer that is too small, that has content, or that was not made by the pool and is handed out as one of another size.
func TestGet(t *testing.T) {
	is := is.New(t)
	var p Pool
	for _, size := range []int{0, 1, 1<<minBits - 1, 1 << minBits, 1<<minBits + 1, 100_000, 1 << maxBits, 1<<maxBits + 1} {
		for range 3 {
			b := p.Get(size)
			is.Equal(len(b), 0)
			is.True(cap(b) >= size)
			p.Put(append(b, "content"...))
			p.Put(make([]byte, 0, size+1))
		}
	}
}

// Guards against buffers that are allocated again and again for messages that follow each other.
func TestReuse(t *testing.T) {
	var p Pool
	most := testing.AllocsPerRun(100, func() {
		b := p.Get(1 << maxBits)
		p.Put(b)
	})
	is.New(t).True(most <= 1) // the slice's header
}
