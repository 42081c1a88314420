package keyring

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
)

// Guards against a key that is accepted for another owner, or for none, and against instances that disagree about a key of two owners.
func TestOwner(t *testing.T) {
	type entry struct{ owner, hash string }
	for _, c := range []struct {
		name    string
		entries []entry
		key     string
		want    string
	}{
		{"known", []entry{{"a", Hash("k1")}, {"b", Hash("k2")}}, "k2", "b"},
		{"second key of an owner", []entry{{"a", Hash("k1")}, {"a", Hash("k2")}}, "k2", "a"},
		{"claimed by two", []entry{{"b", Hash("k")}, {"a", Hash("k")}}, "k", "a"},
		{"claimed by two in the other order", []entry{{"a", Hash("k")}, {"b", Hash("k")}}, "k", "a"},
		{"hash in capitals", []entry{{"a", strings.ToUpper(Hash("k"))}}, "k", "a"},
		{"unknown", []entry{{"a", Hash("k")}}, "K", ""},
		{"the hash itself", []entry{{"a", Hash("k")}}, Hash("k"), ""},
		{"hash of the empty key", []entry{{"a", Hash("")}}, "", ""},
		{"odd hashes", []entry{{"a", ""}, {"a", "zz"}, {"a", Hash("k")[2:]}, {"a", "k"}}, "k", ""},
		{"no keys", nil, "k", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := New()
			for _, e := range c.entries {
				r.Add(e.owner, e.hash)
			}
			owner, err := r.Owner(c.key)
			is.Equal(owner, c.want)
			is.Equal(fault.CodeOf(err) == fault.CodeUnauthorized, c.want == "")
		})
	}
}
