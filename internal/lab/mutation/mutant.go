// Package mutant builds a package with a mistake planted in its source, or in that of one it imports, and expects its tests to
// find it. The source itself is not touched: the go command is told of the changed files by an overlay.
package mutation

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// Mistake is a change of one source file that makes it wrong.
type Mistake struct {
	File  string // relative to the test's folder
	Edits []Edit
}

// Edit replaces a text that the file holds once.
type Edit struct{ Right, Wrong string }

// ExpectAllFound expects each of the mistakes to be found, beside the others, as ExpectFound does.
func ExpectAllFound(t *testing.T, mistakes map[string]Mistake, run, sign string, args ...string) {
	for name, mistake := range mistakes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ExpectFound(t, mistake, run, sign, args...)
		})
	}
}

// ExpectFound runs the tests of the package in the current folder whose names match run, with the mistake planted, and fails
// t unless one of them fails. sign is a text that a test prints with a fault it found, which tells a fault from a package
// that does not build; args are further arguments of the test program.
func ExpectFound(t *testing.T, m Mistake, run, sign string, args ...string) {
	t.Helper()
	arguments := append([]string{"test", "-overlay", m.plant(t), "-vet=off", "-failfast", "-run", run, "."}, args...)
	out, err := exec.Command("go", arguments...).CombinedOutput()
	if err == nil {
		t.Fatal("not found")
	}
	if !strings.Contains(string(out), sign) {
		t.Fatalf("the package with the mistake does not run: %s", out)
	}
}

// plant writes the changed source and returns the file that tells the go command of it.
func (m *Mistake) plant(t *testing.T) string {
	t.Helper()
	path, err := filepath.Abs(m.File)
	if err != nil {
		t.Fatal(err)
	}
	source, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	text, err := m.Apply(string(source))
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	wrong, overlay := filepath.Join(folder, filepath.Base(m.File)), filepath.Join(folder, "overlay.json")
	listed, err := json.Marshal(map[string]map[string]string{"Replace": {path: wrong}})
	if err != nil {
		t.Fatal(err)
	}
	for name, content := range map[string]string{wrong: text, overlay: string(listed)} {
		if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return overlay
}

// Apply returns the source with the mistake. An error says which of its places the source does not hold once.
func (m *Mistake) Apply(source string) (string, error) {
	for _, e := range m.Edits {
		if n := strings.Count(source, e.Right); n != 1 {
			return "", &PlaceError{File: m.File, Place: e.Right, Count: n}
		}
		source = strings.Replace(source, e.Right, e.Wrong, 1)
	}
	return source, nil
}

// PlaceError says that the place of a mistake is not to be found, or not just once.
type PlaceError struct {
	File, Place string
	Count       int
}

func (e *PlaceError) Error() string {
	return "mutant: " + e.File + " holds " + strconv.Quote(e.Place) + " " + strconv.Itoa(e.Count) + " times"
}
