package variants

import (
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

// TestEveryDeploymentVariantIsASite guards against variants that can't be read, or that lose what they don't change.
func TestEveryDeploymentVariantIsASite(t *testing.T) {
	for name := range deploymentVariants {
		text, err := Make([]byte(deploymentSite), name)
		if err != nil {
			t.Fatal(err)
		}
		var s siteFile
		if err := toml.Unmarshal(text, &s); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if s["name"] != name || len(s.tables("machines")) == 0 || len(s.tables("day")) != 1 {
			t.Errorf("%s: %s", name, text)
		}
	}
}

// TestOneZoneHasEverything guards against servers or clients that are lost, or left in another zone.
func TestOneZoneHasEverything(t *testing.T) {
	text, err := Make([]byte(deploymentSite), "one-zone")
	if err != nil {
		t.Fatal(err)
	}
	var s siteFile
	if err := toml.Unmarshal(text, &s); err != nil {
		t.Fatal(err)
	}
	servers := siteFile(s.tables("services")[0]).tables("servers")
	if len(servers) != 1 || servers[0]["count"] != int64(5) || s.tables("traffic")[0]["zone"] != "a" {
		t.Errorf("%s", text)
	}
}
