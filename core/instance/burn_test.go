package instance

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/burn"
	"tarragonwalk/core/configuration"
	"tarragonwalk/core/membership"
	"tarragonwalk/io/apiclient"
	"tarragonwalk/io/openai"
	"tarragonwalk/io/settings"
	"tarragonwalk/io/standin/engine"
	"tarragonwalk/io/standin/instancelist"
	"tarragonwalk/io/standin/objectstore"
)

func listen(t *testing.T, s interface {
	Serve(l net.Listener) error
	Close()
},
) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Close)

	return netip.MustParseAddrPort(l.Addr().String())
}

func eventually(t *testing.T, what string, f func() bool) {
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not reached: " + what)
		}
	}
}

// Guards against requests or batch items that bypass the recorder, and against a recorder that never reports covered time.
func TestBurnCounts(t *testing.T) {
	is := is.New(t)
	store, list, worker := objectstore.New(1), instancelist.New(0), engine.New()
	at := listen(t, worker)
	list.Set(membership.Instance{Name: "w1", Role: membership.RoleBackend, Zone: "z", Region: "r", State: membership.StateLive})
	s, err := settings.Parse([]byte(`Instance = {Name = "e1", Zone = "z", Region = "r"}
Listen = {Caller = "127.0.0.1:0", Operator = "127.0.0.1:0", Peer = "127.0.0.1:0"}
Platform = {Store = "` + listen(t, store).String() + `", InstanceList = "` + listen(t, list).String() + `"}
Peers = {Secret = "0123456789abcdef"}
`))
	is.NoErr(err)
	key := sha256.Sum256([]byte("k"))
	hash := hex.EncodeToString(key[:])
	s.Operator = &settings.OperatorSettings{BootstrapKeyHash: hash}
	i := New(s, slog.New(slog.DiscardHandler), time.Now)
	is.NoErr(i.Start())
	t.Cleanup(i.Kill)
	list.Set(i.self())
	operator := apiclient.New("http://"+i.OperatorAddress().String(), "k")
	patch, err := json.Marshal(configuration.Patch{Patch: json.RawMessage(`{"Deployments":{"d":{"Model":"m"}},
"OnlineRoutes":{"m":{"Kind":"model","Deployment":"d"}},"Workspaces":{"w":{"KeyHashes":["` + hash + `"]}},
"Operators":{"o":{"KeyHash":"` + hash + `","Write":true}},
"BackendServers":{"w1":{"Address":"` + at.String() + `","Zone":"z","Region":"r","Kind":"engine","Deployment":"d"}}}`)})
	is.NoErr(err)
	_, err = operator.Post("/admin/v1/configuration/patches", patch, nil)
	is.NoErr(err)
	eventually(t, "a configuration and a usable worker", func() bool {
		return i.holder.Current() != nil && i.table.Usable("w1", time.Now())
	})
	client := apiclient.New("http://"+i.CallerAddress().String(), "k")
	const body = `{"model":"m","max_tokens":3,"messages":[{"role":"user","content":"x"}]}`
	_, err = client.Post("/v1/chat/completions", []byte(body), nil)
	is.NoErr(err)
	f, err := client.Upload("f", []byte(`{"custom_id":"c","method":"POST","url":"/v1/chat/completions","body":`+body+"}\n"))
	is.NoErr(err)
	job, err := json.Marshal(openai.BatchRequest{InputFileID: f.ID, Endpoint: "/v1/chat/completions", CompletionWindow: "24h"})
	is.NoErr(err)
	_, err = client.Post("/v1/batches", job, nil)
	is.NoErr(err)
	counted := map[burn.Objective]int{}
	eventually(t, "a published item", func() bool {
		answer, err := operator.Get("/admin/v1/burn")
		is.NoErr(err)
		var n burn.Snapshot
		is.NoErr(json.Unmarshal(answer, &n))
		is.Equal(n.Instance, "e1")
		for _, e := range n.Series {
			// Whether a latency counts as good depends on the load of the test machine, so only the total is checked.
			counted[e.Objective] = e.Windows[0].Good + e.Windows[0].Bad
			is.True(e.Windows[0].CoveredMillis > 0)
		}

		return counted[burn.ObjectiveBatch] > 0
	})
	is.Equal(counted, map[burn.Objective]int{
		burn.ObjectiveSuccess: 1, burn.ObjectiveFirstToken: 1, burn.ObjectiveBetweenTokens: 1, burn.ObjectiveBatch: 1,
	})
}
