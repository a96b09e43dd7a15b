package ci

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// aptInstall matches the packages of an installation, in a page or a script.
var aptInstall = regexp.MustCompile("apt-get install (?:-y -qq )?([a-z0-9 .+-]+[a-z0-9+])")

// TestPackagesAreOneList guards against a system package that a clean build needs and that one of the places leaves out: the deploy file of the
// system, the README and the test script.
func TestPackagesAreOneList(t *testing.T) {
	root := filepath.Join("..")
	var deploy struct {
		Packages []string `toml:"packages"`
	}
	text, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	if len(deploy.Packages) == 0 {
		t.Fatal("deploy/system.toml lists no packages, and the build is linked by a C compiler")
	}
	slices.Sort(deploy.Packages)
	for _, place := range []string{"README.md", filepath.Join("ci", "test.sh")} {
		text, err := os.ReadFile(filepath.Join(root, place))
		if err != nil {
			t.Fatal(err)
		}
		found := aptInstall.FindStringSubmatch(string(text))
		if found == nil {
			t.Errorf("%s names no packages to install", place)
			continue
		}
		if listed := slices.Sorted(slices.Values(strings.Fields(found[1]))); !slices.Equal(listed, deploy.Packages) {
			t.Errorf("%s installs %v, deploy/system.toml lists %v", place, listed, deploy.Packages)
		}
	}
}
