package instance_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc/pool"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/membership"
	"tarragonwalk/internal/fleet"
	"tarragonwalk/io/apiclient"
	"tarragonwalk/io/openai"
	"tarragonwalk/io/standin/engine"
)

const (
	keyA        = "key-of-workspace-a"
	keyB        = "key-of-workspace-b"
	operatorKey = "key-of-the-operator"
	zone        = "taff-a"
	region      = "cymru-south"
	longAnswer  = 200
)

// startFleet starts two entry instances in front of engines e-1 to e-n and one service.
func startFleet(t *testing.T, engines int, options ...func(*engine.Engine)) *fleet.Fleet {
	t.Helper()
	f, err := fleet.New(slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	c := newConfiguration(engines)
	options = append(options, engine.Steps(2*time.Millisecond, 0, 16))
	if err := f.StartBackends(c, options...); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"entry-1", "entry-2"} {
		if err := f.StartInstance(name, zone, region); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Configure("entry-1", c); err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitInstances(); err != nil {
		t.Fatal(err)
	}

	return f
}

func newConfiguration(engines int) *configuration.Configuration {
	c := &configuration.Configuration{
		Version: 1,
		Deployments: configuration.ConfigurationDeployments{
			"drafting": {Model: "drafting-model"},
			"orders":   {Model: "order-desk"},
		},
		OnlineRoutes: configuration.ConfigurationOnlineRoutes{
			"drafting": newRoute(configuration.RouteKindModel, "drafting", true),
			"orders":   newRoute(configuration.RouteKindService, "orders", false),
		},
		BackendServers: configuration.ConfigurationBackendServers{
			"s-1": newBackend(configuration.BackendKindService, "orders"),
		},
		Workspaces: configuration.ConfigurationWorkspaces{
			"a": {KeyHashes: []string{fleet.HashKey(keyA)}, Weight: 1},
			"b": {KeyHashes: []string{fleet.HashKey(keyB)}, Weight: 1},
		},
		Operators: configuration.ConfigurationOperators{
			"o": {KeyHash: fleet.HashKey(operatorKey), Write: true},
		},
	}
	c.Batch = configuration.BatchDefaults{
		WindowMillis: 3600000,
		MaxItems:     1000,
		ChunkItems:   20,
		ChunkBytes:   65536,
		Attempts:     3,
	}
	for n := range engines {
		b := newBackend(configuration.BackendKindEngine, "drafting")
		b.ChecksFencing = n > 0
		c.BackendServers[fmt.Sprintf("e-%d", n+1)] = b
	}

	return c
}

func newRoute(kind configuration.RouteKind, deployment string, idempotent bool) configuration.OnlineRoute {
	return configuration.OnlineRoute{
		Kind:             kind,
		Deployment:       deployment,
		Idempotent:       idempotent,
		DeadlineMillis:   20000,
		FirstTokenMillis: 750,
		TokenMillis:      36,
		SuccessRatio:     0.99,
	}
}

func newBackend(kind configuration.BackendKind, deployment string) configuration.BackendServer {
	return configuration.BackendServer{
		Kind:       kind,
		Deployment: deployment,
		Zone:       zone,
		Region:     region,
		Slots:      8,
	}
}

func newRequest(prompt string, tokens int) (*openai.ChatRequest, []byte) {
	r := &openai.ChatRequest{
		Model: "drafting",
		Messages: []openai.Message{
			{
				Role:    "user",
				Content: prompt,
			},
		},
		Stream:    true,
		MaxTokens: tokens,
	}
	body, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}

	return r, body
}

// stream runs a request and calls at when the third token has arrived.
func stream(c *apiclient.Client, body []byte, id string, at func()) (string, error) {
	const third = 3
	text := strings.Builder{}
	_, err := c.Stream(body, id, 0, func(offset int, token string) error {
		text.WriteString(token)
		if offset == third && at != nil {
			at()
		}

		return nil
	})

	return text.String(), err
}

// Guards against an answer that is cut, repeated or mixed up when its backend server fails in mid-stream.
func TestStreamSurvivesWorker(t *testing.T) {
	t.Parallel()
	faults := []struct {
		name  string
		cause func(e *engine.Engine)
	}{
		{name: "crash", cause: (*engine.Engine).Crash},
		{name: "connections go silent", cause: (*engine.Engine).Silence},
		{name: "connections break", cause: (*engine.Engine).Drop},
		{name: "frozen", cause: func(e *engine.Engine) { e.Freeze(true) }},
	}
	for _, c := range faults {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startFleet(t, 3)
			r, body := newRequest("A long note on "+c.name, longAnswer)
			text, err := stream(f.Caller("entry-1", keyA), body, "r-1", func() {
				for _, e := range f.Engines {
					if running, _ := e.Running(); running > 0 {
						c.cause(e)
					}
				}
			})
			is.NoErr(err)
			want, _, _ := engine.Answer(r)
			is.Equal(text, want)
			started := 0
			for _, e := range f.Engines {
				started += len(e.Started())
			}
			is.True(started > 1) // the fault did hit the stream
		})
	}
}

// Guards against a caller that loses its answer when the instance fails, or gets the rest of another answer.
func TestStreamContinuesOnAnotherInstance(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, 3)
	r, body := newRequest("A note that outlives its instance", longAnswer)
	text := strings.Builder{}
	last := 0
	other := f.Caller("entry-2", keyA)
	errStop := errors.New("stop")
	_, err := f.Caller("entry-1", keyA).Stream(body, "r-1", 0, func(offset int, token string) error {
		text.WriteString(token)
		last = offset
		if offset == longAnswer/10 {
			return errStop
		}

		return nil
	})
	is.Equal(err, errStop)
	f.Kill("entry-1")
	_, err = other.Stream(body, "r-1", last, func(_ int, token string) error {
		text.WriteString(token)

		return nil
	})
	is.NoErr(err)
	want, _, _ := engine.Answer(r)
	is.Equal(text.String(), want)
}

// Guards against online requests that need the store, against work accepted without it, and against a false "not run".
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, 2)
	c := f.Caller("entry-1", keyA)
	is.NoErr(f.Store.SetRefused(true))
	r, body := newRequest("A note during the outage", 20)
	text, err := stream(c, body, "r-1", nil)
	is.NoErr(err)
	want, _, _ := engine.Answer(r)
	is.Equal(text, want)
	header := map[string]string{"Idempotency-Key": "order-1"}
	_, err = c.Post("/v1/services/orders/sign", []byte("{}"), header)
	is.Equal(fault.CodeOf(err), fault.CodeNotRun)
	is.Equal(len(f.Services["s-1"].Keys()), 0)
	_, err = c.Upload("x.jsonl", []byte(`{"custom_id":"1","method":"POST","url":"/v1/chat/completions","body":{"model":"drafting","messages":[{"role":"user","content":"x"}]}}`+"\n"))
	is.True(err != nil)
	_, err = f.Patch("entry-1", operatorKey, 1, []byte(`{}`))
	is.True(err != nil)
	is.NoErr(f.Store.SetRefused(false))
	is.NoErr(fleet.Await(func() bool {
		_, err := c.Post("/v1/services/orders/sign", []byte("{}"), header)

		return err == nil
	}))
	is.Equal(f.Services["s-1"].Keys()["order-1"], 1)
	version, err := f.Patch("entry-1", operatorKey, 1, []byte(`{"Workspaces":{"a":{"Weight":2}}}`))
	is.NoErr(err)
	is.Equal(version, 2)
	is.NoErr(f.AwaitVersion(version))
}

// Guards against running a non-idempotent request again after its answer was lost, and against reporting anything other than an
// unknown outcome.
func TestLostServiceAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, 1)
	f.Services["s-1"].LoseAnswers(1)
	header := map[string]string{"Idempotency-Key": "order-1"}
	for _, name := range []string{"entry-1", "entry-2", "entry-1"} {
		_, err := f.Caller(name, keyA).Post("/v1/services/orders/sign", []byte("{}"), header)
		is.Equal(fault.CodeOf(err), fault.CodeOutcomeUnknown)
	}
	is.Equal(f.Services["s-1"].Keys()["order-1"], 1)
}

// Guards against an instance that stays without a configuration because it never reaches the store.
func TestConfigurationFromPeers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, 1)
	is.NoErr(f.StartInstanceWithoutStore("entry-3", zone, region))
	is.NoErr(f.AwaitVersion(1))
	version, err := f.Patch("entry-2", operatorKey, 1, []byte(`{"Workspaces":{"a":{"Weight":9}}}`))
	is.NoErr(err)
	is.NoErr(f.AwaitVersion(version))
	_, body := newRequest("A note through the instance that is cut off", 10)
	_, err = stream(f.Caller("entry-3", keyA), body, "r-1", nil)
	is.NoErr(err)
}

// Guards against new work for a backend server that is leaving.
func TestLeavingBackendServer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, 2)
	f.List.Set(membership.Instance{
		Name:   "e-1",
		Role:   membership.RoleBackend,
		Zone:   zone,
		Region: region,
		State:  membership.StateLeaving,
	})
	time.Sleep(3 * time.Second) // the limit by which new work has to stop
	before := len(f.Engines["e-1"].Started())
	for n := range 20 {
		_, body := newRequest(fmt.Sprintf("Note %d", n), 4)
		_, err := stream(f.Caller([]string{"entry-1", "entry-2"}[n%2], keyA), body, fmt.Sprintf("r-%d", n), nil)
		is.NoErr(err)
	}
	is.Equal(len(f.Engines["e-1"].Started()), before)
}

// Guards against a workspace that reads, lists or cancels the jobs and files of another.
func TestWorkspacesAreApart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, 1)
	a, b := f.Caller("entry-1", keyA), f.Caller("entry-2", keyB)
	file, err := a.Upload("x.jsonl", []byte(`{"custom_id":"1","method":"POST","url":"/v1/chat/completions","body":{"model":"drafting","messages":[{"role":"user","content":"x"}]}}`+"\n"))
	is.NoErr(err)
	submission := []byte(`{"input_file_id":"` + file.ID + `","endpoint":"/v1/chat/completions","completion_window":"1h"}`)
	answer, err := a.Post("/v1/batches", submission, nil)
	is.NoErr(err)
	batch := openai.Batch{}
	is.NoErr(apiclient.Decode(answer, &batch))
	is.NoErr(fleet.Await(func() bool {
		answer, err = a.Get("/v1/batches/" + batch.ID)

		return err == nil && apiclient.Decode(answer, &batch) == nil && batch.Status == "completed"
	}))
	for _, path := range []string{"/v1/batches/" + batch.ID, "/v1/files/" + file.ID, "/v1/files/" + file.ID + "/content", "/v1/files/" + batch.OutputFileID + "/content"} {
		_, err := b.Get(path)
		is.Equal(fault.CodeOf(err), fault.CodeNotFound) // path of another workspace
	}
	_, err = b.Post("/v1/batches/"+batch.ID+"/cancel", nil, nil)
	is.Equal(fault.CodeOf(err), fault.CodeNotFound)
	_, err = b.Post("/v1/batches", submission, nil)
	is.Equal(fault.CodeOf(err), fault.CodeNotFound)
	list := openai.BatchList{}
	answer, err = b.Get("/v1/batches")
	is.NoErr(err)
	is.NoErr(apiclient.Decode(answer, &list))
	is.Equal(len(list.Data), 0)
}

// Guards against entry instances that each fill all slots of a backend server, so that requests queue inside the engine, where
// short requests wait behind long ones and nothing can be preempted.
func TestInstancesShareSlots(t *testing.T) {
	t.Parallel()
	const callers, slots, instances = 12, 8, 4
	is := is.New(t)
	f := startFleet(t, 1)
	// Two instances would not be enough: one of them is the batch owner, which gets the counts of the other anyway.
	is.NoErr(f.StartInstance("entry-3", zone, region))
	is.NoErr(f.StartInstance("entry-4", zone, region))
	is.NoErr(f.AwaitInstances())
	is.NoErr(f.AwaitVersion(1))
	time.Sleep(500 * time.Millisecond) // until then, instances may take different ones for the batch owner
	stopAt := time.Now().Add(3 * time.Second)
	p := pool.New()
	for n := range callers * instances {
		c := f.Caller(fmt.Sprintf("entry-%d", n%instances+1), keyA)
		p.Go(func() {
			for k := 0; time.Now().Before(stopAt); k++ {
				_, body := newRequest(fmt.Sprintf("Note %d of caller %d", k, n), 20)
				_, _ = stream(c, body, fmt.Sprintf("r-%d-%d", n, k), nil)
			}
		})
	}
	most := 0
	for time.Now().Before(stopAt) {
		running, waiting := f.Engines["e-1"].Running()
		most = max(most, running+waiting)
		time.Sleep(time.Millisecond)
	}
	p.Wait()
	t.Logf("at most %d requests in the engine", most)
	// Each instance may have started one request that the others do not know of yet.
	is.True(most <= slots+instances)
}

// Guards against an answer that reaches the wrong caller when a backend server mixes up its requests.
func TestSwappedAnswers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, 2)
	for _, e := range f.Engines {
		e.Swap(1)
	}
	for n := range 4 {
		r, body := newRequest(fmt.Sprintf("Note %d", n), 20)
		text, err := stream(f.Caller("entry-1", keyA), body, fmt.Sprintf("r-%d", n), nil)
		is.NoErr(err)
		want, _, _ := engine.Answer(r)
		is.Equal(text, want)
	}
	f.Services["s-1"].Swap(1)
	header := map[string]string{"Idempotency-Key": "order-1"}
	_, err := f.Caller("entry-1", keyA).Post("/v1/services/orders/sign", []byte("{}"), header)
	is.Equal(fault.CodeOf(err), fault.CodeOutcomeUnknown)
	is.Equal(f.Services["s-1"].Keys()["order-1"], 1) // it is not sent again
}

// Guards against accepting a job that cannot end before its deadline, and against refusing one before the rate of its
// deployment is known.
func TestInfeasibleJob(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, 1)
	c := f.Caller("entry-1", keyA)
	submit := func(name string, items int, window string) (openai.Batch, error) {
		c := f.Caller(name, keyA)
		content := strings.Builder{}
		for n := range items {
			fmt.Fprintf(&content, `{"custom_id":"%d","method":"POST","url":"/v1/chat/completions","body":{"model":"drafting","messages":[{"role":"user","content":"sheet %d of %d from %s"}],"max_tokens":100}}`+"\n", n, n, items, name)
		}
		file, err := c.Upload("x.jsonl", []byte(content.String()))
		is.NoErr(err)
		answer, err := c.Post("/v1/batches", []byte(`{"input_file_id":"`+file.ID+`","endpoint":"/v1/chat/completions","completion_window":"`+window+`"}`), nil)
		batch := openai.Batch{}
		if err == nil {
			is.NoErr(apiclient.Decode(answer, &batch))
		}

		return batch, err
	}
	// An instance may take itself for the owner of the engine for 100 ms after it has learned of the others. It would run items until
	// then, and both instances would have measured one.
	time.Sleep(200 * time.Millisecond)
	batch, err := submit("entry-1", 20, "1h")
	is.NoErr(err)
	is.NoErr(fleet.Await(func() bool {
		answer, err := c.Get("/v1/batches/" + batch.ID)

		return err == nil && apiclient.Decode(answer, &batch) == nil && batch.Status == "completed"
	}))
	// An item takes at least 0.1 s (50 tokens of 2 ms) and 8 run at once: at most 80 a second, 160 with the margin.
	// Only the instance that owns the engine for batch work has measured an item.
	refused := 0
	for _, name := range []string{"entry-1", "entry-2"} {
		_, err = submit(name, 1000, "3s")
		if fault.CodeOf(err) == fault.CodeNotRun {
			refused++
		}
	}
	is.Equal(refused, 1)
	for _, name := range []string{"entry-1", "entry-2"} {
		_, err = submit(name, 999, "1h")
		is.NoErr(err)
	}
}
