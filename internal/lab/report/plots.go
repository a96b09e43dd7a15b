package report

import (
	"fmt"
	"strings"

	"pinelb.example/pinelb/internal/lab/result"
)

const (
	plotHeight         = 170.0
	maxTargetLatencies = 4 // lines of aims; more would hide the latencies
)

// plots are all of a page, on one time axis.
func plots(r *result.Result) []plot {
	f := newFrame(r)
	out := []plot{outcomePlot(f, r), ratePlot(f, r), attemptPlot(f, r), latencyPlot(f, r)}
	if boxes := sampledEndpoints(r); len(boxes) > 0 {
		out = append(out, heatmap(f, boxes), queuePlot(f, boxes, len(r.Seconds)))
	}
	if r.FleetLoad != nil {
		out = append(out, fleetLoadPlot(f, r.FleetLoad))
	}
	return out
}

// outcomes is the shares of what became of the requests, stacked, with the service as a line.
func outcomePlot(f *frame, r *result.Result) plot {
	p := plot{Title: "Outcomes and service", Description: "What became of the requests due in each second, as shares of those asked.",
		Legend: []legendEntry{{"served", "served in aim"}, {"late", "late"}, {"refused", "refused"}, {"failed", "failed"}, {"gone", "left by the client"}, {"l0", "service (line)"}}}
	y := scale{from: shareScaleStart(r), to: 1}
	if y.from > 0 {
		p.Description += fmt.Sprintf(" The scale begins at %.0f%%.", 100*y.from)
	}
	p.SVG = f.draw(plotHeight, p.Title, shareStyle, func(s *svg, top, bottom float64) {
		y.top, y.bottom = top, bottom
		areas := make([]strings.Builder, 5)
		for i := range r.Seconds {
			c := &r.Seconds[i]
			if c.Requested == 0 {
				continue
			}
			below := 0
			for k, v := range []int{c.Served, c.Late, c.Rejected, c.Failed, c.Canceled} {
				if v > 0 {
					addColumn(&areas[k], f, i, y.y(float64(below+v)/float64(c.Requested)), y.y(float64(below)/float64(c.Requested)))
				}
				below += v
			}
		}
		for k, class := range []string{"served", "late", "refused", "failed", "gone"} {
			s.path(areas[k].String(), "fill "+class)
		}
		grid(s, y, func(v float64) string { return fmt.Sprintf("%.0f%%", 100*v) })
		service := f.curve(len(r.Seconds), y, func(i int) (float64, bool) { return r.Seconds[i].Goodput, r.Seconds[i].Requested > 0 })
		s.path(service, "halo")
		s.path(service, "stroke l0")
		noteIfEmpty(s, r.All.Requested == 0, top, bottom, "no request was asked")
	})
	return p
}

// lowest is where the scale of shares begins, so that losses of a few per cent can be seen.
func shareScaleStart(r *result.Result) float64 {
	worst := 1.0
	for i := range r.Seconds {
		if c := &r.Seconds[i]; c.Requested > 0 {
			worst = min(worst, c.Goodput, float64(c.Served)/float64(c.Requested))
		}
	}
	for _, from := range []float64{0.9, 0.8, 0.6} {
		if r.All.Requested > 0 && worst > from+0.01 {
			return from
		}
	}
	return 0
}

// column adds the box of one second to a path.
func addColumn(to *strings.Builder, f *frame, second int, top, bottom float64) {
	a, b := f.x(float64(second)), f.x(float64(second+1))
	fmt.Fprintf(to, "M%s %sH%sV%sH%sZ", coord(a), coord(top), coord(b), coord(bottom), coord(a))
}

// curve is a line through the middles of the seconds whose value is known. A lone second is a dot.
func (f *frame) curve(seconds int, y scale, value func(int) (float64, bool)) string {
	var out strings.Builder
	drawing := false
	for i := range seconds {
		v, known := value(i)
		switch {
		case known && drawing:
			fmt.Fprintf(&out, "L%s %s", coord(f.x(float64(i)+0.5)), coord(y.y(v)))
		case known:
			fmt.Fprintf(&out, "M%s %sh0.01", coord(f.x(float64(i)+0.5)), coord(y.y(v)))
		}
		drawing = known
	}
	return out.String()
}

// curves is a plot of lines over a scale from 0.
func linePlot(f *frame, r *result.Result, p plot, least float64, word func(float64) string, lines ...func(*result.Second) float64) plot {
	highest := 0.0
	for i := range r.Seconds {
		for _, line := range lines {
			highest = max(highest, line(&r.Seconds[i]))
		}
	}
	y := linearScale(highest, least)
	p.SVG = f.draw(plotHeight, p.Title, requestStyle, func(s *svg, top, bottom float64) {
		y.top, y.bottom = top, bottom
		grid(s, y, word)
		for k, line := range lines {
			s.path(f.curve(len(r.Seconds), y, func(i int) (float64, bool) { return line(&r.Seconds[i]), r.Seconds[i].Requested > 0 }), "stroke "+p.Legend[k].Class)
		}
		noteIfEmpty(s, r.All.Requested == 0, top, bottom, "no request was asked")
	})
	return p
}

func ratePlot(f *frame, r *result.Result) plot {
	p := plot{Title: "Requests, tries and refusals", Description: "A second: requests due, the tries that their clients made of them, and the answers 503 or 429 that they got.",
		Legend: []legendEntry{{"l1", "requests"}, {"l2", "tries"}, {"l3", "refusals"}}}
	return linePlot(f, r, p, 4, formatNumber, func(c *result.Second) float64 { return float64(c.Requested) },
		func(c *result.Second) float64 { return float64(c.ClientAttempts) }, func(c *result.Second) float64 { return float64(c.Rejections) })
}

func attemptPlot(f *frame, r *result.Result) plot {
	p := plot{Title: "Attempts a request", Description: "Visits to boxes of each tier, and those of them that began while another of the same try was open."}
	var lines []func(*result.Second) float64
	for t, name := range r.Tiers {
		p.Legend = append(p.Legend, legendEntry{fmt.Sprintf("l%d", t+1), "attempts at " + name})
		lines = append(lines, func(c *result.Second) float64 { return float64(c.EndpointRequests[t]) / float64(max(c.Requested, 1)) })
	}
	p.Legend = append(p.Legend, legendEntry{"l3", "second copies"})
	lines = append(lines, func(c *result.Second) float64 { return float64(c.Hedges) / float64(max(c.Requested, 1)) })
	return linePlot(f, r, p, 1, formatNumber, lines...)
}

// latency has a logarithmic scale: what is wrong is often a hundred times what is right.
func latencyPlot(f *frame, r *result.Result) plot {
	p := plot{Title: "Latency", Description: "Of the requests that were answered, counted from when they were due. The scale is logarithmic.",
		Legend: []legendEntry{{"l1", "half (p50)"}, {"l2", "99 of 100 (p99)"}}}
	low, high := 0.0, 0.0
	for _, c := range r.Seconds {
		if c.P50 > 0 && (low == 0 || c.P50 < low) {
			low = c.P50
		}
		high = max(high, c.P99)
	}
	var aims []float64
	if low > 0 {
		for _, aim := range r.TargetLatencies[:min(len(r.TargetLatencies), maxTargetLatencies)] {
			aims, low, high = append(aims, aim), min(low, aim), max(high, aim)
		}
	}
	if len(aims) > 0 {
		var words []string
		for _, aim := range aims {
			words = append(words, formatMillis(aim))
		}
		p.Legend = append(p.Legend, legendEntry{"aims", "aims: " + strings.Join(words, ", ")})
	}
	y := logScale(low, high)
	p.SVG = f.draw(plotHeight, p.Title, requestStyle, func(s *svg, top, bottom float64) {
		y.top, y.bottom = top, bottom
		grid(s, y, formatMillis)
		for _, aim := range aims {
			s.line(left, y.y(aim), width-right, y.y(aim), "aim")
		}
		for k, of := range []func(*result.Second) float64{func(c *result.Second) float64 { return c.P50 }, func(c *result.Second) float64 { return c.P99 }} {
			s.path(f.curve(len(r.Seconds), y, func(i int) (float64, bool) { v := of(&r.Seconds[i]); return v, v > 0 }), "stroke "+p.Legend[k].Class)
		}
		noteIfEmpty(s, r.All.Latency == nil, top, bottom, "nothing was answered")
	})
	return p
}

// queues is how many requests are in work at boxes and wait there.
func queuePlot(f *frame, boxes []result.Endpoint, seconds int) plot {
	p := plot{Title: "Queues", Description: "Requests in work at boxes, and those that wait there for a slot; means of each second.",
		Legend: []legendEntry{{"l1", "in work, mean of all boxes"}, {"l2", "in work, most of any box"}, {"l3", "waiting, longest queue of any box"}}}
	mean, most, longest := make([]float64, seconds), make([]float64, seconds), make([]float64, seconds)
	highest := 0.0
	for i := range seconds {
		for b := range boxes {
			box := &boxes[b]
			mean[i] += box.Running[i] / float64(len(boxes))
			most[i] = max(most[i], box.Running[i])
			longest[i] = max(longest[i], box.Queued[i])
		}
		highest = max(highest, most[i], longest[i])
	}
	y := linearScale(highest, 4)
	p.SVG = f.draw(plotHeight, p.Title, endpointStyle, func(s *svg, top, bottom float64) {
		y.top, y.bottom = top, bottom
		grid(s, y, formatNumber)
		for k, of := range [][]float64{mean, most, longest} {
			s.path(f.curve(seconds, y, func(i int) (float64, bool) { return of[i], true }), "stroke "+p.Legend[k].Class)
		}
	})
	return p
}

// asked is what the list service and the boxes had from all processes together.
func fleetLoadPlot(f *frame, t *result.FleetLoad) plot {
	p := plot{Title: "Calls and connections", Description: "In each 100 ms: calls at the list service, and new connections at the box that had the most.",
		Legend: []legendEntry{{"l1", "calls at the list service"}, {"l2", "new connections at one box"}}}
	y := linearScale(float64(max(t.MaxPolls, t.MaxEndpointConnections)), 4)
	p.SVG = f.draw(plotHeight, p.Title, endpointStyle, func(s *svg, top, bottom float64) {
		y.top, y.bottom = top, bottom
		grid(s, y, formatNumber)
		for k, steps := range [][]int{t.PollCounts, t.EndpointConnectionCounts} {
			var line strings.Builder
			for i, count := range steps {
				fmt.Fprintf(&line, "%c%s %s", "ML"[min(i, 1)], coord(f.x((float64(i)+0.5)/10)), coord(y.y(float64(count))))
			}
			s.path(line.String(), "stroke "+p.Legend[k].Class)
		}
	})
	return p
}

// nothing says so in the middle of a plot that has nothing to show.
func noteIfEmpty(s *svg, holds bool, top, bottom float64, words string) {
	if holds {
		s.text((left+width-right)/2, (top+bottom)/2, "middle", "none", words)
	}
}
