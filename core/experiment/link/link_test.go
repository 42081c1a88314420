package link

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against connections that each get the full rate of a shared link.
func TestReserveSharesRate(t *testing.T) {
	is := is.New(t)
	l := New(1000)
	at := time.Unix(100, 0)
	is.Equal(l.Reserve(500, at), at.Add(500*time.Millisecond))
	is.Equal(l.Reserve(500, at), at.Add(time.Second))
	is.Equal(l.Reserve(100, at.Add(5*time.Second)), at.Add(5100*time.Millisecond)) // idle time gives no burst credit
}
