package report

import (
	"fmt"
	"html"
	"slices"
	"strings"

	"pinelb.example/pinelb/internal/lab/result"
)

// maxRows of boxes are drawn: more would be lines of a few pixels that nobody can name.
const maxRows = 80

// steps of load over present capacity. Up to 1 a box keeps up; from 1 on its queue grows.
var loadSteps = []struct {
	below float64
	words string
}{{0.25, "under ¼"}, {0.5, "to ½"}, {0.75, "to ¾"}, {1, "to 1"}, {1.5, "1 to 1½"}, {2.5, "to 2½"}, {1e300, "more"}}

// sampled are the boxes whose load is known.
func sampledEndpoints(r *result.Result) []result.Endpoint {
	return slices.DeleteFunc(slices.Clone(r.Endpoints), func(b result.Endpoint) bool { return b.Samples == 0 })
}

// heat is a row for each box and a cell for each second, coloured by the work sent to it over what it could
// do in that second.
func heatmap(f *frame, all []result.Endpoint) plot {
	p := plot{Title: "Load of each box", Description: "Work that reached it over what it could do in that second, cold starts and slowness counted."}
	for i, step := range loadSteps {
		p.Legend = append(p.Legend, legendEntry{fmt.Sprintf("h%d", i), step.words})
	}
	p.Legend = append(p.Legend, legendEntry{"down", "down"}, legendEntry{"hit", "down, yet sent work"}, legendEntry{"cold", "cold (underlined)"})
	boxes := highestPeaks(all)
	if len(boxes) < len(all) {
		p.Description += fmt.Sprintf(" The %d of %d boxes with the highest peaks.", len(boxes), len(all))
	}
	tall := 18.0
	if len(boxes) > 16 {
		tall = 12
	}
	p.SVG = f.draw(tall*float64(len(boxes)), p.Title, heatmapStyle, func(s *svg, top, _ float64) {
		for i, b := range boxes {
			f.drawHeatmapRow(s, &b, top+float64(i)*tall, tall)
			if i > 0 && b.Tier != boxes[i-1].Tier {
				s.line(left, top+float64(i)*tall, width-right, top+float64(i)*tall, "tick")
			}
		}
	})
	return p
}

// row draws one box. Neighbouring cells of one colour are one piece.
func (f *frame) drawHeatmapRow(s *svg, b *result.Endpoint, y, tall float64) {
	cells := map[string]*strings.Builder{}
	var cold strings.Builder
	for from, to := 0, 0; from < len(b.SentWork); from = to {
		class := cellClass(b, from)
		for to = from + 1; to < len(b.SentWork) && cellClass(b, to) == class; to++ {
		}
		if cells[class] == nil {
			cells[class] = &strings.Builder{}
		}
		fmt.Fprintf(cells[class], "M%s %sH%sv%sH%sZ", coord(f.x(float64(from))), coord(y+0.5), coord(f.x(float64(to))), coord(tall-1), coord(f.x(float64(from))))
	}
	for i, is := range b.WarmingUp {
		if is {
			fmt.Fprintf(&cold, "M%s %sH%s", coord(f.x(float64(i))), coord(y+tall-1.5), coord(f.x(float64(i+1))))
		}
	}
	s.printf("<g><title>%s</title>", html.EscapeString(rowTitle(b)))
	for _, class := range cellClasses() {
		if d := cells[class]; d != nil {
			s.path(d.String(), "fill "+class)
		}
	}
	s.path(cold.String(), "coldline")
	name := b.Name
	if runes := []rune(name); len(runes) > 13 {
		name = string(runes[:12]) + "…"
	}
	s.text(left-8, y+tall/2+3.5, "end", map[bool]string{true: "name fell", false: "name"}[b.Collapsed], name)
	s.printf("</g>")
}

// cell is the class of a box's second.
func cellClass(b *result.Endpoint, i int) string {
	// A thousandth of a core is the rounding of a box that was up for some microseconds of the second.
	if b.PossibleWork[i] < 1e-3 {
		if b.SentWork[i] > 0 {
			return "hit"
		}
		return "down"
	}
	load := b.SentWork[i] / b.PossibleWork[i]
	return fmt.Sprintf("h%d", slices.IndexFunc(loadSteps, func(s struct {
		below float64
		words string
	}) bool {
		return load < s.below
	}))
}

func cellClasses() []string {
	out := []string{"down", "hit"}
	for i := range loadSteps {
		out = append(out, fmt.Sprintf("h%d", i))
	}
	return out
}

// rowTitle is what a pointer on a row shows.
func rowTitle(b *result.Endpoint) string {
	peak, at := peakLoad(b)
	text := fmt.Sprintf("%s (%s): highest load %.2f, in second %d", b.Name, b.Kind, peak, at)
	if b.MaxColdLoad > 0 {
		text += fmt.Sprintf("; while cold at most %.2f in a window", b.MaxColdLoad)
	}
	if b.Collapsed {
		text += "; fell over"
	}
	return text
}

func peakLoad(b *result.Endpoint) (peak float64, at int) {
	for i := range b.SentWork {
		if b.PossibleWork[i] >= 1e-3 && b.SentWork[i]/b.PossibleWork[i] > peak {
			peak, at = b.SentWork[i]/b.PossibleWork[i], i
		}
	}
	return peak, at
}

// hottest are the boxes to draw, in their order.
func highestPeaks(boxes []result.Endpoint) []result.Endpoint {
	if len(boxes) <= maxRows {
		return boxes
	}
	order := make([]int, len(boxes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, _ := peakLoad(&boxes[a])
		y, _ := peakLoad(&boxes[b])
		if x > y {
			return -1
		}
		if x < y {
			return 1
		}
		return 0
	})
	order = order[:maxRows]
	slices.Sort(order)
	out := make([]result.Endpoint, 0, maxRows)
	for _, i := range order {
		out = append(out, boxes[i])
	}
	return out
}
