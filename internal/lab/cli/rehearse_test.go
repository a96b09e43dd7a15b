package cli

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pinelb.example/pinelb/internal/accesslog"
	"pinelb.example/pinelb/internal/lab/calibration"
	"pinelb.example/pinelb/internal/lab/plan"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/simulation"
)

// writeRecord writes a virtual run's record to a file.
func writeRecord(t *testing.T, path string) {
	t.Helper()
	s, err := loadScenario("demo")
	if err != nil {
		t.Fatal(err)
	}
	s.Length = scenario.Span(8 * time.Second)
	p, err := plan.Build(s, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	log, err := simulation.Play(p)
	if err != nil {
		t.Fatal(err)
	}
	r, err := calibration.Record(p, log, 0)
	if err != nil {
		t.Fatal(err)
	}
	f, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(accesslog.Write(f, r), f.Close()); err != nil {
		t.Fatal(err)
	}
}

func TestRehearse(t *testing.T) {
	dir := t.TempDir()
	path, out := filepath.Join(dir, "morning.jsonl"), filepath.Join(dir, "out")
	writeRecord(t, path)
	lab := func(args ...string) (int, string) {
		var output bytes.Buffer
		status := run(context.Background(), args, &terminal{out: &output, err: &output})
		return status, output.String()
	}
	status, output := lab("rehearse", path, "--evaluations=-1", "--out", out)
	for _, want := range []string{"order-5 took requests and answered none from", "served in aim", "other draws"} {
		if status != exitOK || !strings.Contains(output, want) {
			t.Fatalf("status %d, %q is not in\n%s", status, want, output)
		}
	}
	for _, name := range []string{"scenario.toml", "record.jsonl", "result.json", "report.html"} {
		if at, err := os.Stat(filepath.Join(out, name)); err != nil || at.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
	if status, output := lab("run", "--virtual", filepath.Join(out, "scenario.toml")); status == exitUsage || status == exitEnvironment {
		t.Errorf("the rehearsal's scenario can't be played: status %d\n%s", status, output)
	}
	if err := os.WriteFile(path, []byte("{\"rec\":\"stream\"}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if status, output := lab("rehearse", path); status != exitUsage || !strings.Contains(output, path) || !strings.Contains(output, "line 1") {
		t.Errorf("a faulty record: status %d\n%s", status, output)
	}
}
