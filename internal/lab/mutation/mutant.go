// Package mutation tests tests: it builds a package with a mutation of its source, or of that of a package it imports, and
// expects the package's tests to fail, that is, to kill the mutant (DeMillo, Lipton and Sayward, Hints on Test Data
// Selection, 1978). The source is not touched: the go command reads the changed files by an overlay. For tests only.
package mutation

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Mutant is a change of one source file that makes it wrong.
type Mutant struct {
	File  string // relative to the test's directory
	Edits []Edit
}

// Edit replaces a text that the file contains exactly once.
type Edit struct{ Original, Mutated string }

// ExpectAllKilled runs ExpectKilled for each of the mutants as a subtest, in parallel.
func ExpectAllKilled(t *testing.T, mutants map[string]Mutant, run, failure string, args ...string) {
	for name, mutant := range mutants {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ExpectKilled(t, mutant, run, failure, args...)
		})
	}
}

// ExpectKilled runs the tests of the package in the current directory whose names match run, with the mutation, and fails t
// unless one of them fails. failure is a text that a test prints with a fault that it found, by which a killed mutant
// differs from a package that does not build; args are further arguments of the test program.
func ExpectKilled(t *testing.T, m Mutant, run, failure string, args ...string) {
	t.Helper()
	command := append([]string{"test", "-overlay", m.writeOverlay(t), "-vet=off", "-failfast", "-run", run, "."}, args...)
	out, err := exec.Command("go", command...).CombinedOutput()
	if err == nil {
		t.Fatal("the mutant survived: no test failed")
	}
	if !strings.Contains(string(out), failure) {
		t.Fatalf("the mutant's tests do not run: %s", out)
	}
}

// writeOverlay writes the mutated source, and the overlay file by which the go command reads it in place of the original
// (see go help build). It returns the overlay's path.
func (m *Mutant) writeOverlay(t *testing.T) string {
	t.Helper()
	path, err := filepath.Abs(m.File)
	if err != nil {
		t.Fatal(err)
	}
	source, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	mutated, err := m.Apply(string(source))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	mutatedPath, overlayPath := filepath.Join(dir, filepath.Base(m.File)), filepath.Join(dir, "overlay.json")
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {path: mutatedPath}})
	if err != nil {
		t.Fatal(err)
	}
	for name, content := range map[string]string{mutatedPath: mutated, overlayPath: string(overlay)} {
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return overlayPath
}

// Apply returns the mutated source. An error is a *MatchError.
func (m *Mutant) Apply(source string) (string, error) {
	for _, e := range m.Edits {
		if n := strings.Count(source, e.Original); n != 1 {
			return "", &MatchError{File: m.File, Text: e.Original, Count: n}
		}
		source = strings.Replace(source, e.Original, e.Mutated, 1)
	}
	return source, nil
}

// MatchError says that a source doesn't contain the text of an edit exactly once.
type MatchError struct {
	File, Text string
	Count      int
}

func (e *MatchError) Error() string {
	return fmt.Sprintf("mutation: %s contains %q %d times", e.File, e.Text, e.Count)
}
