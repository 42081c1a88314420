package slack

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against missing a deadline for a later one, and against one workspace starving another.
func TestNext(t *testing.T) {
	at := time.Now()
	cases := []struct {
		name string
		cs   []Candidate
		want int
	}{
		{name: "none", want: -1},
		{name: "least slack", cs: []Candidate{{Job: "a", LatestStart: at.Add(time.Hour)}, {Job: "b", LatestStart: at}}, want: 1},
		{name: "fair", cs: []Candidate{{Job: "a", Held: 2, LatestStart: at}, {Job: "b", Held: 1, LatestStart: at.Add(time.Hour)}}, want: 1},
		{name: "turns", cs: []Candidate{{Job: "a", LastTurn: 2, LatestStart: at}, {Job: "b", LastTurn: 1, LatestStart: at.Add(time.Hour)}}, want: 1},
		{name: "stable", cs: []Candidate{{Job: "b", LatestStart: at}, {Job: "a", LatestStart: at}}, want: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(Next(c.cs), c.want) })
	}
	is.New(t).Equal(LatestStart(at, 10, time.Second, 2), at.Add(-5*time.Second))
}
