// Package ci holds the tests of the whole repository that are no package's own.
package ci

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// known are words of deployments that the program has been played at and that nobody would write for another reason.
// Plain words of the trade (gateway, planner, fares) stand in such files too, and are left out.
var known = []string{
	"hobart-orders", "moonah", "order-front", "lab-back", "front-fast", "front-std", "back-fast",
	"order-status", "lens-lookup", "place-order", "remake-charge",
	"lahore-planner", "gulberg-dc", "gw-fast", "gw-mid", "gw-slow", "plan-fast", "plan-mid", "plan-slow",
	"fare-fast", "fare-mid", "fare-slow", "route-search", "departures", "save-trip", "buy-ticket",
}

// apart are the parts that are no program: the rig, whose worlds have names of their own.
var apart = []string{"internal/lab", "cmd/pinelab"}

// files are those that the command "run" in deploy/balancer.toml goes by.
var files = []string{"deploy/balancer.toml", "deploy/platform.toml"}

// site is what of a site file has a name.
type site struct {
	Name string
	Net  struct{ Zones []string }
	Tier []struct {
		Name string
		Kind []struct{ Name string }
	}
	Class, Tenant []struct{ Name string }
}

func (s *site) names() []string {
	out := append([]string{s.Name}, s.Net.Zones...)
	for _, t := range s.Tier {
		out = append(out, t.Name)
		for _, k := range t.Kind {
			out = append(out, k.Name)
		}
	}
	for _, n := range slices.Concat(s.Class, s.Tenant) {
		out = append(out, n.Name)
	}
	return out
}

var separators = regexp.MustCompile(`[-_]+`)

// pattern finds any of the names as a whole word, also where it is written as identifiers are: placeOrder, place_order.
func pattern(names []string) *regexp.Regexp {
	var parts []string
	for _, name := range names {
		words := separators.Split(name, -1)
		for i := range words {
			words[i] = regexp.QuoteMeta(words[i])
		}
		parts = append(parts, strings.Join(words, `[-_]?`))
	}
	return regexp.MustCompile(`(?i)(?:^|[^\pL\pN])(` + strings.Join(parts, "|") + `)(?:$|[^\pL\pN])`)
}

// find lists, as file:line, where the program below root names what only a deployment has.
func find(root string, names []string) (found []string, read int, err error) {
	words := pattern(names)
	err = fs.WalkDir(os.DirFS(root), ".", func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir():
			if d.Name() == "testdata" || d.Name() == "examples" || slices.Contains(apart, path) || path != "." && d.Name()[0] == '.' {
				return fs.SkipDir
			}
			return nil
		case strings.HasSuffix(path, "_test.go") || !strings.HasSuffix(path, ".go") && !slices.Contains(files, path):
			return nil
		}
		data, err := os.ReadFile(filepath.Join(root, path))
		if err != nil {
			return err
		}
		read++
		for i, line := range strings.Split(string(data), "\n") {
			if m := words.FindStringSubmatch(line); m != nil {
				found = append(found, fmt.Sprintf("%s:%d: %s", path, i+1, m[1]))
			}
		}
		return nil
	})
	return found, read, err
}

func siteNames(t *testing.T) []string {
	t.Helper()
	paths, err := filepath.Glob("../deploy/sites/*.toml")
	if err != nil || len(paths) < 2 {
		t.Fatalf("deploy/sites has %d site files (%v), want 2 at least", len(paths), err)
	}
	names := slices.Clone(known)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		var s site
		if err := toml.Unmarshal(data, &s); err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		if s.Name == "" || len(s.Net.Zones) == 0 || len(s.Tier) == 0 || len(s.Class) == 0 {
			t.Fatalf("%s: %d zones, %d tiers and %d classes were read of site %q", path, len(s.Net.Zones), len(s.Tier), len(s.Class), s.Name)
		}
		names = append(names, s.names()...)
	}
	return names
}

// What a deployment is called and what it holds come from the settings alone.
func TestNoDeploymentInProgram(t *testing.T) {
	found, read, err := find("..", siteNames(t))
	if err != nil {
		t.Fatal(err)
	}
	if read < 100 {
		t.Errorf("only %d files were read", read)
	}
	for _, at := range found {
		t.Errorf("%s: a deployment's name, which only settings may tell", at)
	}
}

// The test above would say nothing if it looked in the wrong places.
func TestDeploymentIsFound(t *testing.T) {
	root := t.TempDir()
	for path, text := range map[string]string{
		"balance/a.go":          "package a\n\nvar names = []string{\"place-order\"}\n",
		"balance/b.go":          "package a\n\nfunc placeOrder() {}\nvar replaceOrders, save_trip int\n",
		"deploy/balancer.toml":  "run = \"exec p --zone Moonah\"\n",
		"deploy/example.toml":   "zone = \"moonah\"\n",
		"balance/a_test.go":     "package a // moonah\n",
		"internal/lab/lab.go":   "package lab // moonah\n",
		"cmd/pinelab/main.go":   "package main // moonah\n",
		"x/testdata/moonah.go":  "package x // moonah\n",
		"x/examples/example.go": "package x // moonah\n",
	} {
		path = filepath.Join(root, path)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	found, _, err := find(root, known)
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"balance/a.go:3: place-order", "balance/b.go:3: placeOrder", "balance/b.go:4: save_trip", "deploy/balancer.toml:1: Moonah"}
	if !slices.Equal(found, want) {
		t.Errorf("found %q, want %q", found, want)
	}
}
