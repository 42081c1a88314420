package roundrobin

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/configuration"
	"tarragonwalk/core/inference"
)

// Guards against a baseline that skips usable servers or uses full ones, which would make the comparison unfair to it.
func TestPickTakesTurns(t *testing.T) {
	is := is.New(t)
	c := &configuration.Configuration{BackendServers: configuration.ConfigurationBackendServers{}}
	for n := range 4 {
		c.BackendServers[fmt.Sprint(n)] = configuration.BackendServer{Deployment: "d", Slots: 2}
	}
	online := map[string]int{"2": 2}
	ro := New(func(string, time.Time) bool { return true }, func(n string) int { return online[n] })
	got := ""
	for range 6 {
		n, ok := ro.Pick(c, &inference.Request{Deployment: "d"}, nil, time.Time{})
		is.True(ok)
		got += n
	}
	is.Equal(got, "013013")
	_, ok := ro.Pick(c, &inference.Request{Deployment: "other"}, nil, time.Time{})
	is.Equal(ok, false)
}
