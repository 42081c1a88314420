package settings

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
	"tarragonwalk/examples"
)

const validText = `[Instance]
Name = "entry-1"
Zone = "taff-a"
Region = "cymru-south"
[Listen]
Caller = "127.0.0.1:8080"
Operator = "127.0.0.1:8081"
Peer = "127.0.0.1:8082"
[Platform]
Store = "127.0.0.1:9000"
InstanceList = "127.0.0.1:9001"
[Peers]
Secret = "0123456789abcdef"
`

// Guards against limits that stay zero if an optional table is absent, so that every request is refused.
func TestParseFillsDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(validText))
	is.NoErr(err)
	is.Equal(s.Instance.Name, "entry-1")
	is.Equal(s.Limits.BodyBytes, 4194304)
	is.Equal(s.Platform.StoreReadsPerSecond, 200)
	is.Equal(s.Log.Level, LogSettingsLevelInfo)
}

// Guards against accepting an invalid setting, or refusing it without naming its key and line.
func TestParseRefuses(t *testing.T) {
	cases := []struct {
		name, from, to, field, reason string
	}{
		{name: "unknown key", from: "Zone =", to: "Zonne = \"x\"\nZone =", field: "Instance", reason: "Zonne"},
		{name: "missing key", from: "Zone = \"taff-a\"\n", to: "", field: "Instance", reason: "line 1"},
		{name: "wrong type", from: "Name = \"entry-1\"", to: "Name = 7", field: "Instance.Name", reason: "line 2"},
		{name: "short secret", from: "0123456789abcdef", to: "short", field: "Peers.Secret", reason: "line 13"},
		{name: "port out of range", from: "127.0.0.1:8080", to: "127.0.0.1:99999", field: "Listen.Caller", reason: "line 6"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(strings.Replace(validText, c.from, c.to, 1)))
			is.Equal(fault.CodeOf(err), fault.CodeInvalid)
			var f *fault.Error
			is.True(errors.As(err, &f))
			is.True(strings.Contains(f.Fields[c.field], c.reason)) // the reason names the key and its line
		})
	}
}

// Guards against reporting a syntax error without its position.
func TestParseSyntaxError(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte("[Instance]\nName = \n"))
	is.Equal(fault.CodeOf(err), fault.CodeInvalid)
	is.True(strings.Contains(err.Error(), "line 2"))
}

// Guards against example settings that the program refuses.
func TestExample(t *testing.T) {
	is := is.New(t)
	text, err := examples.Files.ReadFile("entry.toml")
	is.NoErr(err)
	_, err = Parse(text)
	is.NoErr(err)
}
