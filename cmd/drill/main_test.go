package main

import (
	"bytes"
	"strings"
	"testing"
)

const notice = "drill is now pinelb-lbsim; this name goes away in the next release\n"

// Guards against the old name's doing less than the new one, or saying so where its replies go.
func TestOldNameStillWorks(t *testing.T) {
	emptyBatch := make([]byte, 16)
	for _, c := range []struct {
		name       string
		in         []byte
		status     int
		out        []byte
		errorLines int
	}{
		{"an empty batch", emptyBatch, 0, make([]byte, 8), 0},
		{"a cut header", emptyBatch[:9], 1, nil, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			if status := run(bytes.NewReader(c.in), &out, &errOut); status != c.status || !bytes.Equal(out.Bytes(), c.out) {
				t.Errorf("status %d and %x, want %d and %x", status, out.Bytes(), c.status, c.out)
			}
			rest, found := strings.CutPrefix(errOut.String(), notice)
			if !found || strings.Count(rest, "\n") != c.errorLines || rest != "" && !strings.HasPrefix(rest, "drill: ") {
				t.Errorf("standard error %q, want the notice and %d lines", errOut.String(), c.errorLines)
			}
		})
	}
}
