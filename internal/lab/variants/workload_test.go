package variants

import "testing"

const workloadSite = `name = "x"
zones = [ { name = "a", region = "r" }, { name = "b", region = "r" } ]
machines = [ { class = "front", count = 3, zone = "a" } ]
services = [ { name = "s", servers = [ { zone = "a", count = 10 } ], llm = { chunk = 2048, prefill_tokens_per_ms = 64.2 } }, { name = "plain", servers = [ { zone = "a", count = 2 } ] } ]
classes = [ { name = "long", aim_ms = 1000, priority = 1, attempts = 1, stream = { resume = false } }, { name = "short", aim_ms = 500, priority = 0, attempts = 2, stream = { resume = true } } ]
traffic = [ { zone = "b", per_s = 2.5, mix = { long = 10, short = 40.0 } } ]
[tolerate]
machines = 2
[[day]]
name = "d"
traffic = [ { zone = "b", per_s = 1.0, mix = { long = 10, short = 40.0 } } ]
`

// TestWorkloadVariants guards against variants that change nothing, or something else than their name says.
func TestWorkloadVariants(t *testing.T) {
	expect := map[string]func(s siteFile) bool{
		"other-engine": func(s siteFile) bool {
			return s.tables("services")[0]["llm"].(map[string]any)["chunk"] == int64(1024)
		},
		"fewer-engines": func(s siteFile) bool {
			services := s.tables("services")
			return siteFile(services[0]).tables("servers")[0]["count"] == int64(7) && siteFile(services[1]).tables("servers")[0]["count"] == int64(2)
		},
		"few-routers": func(s siteFile) bool { return len(s.tables("machines")) == 4 },
		"long-prompts": func(s siteFile) bool {
			day := siteFile(s.tables("day")[0]).tables("traffic")[0]["mix"].(map[string]any)
			return day["long"] == 20.0 && day["short"] == 20.0
		},
		"nothing-resume": func(s siteFile) bool {
			short := s.tables("classes")[1]
			return short["attempts"] == int64(1) && short["stream"].(map[string]any)["resume"] == false
		},
		"tight-aims": func(s siteFile) bool { return s.tables("classes")[0]["aim_ms"] == 700.0 },
	}
	for name := range workloadVariants {
		s := makeVariant(t, workloadSite, name)
		if holds := expect[name]; holds == nil || !holds(s) || s["name"] != name {
			t.Errorf("%s: %v", name, s)
		}
	}
}
