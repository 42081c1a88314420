package access

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"maps"
	"slices"
	"sync/atomic"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
)

type holder interface {
	Current() *configuration.Configuration
}

// Checker checks bearer keys and permissions against the current configuration.
type Checker struct {
	holder holder
	cached atomic.Pointer[index]
}

type index struct {
	version    int
	workspaces map[[sha256.Size]byte]owner
	operators  map[[sha256.Size]byte]owner
}

type owner struct {
	name string
	hash [sha256.Size]byte
}

// New returns a checker of the holder's configuration.
func New(h holder) *Checker {
	return &Checker{holder: h}
}

// Workspace returns the name of the workspace that a key belongs to, or an error with code unauthorized if the key is unknown;
// before the first configuration it fails with not_run, as do Operator and Route.
func (c *Checker) Workspace(key string) (string, error) {
	g, err := c.current()
	if err != nil {
		return "", err
	}

	return find(c.index(g).workspaces, key)
}

// Operator returns the name of the operator that a key belongs to and whether it may write, or an error with code
// unauthorized if the key is unknown.
func (c *Checker) Operator(key string) (name string, write bool, err error) {
	g, err := c.current()
	if err != nil {
		return "", false, err
	}
	name, err = find(c.index(g).operators, key)

	return name, g.Operators[name].Write, err
}

// Route returns the route of that name if the workspace may use it, else an error with code not_found or forbidden.
// A workspace that lists no routes may use all of them.
func (c *Checker) Route(workspace, name string) (configuration.OnlineRoute, error) {
	g, err := c.current()
	if err != nil {
		return configuration.OnlineRoute{}, err
	}
	r, ok := g.OnlineRoutes[name]
	if !ok {
		return r, fault.New(fault.CodeNotFound, "unknown model or service "+name)
	}
	w, ok := g.Workspaces[workspace]
	if !ok || len(w.Routes) > 0 && !slices.Contains(w.Routes, name) {
		return configuration.OnlineRoute{}, fault.New(fault.CodeForbidden, "the workspace may not use "+name)
	}

	return r, nil
}

// Routes returns the sorted names of the routes that the workspace may use.
func (c *Checker) Routes(workspace string) []string {
	g, err := c.current()
	if err != nil {
		return nil
	}
	var out []string
	for _, n := range slices.Sorted(maps.Keys(g.OnlineRoutes)) {
		if _, err := c.Route(workspace, n); err == nil {
			out = append(out, n)
		}
	}

	return out
}

func (c *Checker) current() (*configuration.Configuration, error) {
	g := c.holder.Current()
	if g == nil || g.Version == 0 {
		return nil, fault.New(fault.CodeNotRun, "no configuration yet")
	}

	return g, nil
}

func (c *Checker) index(g *configuration.Configuration) *index {
	if x := c.cached.Load(); x != nil && x.version == g.Version {
		return x
	}
	x := &index{
		version:    g.Version,
		workspaces: map[[sha256.Size]byte]owner{},
		operators:  map[[sha256.Size]byte]owner{},
	}
	for n, w := range g.Workspaces {
		for _, k := range w.KeyHashes {
			x.add(x.workspaces, k, n)
		}
	}
	for n, o := range g.Operators {
		x.add(x.operators, o.KeyHash, n)
	}
	c.cached.Store(x)

	return x
}

// add maps a key's hash to its owner. If two owners have the same hash, the alphabetically first name wins, so that
// all instances agree.
func (x *index) add(to map[[sha256.Size]byte]owner, hash, name string) {
	b, err := hex.DecodeString(hash)
	if err != nil || len(b) != sha256.Size {
		return
	}
	k := [sha256.Size]byte(b)
	if old, ok := to[k]; !ok || name < old.name {
		to[k] = owner{
			name: name,
			hash: k,
		}
	}
}

// Matches reports in constant time whether the SHA-256 of key is hash.
func Matches(key string, hash [sha256.Size]byte) bool {
	d := sha256.Sum256([]byte(key))

	return subtle.ConstantTimeCompare(d[:], hash[:]) == 1
}

func find(in map[[sha256.Size]byte]owner, key string) (string, error) {
	d := sha256.Sum256([]byte(key))
	// The map is keyed by a digest, so the timing of the lookup reveals nothing about the key.
	o, ok := in[d]
	if key == "" || !ok || !Matches(key, o.hash) {
		return "", fault.New(fault.CodeUnauthorized, "missing or unknown key")
	}

	return o.name, nil
}
