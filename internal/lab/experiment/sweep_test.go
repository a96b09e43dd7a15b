package experiment

import (
	"strings"
	"testing"

	"pinelb.example/pinelb/scenarios"
)

func TestVariants(t *testing.T) {
	text, err := scenarios.Files.ReadFile("calm.toml")
	if err != nil {
		t.Fatal(err)
	}
	sweeps := make([]Sweep, 3)
	for i, s := range []string{"fleet.sidecars=1,50", "clients.load=0.3,1", "tier.0.kind.1.start=cold"} {
		if err := sweeps[i].UnmarshalText([]byte(s)); err != nil {
			t.Fatal(err)
		}
	}
	got, err := Variants("calm.toml", text, sweeps)
	if err != nil {
		t.Fatal(err)
	}
	var values []string
	for _, v := range got {
		values = append(values, strings.Join(v.Values, " "))
	}
	if w := strings.Join(values, "; "); w != "1 0.3 cold; 1 1 cold; 50 0.3 cold; 50 1 cold" {
		t.Errorf("variants %s", w)
	}
	if s := got[2].Scenario; s.Fleet.Sidecars != 50 || s.Clients.Load != 0.3 || s.Tiers[0].Kinds[1].Start != "cold" || s.Tiers[0].Kinds[0].Start != "warm" {
		t.Errorf("%+v", s)
	}
	for _, bad := range []string{"fleet.sidecras=1", "tier.7.name=x", "name.first=x", "clients.load=much"} {
		var v Sweep
		if err := v.UnmarshalText([]byte(bad)); err != nil {
			t.Fatal(err)
		}
		if _, err := Variants("calm.toml", text, []Sweep{v}); err == nil {
			t.Errorf("%s was taken", bad)
		}
	}
	if err := new(Sweep).UnmarshalText([]byte("fleet.sidecars")); err == nil {
		t.Error("a key without values was taken")
	}
}
