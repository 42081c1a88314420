package bytebudget

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against messages that take more memory than there is, against dropping small ones for the sake of a large one, and against bytes
// that are never given back.
func TestLargestMessageIsDropped(t *testing.T) {
	is := is.New(t)
	b := New(100 << 10)
	var ended []string
	open := func(name string) (resize func(int) error, end func()) {
		return b.Open("test", func() { ended = append(ended, name) })
	}
	small, endSmall := open("small")
	large, endLarge := open("large")
	growing, endGrowing := open("growing")
	is.NoErr(small(20 << 10))
	is.NoErr(large(50 << 10))
	is.NoErr(growing(30 << 10))
	is.NoErr(growing(40 << 10))
	is.Equal(ended, []string{"large"})
	is.True(errors.Is(large(1<<10), ErrDropped))
	is.NoErr(growing(80 << 10))
	is.True(errors.Is(growing(81<<10), ErrDropped)) // it is the largest itself
	is.Equal(ended, []string{"large"})
	is.Equal(b.ending, 80<<10) // its receiver has the bytes until it gives them back
	is.True(errors.Is(growing(0), ErrDropped))
	is.NoErr(small(100 << 10))
	is.NoErr(small(0))
	endSmall()
	endLarge()
	endGrowing()
	is.Equal(b.used, 0)
	is.Equal(len(b.messages), 0)
}

// Guards against a message that is larger than the budget and is received all the same, and against counting ordinary ones.
func TestSizeOfOneMessage(t *testing.T) {
	is := is.New(t)
	b := New(100 << 10)
	resize, end := b.Open("test", func() {})
	defer end()
	is.NoErr(resize(freeBytes))
	is.Equal(len(b.messages), 0)
	is.True(errors.Is(resize(101<<10), ErrDropped))
	is.True(errors.Is(resize(freeBytes), ErrDropped))
}

// Guards against messages that were dropped, and whose receivers have no processor time to notice, and others that grow in their place
// beyond the memory.
func TestDroppedMessagesCountUntilTheyEnd(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	b := New(limit)
	var ends []func()
	for range 100 {
		resize, end := b.Open("test", func() {})
		ends = append(ends, end)
		size := 0
		for size < limit && resize(size+patientBytes) == nil {
			size += patientBytes
		}
		is.True(b.used+b.ending <= limit+limit/2+patientBytes)
	}
	is.True(b.ending > limit/2)
	resize, end := b.Open("test", func() {})
	is.NoErr(resize(patientBytes))
	is.True(errors.Is(resize(patientBytes+1), ErrDropped))
	end()
	for _, end := range ends {
		end()
		end() // a second call has no effect
	}
	is.Equal(b.used, 0)
	is.Equal(b.ending, 0)
	resize, end = b.Open("test", func() {})
	defer end()
	is.NoErr(resize(limit))
}

// Guards against a message that is refused more memory, whose receiver has no processor time to give back what it has, and others that grow
// in its place beyond the memory.
func TestRefusedMessagesCountUntilTheyEnd(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	b := New(limit)
	var ends []func()
	for range 2 {
		resize, end := b.Open("test", func() {})
		ends = append(ends, end)
		is.NoErr(resize(limit / 2))
		is.True(errors.Is(resize(limit+1), ErrDropped))
		is.True(errors.Is(resize(limit/2), ErrDropped)) // what it has is not given back by asking again
	}
	is.Equal(b.used, 0)
	is.Equal(b.ending, limit)
	resize, end := b.Open("test", func() {})
	is.NoErr(resize(patientBytes))
	is.True(errors.Is(resize(limit/2), ErrDropped))
	end()
	for _, end := range ends {
		end()
	}
	is.Equal(b.ending, 0)
	resize, end = b.Open("test", func() {})
	defer end()
	is.NoErr(resize(limit))
}
