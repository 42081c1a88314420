package jobrun

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"tarragonwalk/core/batchroom"
	"tarragonwalk/core/work"
)

var waitStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a wait that is logged with the cause of another one: who reads the line would look at the wrong part of the fleet.
func TestWaitCause(t *testing.T) {
	full, free := batchroom.Room{Usable: 3}, batchroom.Room{Usable: 3, Free: 2, Yielded: 1}
	half := batchroom.Room{Usable: 3, Free: 2, Yielded: 2}
	for _, c := range []struct {
		want waitCause
		view waitView
	}{
		{waitNothing, waitView{state: done}},
		{waitListing, waitView{state: done, pending: true, stopping: true}},
		{waitProgress, waitView{state: running, held: true}},
		{waitConfiguration, waitView{stopping: true}},
		{waitStop, waitView{configured: true, stopping: true, route: &testRoute, held: true}},
		{waitPause, waitView{configured: true, notBefore: waitStart.Add(time.Second), route: &testRoute, held: true}},
		{waitRoute, waitView{configured: true, notBefore: waitStart}},
		{waitQuarantine, waitView{configured: true, route: &testRoute, held: true, room: full}},
		{waitServer, waitView{configured: true, route: &testRoute, late: true, contenders: 1}},
		{waitSlot, waitView{configured: true, route: &testRoute, room: full}},
		{waitLate, waitView{configured: true, route: &testRoute, room: half, late: true, contenders: 1}},
		{waitTurn, waitView{configured: true, route: &testRoute, room: half, late: true}},
		{waitTurn, waitView{configured: true, route: &testRoute, room: free, late: true, contenders: 1}},
		{waitTurn, waitView{configured: true, route: &testRoute, room: half, contenders: 1, grantedAt: waitStart.Add(-waitLimit)}},
		{waitOrder, waitView{configured: true, route: &testRoute, room: half, contenders: 1, grantedAt: waitStart.Add(1 - waitLimit)}},
	} {
		is.New(t).Equal(c.view.cause(waitStart), c.want)
	}
}

// Guards against a wait that seems to go on although the item ran in between, and against one that seems to begin again at each look.
func TestWaitEnds(t *testing.T) {
	at := func(seconds int) time.Time { return waitStart.Add(time.Duration(seconds) * time.Second) }
	for _, c := range []struct {
		name   string
		before wait
		view   waitView
		since  time.Time
		ended  bool
	}{
		{"begins to wait", wait{}, waitView{}, at(9), false},
		{"still waits", wait{since: at(1)}, waitView{startedAt: at(0)}, at(1), false},
		{"has run and waits again", wait{since: at(1)}, waitView{startedAt: at(2)}, at(9), true},
		{"runs", wait{since: at(1)}, waitView{state: running, startedAt: at(2), progressAt: at(3)}, at(3), true},
		{"no progress", wait{since: at(3), state: running}, waitView{state: running, progressAt: at(3)}, at(3), false},
		{"progress", wait{since: at(3), state: running}, waitView{state: running, progressAt: at(4)}, at(4), true},
		{"finished", wait{since: at(3), state: running}, waitView{state: done, pending: true}, at(9), true},
		{"not listed", wait{since: at(3), state: done}, waitView{state: done, pending: true}, at(3), false},
		{"listed", wait{since: at(3), state: done}, waitView{state: done}, time.Time{}, true},
		{"still done", wait{}, waitView{state: done}, time.Time{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now, ended := c.before.next(&c.view, at(9))
			is.Equal(now.since, c.since)
			is.Equal(ended, c.ended)
		})
	}
}

// Guards against lines that repeat at each look, and against waits in an overload that leave no room for those that it does not explain.
func TestWaitReports(t *testing.T) {
	is := is.New(t)
	w := wait{since: waitStart}
	is.True(!w.due(waitStart.Add(waitLimit - 1)))
	is.True(w.due(waitStart.Add(waitLimit)))
	w.reportedAt = waitStart.Add(waitLimit)
	is.True(!w.due(w.reportedAt.Add(waitRepeat - 1)))
	is.True(w.due(w.reportedAt.Add(waitRepeat)))
	is.True(!(&wait{}).due(waitStart))
	var list []waitReport
	for n, c := range []waitCause{waitSlot, waitSlot, waitQuarantine, waitLate, waitTurn} {
		list = append(list, waitReport{cause: c, item: &item{wait: wait{since: waitStart.Add(-time.Duration(n) * time.Second)}}})
	}
	list[4].item.wait.reportedAt = waitStart
	var order []waitCause
	for _, p := range selectReports(list, 4) {
		order = append(order, p.cause)
	}
	is.Equal(order, []waitCause{waitQuarantine, waitTurn, waitLate, waitSlot})
}

// Guards against an item that waits without a line in the log, against a wait whose end is not logged, and against more lines than the
// limit.
func TestWaitsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const items = 2 * waitLines
		f := newFleet(1, 0)
		f.setUsedSlots(100)
		r, stop := f.start("e")
		var output bytes.Buffer
		r.lock.Lock()
		r.logger = slog.New(slog.NewTextHandler(&output, nil))
		r.lock.Unlock()
		lines := func(parts ...string) (n int) {
			r.lock.Lock()
			defer r.lock.Unlock()
			for line := range strings.Lines(output.String()) {
				all := true
				for _, p := range parts {
					all = all && strings.Contains(line, p)
				}
				if all {
					n++
				}
			}

			return n
		}
		is.NoErr(r.Submit(t.Context(), &testRoute, work.Job{ID: "job", Host: "h", Target: "/b/1", SubmittedAt: time.Now()}, newItems("job", items)))
		time.Sleep(waitLimit - waitInterval)
		is.Equal(lines("item waits"), 0)
		time.Sleep(2*waitInterval - time.Millisecond)
		is.Equal(lines("item waits", "cause=servers_full"), waitLines)
		time.Sleep(waitRepeat / 2)
		is.Equal(lines("item waits"), items)
		is.Equal(itemsWaitingLong.Get(string(waitSlot)).String(), fmt.Sprint(items))
		f.setUsedSlots(0)
		time.Sleep(2 * time.Second)
		is.Equal(lines("item wait ended", "cause=servers_full", "outcome=run"), items)
		is.Equal(lines("item waits"), items)
		is.Equal(itemsWaitingLong.Get(string(waitSlot)).String(), "0")
		stop()
	})
}
