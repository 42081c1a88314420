package jobstore

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
)

type fixedRate struct {
	perSecond float64
	known     bool
}

func (r fixedRate) ItemRate(string) (float64, bool) { return r.perSecond, r.known }

// Guards against accepting a job that cannot end before its deadline, and against refusing a job without a measured rate or
// one that is already accepted.
func TestFeasible(t *testing.T) {
	for _, c := range []struct {
		name string
		rate fixedRate
		code fault.Code
	}{
		{name: "unknown", rate: fixedRate{}},
		{name: "fast enough", rate: fixedRate{perSecond: 0.3, known: true}},
		{name: "too slow", rate: fixedRate{perSecond: 0.1, known: true}, code: fault.CodeNotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, s, u := setup(is)
			u.Deadline = time.Now().Add(10 * time.Second)
			s.UseRates(c.rate)
			st, err := s.Submit(t.Context(), u)
			is.Equal(fault.CodeOf(err), c.code)
			jobs, _, err := s.ListJobs(t.Context(), "w/x", "", 10)
			is.NoErr(err)
			if c.code != "" {
				is.Equal(len(jobs), 0)

				return
			}
			s.UseRates(fixedRate{known: true})
			again, err := s.Submit(t.Context(), u)
			is.NoErr(err)
			is.Equal(again.Job.ID, st.Job.ID)
		})
	}
}
