package configuration

import (
	"regexp"
	"strconv"
	"unicode/utf8"
)

// maxNameLength is the longest name, in characters.
const maxNameLength = 128

var keyHash = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Validate checks limits and references. It returns fault.CodeInvalid with the reason for each invalid field, by path.
func Validate(c *Configuration) error {
	fields := map[string]string{}
	check(c, fields)
	if len(fields) > 0 {
		return invalid(fields)
	}

	return nil
}

// reasons holds the first reason for each path.
type reasons map[string]string

func (r reasons) add(bad bool, path, reason string) {
	if _, ok := r[path]; bad && !ok {
		r[path] = reason
	}
}

func (r reasons) name(value, path string) {
	n := utf8.RuneCountInString(value)
	r.add(n < 1 || n > maxNameLength, path, "must have 1 to 128 characters")
}

func (r reasons) positive(value int, path string) {
	r.add(value < 1, path, "must be at least 1")
}

func (r reasons) ratio(value float64, path string) {
	// A 0 is refused because the encoder omits it, and decoding then sets the default.
	r.add(!(value > 0 && value <= 1), path, "must be above 0 and at most 1")
}

func check(c *Configuration, fields map[string]string) {
	r := reasons(fields)
	r.positive(c.Version, "Version")
	r.positive(c.Batch.Attempts, "Batch.Attempts")
	r.positive(c.Batch.ChunkBytes, "Batch.ChunkBytes")
	r.positive(c.Batch.ChunkItems, "Batch.ChunkItems")
	r.positive(c.Batch.MaxItems, "Batch.MaxItems")
	r.positive(c.Batch.WindowMillis, "Batch.WindowMillis")
	for name, d := range c.Deployments {
		path := "Deployments." + name
		r.name(name, path)
		r.name(d.Model, path+".Model")
		r.ratio(d.BatchRatio, path+".BatchRatio")
		r.add(d.HeadroomRatio < 0 || d.HeadroomRatio > 1, path+".HeadroomRatio", "must be between 0 and 1")
	}
	for name, o := range c.Operators {
		path := "Operators." + name
		r.name(name, path)
		r.add(!keyHash.MatchString(o.KeyHash), path+".KeyHash", "must be a hex SHA-256 digest")
	}
	for name, b := range c.BackendServers {
		checkBackend(c, r, "BackendServers."+name, name, b)
	}
	for name, o := range c.OnlineRoutes {
		checkRoute(c, r, "OnlineRoutes."+name, name, o)
	}
	checkWorkspaces(c, r)
}

func checkBackend(c *Configuration, r reasons, path, name string, b BackendServer) {
	r.name(name, path)
	r.name(b.Region, path+".Region")
	r.name(b.Zone, path+".Zone")
	r.positive(b.Slots, path+".Slots")
	r.add(!b.Address.IsValid() || b.Address.Port() == 0, path+".Address", "must be an IP address with a port")
	r.add(b.Kind != BackendKindEngine && b.Kind != BackendKindService, path+".Kind", "must be engine or service")
	_, ok := c.Deployments[b.Deployment]
	r.add(!ok, path+".Deployment", "names no deployment")
}

func checkRoute(c *Configuration, r reasons, path, name string, o OnlineRoute) {
	r.name(name, path)
	r.positive(o.DeadlineMillis, path+".DeadlineMillis")
	r.positive(o.FirstTokenMillis, path+".FirstTokenMillis")
	r.positive(o.TokenMillis, path+".TokenMillis")
	r.ratio(o.SuccessRatio, path+".SuccessRatio")
	r.ratio(o.LatencyRatio, path+".LatencyRatio")
	_, ok := c.Deployments[o.Deployment]
	r.add(!ok, path+".Deployment", "names no deployment")
	want := BackendKindEngine
	switch o.Kind {
	case RouteKindModel:
	case RouteKindService:
		want = BackendKindService
	default:
		r.add(true, path+".Kind", "must be model or service")

		return
	}
	for _, b := range c.BackendServers {
		r.add(b.Deployment == o.Deployment && b.Kind != want, path+".Kind", "does not fit the kind of the deployment's backend servers")
	}
}

func checkWorkspaces(c *Configuration, r reasons) {
	owners := map[string]string{}
	for name, w := range c.Workspaces {
		path := "Workspaces." + name
		r.name(name, path)
		r.positive(w.Weight, path+".Weight")
		for n, h := range w.KeyHashes {
			p := path + ".KeyHashes." + strconv.Itoa(n)
			r.add(!keyHash.MatchString(h), p, "must be a hex SHA-256 digest")
			owner, taken := owners[h]
			r.add(taken && owner != name, p, "belongs to another workspace")
			owners[h] = name
		}
		for n, route := range w.Routes {
			_, ok := c.OnlineRoutes[route]
			r.add(!ok, path+".Routes."+strconv.Itoa(n), "names no online route")
		}
	}
}
