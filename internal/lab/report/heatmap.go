package report

import (
	"cmp"
	"fmt"
	"html"
	"slices"
	"strings"

	"pinelb.example/pinelb/internal/lab/result"
)

// maxRows is how many endpoints are drawn: more would be lines of a few pixels that nobody can tell apart.
const maxRows = 80

const (
	rowHeight       = 18.0
	denseRowHeight  = 12.0
	maxTallRows     = 16   // more have denseRowHeight
	maxNameLength   = 13   // of an endpoint, in characters; longer ones are cut
	minPossibleWork = 1e-3 // of a core: less is the rounding of an endpoint that was up for some microseconds of the second
)

// loadStep is a colour of the heatmap.
type loadStep struct {
	below float64 // of load
	label string
}

// loadSteps are of the load over the present capacity. Up to 1 an endpoint keeps up; from 1 on its queue grows.
var loadSteps = []loadStep{
	{0.25, "under ¼"},
	{0.5, "to ½"},
	{0.75, "to ¾"},
	{1, "to 1"},
	{1.5, "1 to 1½"},
	{2.5, "to 2½"},
	{1e300, "more"},
}

// sampledEndpoints returns the endpoints whose load is known.
func sampledEndpoints(r *result.Result) []result.Endpoint {
	return slices.DeleteFunc(slices.Clone(r.Endpoints), func(e result.Endpoint) bool { return e.Samples == 0 })
}

// heatmap draws a row for each endpoint with a cell for each second, coloured by the work sent to it over the work that it
// could do in that second.
func heatmap(f *frame, all []result.Endpoint) plot {
	p := plot{
		Title:       "Load of each box",
		Description: "Work that reached it over what it could do in that second, cold starts and slowness counted.",
	}
	for i, step := range loadSteps {
		p.Legend = append(p.Legend, legendEntry{stepClass(i), step.label})
	}
	p.Legend = append(p.Legend, legendEntry{"down", "down"}, legendEntry{"hit", "down, yet sent work"}, legendEntry{"cold", "cold (underlined)"})
	endpoints := highestPeaks(all)
	if len(endpoints) < len(all) {
		p.Description += fmt.Sprintf(" The %d of %d boxes with the highest peaks.", len(endpoints), len(all))
	}
	height := rowHeight
	if len(endpoints) > maxTallRows {
		height = denseRowHeight
	}
	p.SVG = f.draw(height*float64(len(endpoints)), p.Title, heatmapStyle, func(s *svg, top, _ float64) {
		for i, endpoint := range endpoints {
			y := top + float64(i)*height
			f.drawHeatmapRow(s, &endpoint, y, height)
			if i > 0 && endpoint.Tier != endpoints[i-1].Tier {
				s.line(left, y, width-right, y, "tick")
			}
		}
	})
	return p
}

// drawHeatmapRow draws one endpoint. Neighbouring cells of one colour are one shape.
func (f *frame) drawHeatmapRow(s *svg, e *result.Endpoint, y, height float64) {
	cells := map[string]*strings.Builder{}
	for from, to := 0, 0; from < len(e.SentWork); from = to {
		class := cellClass(e, from)
		for to = from + 1; to < len(e.SentWork) && cellClass(e, to) == class; to++ {
		}
		if cells[class] == nil {
			cells[class] = &strings.Builder{}
		}
		x := coord(f.x(float64(from)))
		fmt.Fprintf(cells[class], "M%s %sH%sv%sH%sZ", x, coord(y+0.5), coord(f.x(float64(to))), coord(height-1), x)
	}
	var warmingUp strings.Builder
	for i, is := range e.WarmingUp {
		if is {
			fmt.Fprintf(&warmingUp, "M%s %sH%s", coord(f.x(float64(i))), coord(y+height-1.5), coord(f.x(float64(i+1))))
		}
	}
	s.printf("<g><title>%s</title>", html.EscapeString(rowTitle(e)))
	for _, class := range cellClasses() {
		if path := cells[class]; path != nil {
			s.path(path.String(), "fill "+class)
		}
	}
	s.path(warmingUp.String(), "coldline")
	nameClass := "name"
	if e.Collapsed {
		nameClass = "name fell"
	}
	s.text(left-8, y+height/2+3.5, "end", nameClass, shortName(e.Name))
	s.printf("</g>")
}

func shortName(name string) string {
	if runes := []rune(name); len(runes) > maxNameLength {
		return string(runes[:maxNameLength-1]) + "…"
	}
	return name
}

func stepClass(step int) string { return fmt.Sprintf("h%d", step) }

// cellClass returns the class of an endpoint's second.
func cellClass(e *result.Endpoint, second int) string {
	if e.PossibleWork[second] < minPossibleWork {
		if e.SentWork[second] > 0 {
			return "hit"
		}
		return "down"
	}
	load := e.SentWork[second] / e.PossibleWork[second]
	return stepClass(slices.IndexFunc(loadSteps, func(s loadStep) bool { return load < s.below }))
}

// cellClasses returns the classes of cells in the order in which they are drawn.
func cellClasses() []string {
	out := []string{"down", "hit"}
	for i := range loadSteps {
		out = append(out, stepClass(i))
	}
	return out
}

// rowTitle returns what a pointer on a row shows.
func rowTitle(e *result.Endpoint) string {
	peak, at := peakLoad(e)
	text := fmt.Sprintf("%s (%s): highest load %.2f, in second %d", e.Name, e.Kind, peak, at)
	if e.MaxColdLoad > 0 {
		text += fmt.Sprintf("; while cold at most %.2f in a window", e.MaxColdLoad)
	}
	if e.Collapsed {
		text += "; fell over"
	}
	return text
}

// peakLoad returns an endpoint's highest load in a second, and in which one.
func peakLoad(e *result.Endpoint) (peak float64, second int) {
	for i, possible := range e.PossibleWork {
		if possible >= minPossibleWork && e.SentWork[i]/possible > peak {
			peak, second = e.SentWork[i]/possible, i
		}
	}
	return peak, second
}

// highestPeaks returns the maxRows endpoints with the highest peaks of load, in the order given.
func highestPeaks(endpoints []result.Endpoint) []result.Endpoint {
	if len(endpoints) <= maxRows {
		return endpoints
	}
	order := make([]int, len(endpoints))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		peakA, _ := peakLoad(&endpoints[a])
		peakB, _ := peakLoad(&endpoints[b])
		return cmp.Compare(peakB, peakA)
	})
	order = order[:maxRows]
	slices.Sort(order)
	out := make([]result.Endpoint, 0, maxRows)
	for _, i := range order {
		out = append(out, endpoints[i])
	}
	return out
}
