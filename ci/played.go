//go:build ignore

// Played compares the sources with those of the newest play in journal/: a score or hunt that was played on a commit without changes. It prints the
// sources that differ and exits with 1 if there are any, since what lands has to be what was played. A play needs the operators' bench, which CI
// doesn't have; run it before a landing:
//
//	go run ci/played.go
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
)

// entry is the part of a journal entry that tells what was played.
type entry struct {
	Command string  `json:"cmd"`
	Site    string  `json:"site"`
	Head    string  `json:"head"`
	Dirty   bool    `json:"dirty"`
	Built   string  `json:"built"`
	Error   *string `json:"error"`
}

// isPlay reports whether an entry is of a score or hunt that ended, on a commit without changes.
func (e *entry) isPlay() bool {
	return (e.Command == "score" || e.Command == "hunt") && e.Built == "yes" && e.Error == nil && !e.Dirty && e.Head != ""
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "played:", err)
		os.Exit(1)
	}
}

func run() error {
	names, err := filepath.Glob("journal/*.json")
	if err != nil {
		return err
	}
	slices.Sort(names)
	for _, name := range slices.Backward(names) {
		text, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		var e entry
		if json.Unmarshal(text, &e) != nil || !e.isPlay() {
			continue
		}
		return compare(name, &e)
	}
	return fmt.Errorf("journal/ has no play")
}

// compare returns an error if a source differs between the commit of a play and the one that is checked out.
func compare(name string, e *entry) error {
	out, err := exec.Command("git", "diff", "--name-only", e.Head, "HEAD").Output()
	if err != nil {
		return fmt.Errorf("%s was played on %.8s, which git can't compare: %w", name, e.Head, err)
	}
	var changed []string
	for path := range strings.Lines(string(out)) {
		if path = strings.TrimSpace(path); isSource(path) {
			changed = append(changed, path)
		}
	}
	if len(changed) > 0 {
		return fmt.Errorf("%s (%s %s) was played on %.8s; since then changed: %s", name, e.Command, e.Site, e.Head, strings.Join(changed, ", "))
	}
	fmt.Printf("the sources are those of %s (%s %s), played on %.8s\n", name, e.Command, e.Site, e.Head)
	return nil
}

// isSource reports whether a file may be part of what is built, or is looked at by the operators' builder.
func isSource(path string) bool {
	if strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, "journal/") {
		return false
	}
	return !slices.Contains([]string{".md", ".txt", ".json", ".jsonl"}, filepath.Ext(path))
}
