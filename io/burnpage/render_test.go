package burnpage

import (
	"encoding/xml"
	"errors"
	"io"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/burn"
	"tarragonwalk/core/configuration"
)

func report(route string) burn.Report {
	start := time.Now()
	l := burn.New(start)
	c := &configuration.Configuration{
		Version: 1,
		OnlineRoutes: configuration.ConfigurationOnlineRoutes{
			route: {Kind: configuration.RouteKindModel, Deployment: "d", SuccessRatio: 0.9995, LatencyRatio: 0.95},
		},
		Deployments: configuration.ConfigurationDeployments{"d": {BatchRatio: 1}},
	}
	for n := range 3 {
		l.Count(burn.ObjectiveSuccess, route, 10, n, start.Add(time.Duration(2*n)*time.Hour))
	}
	s := l.Snapshot("i", c, start.Add(5*time.Hour))

	return burn.Merge(start, []burn.Source{{URL: "u<1"}, {URL: "u2", Error: "refused"}}, []*burn.Snapshot{&s, nil})
}

// Guards against a page that loads something over the network, runs scripts, lets a name break its markup, or omits an
// instance that did not answer.
func TestRender(t *testing.T) {
	is := is.New(t)
	b, err := Render(report("m<script>"))
	is.NoErr(err)
	text := string(b)
	for _, s := range []string{"<script", "<link", "<img", "<iframe", "@import", "url(", " src=", " href="} {
		is.True(!strings.Contains(text, s)) // nothing to load or run
	}
	for _, a := range regexp.MustCompile(`https?://[^"' <]*`).FindAllString(text, -1) {
		is.True(strings.HasPrefix(a, "http://www.w3.org/")) // names of XML namespaces, not addresses
	}
	is.True(strings.Contains(text, "refused"))
	is.True(strings.Contains(text, "99.95 %"))
	is.Equal(strings.Count(text, "<svg"), 4) // two charts in two themes; the batch objective has no counts
	is.Equal(strings.Count(text, "Nothing was counted."), 1)
	for _, svg := range regexp.MustCompile(`(?s)<svg.*?</svg>`).FindAllString(text, -1) {
		d := xml.NewDecoder(strings.NewReader(svg))
		for err = nil; err == nil; {
			_, err = d.Token()
		}
		is.True(errors.Is(err, io.EOF)) // well-formed
		is.True(!strings.Contains(svg, "NaN"))
	}
	b, err = Render(burn.Merge(time.Now(), []burn.Source{{URL: "u"}}, []*burn.Snapshot{nil}))
	is.NoErr(err)
	is.True(strings.Contains(string(b), "No data"))
}

// Guards against showing a share just below 100 % as 100 %, and against a target that loses digits.
func TestNumbers(t *testing.T) {
	is := is.New(t)
	is.Equal(Percent(0.9999), "99.9 %")
	is.Equal(Percent(0.29), "29 %")
	is.Equal(Percent(1), "100 %")
	is.Equal(Percent(-0.00001), "-0.1 %")
	is.Equal(Percent(-89), "-8900 %")
	is.Equal(Target(0.99995), "99.995 %")
	is.Equal(Rate(burn.Burn{}), "–")
	is.Equal(Rate(burn.Burn{Rate: burn.MaxRate, Window: burn.Window{Bad: 1}}), "no budget")
	is.Equal(axisEnd(0), 2.0)
	is.Equal(axisEnd(5), 5.0)
	is.Equal(axisEnd(12), 20.0)
	is.Equal(axisEnd(1e6), 1e6)
}
