package backendhttp

import (
	"net/netip"
	"net/url"
	"strings"
)

// CanForward reports whether a request target reaches a backend server byte for byte.
func CanForward(target string) bool {
	return strings.HasPrefix(target, "/") && targetURL(target, netip.AddrPort{}).RequestURI() == target
}

// targetURL returns the URL with which the HTTP library sends a target unchanged to an address.
func targetURL(target string, to netip.AddrPort) *url.URL {
	path, query, hasQuery := strings.Cut(target, "?")
	u := &url.URL{
		Scheme:     "http",
		Host:       to.String(),
		RawQuery:   query,
		ForceQuery: hasQuery,
	}
	unescaped, err := url.PathUnescape(path)
	if err == nil && strings.HasPrefix(path, "//") {
		// The library takes an opaque path with two slashes for a host and a path.
		u.Path, u.RawPath = unescaped, path
	} else {
		u.Opaque = path
	}

	return u
}
