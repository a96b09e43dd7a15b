package report

import (
	"fmt"
	"html/template"

	"pinelb.example/pinelb/internal/lab/result"
)

// plot is a drawing with its caption.
type plot struct {
	Title, Description string
	Legend             []legendEntry
	SVG                template.HTML
}

// legendEntry is an entry of a legend, which stands outside the drawing.
type legendEntry struct{ Class, Label string }

// frame is what all plots of a page have in common: the time axis and the faults.
type frame struct {
	seconds float64 // length of the time axis
	bands   []band
	lanes   int // of the bands
}

func newFrame(r *result.Result) *frame {
	f := &frame{seconds: max(float64(len(r.Seconds)), 1)}
	f.bands, f.lanes = placeBands(r.FaultImpacts, f.x)
	return f
}

func (f *frame) x(second float64) float64 {
	return left + min(max(second/f.seconds, 0), 1)*(width-left-right)
}

// plotTop returns where the plot's own part begins, below the faults' bars.
func (f *frame) plotTop() float64 { return 4 + laneHeight*float64(f.lanes) }

// plotStyle is how faults are shaded in a plot, and what its time axis counts. A shade would change the colours of a plot
// that is filled with colours of its own: there the bands' edges and bars have to do.
type plotStyle struct {
	shadeBelow string // class of the shade below the plot's own part; "" is none
	shadeAbove string // class of the shade above it; "" is none
	timeLabel  string
}

var (
	requestStyle  = plotStyle{shadeBelow: "shade", timeLabel: "seconds from the start, by when requests were due"}
	shareStyle    = plotStyle{shadeAbove: "shade faint", timeLabel: requestStyle.timeLabel}
	endpointStyle = plotStyle{shadeBelow: "shade", timeLabel: "seconds from the start"}
	heatmapStyle  = plotStyle{timeLabel: endpointStyle.timeLabel}
)

// draw draws a plot of that height: the faults' shades, below or above what content draws between top and bottom, their
// edges and bars, and the time axis.
func (f *frame) draw(height float64, title string, style plotStyle, content func(s *svg, top, bottom float64)) template.HTML {
	s := &svg{}
	top := f.plotTop()
	bottom := top + height
	s.printf(`<svg viewBox="0 0 %s %s" role="img" aria-label="%s">`, coord(width), coord(bottom+axisHeight), template.HTMLEscapeString(title))
	s.rect(left, top, width-left-right, height, "ground")
	f.shade(s, top, height, style.shadeBelow)
	content(s, top, bottom)
	f.shade(s, top, height, style.shadeAbove)
	f.drawBands(s, top, bottom)
	f.drawTimeAxis(s, bottom, style.timeLabel)
	s.printf("</svg>")
	return template.HTML(s.String()) // every text in it went through EscapeString
}

func (f *frame) drawBands(s *svg, top, bottom float64) {
	for i := range f.bands {
		b := &f.bands[i]
		from, to := f.shadeRange(b)
		for _, x := range []float64{from, to} {
			s.line(x, top, x, bottom, "edge")
		}
		y := 2 + laneHeight*float64(b.lane)
		s.rect(from, y, b.barEnd(f.x)-from, laneHeight-3, "bar")
		s.text(b.labelX(f.x)+labelPadding/2, y+10, "start", "band", b.label)
	}
}

func (f *frame) drawTimeAxis(s *svg, y float64, label string) {
	step := timeStep(f.seconds)
	for at := 0.0; at <= f.seconds; at += step {
		x := f.x(at)
		s.line(x, y, x, y+4, "tick")
		s.text(x, y+16, "middle", "axis", fmt.Sprintf("%g", at))
	}
	s.text((left+width-right)/2, y+30, "middle", "axis", label)
}

// shade draws the faults' shades of that class, none if it is "".
func (f *frame) shade(s *svg, top, height float64, class string) {
	if class == "" {
		return
	}
	for i := range f.bands {
		from, to := f.shadeRange(&f.bands[i])
		s.rect(from, top, to-from, height, class)
	}
}

// shadeRange returns the horizontal range of a fault's shade.
func (f *frame) shadeRange(b *band) (from, to float64) {
	from = f.x(b.from)
	return from, max(f.x(b.to), from+minBandWidth)
}

// grid draws the values' axis and its lines.
func grid(s *svg, y scale, format func(float64) string) {
	for _, v := range y.ticks() {
		s.line(left, y.y(v), width-right, y.y(v), "grid")
		s.text(left-8, y.y(v)+4, "end", "axis", format(v))
	}
}
