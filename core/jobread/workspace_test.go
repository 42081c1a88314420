package jobread

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/jobpage"
	"tarragonwalk/core/work"
)

// ownedStore holds one job of the workspace "a".
type ownedStore struct{ store }

func (s *ownedStore) Job(ctx context.Context, id string) (*work.Job, int64, error) {
	j, revision, err := s.store.Job(ctx, id)
	if err == nil && id != "j" {
		return nil, 0, fault.New(fault.CodeNotFound, "not in the store")
	}
	if err == nil {
		j.Workspace = "a"
	}

	return j, revision, err
}

// ownedPeer is a holder of the job if it is true.
type ownedPeer bool

func (p ownedPeer) ReadResults(_ context.Context, from netip.AddrPort, id, workspace string, _ int, _ time.Time) (jobpage.Page, bool, error) {
	held, err := p.CheckJob(context.Background(), from, id, workspace)

	return jobpage.Page{Total: 2}, held || err != nil, err
}

func (p ownedPeer) ReadBody(_ context.Context, from netip.AddrPort, id, workspace, _ string) ([]byte, bool, error) {
	held, err := p.CheckJob(context.Background(), from, id, workspace)

	return []byte("body"), held, err
}

func (p ownedPeer) CheckJob(_ context.Context, _ netip.AddrPort, _, workspace string) (bool, error) {
	if p && workspace == "b" {
		return false, work.ErrUnknown
	}

	return bool(p), nil
}

// Guards against a job of another workspace that is read here, whether its holder or the store answers, against calls to the store that only
// find out whose job it is, and against an answer that tells such a job from an unknown one.
func TestWorkspaceIsChecked(t *testing.T) {
	for _, c := range []struct {
		name, workspace string
		held            bool
		code            fault.Code
	}{
		{"own, at the holder", "a", true, ""},
		{"another one's, at the holder", "b", true, fault.CodeNotFound},
		{"no workspaces, at the holder", "", true, ""},
		{"own, in the store", "a", false, ""},
		{"another one's, in the store", "b", false, fault.CodeNotFound},
		{"no workspaces, in the store", "", false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &ownedStore{}
			reader := func() *Reader {
				r := New(s, fleet{"e1": true}, ownedPeer(c.held), slog.New(slog.DiscardHandler), time.Now)
				if c.held {
					r.SetHolder("j", "e1", "1")
				}

				return r
			}
			_, err := reader().Read(t.Context(), "j", c.workspace, 0, time.Now())
			is.Equal(fault.CodeOf(err), c.code)
			_, _, err = reader().Body(t.Context(), "j", c.workspace, "a")
			is.Equal(fault.CodeOf(err), c.code)
			err = reader().Check(t.Context(), "j", c.workspace)
			is.Equal(fault.CodeOf(err), c.code)
			is.True(!c.held || s.calls == 0)
			if c.code == fault.CodeNotFound {
				_, unknown := reader().Read(t.Context(), "none", c.workspace, 0, time.Now())
				is.Equal(err.Error(), unknown.Error())
			}
			r, calls := reader(), s.calls
			for range 3 {
				_ = r.Check(t.Context(), "j", c.workspace)
			}
			is.True(s.calls-calls <= 1) // the record is remembered
		})
	}
}
