package report

import (
	"fmt"
	"html/template"

	"pinelb.example/pinelb/internal/lab/result"
)

// plot is a drawing with what is said about it.
type plot struct {
	Title, Description string
	Legend             []legendEntry
	SVG                template.HTML
}

// key is an entry of a legend. It stands outside the drawing, where it covers nothing.
type legendEntry struct{ Class, Label string }

// frame is what all plots of a page share: the time axis and the faults.
type frame struct {
	seconds float64
	bands   []band
	lanes   int
}

func newFrame(r *result.Result) *frame {
	f := &frame{seconds: max(float64(len(r.Seconds)), 1)}
	f.bands, f.lanes = placeBands(r.FaultImpacts, f.x)
	return f
}

func (f *frame) x(second float64) float64 {
	return left + min(max(second/f.seconds, 0), 1)*(width-left-right)
}

// top is where the plot's own part begins, below the faults' bars.
func (f *frame) plotTop() float64 { return 4 + laneHeight*float64(f.lanes) }

// How strongly faults shade a plot, and what its time axis counts. Where colours of the plot's own fill it,
// shades would make others of them: there the faults' edges and the bars above have to do.
type plotStyle struct{ shadeBelow, shadeAbove, timeLabel string }

var (
	requestStyle  = plotStyle{"shade", "", "seconds from the start, by when requests were due"}
	shareStyle    = plotStyle{"", "shade faint", requestStyle.timeLabel}
	endpointStyle = plotStyle{"shade", "", "seconds from the start"}
	heatmapStyle  = plotStyle{"", "", endpointStyle.timeLabel}
)

// draw makes a plot of that height: the faults' shades, under or over what inside draws, their edges and bars,
// and the time axis.
func (f *frame) draw(tall float64, title string, on plotStyle, inside func(s *svg, top, bottom float64)) template.HTML {
	s := &svg{}
	top := f.plotTop()
	bottom := top + tall
	s.printf(`<svg viewBox="0 0 %s %s" role="img" aria-label="%s">`, coord(width), coord(bottom+axisHeight), template.HTMLEscapeString(title))
	s.rect(left, top, width-left-right, tall, "ground")
	f.shade(s, top, tall, on.shadeBelow)
	inside(s, top, bottom)
	f.shade(s, top, tall, on.shadeAbove)
	for i := range f.bands {
		b := &f.bands[i]
		from, to := f.x(b.from), max(f.x(b.to), f.x(b.from)+1.5)
		for _, x := range []float64{from, to} {
			s.line(x, top, x, bottom, "edge")
		}
		y := 2 + laneHeight*float64(b.lane)
		s.rect(from, y, b.barEnd(f.x)-from, laneHeight-3, "bar")
		s.text(b.labelX(f.x)+4, y+10, "start", "band", b.label)
	}
	step := timeStep(f.seconds)
	for at := 0.0; at <= f.seconds; at += step {
		x := f.x(at)
		s.line(x, bottom, x, bottom+4, "tick")
		s.text(x, bottom+16, "middle", "axis", fmt.Sprintf("%g", at))
	}
	s.text((left+width-right)/2, bottom+30, "middle", "axis", on.timeLabel)
	s.printf("</svg>")
	return template.HTML(s.String()) // every text in it went through EscapeString
}

// shade draws the faults' shades; a class of "" is none.
func (f *frame) shade(s *svg, top, tall float64, class string) {
	for i := range f.bands {
		if b := &f.bands[i]; class != "" {
			s.rect(f.x(b.from), top, max(f.x(b.to)-f.x(b.from), 1.5), tall, class)
		}
	}
}

// grid draws the values' axis.
func grid(s *svg, y scale, word func(float64) string) {
	for _, v := range y.ticks() {
		s.line(left, y.y(v), width-right, y.y(v), "grid")
		s.text(left-8, y.y(v)+4, "end", "axis", word(v))
	}
}
