package cli

import (
	"bytes"
	"context"
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

// recorded writes a virtual run's record to a file.
func recorded(t *testing.T, path string) {
	t.Helper()
	s, err := find("demo")
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
	defer f.Close()
	if err := accesslog.Write(f, r); err != nil {
		t.Fatal(err)
	}
}

func TestRehearse(t *testing.T) {
	dir := t.TempDir()
	path, out := filepath.Join(dir, "morning.jsonl"), filepath.Join(dir, "out")
	recorded(t, path)
	lab := func(args ...string) (int, string) {
		var said bytes.Buffer
		status := run(context.Background(), args, &terminal{out: &said, err: &said})
		return status, said.String()
	}
	status, said := lab("rehearse", path, "--evaluations=-1", "--out", out)
	for _, want := range []string{"order-5 took requests and answered none from", "served in aim", "other draws"} {
		if status != held || !strings.Contains(said, want) {
			t.Fatalf("status %d, %q is not in\n%s", status, want, said)
		}
	}
	for _, name := range []string{"scenario.toml", "record.jsonl", "result.json", "report.html"} {
		if at, err := os.Stat(filepath.Join(out, name)); err != nil || at.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
	if status, said := lab("run", "--virtual", filepath.Join(out, "scenario.toml")); status == faulty || status == rigFault {
		t.Errorf("the rehearsal's scenario can't be played: status %d\n%s", status, said)
	}
	if err := os.WriteFile(path, []byte("{\"rec\":\"stream\"}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if status, said := lab("rehearse", path); status != faulty || !strings.Contains(said, path) || !strings.Contains(said, "line 1") {
		t.Errorf("a faulty record: status %d\n%s", status, said)
	}
}
