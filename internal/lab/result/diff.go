package result

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// Table is two results side by side.
type Table struct {
	A, B  string   // headings: the scenario, seed, length and player of each
	Notes []string // reasons why the results can hardly be compared
	Rows  []Row
}

// Row is one figure of both results. A group's heading has a Name only.
type Row struct {
	Name       string
	A, B       string
	Difference string // B less A; empty where they are equal
	Note       string // for shares, whether the difference is more than chance, see significance
	equal      bool
}

// Equal reports whether no figure differs.
func (t *Table) Equal() bool {
	return !slices.ContainsFunc(t.Rows, func(r Row) bool { return !r.equal })
}

// Diff compares two results, a's figures beside b's.
func Diff(a, b *Result) *Table {
	t := &Table{A: heading(a), B: heading(b)}
	t.addNotes(a, b)
	t.addFigures("all", &a.All, &b.All, a.Tiers, b.Tiers)
	for i := range a.Classes {
		class := &a.Classes[i]
		j := slices.IndexFunc(b.Classes, func(other Class) bool { return other.Name == class.Name })
		if j >= 0 && len(a.Classes) > 1 {
			t.addFigures("class "+class.Name, &class.Figures, &b.Classes[j].Figures, a.Tiers, b.Tiers)
		}
	}
	t.addGroup("the rest")
	for _, kind := range violationKinds(a, b) {
		t.addNumber("broken: "+kind, float64(violationCount(a, kind)), float64(violationCount(b, kind)), "")
	}
	t.addNumber("boxes fallen", float64(a.CollapsedEndpoints), float64(b.CollapsedEndpoints), "")
	t.addNumber("worst load while cold", a.MaxColdLoad, b.MaxColdLoad, "")
	usageA, usageB := totalUsage(a.Usage), totalUsage(b.Usage)
	t.addNumber("sidecars' CPU, s", usageA.CPU, usageB.CPU, "")
	t.addNumber("most memory, MB", usageA.PeakMemory, usageB.PeakMemory, "")
	t.addNumber("rig's lateness p99, ms", a.Harness.P99, b.Harness.P99, "")
	return t
}

// addNotes adds the reasons why the results can hardly be compared.
func (t *Table) addNotes(a, b *Result) {
	t.addNote(a.Scenario != b.Scenario, "the scenarios differ: %s and %s", a.Scenario, b.Scenario)
	t.addNote(a.Seed != b.Seed, "the seeds differ, so the arrivals and faults do too: %d and %d", a.Seed, b.Seed)
	t.addNote(a.Player != b.Player, "one is of %s, the other of %s", a.Player, b.Player)
	t.addNote(a.Harness.Void, "the first is void: %s", a.Harness.Reason)
	t.addNote(b.Harness.Void, "the second is void: %s", b.Harness.Reason)
	for _, name := range onlyInOne(a.Classes, b.Classes) {
		t.addNote(true, "class %s is in one of them alone", name)
	}
}

func (t *Table) addNote(applies bool, format string, args ...any) {
	if applies {
		t.Notes = append(t.Notes, fmt.Sprintf(format, args...))
	}
}

func (t *Table) addGroup(name string) { t.Rows = append(t.Rows, Row{Name: name, equal: true}) }

func (t *Table) addFigures(name string, a, b *Figures, tiersA, tiersB []string) {
	t.addGroup(name)
	t.addNumber("  asked", float64(a.Requested), float64(b.Requested), "")
	t.addNumber("  service", a.Goodput, b.Goodput, significance(a.Goodput, a.EffectiveSampleSize, b.Goodput, b.EffectiveSampleSize))
	for _, outcome := range []struct {
		name string
		a, b Proportion
	}{
		{"served in aim", a.Served, b.Served},
		{"late", a.Late, b.Late},
		{"refused", a.Rejected, b.Rejected},
		{"failed", a.Failed, b.Failed},
		{"gone", a.Canceled, b.Canceled},
	} {
		note := significance(outcome.a.Share, float64(a.Requested), outcome.b.Share, float64(b.Requested))
		t.addShare("  "+outcome.name, outcome.a.Share, outcome.b.Share, note)
	}
	t.addNumber("  tries a request", a.ClientAttempts, b.ClientAttempts, "")
	t.addNumber("  refusals a request", a.Rejections, b.Rejections, "")
	for i := range min(len(a.EndpointRequests), len(b.EndpointRequests)) {
		name := "  attempts at " + tiersA[i]
		if tiersB[i] != tiersA[i] {
			name += "/" + tiersB[i]
		}
		t.addNumber(name, a.EndpointRequests[i], b.EndpointRequests[i], "")
	}
	t.addNumber("  second copies a request", a.Hedges, b.Hedges, "")
	t.addShare("  work wasted", a.WastedShare, b.WastedShare, "")
	if a.Latency != nil && b.Latency != nil {
		t.addLatencies(a.Latency, b.Latency)
	}
}

func (t *Table) addLatencies(a, b *Latency) {
	t.addNumber("  latency p50, ms", a.P50, b.P50, "")
	t.addNumber("  latency p90, ms", a.P90, b.P90, "")
	t.addNumber("  latency p99, ms", a.P99, b.P99, "")
	t.addNumber("  latency p99.9, ms", a.P999, b.P999, "")
	t.addNumber("  latency max, ms", a.Max, b.Max, "")
}

// addShare adds a row in per cent, its difference in percentage points.
func (t *Table) addShare(name string, a, b float64, note string) {
	difference := fmt.Sprintf("%+.2f pt", 100*(b-a))
	t.addRow(Row{name, fmt.Sprintf("%.2f%%", 100*a), fmt.Sprintf("%.2f%%", 100*b), difference, note, a == b})
}

// addNumber adds a row whose difference is given as a share of a, too.
func (t *Table) addNumber(name string, a, b float64, note string) {
	difference := fmt.Sprintf("%+.4g", b-a)
	if a != 0 {
		difference += fmt.Sprintf(" (%+.1f%%)", 100*(b-a)/a)
	}
	t.addRow(Row{name, formatNumber(a), formatNumber(b), difference, note, a == b})
}

func (t *Table) addRow(row Row) {
	if row.equal {
		row.Difference, row.Note = "", ""
	}
	t.Rows = append(t.Rows, row)
}

// Write lays the table out for a terminal.
func (t *Table) Write(w io.Writer) error {
	var out strings.Builder
	fmt.Fprintf(&out, "A  %s\nB  %s\n", t.A, t.B)
	for _, n := range t.Notes {
		fmt.Fprintf(&out, "!  %s\n", n)
	}
	out.WriteByte('\n')
	tw := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "\tA\tB\tB less A\t") // into memory: no error
	for _, r := range t.Rows {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\n", r.Name, r.A, r.B, r.Difference, r.Note)
	}
	_ = tw.Flush()
	if t.Equal() {
		out.WriteString("\nNothing differs.\n")
	}
	_, err := io.WriteString(w, out.String())
	return err
}

func heading(r *Result) string {
	return fmt.Sprintf("%s, seed %d, %s s, %s", r.Scenario, r.Seed, formatNumber(r.Length), describePlayer(r))
}

// onlyInOne returns the names of the classes that only one of the results has.
func onlyInOne(a, b []Class) []string {
	var names []string
	for _, c := range slices.Concat(a, b) {
		if at := slices.Index(names, c.Name); at >= 0 {
			names = slices.Delete(names, at, at+1)
		} else {
			names = append(names, c.Name)
		}
	}
	return names
}

// violationKinds returns the kinds of violations in either result, sorted.
func violationKinds(a, b *Result) []string {
	var out []string
	for _, v := range slices.Concat(a.Violations, b.Violations) {
		out = append(out, v.Kind)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func violationCount(r *Result, kind string) (n int) {
	for _, v := range r.Violations {
		if v.Kind == kind {
			n += v.Count
		}
	}
	return n
}
