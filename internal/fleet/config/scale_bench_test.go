package config

import (
	"fmt"
	"strings"
	"testing"
)

// routesPatch returns the JSON form of a patch that adds count routes with the fields that operators send. Their numbers start
// at from.
func routesPatch(version, from, count int) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, `{"version":%d,"upsert":{"routes":[`, version)
	for i := from; i < from+count; i++ {
		if i > from {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"name":"r-%06d","host":"ficu%d.example","pathPrefix":"/lohu%d/","type":"streaming","timeoutMs":15000,`+
			`"targetLatencyMs":800,"priority":1,"backends":[{"service":"a","weight":90},{"service":"b","weight":10}],"maxAttempts":1,`+
			`"public":false,"sessionAffinity":true,"streamResume":false,"gap_aim_ms":250}`, i, i%50, i)
	}
	text.WriteString(`]}}`)
	return []byte(text.String())
}

// largeState returns a state with a number of routes, and its table.
func largeState(tb testing.TB, routes int) (*State, *Table) {
	tb.Helper()
	base := `{"version":1,"services":[{"name":"a"},{"name":"b"}],"tenants":[{"name":"t","apiKeys":["k"]}],"routes":[]}`
	state, err := EmptyState().Apply(&Change{Replace: true, Body: []byte(base)})
	if err != nil {
		tb.Fatal(err)
	}
	if state, err = state.Apply(&Change{Base: 1, Body: routesPatch(2, 0, routes)}); err != nil {
		tb.Fatal(err)
	}
	table, err := NewTable(state.Document, nil)
	if err != nil {
		tb.Fatal(err)
	}
	return state, table
}

// BenchmarkApply measures the cost on a router of applying one change, by the numbers of present and of added routes.
func BenchmarkApply(b *testing.B) {
	for _, c := range []struct{ present, added int }{{100, 1}, {1760, 1}, {4000, 1}, {350, 1760}, {2110, 4000}} {
		b.Run(fmt.Sprintf("present=%d/added=%d", c.present, c.added), func(b *testing.B) {
			state, table := largeState(b, c.present)
			change := &Change{Base: 2, Body: routesPatch(3, c.present, c.added)}
			b.ReportAllocs()
			for b.Loop() {
				next, err := state.Apply(change)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := NewTable(next.Document, table); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkDocument measures the cost on a router of decoding a complete configuration, by the number of routes.
func BenchmarkDocument(b *testing.B) {
	for _, routes := range []int{100, 1760, 4000} {
		b.Run(fmt.Sprint(routes), func(b *testing.B) {
			state, _ := largeState(b, routes)
			text := state.Document.Encode()
			b.ReportAllocs()
			for b.Loop() {
				document, err := ParseDocument(text)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := NewTable(document, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkCheckSchema measures the cost on the primary of validating a change, by the number of added routes.
func BenchmarkCheckSchema(b *testing.B) {
	for _, added := range []int{1, 1760, 4000} {
		b.Run(fmt.Sprint(added), func(b *testing.B) {
			state, _ := largeState(b, 350)
			next, err := state.Apply(&Change{Base: 2, Body: routesPatch(3, 350, added)})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if err := CheckSchema(next.Document, state.Document); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
