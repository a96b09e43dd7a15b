package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestScaleRejectsInvalidFlags guards against starting or writing anything for cases that cannot be played: they are rejected at once, with the flag named.
func TestScaleRejectsInvalidFlags(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	out := filepath.Join(dir, "out.jsonl")
	for _, c := range []struct{ arg, want string }{
		{"--sidecars=0", "--sidecars"},
		{"--sidecars=-5", "--sidecars"},
		{"--sidecars=many", "--sidecars"},
		{"--sidecars=100,,200", "--sidecars"},
		{"--sidecars=100000000000000000000", "--sidecars"},
		{"--sidecars=10000000", "--sidecars"},
		{"--hosts=0", "--hosts"},
		{"--hosts=12.5", "--hosts"},
		{"--hosts=10000000", "--hosts"},
		{"--changes=-1", "--changes"},
		{"--changes=NaN", "--changes"},
		{"--changes=1e9", "--changes"},
		{"--changes=often", "--changes"},
		{"--seconds=0", "--seconds"},
		{"--seconds=1000000", "--seconds"},
		{"--racks=0", "--racks"},
		{"--racks=1000", "--racks"},
		{"--real=-1", "--real"},
		{"--real=100000", "--real"},
		{"--scenario=storm", "--scenario"},
		{"--down=-3s", "--down"},
		{"--down=3", "--down"},
		{"--service-calls=-1", "--service-calls"},
		{"--config=" + filepath.Join(dir, "none.toml"), "--config"},
		{"--config=" + write("empty.toml", ""), "--config"},
		{"--config=" + write("zero.toml", "[discovery]\ncalls = 0\n"), "zero.toml:2: discovery.calls"},
		{"--config=" + write("text.toml", "[discovery]\ncalls = \"many\"\n"), "discovery.calls"},
		{"--out=" + filepath.Join(dir, "none", "out.jsonl"), "--out"},
	} {
		var stderr bytes.Buffer
		status := run(context.Background(), []string{"scale", "--out=" + out, c.arg}, &terminal{out: &bytes.Buffer{}, err: &stderr})
		if status != exitUsage || !strings.Contains(stderr.String(), c.want) {
			t.Errorf("%s: status %d, %s", c.arg, status, stderr.String())
		}
	}
	if _, err := os.Stat(out); err == nil {
		t.Error("a rejected run has written its output")
	}
}

// TestPollSimRejectsInvalidFlags guards against playing impossible numbers in virtual time.
func TestPollSimRejectsInvalidFlags(t *testing.T) {
	for _, arg := range []string{"--sizes=0", "--sizes=-300", "--sizes=many", "--sizes=2000000000", "--told=0", "--told=NaN", "--rate=0", "--rate=-1", "--rate=NaN",
		"--burst=-1", "--calls=0", "--line=-1", "--cut=2", "--cut=-0.1", "--seeds=0", "--seeds=1000000", "--spread=-1s", "--down=-1s", "--down=1000h",
		"--call=0s", "--length=0s", "--length=-1s", "--length=9999h", "--cut-at=-1s", "--cut-for=-1s", "--news=-1s", "--off=1s", "--late=-1s"} {
		var stderr bytes.Buffer
		status := run(context.Background(), []string{"asking", "--policy=pace", arg}, &terminal{out: &bytes.Buffer{}, err: &stderr})
		key, _, _ := strings.Cut(arg, "=")
		if key == "--off" {
			key = "--up"
		}
		if status != exitUsage || !strings.Contains(stderr.String(), key+":") {
			t.Errorf("%s: status %d, %s", arg, status, stderr.String())
		}
	}
}
