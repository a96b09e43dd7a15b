package cli

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

// TestDecideServiceWithoutEngine guards against a crash on a site with a service that has no engine: its classes are left out, which
// standard error says.
func TestDecideServiceWithoutEngine(t *testing.T) {
	var out, err bytes.Buffer
	line := []string{"decide", "../decision/testdata/mixed.toml", "--days=quiet", "--seeds=1", "--who=routers"}
	if status := run(context.Background(), line, &terminal{out: &out, err: &err}); status != exitOK {
		t.Fatalf("status %d, %s", status, err.String())
	}
	if !strings.Contains(err.String(), "stock") || strings.Contains(out.String(), "stock") || !strings.Contains(out.String(), "short") {
		t.Errorf("%s\n%s", err.String(), out.String())
	}
}
