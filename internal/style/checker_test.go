package style

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// Guards against violations of style rules that the linter does not check.
func TestTree(t *testing.T) {
	findings, err := New().Check("../..")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range findings {
		t.Error(f)
	}
}

// Guards against a checker that misses violations or reports valid code.
func TestFindings(t *testing.T) {
	cases := []struct {
		name, source string
		want         int
	}{
		{name: "fields on one line", source: "var x = T{A: 1, B: 2}", want: 1},
		{name: "first field beside the brace", source: "var x = T{A: 1,\nB: 2}", want: 1},
		{name: "one a line", source: "var x = T{\nA: 1,\nB: 2,\n}", want: 0},
		{name: "no fields", source: "var x = T{}", want: 0},
		{name: "map with text keys", source: `var x = map[string]int{"a": 1}`, want: 0},
		{name: "two exported types", source: "type A struct{}\ntype B struct{}", want: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			folder := t.TempDir()
			is.NoErr(os.WriteFile(filepath.Join(folder, "x.go"), []byte("package x\n"+c.source+"\n"), 0o600))
			findings, err := New().Check(folder)
			is.NoErr(err)
			is.Equal(len(findings), c.want)
		})
	}
}
