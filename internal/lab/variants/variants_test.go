package variants

import (
	"errors"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

const deploymentSite = `name = "x"
zones = [ { name = "a", region = "r" }, { name = "b", region = "r" } ]
services = [ { name = "s", servers = [ { zone = "a", count = 3 }, { zone = "b", count = 2 } ] } ]
traffic = [ { zone = "b", per_s = 2.5 } ]
[tolerate]
machines = 1
[bounds]
closed = true
[[day]]
name = "d"
traffic = [ { zone = "b", per_s = 1.0 } ]
`

// makeVariant makes a variant and reads it back.
func makeVariant(t *testing.T, text, name string) siteFile {
	t.Helper()
	variant, err := Make([]byte(text), name)
	if err != nil {
		t.Fatal(err)
	}
	var s siteFile
	if err := toml.Unmarshal(variant, &s); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return s
}

// TestEveryDeploymentVariantIsASite guards against variants that can't be read, or that lose what they don't change.
func TestEveryDeploymentVariantIsASite(t *testing.T) {
	for name := range deploymentVariants {
		s := makeVariant(t, deploymentSite, name)
		if s["name"] != name || len(s.tables("machines")) == 0 || len(s.tables("day")) != 1 {
			t.Errorf("%s: %v", name, s)
		}
	}
}

// TestOneZoneHasEverything guards against servers or clients that are lost, or left in another zone.
func TestOneZoneHasEverything(t *testing.T) {
	s := makeVariant(t, deploymentSite, "one-zone")
	servers := siteFile(s.tables("services")[0]).tables("servers")
	if len(servers) != 1 || servers[0]["count"] != int64(5) || s.tables("traffic")[0]["zone"] != "a" {
		t.Errorf("%v", s)
	}
}

// TestMakeErrors guards against a site without zones, or an unknown variant, that is made all the same.
func TestMakeErrors(t *testing.T) {
	var unknown *UnknownVariantError
	if _, err := Make([]byte(deploymentSite), "seven-disks"); !errors.As(err, &unknown) || unknown.Name != "seven-disks" {
		t.Errorf("an unknown variant: %v", err)
	}
	if _, err := Make([]byte(`name = "x"`), "one-disk"); !errors.Is(err, ErrNoZones) {
		t.Errorf("a site without zones: %v", err)
	}
}
