package config

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// drawPatch draws a change of a few routes, services and tenants with names from a small set. The change may be invalid.
func drawPatch(t *rapid.T, version int) *Change {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
	var routes, services, tenants, removedRoutes, removedServices []string
	for range rapid.IntRange(0, 4).Draw(t, "routes") {
		routes = append(routes, fmt.Sprintf(`{"name":%q,"host":"h%d","pathPrefix":"/%s/","type":"safe","timeoutMs":%d,"service":%q}`, name.Draw(t, "route"),
			rapid.IntRange(0, 2).Draw(t, "host"), strings.Repeat("p/", rapid.IntRange(0, 3).Draw(t, "prefix")),
			rapid.IntRange(0, 20).Draw(t, "timeout"), name.Draw(t, "service")))
	}
	for range rapid.IntRange(0, 3).Draw(t, "services") {
		services = append(services, fmt.Sprintf(`{"name":%q}`, name.Draw(t, "service")))
	}
	for range rapid.IntRange(0, 1).Draw(t, "tenants") {
		tenants = append(tenants, fmt.Sprintf(`{"name":%q,"apiKeys":[%q]}`, name.Draw(t, "tenant"), name.Draw(t, "key")))
	}
	for range rapid.IntRange(0, 2).Draw(t, "removed routes") {
		removedRoutes = append(removedRoutes, fmt.Sprintf("%q", name.Draw(t, "route")))
	}
	for range rapid.IntRange(0, 1).Draw(t, "removed services") {
		removedServices = append(removedServices, fmt.Sprintf("%q", name.Draw(t, "service")))
	}
	join := func(items []string) string { return "[" + strings.Join(items, ",") + "]" }
	return &Change{Body: fmt.Appendf(nil, `{"version":%d,"upsert":{"routes":%s,"services":%s,"tenants":%s},"remove":{"routes":%s,"services":%s}}`,
		version, join(routes), join(services), join(tenants), join(removedRoutes), join(removedServices))}
}

// describe returns the results of lookups in a table as text.
func describe(table *Table) string {
	var out strings.Builder
	for h := range 3 {
		for depth := range 5 {
			if route := table.Route(fmt.Sprintf("h%d", h), "/"+strings.Repeat("p/", depth)+"/x"); route != nil {
				fmt.Fprintf(&out, "%d/%d: %+v\n", h, depth, *route)
			}
		}
	}
	for _, key := range []string{"a", "b", "c", "d", "e"} {
		if tenant, ok := table.Authorize(&Route{}, key); ok {
			fmt.Fprintf(&out, "%s: %+v\n", key, *tenant)
		}
	}
	fmt.Fprint(&out, table.Services(), len(table.routes), len(table.routesByHost), table.Document.KeyPolicy())
	return out.String()
}

// Guards against a table that shares outdated items or indexes with the previous table, or accepts a document that a table made
// without a previous one rejects.
func TestTableAfterChangesIsAsMadeAnew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := EmptyState()
		table, err := NewTable(state.Document, nil)
		if err != nil {
			t.Fatal(err)
		}
		for version := 1; version <= 6; version++ {
			next, err := state.Apply(drawPatch(t, version))
			if err != nil {
				continue
			}
			shared, sharedErr := NewTable(next.Document, table)
			fresh, freshErr := NewTable(next.Document, nil)
			if (sharedErr == nil) != (freshErr == nil) {
				t.Fatalf("error %v with a previous table, %v without", sharedErr, freshErr)
			}
			if sharedErr != nil {
				continue
			}
			if describe(shared) != describe(fresh) {
				t.Fatalf("with a previous table:\n%s\nwithout:\n%s", describe(shared), describe(fresh))
			}
			state, table = next, shared
		}
	})
}
