package route

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a request that goes to the route of another host or of a shorter prefix.
func TestFind(t *testing.T) {
	table := &Table{Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}}
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example:8080", "/x/1", "short"},
		{"A.Example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"b.example", "/x/y/1", "other"},
		{"b.example", "/y/", ""},
		{"c.example", "/x/", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			is := is.New(t)
			got := ""
			if r := table.Find(c.host, c.path); r != nil {
				got = r.Name
			}
			is.Equal(got, c.want)
		})
	}
}

// Guards against a share without weight that gets requests, and against a point at the end that finds no service.
func TestService(t *testing.T) {
	r := Route{Shares: []Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	for _, c := range []struct {
		point float64
		want  string
	}{{0, "a"}, {0.89, "a"}, {0.91, "b"}, {0.999999, "b"}} {
		is.New(t).Equal(r.Service(c.point), c.want)
	}
}

// Guards against a second run of a request whose kind does not allow it.
func TestRepeatable(t *testing.T) {
	for _, c := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: KindIdempotent}, true},
		{Route{Kind: KindOnce}, false},
		{Route{Kind: KindOnce, Resumable: true}, false},
		{Route{Kind: KindStream}, false},
		{Route{Kind: KindStream, Resumable: true}, true},
		{Route{Kind: KindBatch}, true},
	} {
		is.New(t).Equal(c.route.Repeatable(), c.want)
	}
}

// Guards against a route that is taken for another one with a similar name, host or prefix, or for one that has none.
func TestNamedAndAt(t *testing.T) {
	table := &Table{Routes: []Route{{Name: "a", Host: "a.example", Prefix: "/x/"}, {Name: "b", Host: "b.example", Prefix: "/x/y/"}}}
	is := is.New(t)
	is.Equal(table.Named("b").Prefix, "/x/y/")
	is.Equal(table.Named(""), nil)
	is.Equal(table.Named("c"), nil)
	is.Equal(table.At("B.example:80", "/x/y/").Name, "b")
	is.Equal(table.At("b.example", "/x/"), nil)
	is.Equal(table.At("a.example", ""), nil)
}
