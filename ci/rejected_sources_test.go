package ci

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// rejectedTexts are in lower case what the platform's builder rejects in any source that is no test: preloading, the tracing of other
// processes, shared memory, and the operators' own programs.
var rejectedTexts = []string{
	"ld_preload", "ld.so.preload", "ptrace", "process_vm_", "shm_open", "/dev/shm", "/run/shm", "shmget", "memfd_create", "kit/bin", "system/bin", "fleetbench",
}

// proseSuffixes are the suffixes of files that are neither compiled nor run.
var proseSuffixes = []string{".md", ".txt", ".json", ".jsonl"}

// isBuilderSource reports whether the platform's builder may count a tracked file as a source.
func isBuilderSource(path string) bool {
	return !strings.HasSuffix(path, "_test.go") && !strings.HasPrefix(path, "journal/") && !slices.Contains(proseSuffixes, filepath.Ext(path))
}

// rejectedLines returns the lines of a source that the platform's builder rejects, each as number and text.
func rejectedLines(source []byte) (lines []string) {
	for number, line := range bytes.Split(bytes.ToLower(source), []byte("\n")) {
		for _, rejected := range rejectedTexts {
			if bytes.Contains(line, []byte(rejected)) {
				lines = append(lines, fmt.Sprintf("%d: %s", number+1, rejected))
			}
		}
	}
	return lines
}

func TestNoSourceIsRejectedByThePlatformsBuilder(t *testing.T) {
	list := exec.CommandContext(t.Context(), "git", "ls-files", "-z")
	list.Dir = ".."
	out, err := list.Output()
	if err != nil {
		t.Fatalf("git ls-files: %v", err)
	}
	paths := strings.Split(strings.TrimSuffix(string(out), "\x00"), "\x00")
	if len(paths) < 100 {
		t.Fatalf("only %d files are tracked", len(paths))
	}
	for _, path := range paths {
		if !isBuilderSource(path) {
			continue
		}
		source, err := os.ReadFile(filepath.Join("..", path))
		if os.IsNotExist(err) {
			continue // removed in the work tree
		}
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range rejectedLines(source) {
			t.Errorf("%s:%s", path, line)
		}
	}
}

// Guards against a check that has stopped finding anything.
func TestRejectedTextsAreFound(t *testing.T) {
	for _, c := range []struct {
		path, source string
		lines        int
	}{
		{"internal/lab/machines/machinestest/machinestest.go", "package p\n\nvar folder = \"/dev/shm\"\n", 1},
		{"cmd/pinelb/trace.c", "ptrace(PTRACE_ATTACH, 1, 0, 0);\nshm_open(\"x\", 0, 0);\n", 2},
		{"ci/run.sh", "LD_PRELOAD=x ./program\n", 1},
		{"deploy/x.toml", "run = \"kit/bin/program\"", 1},
		{"internal/a/a.go", "package a\n\n// The disks are in memory.\n", 0},
	} {
		if !isBuilderSource(c.path) {
			t.Errorf("%s is not looked at", c.path)
		}
		if found := rejectedLines([]byte(c.source)); len(found) != c.lines {
			t.Errorf("%s: found %q, want %d lines", c.path, found, c.lines)
		}
	}
	for _, path := range []string{"internal/a/a_test.go", "docs/operate/scale-tests.md", "journal/20261201T000000-00000000.json"} {
		if isBuilderSource(path) {
			t.Errorf("%s is no source of a program", path)
		}
	}
}
