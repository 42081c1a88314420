package leastinflight

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/inference"
)

// Guards against a baseline that herds on one server or ignores load, which would make the comparison unfair to it.
func TestPickLeastLoaded(t *testing.T) {
	is := is.New(t)
	c := &configuration.Configuration{BackendServers: configuration.ConfigurationBackendServers{}}
	for n := range 4 {
		c.BackendServers[fmt.Sprint(n)] = configuration.BackendServer{Deployment: "d", Slots: 4}
	}
	online := map[string]int{"0": 1, "3": 3}
	ro := New(func(string, time.Time) bool { return true }, func(n string) int { return online[n] },
		rand.New(rand.NewPCG(1, 2)))
	seen := map[string]bool{}
	for range 40 {
		n, ok := ro.Pick(c, &inference.Request{Deployment: "d"}, nil, time.Time{})
		is.True(ok)
		seen[n] = true
	}
	is.Equal(seen, map[string]bool{"1": true, "2": true})
}
