package scalefit

import (
	"fmt"
	"strings"
)

// Markers of a table on the page. They are HTML comments, which are not shown.
const (
	beginPrefix = "<!-- slopes "
	endPrefix   = "<!-- end of slopes "
	markerEnd   = " -->"
)

func beginMarker(table string) string { return beginPrefix + table + markerEnd + "\n" }
func endMarker(table string) string   { return endPrefix + table + markerEnd }

// Fill returns a page with each table of the plan between its markers. files has the measurements by the file's name. An
// error is a *PageError or names the table that can't be made.
func (p *Plan) Fill(page string, files map[string][]Measurement) (string, error) {
	for i := range p.Tables {
		table := &p.Tables[i]
		text, err := table.Markdown(files)
		if err != nil {
			return "", err
		}
		begin, end := beginMarker(table.Name), endMarker(table.Name)
		before, rest, hasBegin := strings.Cut(page, begin)
		_, after, hasEnd := strings.Cut(rest, end)
		if !hasBegin || !hasEnd {
			problem := fmt.Sprintf("the page has no place for table %s, between %q and %q", table.Name, strings.TrimSpace(begin), end)
			return "", &PageError{table.Name, problem}
		}
		page = before + begin + "\n" + text + "\n" + end + after
	}
	if n := strings.Count(page, beginPrefix); n != len(p.Tables) {
		return "", &PageError{"", fmt.Sprintf("the page has places for %d tables, the plan %d tables", n, len(p.Tables))}
	}
	return page, nil
}
