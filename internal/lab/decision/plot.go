package decision

import (
	"fmt"
	"html"
	"strings"
)

// Sizes of the plot, in pixels.
const (
	plotWidth  = 760
	plotLeft  = 260
	barHeight   = 18
	barGap    = 8
	plotTop   = 40
	labelSize = 12
)

// causes are the parts of a bar.
var causes = []struct {
	name, colour string
	share        func(*Row) float64
}{
	{"impossible alone", "#999999", func(r *Row) float64 { return r.Impossible }},
	{"first token", "#d55e00", func(r *Row) float64 { return r.LateFirst }},
	{"pause", "#0072b2", func(r *Row) float64 { return r.Stalled }},
}

// Plot draws the shares that are late, by cause, as SVG: a bar a row.
func Plot(rows []Row) []byte {
	most := 1.0
	for i := range rows {
		most = max(most, rows[i].Late)
	}
	scale := float64(plotWidth-plotLeft-60) / most
	var out strings.Builder
	fmt.Fprintf(&out, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="%d">`,
		plotWidth, plotTop+len(rows)*(barHeight+barGap), labelSize)
	out.WriteString(`<rect width="100%" height="100%" fill="white"/>`)
	x := plotLeft
	for _, cause := range causes {
		fmt.Fprintf(&out, `<rect x="%d" y="12" width="12" height="12" fill="%s"/><text x="%d" y="23">%s</text>`, x, cause.colour, x+16, cause.name)
		x += 140
	}
	for i := range rows {
		r := &rows[i]
		y := plotTop + i*(barHeight+barGap)
		fmt.Fprintf(&out, `<text x="%d" y="%d" text-anchor="end">%s</text>`, plotLeft-8, y+13,
			html.EscapeString(fmt.Sprintf("%s, %s, %s", r.Day, r.Scheduler, r.Class)))
		at := float64(plotLeft)
		for _, cause := range causes {
			wide := scale * cause.share(r)
			fmt.Fprintf(&out, `<rect x="%.1f" y="%d" width="%.1f" height="%d" fill="%s"/>`, at, y, wide, barHeight, cause.colour)
			at += wide
		}
		fmt.Fprintf(&out, `<text x="%.1f" y="%d">%.1f %%</text>`, at+6, y+13, r.Late)
	}
	out.WriteString("</svg>\n")
	return []byte(out.String())
}
