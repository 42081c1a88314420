package jobrun

import (
	"testing"

	"github.com/matryer/is"

	"tarragonwalk/core/work"
)

// Guards against jobs that are accepted beyond the memory for their items, against refusing one that is held already, and against counting
// items that are listed.
func TestHasRoom(t *testing.T) {
	is := is.New(t)
	r := &Runner{
		jobs:       map[string]*job{},
		unresolved: map[string]*job{},
	}
	is.True(r.HasRoom("a", 1000, 100)) // a job that is larger than the limit is taken alone
	r.jobs["a"] = newJob(work.Job{ID: "a"}, []work.Item{{ID: "1", Body: make([]byte, 40)}, {ID: "2", Body: make([]byte, 20)}})
	r.unresolved["b"] = newJob(work.Job{ID: "b"}, []work.Item{{ID: "1", Body: make([]byte, 20)}})
	is.True(r.HasRoom("c", 20, 100))
	is.True(!r.HasRoom("c", 21, 100))
	is.True(r.HasRoom("a", 21, 100))
	is.True(r.HasRoom("b", 21, 100))
	r.jobs["a"].list(0, []work.Result{{Item: "1"}})
	is.True(r.HasRoom("c", 60, 100))
}
