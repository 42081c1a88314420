package configuration

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
)

const firstPatch = `{"Deployments":{"d":{"Model":"m"},"p":{"Model":"m"}},
"OnlineRoutes":{"m":{"Kind":"model","Deployment":"d"},"s":{"Kind":"service","Deployment":"p"}}}`

// Guards against merging a stale patch, accepting an invalid field, and reporting only one reason at a time.
func TestApplyPatch(t *testing.T) {
	hash := strings.Repeat("0a", 32)
	cases := []struct {
		name   string
		patch  string
		fields []string
	}{
		{name: "valid", patch: `{"Workspaces":{"w":{"KeyHashes":["` + hash + `"],"Routes":["m"]}}}`},
		{name: "unknown keys", patch: `{"X":1,"Deployments":{"d":{"Y":1}}}`, fields: []string{"X", "Deployments.d.Y"}},
		{name: "references", patch: `{"Deployments":{"d":null},"Workspaces":{"w":{"KeyHashes":["z"],"Routes":["q"]}}}`, fields: []string{"OnlineRoutes.m.Deployment", "Workspaces.w.KeyHashes.0", "Workspaces.w.Routes.0"}},
		{name: "types", patch: `{"Batch":{"Attempts":"x"},"BackendServers":{"b":{"Address":"q","Kind":"engine","Deployment":"d","Zone":"z","Slots":0}}}`, fields: []string{"Batch.Attempts", "BackendServers.b.Address", "BackendServers.b.Region", "BackendServers.b.Slots"}},
		{name: "owned", patch: `{"Version":9,"Operation":"x"}`, fields: []string{"Version", "Operation"}},
		{name: "not an object", patch: `7`, fields: []string{"Patch"}},
	}
	base, err := ApplyPatch(nil, Patch{Patch: json.RawMessage(firstPatch)})
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c, err := ApplyPatch(base, Patch{BaseVersion: 1, Patch: json.RawMessage(tc.patch)})
			if tc.fields == nil {
				is.NoErr(err)
				is.Equal(c.Version, 2)
				document, err := json.Marshal(c)
				is.NoErr(err)
				again, err := Decode(document)
				is.NoErr(err)
				is.Equal(again, c)
				is.Equal(again.OnlineRoutes["s"].Idempotent, false)
				is.Equal(again.OnlineRoutes["m"].Idempotent, true)

				return
			}
			var e *fault.Error
			is.True(errors.As(err, &e))
			is.Equal(e.Code, fault.CodeInvalid)
			is.Equal(len(e.Fields), len(tc.fields))
			for _, f := range tc.fields {
				is.True(e.Fields[f] != "") // a reason for each field
			}
		})
	}
	_, err = ApplyPatch(base, Patch{BaseVersion: 0, Patch: json.RawMessage(`{}`)})
	var e *fault.Error
	if !errors.As(err, &e) || e.Code != fault.CodeStaleVersion || e.Version != 1 {
		t.Fatal(err)
	}
}

// Guards against going back to an older configuration.
func TestHolder(t *testing.T) {
	is := is.New(t)
	h := NewHolder()
	changed := h.Changed()
	is.True(h.Apply(&Configuration{Version: 2}))
	<-changed
	is.True(!h.Apply(&Configuration{Version: 2}))
	is.True(!h.Apply(&Configuration{Version: 1}))
	is.Equal(h.Current().Version, 2)
}

// Guards against objectives without a default, and against ratios from which no error budget can be computed.
func TestObjectives(t *testing.T) {
	is := is.New(t)
	base, err := ApplyPatch(nil, Patch{Patch: json.RawMessage(firstPatch)})
	is.NoErr(err)
	is.Equal(base.Deployments["d"].BatchRatio, 0.99)
	is.Equal(base.OnlineRoutes["m"].SuccessRatio, 0.99)
	is.Equal(base.OnlineRoutes["m"].LatencyRatio, 0.95)
	_, err = ApplyPatch(base, Patch{
		BaseVersion: 1,
		Patch:       json.RawMessage(`{"Deployments":{"d":{"BatchRatio":0}},"OnlineRoutes":{"m":{"LatencyRatio":1.5},"s":{"LatencyRatio":0}}}`),
	})
	var e *fault.Error
	is.True(errors.As(err, &e))
	is.Equal(len(e.Fields), 3)
	for _, f := range []string{"Deployments.d.BatchRatio", "OnlineRoutes.m.LatencyRatio", "OnlineRoutes.s.LatencyRatio"} {
		is.True(e.Fields[f] != "") // a reason for each ratio
	}
}
