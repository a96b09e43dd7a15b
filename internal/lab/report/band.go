package report

import (
	"fmt"
	"unicode/utf8"

	"pinelb.example/pinelb/internal/lab/result"
)

// maxNamedLanes is up to how many lanes the faults are labelled with their names. Beyond that each is labelled with its
// number in the table of faults, so that an incident of thirty faults leaves room for the plot itself.
const maxNamedLanes = 6

const (
	bandGap      = 6.0 // between two bands of a lane
	minBarWidth  = 3.0
	minBandWidth = 1.5 // of the shade in the plot
	labelPadding = 8.0 // both sides
)

// band is a fault as every plot shows it: a bar with a label above the plot, and a shade with edges in it.
type band struct {
	from, to float64 // seconds
	label    string
	lane     int // from the top
}

// placeBands assigns each fault to a lane in which neither its bar nor its label overlaps another one. x maps seconds to
// the horizontal axis.
func placeBands(faults []result.FaultImpact, x func(float64) float64) (out []band, lanes int) {
	out, lanes = packLanes(faults, x, func(i int) string { return fmt.Sprintf("%d %s", i+1, faults[i].Description) })
	if lanes > maxNamedLanes {
		out, lanes = packLanes(faults, x, func(i int) string { return fmt.Sprint(i + 1) })
	}
	return out, lanes
}

func packLanes(faults []result.FaultImpact, x func(float64) float64, label func(int) string) (out []band, lanes int) {
	var ends []float64 // of each lane, where its last band ends
	for i, fault := range faults {
		b := band{from: fault.From, to: fault.To, label: label(i), lane: -1}
		start, end := b.extent(x)
		for lane := range ends {
			if b.lane < 0 && ends[lane] <= start {
				b.lane = lane
			}
		}
		if b.lane < 0 {
			b.lane = len(ends)
			ends = append(ends, 0)
		}
		ends[b.lane] = end + bandGap
		out = append(out, b)
	}
	return out, len(ends)
}

// extent returns the horizontal range of the bar and its label.
func (b *band) extent(x func(float64) float64) (from, to float64) {
	label := b.labelX(x)
	return min(x(b.from), label), max(b.barEnd(x), label+b.labelWidth())
}

// barEnd returns where the bar ends. A bar without length is drawn wide enough to be seen.
func (b *band) barEnd(x func(float64) float64) float64 { return max(x(b.to), x(b.from)+minBarWidth) }

func (b *band) labelWidth() float64 {
	return charWidth*float64(utf8.RuneCountInString(b.label)) + labelPadding
}

// labelX returns where the label begins: within the bar, else behind it, else before it, else at the bar's start or, where
// that is too far to the right, so that the label ends with the plot.
func (b *band) labelX(x func(float64) float64) float64 {
	from, end := x(b.from), b.barEnd(x)
	switch labelWidth := b.labelWidth(); {
	case labelWidth <= end-from:
		return from
	case end+labelWidth <= width-right:
		return end
	case from-labelWidth >= left:
		return from - labelWidth
	default:
		return max(left, min(from, width-right-labelWidth))
	}
}
