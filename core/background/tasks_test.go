package background

import (
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// panicVariable makes the test binary run a task that panics.
const panicVariable = "BACKGROUND_TEST_PANIC"

// Guards against a process that goes on without one of its tasks after a panic in it.
func TestPanicEndsProcess(t *testing.T) {
	if os.Getenv(panicVariable) != "" {
		var tasks Tasks
		tasks.Go(func() { panic("task failed") })
		time.Sleep(time.Minute)

		return
	}
	is := is.New(t)
	c := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestPanicEndsProcess$") //nolint:gosec // this test binary
	c.Env = append(os.Environ(), panicVariable+"=1")
	began := time.Now()
	output, err := c.CombinedOutput()
	is.True(err != nil)
	is.True(strings.Contains(string(output), "task failed"))
	is.True(time.Since(began) < 50*time.Second)
}

// Guards against an owner that ends before its tasks.
func TestWait(t *testing.T) {
	is := is.New(t)
	var tasks Tasks
	var ended atomic.Int32
	for range 3 {
		tasks.Go(func() {
			time.Sleep(time.Millisecond)
			ended.Add(1)
		})
	}
	tasks.Wait()
	is.Equal(ended.Load(), int32(3))
}
