package report

import (
	"fmt"
	"unicode/utf8"

	"pinelb.example/pinelb/internal/lab/result"
)

// maxNamedLanes of faults are drawn with their names; beyond that each is drawn with its number in the table of
// faults, so that an incident of thirty faults leaves room for what it did.
const maxNamedLanes = 6

// band is a fault as every plot shows it: a bar with a label above, its shade and its edges in the plot.
type band struct {
	from, to float64 // seconds
	label    string
	lane     int
}

// placeBands gives each fault a lane in which neither its bar nor its label meets another's.
func placeBands(marks []result.FaultImpact, x func(float64) float64) (out []band, lanes int) {
	out, lanes = packLanes(marks, x, func(i int) string { return fmt.Sprintf("%d %s", i+1, marks[i].Description) })
	if lanes > maxNamedLanes {
		out, lanes = packLanes(marks, x, func(i int) string { return fmt.Sprint(i + 1) })
	}
	return out, lanes
}

func packLanes(marks []result.FaultImpact, x func(float64) float64, label func(int) string) (out []band, lanes int) {
	var ends []float64 // of each lane
	for i, m := range marks {
		b := band{from: m.From, to: m.To, label: label(i), lane: -1}
		start, end := b.extent(x)
		for lane := range ends {
			if b.lane < 0 && ends[lane] <= start {
				b.lane = lane
			}
		}
		if b.lane < 0 {
			b.lane, ends = len(ends), append(ends, 0)
		}
		ends[b.lane] = end + 6
		out = append(out, b)
	}
	return out, len(ends)
}

// extent is from where to where its bar and label go.
func (b *band) extent(x func(float64) float64) (from, to float64) {
	words := b.labelX(x)
	return min(x(b.from), words), max(b.barEnd(x), words+b.labelWidth())
}

// end is where its bar ends; one of no length can still be seen.
func (b *band) barEnd(x func(float64) float64) float64 { return max(x(b.to), x(b.from)+3) }

func (b *band) labelWidth() float64 { return charWidth*float64(utf8.RuneCountInString(b.label)) + 8 }

// words is where its label begins: within the bar, else behind it, else before it, else from its
// start on or, where that is too far right, so that it ends with the plot.
func (b *band) labelX(x func(float64) float64) float64 {
	from, end := x(b.from), b.barEnd(x)
	switch wide := b.labelWidth(); {
	case wide <= end-from:
		return from
	case end+wide <= width-right:
		return end
	case from-wide >= left:
		return from - wide
	default:
		return max(left, min(from, width-right-wide))
	}
}
