package virtualfleet

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against an instance that nobody hears, and that takes over jobs once the others have forgotten it: they no longer tell it that it is
// not heard, and do not expect that it takes anything over.
func TestForgottenInstanceTakesNothingOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const size, unheard = 3, 2
		f := New(size, 1, rand.New(rand.NewPCG(1, 1)), slog.New(slog.DiscardHandler))
		defer f.Close()
		for n := range size {
			f.Start(n)
		}
		time.Sleep(5 * time.Second)
		for n := range size {
			if n != unheard {
				f.Cut(unheard, n)
			}
		}
		for range 400 {
			time.Sleep(200 * time.Millisecond)
			p := f.running(unheard)
			for n := range size {
				q := f.running(n)
				alive := p.cluster.Alive(q.instance.name, q.cluster.Self().Incarnation, time.Now())
				is.True(alive || p.cluster.Unheard() || p.cluster.Isolated())
			}
		}
	})
}
