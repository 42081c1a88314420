package jobrun

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/gossip"
	logs "tarragonwalk/core/joblog"
	"tarragonwalk/core/work"
)

func ownedJob(id, workspace string, tokens int) work.Job {
	return work.Job{ID: id, Host: "h", Target: "/b/1", Workspace: workspace, SubmittedAt: time.Now(), Tokens: tokens}
}

// Guards against a workspace whose jobs take the waiting tokens of another one on the same route, against jobs that count for another
// workspace after a takeover, and against a job ID of another workspace that counts as accepted.
func TestWaitingTokensOfWorkspaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 0)
		f.setUsedSlots(100)
		r, stop := f.start("e1")
		limit := testRoute.MaxTokens
		items := newItems("a", 1)
		items[0].Tokens = limit
		is.NoErr(r.Submit(t.Context(), &testRoute, ownedJob("a", "a", limit), items))
		is.Equal(fault.CodeOf(r.Submit(t.Context(), &testRoute, ownedJob("a2", "a", 1), newItems("a2", 1))), fault.CodeOverloaded)
		for _, workspace := range []string{"b", "a+", ""} {
			is.NoErr(r.Submit(t.Context(), &testRoute, ownedJob("of "+workspace, workspace, 1), newItems("of "+workspace, 1)))
		}
		is.Equal(fault.CodeOf(r.Submit(t.Context(), &testRoute, ownedJob("a", "b", 1), newItems("a", 1))), fault.CodeNotFound)
		is.NoErr(r.Submit(t.Context(), &testRoute, ownedJob("a", "a", limit), items))
		is.Equal(fault.CodeOf(r.Refuse(t.Context(), "a", "b", errFailed)), fault.CodeNotFound)
		is.NoErr(r.Refuse(t.Context(), "a", "a", errFailed))
		b := gossip.Heartbeat{}
		r.FillHeartbeat(&b)
		is.Equal(b.Waiting[waitingKeyOf(testRoute.Name, "a")], limit)
		is.Equal(len(b.Waiting), 4)
		stop()
		second, stopSecond := f.start("e2")
		defer stopSecond()
		_, err := second.AnnounceOrphans(t.Context())
		is.NoErr(err)
		time.Sleep(10 * time.Second)
		is.True(second.holds("a"))
		is.True(slices.Contains(f.takenKeys, waitingKeyOf(testRoute.Name, "a")))
		second.FillHeartbeat(&b)
		is.Equal(b.Waiting[waitingKeyOf(testRoute.Name, "a")], limit)
		record, _, err := logs.New(f.objects).Job(t.Context(), "a")
		is.NoErr(err)
		is.Equal(record.Workspace, "a")
		is.Equal(record.Holder, "e2")
	})
}

// Guards against calls on a job by callers of another workspace at its holder, and against a job from before there were workspaces that nobody
// can read.
func TestWorkspaceAtHolder(t *testing.T) {
	for _, c := range []struct {
		job, caller string
		code        fault.Code
	}{
		{"a", "a", ""},
		{"a", "b", fault.CodeNotFound},
		{"a", "", ""},
		{"", "b", ""},
		{"", "", ""},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1, 0)
			f.setUsedSlots(100)
			r, stop := f.start("e1")
			defer stop()
			is.NoErr(r.Submit(t.Context(), &testRoute, ownedJob("j", c.job, 1), newItems("j", 1)))
			began := time.Now()
			_, err := r.Read(t.Context(), "j", c.caller, 0, time.Now().Add(time.Second))
			is.Equal(fault.CodeOf(err), c.code)
			is.Equal(time.Since(began) < time.Second, c.code != "") // another workspace's is not waited for
			_, _, err = r.Body(t.Context(), "j", c.caller, "j-0")
			is.Equal(fault.CodeOf(err), c.code)
			is.Equal(fault.CodeOf(r.End(t.Context(), "j", c.caller)), c.code)
			ended, err := logs.New(f.objects).Ended(t.Context(), "j")
			is.NoErr(err)
			is.Equal(ended, c.code == "")
		})
	}
}

// Guards against sums of waiting tokens of two workspaces, or of jobs that are being written and others, that are taken for one.
func TestWaitingKeysDiffer(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for _, workspace := range []string{"", "a", "a+", "+a"} {
		seen[waitingKeyOf("r", workspace)] = true
		seen[pendingKeyOf("r", workspace)] = true
	}
	is.Equal(len(seen), 8)
	is.True(seen["r"] && seen["r+"]) // without workspaces, heartbeats have the keys that other instances expect
}
