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

// Disks returns a folder for the routers' disks within parent, or a temporary one where parent doesn't exist. It is removed at the test's end.
func Disks(t *testing.T, parent string) string {
	t.Helper()
	folder, err := os.MkdirTemp(parent, "pinelb-disks-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(folder) })
	return folder
}
