package subprocess

import (
	"context"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"
)

const (
	// variable tells the test binary that it is the process of its own.
	variable = "SUBPROCESS_OF_TEST"
	// limit bounds the life of the process.
	limit = 20 * time.Second
)

// Panics fails the test unless f ends its process by a panic with a text.
func Panics(t *testing.T, text string, f func()) {
	t.Helper()
	if os.Getenv(variable) != "" {
		f()

		return
	}
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	c := exec.CommandContext(ctx, os.Args[0], "-test.run=^"+t.Name()+"$") //nolint:gosec // this test binary
	c.Env = append(os.Environ(), variable+"=1")
	output, err := c.CombinedOutput()
	if err == nil || ctx.Err() != nil || !strings.Contains(string(output), "panic: "+text) {
		t.Fatalf("no panic with %q ended the process within %s: %v\n%s", text, limit, err, output)
	}
}
