package report

import (
	"fmt"
	"slices"
	"strings"

	"pinelb.example/pinelb/internal/lab/result"
)

const (
	plotHeight         = 170.0
	maxTargetLatencies = 4 // lines of target latencies; more would hide the latencies
	minCountScale      = 4 // a scale of counts goes up to this at least
	minRatioScale      = 1

	countsPerSecond = 10 // of result.FleetLoad
)

// plots returns all plots of a page, on one time axis.
func plots(r *result.Result) []plot {
	f := newFrame(r)
	out := []plot{outcomePlot(f, r), ratePlot(f, r), attemptPlot(f, r), latencyPlot(f, r)}
	if endpoints := sampledEndpoints(r); len(endpoints) > 0 {
		out = append(out, heatmap(f, endpoints), queuePlot(f, endpoints, len(r.Seconds)))
	}
	if r.FleetLoad != nil {
		out = append(out, fleetLoadPlot(f, r.FleetLoad))
	}
	return out
}

// outcomePlot draws the shares of the outcomes of requests, stacked, with the goodput as a line.
func outcomePlot(f *frame, r *result.Result) plot {
	p := plot{
		Title:       "Outcomes and service",
		Description: "What became of the requests due in each second, as shares of those asked.",
		Legend: []legendEntry{
			{"served", "served in aim"},
			{"late", "late"},
			{"refused", "refused"},
			{"failed", "failed"},
			{"gone", "left by the client"},
			{"l0", "service (line)"},
		},
	}
	y := scale{from: shareScaleStart(r), to: 1}
	if y.from > 0 {
		p.Description += fmt.Sprintf(" The scale begins at %.0f%%.", 100*y.from)
	}
	p.SVG = f.draw(plotHeight, p.Title, shareStyle, func(s *svg, top, bottom float64) {
		y.top, y.bottom = top, bottom
		for i, area := range outcomeAreas(f, r.Seconds, y) {
			s.path(area, "fill "+p.Legend[i].Class)
		}
		grid(s, y, func(v float64) string { return fmt.Sprintf("%.0f%%", 100*v) })
		goodput := f.curve(len(r.Seconds), y, func(i int) (float64, bool) {
			return r.Seconds[i].Goodput, r.Seconds[i].Requested > 0
		})
		s.path(goodput, "halo")
		s.path(goodput, "stroke l0")
		noteIfEmpty(s, r.All.Requested == 0, top, bottom, "no request was asked")
	})
	return p
}

// outcomeAreas returns the stacked areas of the served, late, rejected, failed and canceled requests.
func outcomeAreas(f *frame, seconds []result.Second, y scale) []string {
	areas := make([]strings.Builder, 5)
	for i := range seconds {
		second := &seconds[i]
		if second.Requested == 0 {
			continue
		}
		below := 0
		for k, n := range []int{second.Served, second.Late, second.Rejected, second.Failed, second.Canceled} {
			if n > 0 {
				top := y.y(float64(below+n) / float64(second.Requested))
				bottom := y.y(float64(below) / float64(second.Requested))
				addColumn(&areas[k], f, i, top, bottom)
			}
			below += n
		}
	}
	out := make([]string, len(areas))
	for k := range areas {
		out[k] = areas[k].String()
	}
	return out
}

// shareScaleStart returns where the scale of shares begins, so that losses of a few per cent can be seen.
func shareScaleStart(r *result.Result) float64 {
	lowest := 1.0
	for i := range r.Seconds {
		if second := &r.Seconds[i]; second.Requested > 0 {
			lowest = min(lowest, second.Goodput, float64(second.Served)/float64(second.Requested))
		}
	}
	for _, start := range []float64{0.9, 0.8, 0.6} {
		if r.All.Requested > 0 && lowest > start+0.01 {
			return start
		}
	}
	return 0
}

// addColumn adds a rectangle as wide as one second to a path.
func addColumn(path *strings.Builder, f *frame, second int, top, bottom float64) {
	from, to := coord(f.x(float64(second))), coord(f.x(float64(second+1)))
	fmt.Fprintf(path, "M%s %sH%sV%sH%sZ", from, coord(top), to, coord(bottom), from)
}

// curve returns the path of a line through the middles of the seconds whose value is known. A single second is a dot.
func (f *frame) curve(seconds int, y scale, value func(int) (float64, bool)) string {
	var out strings.Builder
	drawing := false
	for i := range seconds {
		v, known := value(i)
		x := f.x(float64(i) + 0.5)
		switch {
		case known && drawing:
			fmt.Fprintf(&out, "L%s %s", coord(x), coord(y.y(v)))
		case known:
			fmt.Fprintf(&out, "M%s %sh0.01", coord(x), coord(y.y(v)))
		}
		drawing = known
	}
	return out.String()
}

// linePlot draws lines, one for each entry of p's legend, over a scale from 0 up to minScale at least.
func linePlot(f *frame, r *result.Result, p plot, minScale float64, lines ...func(*result.Second) float64) plot {
	highest := 0.0
	for i := range r.Seconds {
		for _, line := range lines {
			highest = max(highest, line(&r.Seconds[i]))
		}
	}
	y := linearScale(highest, minScale)
	p.SVG = f.draw(plotHeight, p.Title, requestStyle, func(s *svg, top, bottom float64) {
		y.top, y.bottom = top, bottom
		grid(s, y, formatNumber)
		for k, line := range lines {
			path := f.curve(len(r.Seconds), y, func(i int) (float64, bool) {
				return line(&r.Seconds[i]), r.Seconds[i].Requested > 0
			})
			s.path(path, "stroke "+p.Legend[k].Class)
		}
		noteIfEmpty(s, r.All.Requested == 0, top, bottom, "no request was asked")
	})
	return p
}

func ratePlot(f *frame, r *result.Result) plot {
	p := plot{
		Title:       "Requests, tries and refusals",
		Description: "A second: requests due, the tries that their clients made of them, and the answers 503 or 429 that they got.",
		Legend:      []legendEntry{{"l1", "requests"}, {"l2", "tries"}, {"l3", "refusals"}},
	}
	return linePlot(f, r, p, minCountScale,
		func(s *result.Second) float64 { return float64(s.Requested) },
		func(s *result.Second) float64 { return float64(s.ClientAttempts) },
		func(s *result.Second) float64 { return float64(s.Rejections) })
}

// attemptPlot draws the endpoint requests at each tier and the hedges, for each client request.
func attemptPlot(f *frame, r *result.Result) plot {
	p := plot{
		Title:       "Attempts a request",
		Description: "Visits to boxes of each tier, and those of them that began while another of the same try was open.",
	}
	perRequest := func(n int, s *result.Second) float64 { return float64(n) / float64(max(s.Requested, 1)) }
	var lines []func(*result.Second) float64
	for tier, name := range r.Tiers {
		p.Legend = append(p.Legend, legendEntry{fmt.Sprintf("l%d", tier+1), "attempts at " + name})
		lines = append(lines, func(s *result.Second) float64 { return perRequest(s.EndpointRequests[tier], s) })
	}
	p.Legend = append(p.Legend, legendEntry{"l3", "second copies"})
	lines = append(lines, func(s *result.Second) float64 { return perRequest(s.Hedges, s) })
	return linePlot(f, r, p, minRatioScale, lines...)
}

// latencyPlot has a logarithmic scale: a bad latency is often a hundred times a good one.
func latencyPlot(f *frame, r *result.Result) plot {
	p := plot{
		Title:       "Latency",
		Description: "Of the requests that were answered, counted from when they were due. The scale is logarithmic.",
		Legend:      []legendEntry{{"l1", "half (p50)"}, {"l2", "99 of 100 (p99)"}},
	}
	lines := []func(*result.Second) float64{
		func(s *result.Second) float64 { return s.P50 },
		func(s *result.Second) float64 { return s.P99 },
	}
	low, high := latencyRange(r.Seconds)
	var targets []float64
	if low > 0 {
		targets = r.TargetLatencies[:min(len(r.TargetLatencies), maxTargetLatencies)]
	}
	if len(targets) > 0 {
		low, high = min(low, slices.Min(targets)), max(high, slices.Max(targets))
		var labels []string
		for _, target := range targets {
			labels = append(labels, formatMillis(target))
		}
		p.Legend = append(p.Legend, legendEntry{"aims", "aims: " + strings.Join(labels, ", ")})
	}
	y := logScale(low, high)
	p.SVG = f.draw(plotHeight, p.Title, requestStyle, func(s *svg, top, bottom float64) {
		y.top, y.bottom = top, bottom
		grid(s, y, formatMillis)
		for _, target := range targets {
			s.line(left, y.y(target), width-right, y.y(target), "aim")
		}
		for k, line := range lines {
			path := f.curve(len(r.Seconds), y, func(i int) (float64, bool) {
				v := line(&r.Seconds[i])
				return v, v > 0
			})
			s.path(path, "stroke "+p.Legend[k].Class)
		}
		noteIfEmpty(s, r.All.Latency == nil, top, bottom, "nothing was answered")
	})
	return p
}

// latencyRange returns the lowest median and the highest 99th percentile of all seconds, in ms; 0 where there is none.
func latencyRange(seconds []result.Second) (low, high float64) {
	for i := range seconds {
		second := &seconds[i]
		if second.P50 > 0 && (low == 0 || second.P50 < low) {
			low = second.P50
		}
		high = max(high, second.P99)
	}
	return low, high
}

// queuePlot draws how many requests are executed by endpoints and wait there.
func queuePlot(f *frame, endpoints []result.Endpoint, seconds int) plot {
	p := plot{
		Title:       "Queues",
		Description: "Requests in work at boxes, and those that wait there for a slot; means of each second.",
		Legend: []legendEntry{
			{"l1", "in work, mean of all boxes"},
			{"l2", "in work, most of any box"},
			{"l3", "waiting, longest queue of any box"},
		},
	}
	meanRunning, maxRunning, maxQueued := make([]float64, seconds), make([]float64, seconds), make([]float64, seconds)
	highest := 0.0
	for i := range seconds {
		for j := range endpoints {
			e := &endpoints[j]
			meanRunning[i] += e.Running[i] / float64(len(endpoints))
			maxRunning[i] = max(maxRunning[i], e.Running[i])
			maxQueued[i] = max(maxQueued[i], e.Queued[i])
		}
		highest = max(highest, maxRunning[i], maxQueued[i])
	}
	y := linearScale(highest, minCountScale)
	p.SVG = f.draw(plotHeight, p.Title, endpointStyle, func(s *svg, top, bottom float64) {
		y.top, y.bottom = top, bottom
		grid(s, y, formatNumber)
		for k, values := range [][]float64{meanRunning, maxRunning, maxQueued} {
			path := f.curve(seconds, y, func(i int) (float64, bool) { return values[i], true })
			s.path(path, "stroke "+p.Legend[k].Class)
		}
	})
	return p
}

// fleetLoadPlot draws the polls of the discovery service and the connections to the endpoint with the most of them.
func fleetLoadPlot(f *frame, load *result.FleetLoad) plot {
	p := plot{
		Title:       "Calls and connections",
		Description: "In each 100 ms: calls at the list service, and new connections at the box that had the most.",
		Legend:      []legendEntry{{"l1", "calls at the list service"}, {"l2", "new connections at one box"}},
	}
	y := linearScale(float64(max(load.MaxPolls, load.MaxEndpointConnections)), minCountScale)
	p.SVG = f.draw(plotHeight, p.Title, endpointStyle, func(s *svg, top, bottom float64) {
		y.top, y.bottom = top, bottom
		grid(s, y, formatNumber)
		for k, counts := range [][]int{load.PollCounts, load.EndpointConnectionCounts} {
			var path strings.Builder
			for i, n := range counts {
				middle := (float64(i) + 0.5) / countsPerSecond
				fmt.Fprintf(&path, "%c%s %s", "ML"[min(i, 1)], coord(f.x(middle)), coord(y.y(float64(n))))
			}
			s.path(path.String(), "stroke "+p.Legend[k].Class)
		}
	})
	return p
}

// noteIfEmpty writes a note into the middle of a plot that has nothing to show.
func noteIfEmpty(s *svg, empty bool, top, bottom float64, note string) {
	if empty {
		s.text((left+width-right)/2, (top+bottom)/2, "middle", "none", note)
	}
}
