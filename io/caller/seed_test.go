package caller

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// Guards against continuing an answer with another sampling seed, and against replacing a seed that the caller has set.
func TestWithSeed(t *testing.T) {
	cases := []struct {
		name, body string
		kept       bool
	}{
		{name: "absent", body: `{"model":"m"}`},
		{name: "leading space", body: ` {"model":"m"}`},
		{name: "in the text only", body: `{"model":"seeds"}`},
		{name: "set by the caller", body: `{"seed":7,"model":"m"}`, kept: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			body := []byte(c.body)
			first := withSeed(body, "a", "r-1")
			is.Equal(string(first), string(withSeed(body, "a", "r-1"))) // the same on every instance
			is.Equal(string(first) == c.body, c.kept)
			is.Equal(string(first) == string(withSeed(body, "b", "r-1")), c.kept)
			fields := struct{ Seed *int32 }{}
			is.NoErr(json.Unmarshal(first, &fields))
			is.True(fields.Seed != nil)
		})
	}
}
