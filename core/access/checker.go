package access

import (
	"maps"
	"slices"
	"sync/atomic"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/fault"
	"tarragonwalk/core/keyring"
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
	workspaces *keyring.Ring
	operators  *keyring.Ring
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

	return c.index(g).workspaces.Owner(key)
}

// Operator returns the name of the operator that a key belongs to and whether it may write, or an error with code
// unauthorized if the key is unknown.
func (c *Checker) Operator(key string) (name string, write bool, err error) {
	g, err := c.current()
	if err != nil {
		return "", false, err
	}
	name, err = c.index(g).operators.Owner(key)

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
		workspaces: keyring.New(),
		operators:  keyring.New(),
	}
	for n, w := range g.Workspaces {
		for _, k := range w.KeyHashes {
			x.workspaces.Add(n, k)
		}
	}
	for n, o := range g.Operators {
		x.operators.Add(n, o.KeyHash)
	}
	c.cached.Store(x)

	return x
}
