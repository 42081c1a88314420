package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/burn"
	"tarragonwalk/core/configuration"
)

// serveCounts serves the counts of a process that ran for 100 h and counted good and bad requests at the end.
func serveCounts(t *testing.T, name string, good, bad int) string {
	start := time.Now().Add(-100 * time.Hour)
	l := burn.New(start)
	for at := start; at.Before(start.Add(100 * time.Hour)); at = at.Add(burn.MaxCoveredGap) {
		l.MarkCovered(at)
	}
	l.Count(burn.ObjectiveSuccess, "drafting", good, bad, start.Add(100*time.Hour))
	s := l.Snapshot(name, &configuration.Configuration{
		Version: 1,
		OnlineRoutes: configuration.ConfigurationOnlineRoutes{
			"drafting": {Kind: configuration.RouteKindModel, Deployment: "d", SuccessRatio: 0.99, LatencyRatio: 0.95},
		},
		Deployments: configuration.ConfigurationDeployments{"d": {BatchRatio: 0.99}},
	}, start.Add(100*time.Hour))
	b, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	v := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != burnPath || r.Header.Get("Authorization") != "Bearer k" {
			w.WriteHeader(http.StatusUnauthorized)

			return
		}
		_, _ = w.Write(b)
	}))
	t.Cleanup(v.Close)

	return v.URL
}

// Guards against an exit code that hides an alert, and a report that fails or hangs because one instance is lost or never
// answers.
func TestReportBurn(t *testing.T) {
	good, bad := serveCounts(t, "good", 1000, 0), serveCounts(t, "bad", 100, 900)
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(silent.CloseClientConnections)
	const unreachable = "http://127.0.0.1:1"
	for _, c := range []struct {
		name string
		key  string
		urls []string
		code int
	}{
		{name: "no alert", key: "k", urls: []string{good}, code: exitOK},
		{name: "alert", key: "k", urls: []string{good, bad + "/"}, code: exitFiring},
		{name: "one lost", key: "k", urls: []string{unreachable, good}, code: exitOK},
		{name: "alert and one silent", key: "k", urls: []string{bad, silent.URL}, code: exitFiring},
		{name: "all lost", key: "k", urls: []string{unreachable}, code: exitFailed},
		{name: "wrong key", key: "x", urls: []string{good}, code: exitFailed},
		{name: "no address", key: "k", code: exitUsage},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			t.Setenv("TARRAGONWALK_URL", "")
			html := filepath.Join(t.TempDir(), "page.html")
			arguments := []string{"report", "burn", "--key", c.key, "--timeout", "300ms", "--html", html}
			for _, u := range c.urls {
				arguments = append(arguments, "--url", u)
			}
			is.Equal(run(arguments), c.code)
			if c.code == exitUsage {
				return
			}
			b, err := os.ReadFile(html)
			is.NoErr(err)
			for _, u := range c.urls {
				is.True(strings.Contains(string(b), strings.TrimSuffix(u, "/"))) // each instance is listed
			}
			is.Equal(strings.Contains(string(b), ">missing<"), strings.Contains(c.name, "lost") || strings.Contains(c.name, "silent") || c.key == "x")
			is.Equal(run(append(arguments, "--json")), c.code)
		})
	}
}
