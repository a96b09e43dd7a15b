package result

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// SummaryOptions is how a summary is printed.
type SummaryOptions struct {
	Colour     bool   // for a terminal
	ReportPath string // where the report is; empty is left out
}

// maxListLines of a list; a long incident shows its beginning, and the report has the rest.
const maxListLines = 8

// WriteSummary writes what a reader wants to know first, in some 25 lines.
func WriteSummary(w io.Writer, r *Result, look SummaryOptions) error {
	p := &printer{w: w, options: look}
	p.line("%s, seed %d, %s s, %s", p.strong(r.Scenario), r.Seed, formatNumber(r.Length), describePlayer(r))
	if r.Description != "" {
		p.line("%s", r.Description)
	}
	p.line("")
	p.outcomes(r)
	p.faults(r.FaultImpacts)
	a := &r.All
	p.line("Sent      %.2f tries and %s a request; %.3f second copies and %.3f refusals a request", a.ClientAttempts, describeAttempts(r), a.Hedges, a.Rejections)
	p.line("Work      %s s done by the boxes, %.1f%% of it for nobody", formatNumber(a.Work), 100*a.WastedShare)
	if l := a.Latency; l != nil {
		p.line("Latency   half within %s, 90%% %s, 99%% %s, 99.9%% %s, longest %s", formatMillis(l.P50), formatMillis(l.P90), formatMillis(l.P99), formatMillis(l.P999), formatMillis(l.Max))
	} else {
		p.line("Latency   nothing was answered")
	}
	p.endpoints(r)
	if k := r.Peak; k != nil {
		p.line("Crowding  %d attempts at %s in its worst second, from %.2f s on; %d of them not the first of their try, %d copies", k.Attempts, k.Endpoint, k.From, k.Additional, k.Hedges)
	}
	p.fleetLoad(r.FleetLoad)
	p.audit(r.Audit)
	p.violations(r.Violations)
	p.expectations(r.Expectations)
	p.usage(r)
	p.harness(&r.Harness)
	if look.ReportPath != "" {
		p.line("Report    %s", look.ReportPath)
	}
	return p.err
}

// printer keeps the first error.
type printer struct {
	w       io.Writer
	options SummaryOptions
	err     error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// table aligns its rows, whose cells are parted by tabs.
func (p *printer) table(rows []string) {
	tw := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(tw, row) // its error is Flush's
	}
	if err := tw.Flush(); p.err == nil {
		p.err = err
	}
}

func (p *printer) outcomes(r *Result) {
	a := &r.All
	p.line("Service %s: so much of the worth asked was answered in its aim; the boxes had room for %.4f. %d requests:", p.strong(fmt.Sprintf("%.4f", a.Goodput)), r.AttainableGoodput, a.Requested)
	rows := []string{}
	for _, o := range []struct {
		word string
		Proportion
	}{{"served in aim", a.Served}, {"late", a.Late}, {"refused", a.Rejected}, {"failed", a.Failed}, {"left by the client", a.Canceled}} {
		rows = append(rows, fmt.Sprintf("  %s\t%8d\t%6.2f%%", o.word, o.Count, 100*o.Share))
	}
	p.table(rows)
}

func (p *printer) faults(marks []FaultImpact) {
	if len(marks) == 0 {
		p.line("Faults    none")
		return
	}
	rows := []string{"Faults\tfrom\tto\tservice before\tduring\tafter"}
	for _, m := range marks[:min(len(marks), maxListLines)] {
		rows = append(rows, fmt.Sprintf("  %s\t%s s\t%s s\t%s\t%s\t%s", m.Description, formatNumber(m.From), formatNumber(m.To), formatShare(m.Before), formatShare(m.During), formatShare(m.After)))
	}
	if more := len(marks) - maxListLines; more > 0 {
		rows = append(rows, fmt.Sprintf("  and %d more", more))
	}
	p.table(rows)
}

func (p *printer) endpoints(r *Result) {
	var fallen []string
	for i := range r.Endpoints {
		if r.Endpoints[i].Collapsed {
			fallen = append(fallen, r.Endpoints[i].Name)
		}
	}
	text := "none of %d fell over"
	if len(fallen) > 0 {
		text = p.bad(firstNames(fallen)+" fell over") + ", of %d"
	}
	if r.MaxColdLoad > 0 {
		text += fmt.Sprintf("; while cold, one was sent %.2f times what it could do", r.MaxColdLoad)
	}
	p.line("Boxes     "+text, len(r.Endpoints))
}

func (p *printer) violations(broken []Violation) {
	if len(broken) == 0 {
		p.line("Rules     %s", p.good("all kept"))
		return
	}
	var kinds []string
	for _, b := range broken {
		kinds = append(kinds, fmt.Sprintf("%s %d×", b.Kind, b.Count))
	}
	p.line("Rules     %s", p.bad("broken: "+strings.Join(kinds, ", ")))
	for _, b := range broken {
		if len(b.Timelines) > 0 { // of the first alone; the report has the others
			for _, line := range b.Timelines[0][:min(len(b.Timelines[0]), maxListLines)] {
				p.line("            %s", line)
			}
			break
		}
	}
}

// together is a line for the list service, one for the sidecars' beginnings.
func (p *printer) fleetLoad(t *FleetLoad) {
	if t == nil {
		return
	}
	p.line("Listing   %d calls, %d turned away, %d connections, worst 100 ms %d; boxes: %d connections, worst 100 ms %d at one", t.Polls, t.RejectedPolls, t.DiscoveryConnections, t.MaxPolls, t.EndpointConnections, t.MaxEndpointConnections)
	if t.TimeToReady == nil || t.TimeToEndpointList == nil {
		return
	}
	words := func(s *Quantiles) string {
		if s == nil {
			return "-"
		}
		return fmt.Sprintf("%.2f, %.2f, %.2f", s.P50, s.P99, s.Max)
	}
	p.line("Starts    seconds of half, 99%%, the last: ready %s (%d never), listed %s (%d never), first served %s (%d never)",
		words(t.TimeToReady), t.NeverReady, words(t.TimeToEndpointList), t.NeverListed, words(t.TimeToFirstServed), t.NeverServed)
}

func (p *printer) audit(a *AuditResult) {
	if a == nil {
		return
	}
	p.line("Audit     %d attempts at boxes that had left, more than the grace and a second after", a.LateAttempts)
	if t := a.AuditLogs; t != nil {
		p.line("            trails: %d attempts for %d visits (%d sure); wrong %d, missing %d, unproven %d, unread %d", t.Attempts, t.EndpointRequests, t.Unambiguous,
			t.Contradicted, t.Missing, t.Unrecordable, len(t.UnreadSidecars))
	}
	for _, name := range slices.Sorted(maps.Keys(a.Auditors)) {
		f := a.Auditors[name]
		p.line("            %s: %d stragglers in %d rounds: found %d, not reached %d, hidden %d; false %d", name, f.Actual, f.Rounds, f.Detected, f.Unreached, f.Missed, f.FalsePositives)
	}
	for _, f := range a.Errors {
		p.line("            %s", p.bad(f))
	}
	if e := a.ResolutionTimes; e != nil || a.Unresolved > 0 {
		half, last := "-", "-"
		if e != nil {
			half, last = fmt.Sprintf("%.2f", e.P50), fmt.Sprintf("%.2f", e.Max)
		}
		p.line("            seconds until a straggler was brought up or shut out: half %s, the last %s; %d neither", half, last, a.Unresolved)
	}
}

func (p *printer) expectations(all []Expectation) {
	if len(all) == 0 {
		return
	}
	var broken []Expectation
	for _, e := range all {
		if !e.Met {
			broken = append(broken, e)
		}
	}
	if len(broken) == 0 {
		p.line("Expected  %s", p.good(fmt.Sprintf("held, all of %d", len(all))))
		return
	}
	p.line("Expected  %s", p.bad(fmt.Sprintf("%d of %d did not hold:", len(broken), len(all))))
	for _, e := range broken[:min(len(broken), maxListLines)] {
		p.line("            %s", e)
	}
}

func (p *printer) usage(r *Result) {
	if len(r.Usage) == 0 {
		return
	}
	cpu, memory, descriptors := 0.0, 0.0, 0
	for _, u := range r.Usage {
		cpu, memory, descriptors = cpu+u.CPU, max(memory, u.PeakMemory), max(descriptors, u.MaxDescriptors)
	}
	p.line("Sidecars  %d: %.2f s of CPU, %.0f µs a request; at most %.0f MB and %d descriptors each", len(r.Usage), cpu,
		1e6*ratio(cpu, float64(r.All.Requested)), memory, descriptors)
}

func (p *printer) harness(g *Harness) {
	switch {
	case g.Measured == 0:
		p.line("Rig       virtual time, so never late")
	case g.Void:
		p.line("Rig       %s: %s. The run says nothing", p.bad("void"), g.Reason)
	default:
		p.line("Rig       on time: sent 50%% within %s of when due, 99%% %s, all %s", formatMillis(g.P50), formatMillis(g.P99), formatMillis(g.Max))
	}
}

func (p *printer) strong(s string) string { return p.ansi("1", s) }
func (p *printer) good(s string) string   { return p.ansi("32", s) }
func (p *printer) bad(s string) string    { return p.ansi("1;31", s) }

// ansi colours a text by ECMA-48's Select Graphic Rendition.
func (p *printer) ansi(code, s string) string {
	if !p.options.Colour {
		return s
	}
	return "\x1b[" + code + "m" + s + "\x1b[0m"
}

func describePlayer(r *Result) string {
	text := "on sockets"
	if r.Player == "virtual" {
		text = "in virtual time"
	}
	text += fmt.Sprintf(", %d boxes", len(r.Endpoints))
	if r.Sidecars == 0 {
		return text + ", no sidecar"
	}
	text += ", " + plural(r.Sidecars, "sidecar")
	if len(r.Builds) > 0 {
		text += " (" + strings.Join(r.Builds, "; ") + ")"
	}
	return text
}

// describeAttempts is the attempts a request at each tier.
func describeAttempts(r *Result) string {
	var out []string
	for i, n := range r.All.EndpointRequests {
		out = append(out, fmt.Sprintf("%.2f attempts at %s", n, r.Tiers[i]))
	}
	return strings.Join(out, ", ")
}

// String words an expectation: "p99 of pay, from 2 s to 8 s: 0.31, at most 0.25 expected".
func (e Expectation) String() string {
	text := e.What
	if e.Class != "" {
		text += " of " + e.Class
	}
	if e.From > 0 || e.To > 0 {
		text += ", from " + formatNumber(e.From) + " s to "
		if e.To > 0 {
			text += formatNumber(e.To) + " s"
		} else {
			text += "the end"
		}
	}
	text += ": "
	if e.Measured == nil {
		text += "nothing to measure"
	} else {
		text += formatNumber(*e.Measured)
	}
	if e.Min != nil {
		text += ", at least " + formatNumber(*e.Min)
	}
	if e.Max != nil {
		text += ", at most " + formatNumber(*e.Max)
	}
	return text + " expected"
}

func plural(n int, word string) string {
	if n == 1 {
		return "1 " + word
	}
	return fmt.Sprintf("%d %ss", n, word)
}

// few names at most three.
func firstNames(names []string) string {
	if len(names) > 3 {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:3], ", "), len(names)-3)
	}
	return strings.Join(names, ", ")
}

// number is short: four digits that count, or the whole part, and no zeros behind.
func formatNumber(v float64) string {
	if math.Abs(v) >= 1000 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.4g", v)
}

func formatShare(v *float64) string {
	if v == nil {
		return "–"
	}
	return fmt.Sprintf("%.3f", *v)
}

// span words milliseconds: "0.31 ms", "12 ms", "1.25 s".
func formatMillis(ms float64) string {
	switch d := time.Duration(ms * float64(time.Millisecond)); {
	case d >= time.Second:
		return fmt.Sprintf("%.2f s", d.Seconds())
	case d >= 10*time.Millisecond:
		return fmt.Sprintf("%.0f ms", ms)
	default:
		return fmt.Sprintf("%.2g ms", ms)
	}
}
