// Package machinestest has what tests of plays with real routers need. For tests only.
package machinestest

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// BuildProgram builds cmd/pinelb and returns the path of the program, which is removed at the test's end.
func BuildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "pinelb")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", program, "pinelb.example/pinelb/cmd/pinelb")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// Disks returns a folder in memory, where there is one: a killed process loses nothing there, and syncs take no time.
func Disks(t *testing.T) string {
	t.Helper()
	folder, err := os.MkdirTemp("/dev/shm", "pinelb-disks-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(folder) })
	return folder
}
