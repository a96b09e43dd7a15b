package result

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// columns of a table of runs, in order.
var columns = []struct {
	name string
	of   func(r *Result) float64
}{
	{"service", func(r *Result) float64 { return r.All.Service }},
	{"room", func(r *Result) float64 { return r.Room }},
	{"of room", func(r *Result) float64 { return ratio(r.All.Service, r.Room) }},
	{"in aim", func(r *Result) float64 { return r.All.Served.Share }},
	{"late", func(r *Result) float64 { return r.All.Late.Share }},
	{"refused", func(r *Result) float64 { return r.All.Refused.Share }},
	{"failed", func(r *Result) float64 { return r.All.Failed.Share }},
	{"refusals", func(r *Result) float64 { return r.All.Refusals }},
	{"attempts", func(r *Result) float64 {
		if len(r.All.Attempts) == 0 {
			return 0
		}
		return r.All.Attempts[0]
	}},
	{"wasted", func(r *Result) float64 { return r.All.Wasted }},
	{"worst", func(r *Result) float64 { return r.Worst }},
	{"fallen", func(r *Result) float64 { return float64(r.Fallen) }},
	{"noticed", func(r *Result) float64 { return r.Notice.Noticed }},
	{"after s", func(r *Result) float64 { return r.Notice.After }},
	{"healed s", func(r *Result) float64 { return r.Notice.Healed }},
	{"alarms/h", func(r *Result) float64 { return r.Notice.Alarms }},
	{"broken", func(r *Result) float64 {
		n := 0
		for _, b := range r.Broken {
			n += b.Count
		}
		return float64(n)
	}},
}

// MedianHead names the columns of MedianLine, a tab after each.
var MedianHead = func() string {
	var b strings.Builder
	for _, c := range columns {
		b.WriteString(c.name + "\t")
	}
	return b.String()
}()

// MedianLine is the median of each figure over some runs; of the worst load, boxes fallen and rules broken it
// is the highest, for one is one too many.
func MedianLine(runs []*Result) string {
	var b strings.Builder
	for _, c := range columns {
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

// Lines writes a table of runs of one scenario, a line for each seed, and their medians.
func Lines(w io.Writer, runs []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "seed\tasked\t"+MedianHead)
	for _, r := range runs {
		fmt.Fprintf(t, "%d\t%d\t%s\n", r.Seed, r.All.Asked, MedianLine([]*Result{r}))
	}
	fmt.Fprintln(t, "median\t\t"+MedianLine(runs))
	return t.Flush()
}
