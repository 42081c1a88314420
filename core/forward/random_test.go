package forward

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/backend"
	"tarragonwalk/core/call"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/response"
	"tarragonwalk/core/route"
)

// fakeFleet is a fake with servers that are silent for up to a second now and then, and some that break the protocol.
type fakeFleet struct {
	fakeMany

	random *rand.Rand
	stream bool
	faulty map[string]bool
	// busy is how many of ten requests the sound servers refuse.
	busy int
	// sent counts the requests at each server, ran those that were not refused.
	sent, ran map[string]int
}

func (f *fakeFleet) Send(ctx context.Context, s backend.Server, _ *call.Call, after int64) (*response.Response, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.sent[s.ID]++
	breach := 0
	if f.faulty[s.ID] {
		breach = 1 + f.random.IntN(6)
	}
	if breach == 1 || breach == 0 && f.random.IntN(10) < f.busy {
		return nil, refused
	}
	f.ran[s.ID]++
	r := &response.Response{Status: http.StatusOK, Header: http.Header{"Stamp": {s.ID}}, Length: -1}
	if f.stream {
		r.Header.Set("Content-Type", "text/event-stream")
	}
	rest := slices.DeleteFunc(strings.SplitAfter(whole[15*after:], "\n\n"), func(e string) bool { return e == "" })
	var end io.Reader = strings.NewReader("")
	switch breach {
	case 2:
		return nil, lost
	case 3:
		r.Status = http.StatusInternalServerError
	case 4:
		rest, end = rest[:f.random.IntN(len(rest)+1)], errorReader{}
	case 5:
		rest, end = rest[:f.random.IntN(len(rest)+1)], hungReader{ctx: ctx}
	}
	k, silence := f.random.IntN(len(rest)+1), time.Duration(f.random.IntN(1000))*time.Millisecond
	begin := &slowReader{ctx: ctx, events: rest[:k], pause: 5 * time.Millisecond}
	r.Body = io.NopCloser(io.MultiReader(begin, &slowReader{ctx: ctx, events: rest[k:], pause: 5 * time.Millisecond, first: silence}, end))

	return r, nil
}

// Guards against a request that fails though all servers but one are sound, or runs on too many, on two for too long, or after a "not run".
func TestFaultyServers(t *testing.T) {
	for seed := range uint64(2000) {
		for faulty := 1; faulty <= 2; faulty++ {
			for _, kind := range []route.Kind{route.KindStream, route.KindIdempotent} {
				t.Run(fmt.Sprint(kind, faulty, " ", seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runFaulty(t, kind, faulty, seed) })
				})
			}
		}
	}
}

func runFaulty(t *testing.T, kind route.Kind, faulty int, seed uint64) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(seed, 1))
	r := route.Route{Kind: kind, MaxAttempts: 2 + random.IntN(2), Resumable: true, TargetMillis: 300, GapMillis: 300, TimeoutMillis: 9000}
	f := &fakeFleet{random: random, stream: kind == route.KindStream, faulty: map[string]bool{}, sent: map[string]int{}, ran: map[string]int{}}
	f.size, f.busy = 2+random.IntN(4), 4*random.IntN(2)
	for len(f.faulty) < faulty {
		f.faulty[strconv.Itoa(random.IntN(3))] = true
	}
	out := &recorder{}
	startedAt := time.Now()
	err := newForwarder(f).Run(t.Context(), &r, &call.Call{ID: "1"}, out)
	is.True(time.Since(startedAt) <= 9*time.Second)
	synctest.Wait()
	if faulty == 1 && (f.busy == 0 || out.body.Len() > 0) {
		is.NoErr(err)
	}
	if err == nil && out.status == http.StatusOK {
		is.Equal(out.body.String(), whole)
	}
	is.True(strings.HasPrefix(whole, out.body.String()))
	is.True(!fault.NotRun(err) || len(f.ran) == 0)
	is.True(len(f.ran) <= r.MaxAttempts)
	is.True(kind != route.KindStream || longestOverlap(f.spans) < 400*time.Millisecond)
	sent := 0
	for _, n := range f.sent {
		sent += n
	}
	is.Equal(f.released, sent)
}
