package result

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// tableColumns are the columns of a table of runs, in order.
var tableColumns = []struct {
	name   string
	max    bool // over several runs the maximum counts and not the median: one is one too many
	figure func(r *Result) float64
}{
	{name: "service", figure: func(r *Result) float64 { return r.All.Goodput }},
	{name: "room", figure: func(r *Result) float64 { return r.AttainableGoodput }},
	{name: "of room", figure: func(r *Result) float64 { return ratio(r.All.Goodput, r.AttainableGoodput) }},
	{name: "in aim", figure: func(r *Result) float64 { return r.All.Served.Share }},
	{name: "late", figure: func(r *Result) float64 { return r.All.Late.Share }},
	{name: "refused", figure: func(r *Result) float64 { return r.All.Rejected.Share }},
	{name: "failed", figure: func(r *Result) float64 { return r.All.Failed.Share }},
	{name: "refusals", figure: func(r *Result) float64 { return r.All.Rejections }},
	{name: "attempts", figure: func(r *Result) float64 {
		if len(r.All.EndpointRequests) == 0 {
			return 0
		}
		return r.All.EndpointRequests[0]
	}},
	{name: "wasted", figure: func(r *Result) float64 { return r.All.WastedShare }},
	{name: "worst", max: true, figure: func(r *Result) float64 { return r.MaxColdLoad }},
	{name: "fallen", max: true, figure: func(r *Result) float64 { return float64(r.CollapsedEndpoints) }},
	{name: "noticed", figure: func(r *Result) float64 { return r.Detection.DetectedShare }},
	{name: "after s", figure: func(r *Result) float64 { return r.Detection.MedianDetectionTime }},
	{name: "healed s", figure: func(r *Result) float64 { return r.Detection.MedianRecoveryTime }},
	{name: "alarms/h", figure: func(r *Result) float64 { return r.Detection.FalsePositiveRate }},
	{name: "broken", max: true, figure: func(r *Result) float64 {
		n := 0
		for _, v := range r.Violations {
			n += v.Count
		}
		return float64(n)
	}},
}

// MedianHeader has the names of MedianRow's columns, each followed by a tab.
var MedianHeader = medianHeader()

func medianHeader() string {
	var b strings.Builder
	for _, column := range tableColumns {
		b.WriteString(column.name + "\t")
	}
	return b.String()
}

// MedianRow returns the medians of the figures over runs, each followed by a tab. Of the highest load while warming up, the
// collapsed endpoints and the violations it has the maximum, for one is one too many.
func MedianRow(runs []*Result) string {
	var b strings.Builder
	for _, column := range tableColumns {
		values := make([]float64, len(runs))
		for i, r := range runs {
			values[i] = column.figure(r)
		}
		v := median(values)
		if column.max && len(values) > 0 {
			v = slices.Max(values)
		}
		fmt.Fprintf(&b, "%.3f\t", v)
	}
	return b.String()
}

// WriteTable writes a table of runs of one scenario: a row for each seed, and their medians.
func WriteTable(w io.Writer, runs []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "seed\tasked\t"+MedianHeader)
	for _, r := range runs {
		fmt.Fprintf(t, "%d\t%d\t%s\n", r.Seed, r.All.Requested, MedianRow([]*Result{r}))
	}
	fmt.Fprintln(t, "median\t\t"+MedianRow(runs))
	return t.Flush()
}
