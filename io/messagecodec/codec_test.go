package messagecodec

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
)

type testMessage struct {
	Names []string
	Body  []byte
}

func newMessage(n int) testMessage {
	m := testMessage{Body: []byte(strings.Repeat(fmt.Sprint("body", n, " "), 300))}
	for k := range 40 {
		m.Names = append(m.Names, fmt.Sprint("name-", n, "-", k))
	}

	return m
}

// Guards against a decoded message that changes when the next one is decoded into the same buffer, and against a decompressor that
// fails or returns old data after a damaged message.
func TestMessagesShareNoMemory(t *testing.T) {
	c := New(1 << 20)
	var tasks sync.WaitGroup
	for worker := range 4 {
		tasks.Go(func() {
			is := is.New(t)
			var kept []testMessage
			for n := range 200 {
				p, err := c.Encode(newMessage(worker*1000 + n))
				is.NoErr(err)
				is.Equal(p[0], byte(zlibHeader))
				if n%3 == 0 {
					var m testMessage
					damaged := append([]byte{}, p[:len(p)/2]...)
					is.Equal(fault.CodeOf(c.Decode(damaged, &m)), fault.CodeInvalid)
					is.Equal(fault.CodeOf(c.Decode([]byte{zlibHeader, 0}, &m)), fault.CodeInvalid)
				}
				var m testMessage
				is.NoErr(c.Decode(p, &m))
				kept = append(kept, m)
			}
			for n, m := range kept {
				is.Equal(m, newMessage(worker*1000+n))
			}
		})
	}
	tasks.Wait()
}

// Guards against decompressors that are made anew for each message: an instance of a large fleet decodes dozens a second.
func TestDecompressorsAreReused(t *testing.T) {
	is := is.New(t)
	c := New(1 << 20)
	p, err := c.Encode(newMessage(1))
	is.NoErr(err)
	var m testMessage
	result := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			_ = c.Decode(p, &m)
		}
	})
	// The decoded message has some 5 KB.
	is.True(result.AllocedBytesPerOp() < 30<<10)
}
