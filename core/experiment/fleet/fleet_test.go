package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	"tarragonwalk/core/experiment/preset"
	"tarragonwalk/core/inference"
)

// Guards against a Close that hangs, which it did when it waited for an engine before closing it, and against proxies
// between zones that lose requests.
func TestFleetRunsAndCloses(t *testing.T) {
	is := is.New(t)
	p, err := preset.Load("kurekizin")
	is.NoErr(err)
	p.StepMicros, p.StreamMicros = 200, 10
	f, err := New(p, 1)
	is.NoErr(err)
	var tasks sync.WaitGroup
	for n, d := range f.Dispatchers() {
		for m, class := range []inference.Class{inference.ClassOnline, inference.ClassBatch} {
			// An instance that owns no backend server for batch work runs no batch item.
			if class == inference.ClassBatch && d.BatchSlots(Deployment) == 0 {
				continue
			}
			tasks.Go(func() {
				id := fmt.Sprintf("q-%d-%d", n, m)
				last := ""
				err := d.Run(context.Background(), &inference.Request{
					Body:       []byte(`{"model":"model","messages":[{"role":"user","content":"` + id + `"}],"max_tokens":4}`),
					Class:      class,
					Deployment: Deployment,
					ID:         id,
					MaxTokens:  4,
					Stream:     id,
				}, func(e inference.Event) error {
					last = e.Finish

					return nil
				})
				if err != nil || last == "" {
					t.Errorf("%s: finish %q, %v", id, last, err)
				}
			})
		}
	}
	tasks.Wait()
	f.Close()
}
