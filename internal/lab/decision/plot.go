package decision

import (
	"fmt"
	"html"
	"strings"
)

// Dimensions of the plot, in pixels.
const (
	plotWidth  = 760
	plotLeft   = 260
	barHeight  = 18
	barGap     = 8
	plotTop    = 40
	labelSize  = 12
	valueWidth = 60 // right of the longest bar
	legendStep = 140
)

// causes are the segments of a bar.
var causes = []struct {
	name, colour string
	share        func(*Row) float64
}{
	{"impossible alone", "#999999", func(r *Row) float64 { return r.Impossible }},
	{"first token", "#d55e00", func(r *Row) float64 { return r.LateFirst }},
	{"pause", "#0072b2", func(r *Row) float64 { return r.Stalled }},
}

// Plot draws the shares of late calls by cause as SVG, with a bar for each row.
func Plot(rows []Row) []byte {
	maxLate := 1.0
	for i := range rows {
		maxLate = max(maxLate, rows[i].Late)
	}
	scale := float64(plotWidth-plotLeft-valueWidth) / maxLate
	var out strings.Builder
	fmt.Fprintf(&out, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="%d">`,
		plotWidth, plotTop+len(rows)*(barHeight+barGap), labelSize)
	out.WriteString(`<rect width="100%" height="100%" fill="white"/>`)
	x := plotLeft
	for _, cause := range causes {
		fmt.Fprintf(&out, `<rect x="%d" y="12" width="12" height="12" fill="%s"/><text x="%d" y="23">%s</text>`, x, cause.colour, x+16, cause.name)
		x += legendStep
	}
	for i := range rows {
		r := &rows[i]
		y := plotTop + i*(barHeight+barGap)
		fmt.Fprintf(&out, `<text x="%d" y="%d" text-anchor="end">%s</text>`, plotLeft-8, y+13,
			html.EscapeString(fmt.Sprintf("%s, %s, %s", r.Day, r.Scheduler, r.Class)))
		left := float64(plotLeft)
		for _, cause := range causes {
			width := scale * cause.share(r)
			fmt.Fprintf(&out, `<rect x="%.1f" y="%d" width="%.1f" height="%d" fill="%s"/>`, left, y, width, barHeight, cause.colour)
			left += width
		}
		fmt.Fprintf(&out, `<text x="%.1f" y="%d">%.1f %%</text>`, left+6, y+13, r.Late)
	}
	out.WriteString("</svg>\n")
	return []byte(out.String())
}
