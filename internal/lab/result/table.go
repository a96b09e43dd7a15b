package result

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// columns of a table of runs, in order.
var tableColumns = []struct {
	name string
	of   func(r *Result) float64
}{
	{"service", func(r *Result) float64 { return r.All.Goodput }},
	{"room", func(r *Result) float64 { return r.AttainableGoodput }},
	{"of room", func(r *Result) float64 { return ratio(r.All.Goodput, r.AttainableGoodput) }},
	{"in aim", func(r *Result) float64 { return r.All.Served.Share }},
	{"late", func(r *Result) float64 { return r.All.Late.Share }},
	{"refused", func(r *Result) float64 { return r.All.Rejected.Share }},
	{"failed", func(r *Result) float64 { return r.All.Failed.Share }},
	{"refusals", func(r *Result) float64 { return r.All.Rejections }},
	{"attempts", func(r *Result) float64 {
		if len(r.All.EndpointRequests) == 0 {
			return 0
		}
		return r.All.EndpointRequests[0]
	}},
	{"wasted", func(r *Result) float64 { return r.All.WastedShare }},
	{"worst", func(r *Result) float64 { return r.MaxColdLoad }},
	{"fallen", func(r *Result) float64 { return float64(r.CollapsedEndpoints) }},
	{"noticed", func(r *Result) float64 { return r.Detection.DetectedShare }},
	{"after s", func(r *Result) float64 { return r.Detection.MedianDetectionTime }},
	{"healed s", func(r *Result) float64 { return r.Detection.MedianRecoveryTime }},
	{"alarms/h", func(r *Result) float64 { return r.Detection.FalsePositiveRate }},
	{"broken", func(r *Result) float64 {
		n := 0
		for _, b := range r.Violations {
			n += b.Count
		}
		return float64(n)
	}},
}

// MedianHeader names the columns of MedianRow, a tab after each.
var MedianHeader = func() string {
	var b strings.Builder
	for _, c := range tableColumns {
		b.WriteString(c.name + "\t")
	}
	return b.String()
}()

// MedianRow is the median of each figure over some runs; of the worst load, boxes fallen and rules broken it
// is the highest, for one is one too many.
func MedianRow(runs []*Result) string {
	var b strings.Builder
	for _, c := range tableColumns {
		values := make([]float64, len(runs))
		for i, r := range runs {
			values[i] = c.of(r)
		}
		slices.Sort(values)
		n, v := len(values), 0.0
		if n > 0 {
			v = (values[(n-1)/2] + values[n/2]) / 2
			if c.name == "worst" || c.name == "fallen" || c.name == "broken" {
				v = values[n-1]
			}
		}
		fmt.Fprintf(&b, "%.3f\t", v)
	}
	return b.String()
}

// WriteTable writes a table of runs of one scenario, a line for each seed, and their medians.
func WriteTable(w io.Writer, runs []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "seed\tasked\t"+MedianHeader)
	for _, r := range runs {
		fmt.Fprintf(t, "%d\t%d\t%s\n", r.Seed, r.All.Requested, MedianRow([]*Result{r}))
	}
	fmt.Fprintln(t, "median\t\t"+MedianRow(runs))
	return t.Flush()
}
