package replica

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/config"
)

const (
	plainRoute  = `{"name":"a","host":"h","pathPrefix":"/a/","type":"safe","timeoutMs":5,"service":"s"}`
	fullRoute   = `{"name":"a","host":"h","pathPrefix":"/a/","type":"safe","timeoutMs":5,"targetLatencyMs":1,"priority":0,"maxAttempts":1,"public":false,"sessionAffinity":true,"streamResume":false,"gap_aim_ms":2,"service":"s"}`
	backedRoute = `{"name":"a","host":"h","pathPrefix":"/a/","type":"safe","timeoutMs":5,"service":"s","backends":[{"service":"s","weight":1},{"service":"t","weight":0}]}`
)

// sentence is one of PROTOCOL.md's sentences on invalid configurations: it edits a valid route, and may add further items.
type sentence struct {
	name   string
	edit   func(route string) string
	routes string // further routes
	rest   string // further fields
	routed bool   // only routes with backends have what is edited
}

func replaced(old, text string) func(string) string {
	return func(route string) string { return strings.Replace(route, old, text, 1) }
}

func unchanged(route string) string { return route }

var sentences = []sentence{
	{name: "it cannot be read whole", edit: replaced(`"timeoutMs":5`, `"timeoutMs":`)},
	{name: "a field has another type", edit: replaced(`"timeoutMs":5`, `"timeoutMs":"5"`)},
	{name: "a route names an unknown service", edit: replaced(`"service":"s"`, `"service":"unknown"`)},
	{name: "a route's backend names an unknown service", edit: replaced(`[{"service":"s"`, `[{"service":"unknown"`), routed: true},
	{name: "a route's backend without weight names an unknown service", edit: replaced(`{"service":"t"`, `{"service":"unknown"`), routed: true},
	{name: "two routes share host and prefix", edit: unchanged, routes: `,{"name":"b","host":"h","pathPrefix":"/a/","type":"unsafe","timeoutMs":9,"service":"t"}`},
	{name: "a route's weights sum to 0", edit: replaced(`"weight":1`, `"weight":0`), routed: true},
	{name: "a weight is below 0", edit: replaced(`"weight":0`, `"weight":-1`), routed: true},
	{name: "a timeoutMs is 0", edit: replaced(`"timeoutMs":5`, `"timeoutMs":0`)},
	{name: "a timeoutMs is missing", edit: replaced(`"timeoutMs":5,`, ``)},
	{name: "two tenants share a key", edit: unchanged, rest: `,"tenants":[{"name":"x","apiKeys":["k"]},{"name":"y","apiKeys":["l","k"]}]`},
	{name: "two items have one name", edit: unchanged, rest: `,"tenants":[{"name":"x"},{"name":"x"}]`},
	{name: "an item has no name", edit: unchanged, rest: `,"tenants":[{"apiKeys":["k"]}]`},
}

// configurationOf returns a configuration with a route and further parts.
func configurationOf(version int64, route, routes, rest string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s%s],"services":[{"name":"s"},{"name":"t"}]%s}`, version, route, routes, rest)
}

func presentState(t *testing.T) (*config.State, *config.Table) {
	t.Helper()
	state, err := config.EmptyState().Apply(&config.Change{Replace: true, Body: configurationOf(5, plainRoute, "", "")})
	if err != nil {
		t.Fatal(err)
	}
	table, err := config.NewTable(state.Document, nil)
	if err != nil {
		t.Fatal(err)
	}
	return state, table
}

// Guards against "an invalid configuration gets acknowledged" (CONFIG): each sentence of the page, for routes with and without the optional
// fields, by a replacement and by a patch.
func TestInvalidConfigurationsAreRefused(t *testing.T) {
	state, table := presentState(t)
	check := func(change *config.Change, valid bool) {
		_, err := prepare(state, table, change)
		var invalid *config.InvalidError
		So(errors.As(err, &invalid), ShouldEqual, !valid)
		So(err == nil, ShouldEqual, valid)
	}
	for form, route := range map[string]string{"without optional fields": plainRoute, "with all optional fields": fullRoute, "with backends": backedRoute} {
		Convey("A valid configuration, "+form+", is accepted", t, func() {
			check(&config.Change{Replace: true, Base: 5, Body: configurationOf(6, route, "", "")}, true)
		})
		Convey("A version that is not above the present one is refused, "+form, t, func() {
			for _, version := range []int64{0, 4, 5} {
				check(&config.Change{Replace: true, Base: 5, Body: configurationOf(version, route, "", "")}, false)
			}
		})
		for _, s := range sentences {
			if s.routed && !strings.Contains(route, "backends") {
				continue
			}
			Convey("Where "+s.name+", it is refused, "+form, t, func() {
				check(&config.Change{Replace: true, Base: 5, Body: configurationOf(6, s.edit(route), s.routes, s.rest)}, false)
				patch := fmt.Appendf(nil, `{"version":6,"upsert":{"routes":[%s%s]%s}}`, s.edit(route), s.routes, s.rest)
				check(&config.Change{Base: 5, Body: patch}, false)
			})
		}
	}
	Convey("A service that a route still names, also beside its backends, can't be removed", t, func() {
		check(&config.Change{Base: 5, Body: []byte(`{"version":6,"remove":{"services":["s"]}}`)}, false)
		backends := strings.Replace(backedRoute, `[{"service":"s","weight":1},`, `[{"service":"t","weight":1},`, 1)
		backends = strings.Replace(backends, `,{"service":"t","weight":0}`, "", 1)
		check(&config.Change{Base: 5, Body: fmt.Appendf(nil, `{"version":6,"remove":{"services":["s"]},"upsert":{"routes":[%s]}}`, backends)}, false)
	})
}
