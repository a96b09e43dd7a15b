package report

import (
	"fmt"
	"html/template"

	"pinelb.example/pinelb/internal/lab/result"
)

// plot is a drawing with what is said about it.
type plot struct {
	Title, About string
	Legend       []key
	SVG          template.HTML
}

// key is an entry of a legend. It stands outside the drawing, where it covers nothing.
type key struct{ Class, Words string }

// frame is what all plots of a page share: the time axis and the faults.
type frame struct {
	seconds float64
	bands   []band
	lanes   int
}

func newFrame(r *result.Result) *frame {
	f := &frame{seconds: max(float64(len(r.Seconds)), 1)}
	f.bands, f.lanes = bandsOf(r.FaultImpacts, f.x)
	return f
}

func (f *frame) x(second float64) float64 {
	return left + min(max(second/f.seconds, 0), 1)*(width-left-right)
}

// top is where the plot's own part begins, below the faults' bars.
func (f *frame) top() float64 { return 4 + laneTall*float64(f.lanes) }

// How strongly faults shade a plot, and what its time axis counts. Where colours of the plot's own fill it,
// shades would make others of them: there the faults' edges and the bars above have to do.
type ground struct{ under, over, axis string }

var (
	ofRequests = ground{"shade", "", "seconds from the start, by when requests were due"}
	ofShares   = ground{"", "shade faint", ofRequests.axis}
	ofBoxes    = ground{"shade", "", "seconds from the start"}
	ofCells    = ground{"", "", ofBoxes.axis}
)

// draw makes a plot of that height: the faults' shades, under or over what inside draws, their edges and bars,
// and the time axis.
func (f *frame) draw(tall float64, title string, on ground, inside func(s *svg, top, bottom float64)) template.HTML {
	s := &svg{}
	top := f.top()
	bottom := top + tall
	s.put(`<svg viewBox="0 0 %s %s" role="img" aria-label="%s">`, n(width), n(bottom+axisTall), template.HTMLEscapeString(title))
	s.rect(left, top, width-left-right, tall, "ground")
	f.shade(s, top, tall, on.under)
	inside(s, top, bottom)
	f.shade(s, top, tall, on.over)
	for i := range f.bands {
		b := &f.bands[i]
		from, to := f.x(b.from), max(f.x(b.to), f.x(b.from)+1.5)
		for _, x := range []float64{from, to} {
			s.line(x, top, x, bottom, "edge")
		}
		y := 2 + laneTall*float64(b.lane)
		s.rect(from, y, b.end(f.x)-from, laneTall-3, "bar")
		s.text(b.words(f.x)+4, y+10, "start", "band", b.label)
	}
	step := timeStep(f.seconds)
	for at := 0.0; at <= f.seconds; at += step {
		x := f.x(at)
		s.line(x, bottom, x, bottom+4, "tick")
		s.text(x, bottom+16, "middle", "axis", fmt.Sprintf("%g", at))
	}
	s.text((left+width-right)/2, bottom+30, "middle", "axis", on.axis)
	s.put("</svg>")
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
