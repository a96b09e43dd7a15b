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
	A, B  string   // what they are of
	Notes []string // what makes them hard to compare
	Rows  []Row
}

// Row is one figure. A group's heading has a Name alone.
type Row struct {
	Name       string
	A, B       string
	Difference string // B less A; empty where there is none
	Note       string // for shares, whether the difference is more than chance
	equal      bool
}

// Equal tells whether no figure differs.
func (t *Table) Equal() bool {
	return !slices.ContainsFunc(t.Rows, func(r Row) bool { return !r.equal })
}

// Diff sets b beside a. Shares of requests come with a note on chance, see noise.
func Diff(a, b *Result) *Table {
	t := &Table{A: heading(a), B: heading(b)}
	t.addNote(a.Scenario != b.Scenario, "the scenarios differ: %s and %s", a.Scenario, b.Scenario)
	t.addNote(a.Seed != b.Seed, "the seeds differ, so the arrivals and faults do too: %d and %d", a.Seed, b.Seed)
	t.addNote(a.Player != b.Player, "one is of %s, the other of %s", a.Player, b.Player)
	t.addNote(a.Harness.Void, "the first is void: %s", a.Harness.Reason)
	t.addNote(b.Harness.Void, "the second is void: %s", b.Harness.Reason)
	t.addFigures("all", &a.All, &b.All, a.Tiers, b.Tiers)
	for i := range a.Classes {
		c := &a.Classes[i]
		if j := slices.IndexFunc(b.Classes, func(k Class) bool { return k.Name == c.Name }); j >= 0 && len(a.Classes) > 1 {
			t.addFigures("class "+c.Name, &c.Figures, &b.Classes[j].Figures, a.Tiers, b.Tiers)
		}
	}
	for _, name := range onlyInOne(a.Classes, b.Classes) {
		t.addNote(true, "class %s is in one of them alone", name)
	}
	t.addGroup("the rest")
	for _, kind := range violationKinds(a, b) {
		t.addNumber("broken: "+kind, float64(violationCount(a, kind)), float64(violationCount(b, kind)), "")
	}
	t.addNumber("boxes fallen", float64(a.CollapsedEndpoints), float64(b.CollapsedEndpoints), "")
	t.addNumber("worst load while cold", a.MaxColdLoad, b.MaxColdLoad, "")
	cpuA, memoryA := resourceUse(a)
	cpuB, memoryB := resourceUse(b)
	t.addNumber("sidecars' CPU, s", cpuA, cpuB, "")
	t.addNumber("most memory, MB", memoryA, memoryB, "")
	t.addNumber("rig's lateness p99, ms", a.Harness.P99, b.Harness.P99, "")
	return t
}

func (t *Table) addNote(holds bool, format string, args ...any) {
	if holds {
		t.Notes = append(t.Notes, fmt.Sprintf(format, args...))
	}
}

func (t *Table) addGroup(name string) { t.Rows = append(t.Rows, Row{Name: name, equal: true}) }

func (t *Table) addFigures(name string, a, b *Figures, tiersA, tiersB []string) {
	t.addGroup(name)
	t.addNumber("  asked", float64(a.Requested), float64(b.Requested), "")
	t.addNumber("  service", a.Goodput, b.Goodput, significance(a.Goodput, a.EffectiveSampleSize, b.Goodput, b.EffectiveSampleSize))
	for _, p := range []struct {
		word string
		a, b Proportion
	}{{"served in aim", a.Served, b.Served}, {"late", a.Late, b.Late}, {"refused", a.Rejected, b.Rejected}, {"failed", a.Failed, b.Failed},
		{"gone", a.Canceled, b.Canceled}} {
		t.addShare("  "+p.word, p.a.Share, p.b.Share, significance(p.a.Share, float64(a.Requested), p.b.Share, float64(b.Requested)))
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
	if a.Latency == nil || b.Latency == nil {
		return
	}
	for _, q := range []struct {
		word string
		a, b float64
	}{{"p50", a.Latency.P50, b.Latency.P50}, {"p90", a.Latency.P90, b.Latency.P90}, {"p99", a.Latency.P99, b.Latency.P99},
		{"p99.9", a.Latency.P999, b.Latency.P999}, {"max", a.Latency.Max, b.Latency.Max}} {
		t.addNumber("  latency "+q.word+", ms", q.a, q.b, "")
	}
}

// share is a row in per cent, its difference in points.
func (t *Table) addShare(name string, a, b float64, note string) {
	t.addRow(name, fmt.Sprintf("%.2f%%", 100*a), fmt.Sprintf("%.2f%%", 100*b), fmt.Sprintf("%+.2f pt", 100*(b-a)), note, a == b)
}

// number is a row whose difference comes with what part of a it is.
func (t *Table) addNumber(name string, a, b float64, note string) {
	change := fmt.Sprintf("%+.4g", b-a)
	if a != 0 {
		change += fmt.Sprintf(" (%+.1f%%)", 100*(b-a)/a)
	}
	t.addRow(name, formatNumber(a), formatNumber(b), change, note, a == b)
}

func (t *Table) addRow(name, a, b, change, note string, same bool) {
	if same {
		change, note = "", ""
	}
	t.Rows = append(t.Rows, Row{name, a, b, change, note, same})
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

// lone are the classes that the other lacks.
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

// kinds are those of broken rules in either, in order.
func violationKinds(a, b *Result) []string {
	var out []string
	for _, r := range [][]Violation{a.Violations, b.Violations} {
		for _, k := range r {
			out = append(out, k.Kind)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func violationCount(r *Result, kind string) (n int) {
	for _, b := range r.Violations {
		if b.Kind == kind {
			n += b.Count
		}
	}
	return n
}

// load is the CPU of all sidecars and the memory of the biggest.
func resourceUse(r *Result) (cpu, memory float64) {
	for _, u := range r.Usage {
		cpu, memory = cpu+u.CPU, max(memory, u.PeakMemory)
	}
	return cpu, memory
}
