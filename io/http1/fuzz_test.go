package http1

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// FuzzAnswers guards against a result that depends on how the bytes of answers arrive, and against bytes that a read adds or reorders.
func FuzzAnswers(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nX: 1\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\nuntil the end",
		"HTTP/1.1 101 Switching Protocols\r\n\r\nx",
	} {
		f.Add(text, false)
	}
	f.Fuzz(func(t *testing.T, text string, head bool) {
		read := func(r io.Reader) (string, bool) {
			c := New(stream{Reader: r})
			if head {
				c.Begin("HEAD")
			}
			got, err := io.ReadAll(c)

			return string(got), err == nil
		}
		whole, ok := read(strings.NewReader(text))
		split, splitOK := read(iotest.OneByteReader(strings.NewReader(text)))
		if whole != split || ok != splitOK {
			t.Errorf("%q: %q, %v in one read and %q, %v in many", text, whole, ok, split, splitOK)
		}
		if !isSubsequence(whole, text) {
			t.Errorf("%q: read %q", text, whole)
		}
	})
}

// isSubsequence reports whether the bytes of a text are in another one in the same order.
func isSubsequence(part, text string) bool {
	for n := range len(part) {
		at := strings.IndexByte(text, part[n])
		if at < 0 {
			return false
		}
		text = text[at+1:]
	}

	return true
}
