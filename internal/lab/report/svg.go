package report

import (
	"fmt"
	"html"
	"math"
	"strconv"
	"strings"
)

// Sizes of a plot, in its own units, which are pixels where the window is wide enough. All plots have the same width and
// margins, so that a moment is at the same place in each.
const (
	width      = 960.0
	left       = 88.0
	right      = 14.0
	charWidth  = 6.1 // of the 11 px text, wide enough for most fonts
	laneHeight = 16.0
	axisHeight = 34.0
)

// svg is a drawing. Its colours and fonts are the page's, by CSS class.
type svg struct{ strings.Builder }

func (s *svg) printf(format string, args ...any) { fmt.Fprintf(s, format, args...) }

func (s *svg) text(x, y float64, anchor, class, content string) {
	s.printf(`<text x="%s" y="%s" text-anchor="%s" class="%s">%s</text>`, coord(x), coord(y), anchor, class, html.EscapeString(content))
}

func (s *svg) line(x1, y1, x2, y2 float64, class string) {
	s.printf(`<line x1="%s" y1="%s" x2="%s" y2="%s" class="%s"/>`, coord(x1), coord(y1), coord(x2), coord(y2), class)
}

func (s *svg) rect(x, y, w, h float64, class string) {
	s.printf(`<rect x="%s" y="%s" width="%s" height="%s" class="%s"/>`, coord(x), coord(y), coord(w), coord(h), class)
}

func (s *svg) path(d, class string) {
	if d != "" {
		s.printf(`<path d="%s" class="%s"/>`, d, class)
	}
}

// coord formats a coordinate, rounded to a tenth.
func coord(v float64) string { return strconv.FormatFloat(math.Round(v*10)/10, 'f', -1, 64) }
