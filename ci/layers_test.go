package ci

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const (
	modulePrefix = "pinelb.example/pinelb/"
	architecture = "../docs/ARCHITECTURE.md"
	labPrefix    = "internal/lab"
	noLayer      = 0
)

var (
	layerRow    = regexp.MustCompile(`(?m)^\| ([1-9]) [^|]*\| (.*) \|$`)
	quotedPath  = regexp.MustCompile("`((?:internal|cmd|balance|client|ci)[A-Za-z0-9_/.-]*)`")
	placeholder = "..."
)

// layersOf reads the table of layers of the architecture page.
func layersOf(text string) map[string]int {
	layers := map[string]int{}
	for _, row := range layerRow.FindAllStringSubmatch(text, -1) {
		layer, err := strconv.Atoi(row[1])
		if err != nil {
			continue
		}
		for _, path := range quotedPath.FindAllStringSubmatch(row[2], -1) {
			layers[path[1]] = layer
		}
	}
	return layers
}

// layerOf is the layer of a package; noLayer: the page has none.
func layerOf(layers map[string]int, path string) int {
	if strings.HasPrefix(path, "cmd/") {
		return layers["cmd/"+placeholder]
	}
	return layers[path]
}

// importedPackage is what go list tells of a package.
type importedPackage struct {
	ImportPath string
	Imports    []string
}

// violations lists the imports that go up, and the packages that the page has no layer for.
func violations(layers map[string]int, packages []importedPackage) (found []string) {
	for _, p := range packages {
		path := strings.TrimPrefix(p.ImportPath, modulePrefix)
		if strings.HasPrefix(path, labPrefix) || path == "ci" || path == "scenarios" {
			continue
		}
		layer := layerOf(layers, path)
		if layer == noLayer {
			found = append(found, path+" has no layer in docs/ARCHITECTURE.md")
			continue
		}
		for _, imported := range p.Imports {
			to, ours := strings.CutPrefix(imported, modulePrefix)
			if !ours {
				continue
			}
			lab := strings.HasPrefix(to, labPrefix)
			if lab && !strings.HasPrefix(path, "cmd/pinelb-testlab") && path != "cmd/pinelab" || !lab && layerOf(layers, to) > layer {
				found = append(found, path+" imports "+to)
			}
		}
	}
	return found
}

// Guards against imports that go up, and against an architecture page that is not true.
func TestImportsGoDown(t *testing.T) {
	text, err := os.ReadFile(architecture)
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command("go", "list", "-json=ImportPath,Imports", "../...")
	out, err := command.Output()
	if err != nil {
		t.Fatal(err)
	}
	var packages []importedPackage
	for decoder := json.NewDecoder(strings.NewReader(string(out))); ; {
		var p importedPackage
		if err := decoder.Decode(&p); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		packages = append(packages, p)
	}
	if len(packages) < 40 {
		t.Fatalf("go list names %d packages", len(packages))
	}
	for _, violation := range violations(layersOf(string(text)), packages) {
		t.Error(violation)
	}
}

// The test above would say nothing if it found nothing whatever is wrong.
func TestUpwardImportIsFound(t *testing.T) {
	layers := layersOf("| 2 upper | `internal/a` |\n| 1 lower | `internal/b`, `balance` |\n")
	found := violations(layers, []importedPackage{
		{ImportPath: modulePrefix + "internal/b", Imports: []string{modulePrefix + "internal/a", "fmt"}},
		{ImportPath: modulePrefix + "internal/a", Imports: []string{modulePrefix + "internal/b", modulePrefix + "internal/lab/x"}},
		{ImportPath: modulePrefix + "internal/c"},
	})
	want := []string{"internal/b imports internal/a", "internal/a imports internal/lab/x", "internal/c has no layer in docs/ARCHITECTURE.md"}
	if strings.Join(found, "; ") != strings.Join(want, "; ") {
		t.Errorf("found %q, want %q", found, want)
	}
}

// Guards against an architecture page that names files and folders which are not there.
func TestArchitectureNamesWhatExists(t *testing.T) {
	text, err := os.ReadFile(architecture)
	if err != nil {
		t.Fatal(err)
	}
	named := quotedPath.FindAllStringSubmatch(string(text), -1)
	if len(named) < 60 {
		t.Fatalf("the page names %d paths", len(named))
	}
	for _, path := range named {
		if strings.HasSuffix(path[1], placeholder) {
			continue
		}
		if _, err := os.Stat("../" + path[1]); err != nil {
			t.Error(err)
		}
	}
}
