package result

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// Lines writes a table of runs of one scenario, a line each, and their median.
func Lines(w io.Writer, runs []*Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "seed\tasked\tservice\tserved\tlate\trefused\tfailed\trefusals\tattempts\tworst\tfallen\tbroken\t")
	columns := make([][]float64, 9)
	for _, r := range runs {
		a := &r.All
		attempts := 0.0
		if len(a.Attempts) > 0 {
			attempts = a.Attempts[0]
		}
		values := []float64{a.Service, a.Served.Share, a.Late.Share, a.Refused.Share, a.Failed.Share, a.Refusals, attempts,
			r.Worst, float64(r.Fallen)}
		kinds := 0
		for _, b := range r.Broken {
			kinds += b.Count
		}
		fmt.Fprintf(t, "%d\t%d\t", r.Seed, a.Asked)
		row(t, values)
		fmt.Fprintf(t, "%d\t\n", kinds)
		for i, v := range values {
			columns[i] = append(columns[i], v)
		}
	}
	medians := make([]float64, len(columns))
	for i, c := range columns {
		slices.Sort(c)
		if n := len(c); n > 0 {
			medians[i] = (c[(n-1)/2] + c[n/2]) / 2
		}
	}
	fmt.Fprint(t, "median\t\t")
	row(t, medians)
	fmt.Fprintln(t, "\t")
	return t.Flush()
}

func row(w io.Writer, values []float64) {
	for _, v := range values {
		fmt.Fprintf(w, "%.3f\t", v)
	}
}
