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
	open := func(name string) *Share {
		return b.Open("test", func() { ended = append(ended, name) })
	}
	small, large, growing := open("small"), open("large"), open("growing")
	is.NoErr(small.Resize(20 << 10))
	is.NoErr(large.Resize(50 << 10))
	is.NoErr(growing.Resize(30 << 10))
	is.NoErr(growing.Resize(40 << 10))
	is.Equal(ended, []string{"large"})
	is.True(errors.Is(large.Resize(1<<10), ErrDropped))
	is.NoErr(growing.Resize(80 << 10))
	is.True(errors.Is(growing.Resize(81<<10), ErrDropped)) // it is the largest itself
	is.Equal(ended, []string{"large"})
	is.NoErr(small.Resize(100 << 10))
	is.NoErr(small.Resize(0))
	for _, s := range []*Share{small, large, growing} {
		s.Close()
	}
	is.Equal(b.used, 0)
	is.Equal(len(b.shares), 0)
}

// Guards against a message that is larger than the budget and is received all the same, and against counting ordinary ones.
func TestSizeOfOneMessage(t *testing.T) {
	is := is.New(t)
	b := New(100 << 10)
	s := b.Open("test", func() {})
	defer s.Close()
	is.NoErr(s.Resize(freeBytes))
	is.Equal(len(b.shares), 0)
	is.True(errors.Is(s.Resize(101<<10), ErrDropped))
	is.True(errors.Is(s.Resize(freeBytes), ErrDropped))
}
