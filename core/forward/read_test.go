package forward

import (
	"bytes"
	"errors"
	"io"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"tarragonwalk/core/bytebudget"
)

// endless is a stream that never ends; it counts the bytes that were read.
type endless struct{ read int }

func (e *endless) Read(p []byte) (int, error) {
	e.read += len(p)

	return len(p), nil
}

func noBudget() *bytebudget.Budget { return bytebudget.New(math.MaxInt) }

// Guards against responses without end that fill the memory: one at a time, and of many servers at once; against ordinary responses that
// are dropped for them, and against bodies that are changed.
func TestResponsesInMemoryAreBounded(t *testing.T) {
	is := is.New(t)
	const budget = 1 << 20
	b := bytebudget.New(budget)
	open := func() (resize func(int) error, end func()) { return b.Open("test", func() {}) }
	sent := strings.Repeat("0123456789", 10_000)
	resize, end := open()
	content, err := readWhole(io.MultiReader(strings.NewReader(sent[:7]), strings.NewReader(sent[7:])), len(sent), resize)
	is.NoErr(err)
	is.Equal(string(bytes.Join(content, nil)), sent)
	end()
	resize, end = open()
	_, err = readWhole(strings.NewReader(sent), len(sent)-1, resize)
	is.True(errors.Is(err, errTooLong))
	end()
	held := 0
	for range 100 {
		e := &endless{}
		endlessResize, endEndless := open()
		defer endEndless()
		_, err := readWhole(e, maxBodyBytes, endlessResize)
		is.True(errors.Is(err, bytebudget.ErrDropped))
		held = max(held, e.read)
		ordinary, endOrdinary := open() // the others have not given theirs back yet
		_, err = readWhole(strings.NewReader(sent), len(sent), ordinary)
		is.NoErr(err)
		endOrdinary()
	}
	is.True(held <= budget)
	resize, end = open()
	defer end()
	_, err = readWhole(io.MultiReader(strings.NewReader("x"), errorReader{}), 10, resize)
	is.True(err != nil)
}

// Guards against a whole response that takes twice its size of the budget.
func TestWholeResponseIsHeldOnce(t *testing.T) {
	is := is.New(t)
	const budget = 4 << 20
	resize, end := bytebudget.New(budget).Open("test", func() {})
	defer end()
	const size = budget - maxPieceBytes
	content, err := readWhole(io.LimitReader(&endless{}, size), size, resize)
	is.NoErr(err)
	is.Equal(len(bytes.Join(content, nil)), size)
}
