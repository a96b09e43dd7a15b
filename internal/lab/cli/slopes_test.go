package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestSlopesRejectsInvalidFlags guards against measuring an impossible size, or one that exceeds the machine: it is rejected at
// once, with status 2 and its key named.
func TestSlopesRejectsInvalidFlags(t *testing.T) {
	results := filepath.Join(t.TempDir(), "results.jsonl")
	for args, want := range map[string]string{
		"control --hosts 0":                              "--hosts[0]: 0",
		"control --hosts=12,-5":                          "--hosts[1]: -5",
		"control --hosts many":                           "--hosts",
		"control --hosts 12,20001":                       "--hosts[1]: 20001",
		"control --hosts ,":                              "--hosts",
		"control --changes nan":                          "--changes[0]: NaN",
		"control --changes -1":                           "--changes",
		"control --processes 100000":                     "--processes[0]: 100000",
		"control --processes 300 --beside 2":             "--processes: 300 sidecars, 2 times",
		"control --instances=-1":                         "--instances[0]: -1",
		"control --window 0s":                            "--window: 0s",
		"control --settle=-1s":                           "--settle: -1s",
		"control --windows 0":                            "--windows: 0",
		"control --beside 0":                             "--beside: 0",
		"control --repeat 0":                             "--repeat: 0",
		"control --out " + t.TempDir():                   "--out",
		"control --operator no-such-file":                "--operator",
		"settings --known 0":                             "--known[0]: 0",
		"settings --classes 257":                         "--classes[0]: 257",
		"settings --changes 0":                           "--changes: 0",
		"audit --sidecars 0":                             "--sidecars[0]: 0",
		"audit --sidecars 301":                           "--sidecars[0]: 301",
		"audit --stand-ins 25,0":                         "--stand-ins[1]: 0",
		"audit --stand-ins 25 --trail=-1s":               "--trail: -1s",
		"audit --stand-ins 25 --rounds 0":                "--rounds: 0",
		"requests --rates 0":                             "--rates[0]: 0",
		"requests --rates 53,1e9":                        "--rates[1]: 1e+09",
		"requests --window 1ms":                          "--window: 1ms",
		"module --sizes 12,0":                            "--sizes[1]: 0",
		"module --count 0":                               "--count: 0",
		"page --plan no-such-file":                       "--plan",
		"page --plan " + invalidPlan(t) + " --page none": "nothing",
	} {
		var out, err bytes.Buffer
		line := append([]string{"slopes"}, strings.Fields(args)...)
		if !strings.Contains(args, "page") && !strings.Contains(args, "module") {
			line = append(line, "--pinelb", os.Args[0])
		}
		if !strings.Contains(args, "--out") && !strings.Contains(args, "page") {
			line = append(line, "--out", results)
		}
		if status := run(context.Background(), line, &terminal{out: &out, err: &err}); status != exitUsage || !strings.Contains(err.String(), want) {
			t.Errorf("%s: status %d, %q; want %d, %q", args, status, err.String(), exitUsage, want)
		}
	}
	if text, err := os.ReadFile(results); err == nil && len(text) > 0 {
		t.Errorf("something was measured: %s", text)
	}
}

// invalidPlan returns the path of a plan with an unknown key.
func invalidPlan(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "slopes.toml")
	if err := os.WriteFile(path, []byte("nothing = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
