package scalefit

import (
	"fmt"
	"strings"
)

func beginMarker(table string) string { return "<!-- slopes " + table + " -->\n" }
func endMarker(table string) string   { return "<!-- end of slopes " + table + " -->" }

// Fill returns a page with each table of the plan between its markers. An error names the table that has no place, or whose lines
// give no slope, or a marker of a table that the plan does not have.
func (p *Plan) Fill(page string, files map[string][]Measurement) (string, error) {
	known := 0
	for i := range p.Tables {
		t := &p.Tables[i]
		text, err := t.Markdown(files)
		if err != nil {
			return "", err
		}
		before, rest, ok := strings.Cut(page, beginMarker(t.Name))
		_, after, closed := strings.Cut(rest, endMarker(t.Name))
		if !ok || !closed {
			return "", fmt.Errorf("slope: the page has no place for table %s, between %q and %q", t.Name, strings.TrimSpace(beginMarker(t.Name)), endMarker(t.Name))
		}
		page = before + beginMarker(t.Name) + "\n" + text + "\n" + endMarker(t.Name) + after
		known++
	}
	if n := strings.Count(page, "<!-- slopes "); n != known {
		return "", fmt.Errorf("slope: the page has places for %d tables, the plan %d tables", n, known)
	}
	return page, nil
}
