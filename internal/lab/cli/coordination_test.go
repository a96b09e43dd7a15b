package cli

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

// TestCoordinationRejectsInvalidFlags guards against starting processes for a soak that can't be played.
func TestCoordinationRejectsInvalidFlags(t *testing.T) {
	for _, c := range []struct{ arg, want string }{
		{"--seeds=0", "--seeds"},
		{"--seeds=100000", "--seeds"},
		{"--seed=-1", "--seed"},
		{"--parallel=0", "--parallel"},
		{"--parallel=100", "--parallel"},
		{"--duration=1s", "--duration"},
		{"--duration=1h", "--duration"},
	} {
		var out, err bytes.Buffer
		status := run(context.Background(), []string{"coordination", "--pinelb=none", c.arg}, &terminal{out: &out, err: &err})
		if status != exitUsage || !strings.Contains(err.String(), c.want) {
			t.Errorf("%s: status %d, %q; want %d, %q", c.arg, status, err.String(), exitUsage, c.want)
		}
	}
}
