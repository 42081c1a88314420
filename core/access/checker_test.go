package access

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"github.com/matryer/is"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
)

type fixedHolder struct{ configuration *configuration.Configuration }

func (f *fixedHolder) Current() *configuration.Configuration { return f.configuration }

func hash(key string) string {
	d := sha256.Sum256([]byte(key))

	return hex.EncodeToString(d[:])
}

// Guards against a key that is accepted for another workspace, or that stays valid after a new configuration version
// removed it.
func TestKeys(t *testing.T) {
	is := is.New(t)
	f := &fixedHolder{}
	c := New(f)
	_, err := c.Workspace("k1")
	is.Equal(fault.CodeOf(err), fault.CodeNotRun)
	f.configuration = &configuration.Configuration{
		Version:    1,
		Workspaces: configuration.ConfigurationWorkspaces{"a": {KeyHashes: []string{hash("k1")}}},
		Operators:  configuration.ConfigurationOperators{"o": {KeyHash: hash("ok"), Write: true}},
	}
	name, err := c.Workspace("k1")
	is.NoErr(err)
	is.Equal(name, "a")
	_, write, err := c.Operator("ok")
	is.NoErr(err)
	is.True(write)
	for _, k := range []string{"", "k2", "ok", hash("k1")} {
		_, err := c.Workspace(k)
		is.Equal(fault.CodeOf(err), fault.CodeUnauthorized)
	}
	f.configuration = &configuration.Configuration{Version: 2}
	_, err = c.Workspace("k1")
	is.Equal(fault.CodeOf(err), fault.CodeUnauthorized)
}

// Guards against a workspace that uses a route it does not list.
func TestRoutes(t *testing.T) {
	is := is.New(t)
	c := New(&fixedHolder{configuration: &configuration.Configuration{
		Version:      1,
		OnlineRoutes: configuration.ConfigurationOnlineRoutes{"m": {}, "n": {}},
		Workspaces:   configuration.ConfigurationWorkspaces{"all": {}, "some": {Routes: []string{"m"}}},
	}})
	_, err := c.Route("some", "n")
	is.Equal(fault.CodeOf(err), fault.CodeForbidden)
	_, err = c.Route("some", "x")
	is.Equal(fault.CodeOf(err), fault.CodeNotFound)
	is.Equal(c.Routes("all"), []string{"m", "n"})
	is.Equal(c.Routes("some"), []string{"m"})
}
