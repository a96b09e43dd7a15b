package result

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// SummaryOptions says how a summary is printed.
type SummaryOptions struct {
	Colour     bool   // with a terminal's escape sequences
	ReportPath string // of the report that belongs to it; "" is none
}

// maxListLines is how many lines of a list a summary has: a long incident shows its beginning, and the report has the rest.
const maxListLines = 8

// WriteSummary writes the most important figures, in some 25 lines. Its error is w's.
func WriteSummary(w io.Writer, r *Result, options SummaryOptions) error {
	p := &printer{w: w, options: options}
	p.line("%s, seed %d, %s s, %s", p.strong(r.Scenario), r.Seed, formatNumber(r.Length), describePlayer(r))
	if r.Description != "" {
		p.line("%s", r.Description)
	}
	p.line("")
	p.outcomes(r)
	p.faults(r.FaultImpacts)
	p.costs(r)
	p.latency(r.All.Latency)
	p.endpoints(r)
	p.peak(r.Peak)
	p.fleetLoad(r.FleetLoad)
	p.audit(r.Audit)
	p.violations(r.Violations)
	p.expectations(r.Expectations)
	p.usage(r)
	p.harness(&r.Harness)
	if options.ReportPath != "" {
		p.line("Report    %s", options.ReportPath)
	}
	return p.err
}

// printer writes lines until the first error, which it keeps.
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

// table writes rows, whose cells are separated by tabs, in aligned columns.
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
	p.line("Service %s: so much of the worth asked was answered in its aim; the boxes had room for %.4f. %d requests:",
		p.strong(fmt.Sprintf("%.4f", a.Goodput)), r.AttainableGoodput, a.Requested)
	rows := []string{}
	for _, outcome := range []struct {
		name string
		Proportion
	}{
		{"served in aim", a.Served},
		{"late", a.Late},
		{"refused", a.Rejected},
		{"failed", a.Failed},
		{"left by the client", a.Canceled},
	} {
		rows = append(rows, fmt.Sprintf("  %s\t%8d\t%6.2f%%", outcome.name, outcome.Count, 100*outcome.Share))
	}
	p.table(rows)
}

// costs writes what the requests took: attempts and the endpoints' work.
func (p *printer) costs(r *Result) {
	a := &r.All
	p.line("Sent      %.2f tries and %s a request; %.3f second copies and %.3f refusals a request",
		a.ClientAttempts, describeAttempts(r), a.Hedges, a.Rejections)
	p.line("Work      %s s done by the boxes, %.1f%% of it for nobody", formatNumber(a.Work), 100*a.WastedShare)
}

func (p *printer) latency(l *Latency) {
	if l == nil {
		p.line("Latency   nothing was answered")
		return
	}
	p.line("Latency   half within %s, 90%% %s, 99%% %s, 99.9%% %s, longest %s",
		formatMillis(l.P50), formatMillis(l.P90), formatMillis(l.P99), formatMillis(l.P999), formatMillis(l.Max))
}

func (p *printer) peak(peak *AttemptPeak) {
	if peak == nil {
		return
	}
	p.line("Crowding  %d attempts at %s in its worst second, from %.2f s on; %d of them not the first of their try, %d copies",
		peak.Attempts, peak.Endpoint, peak.From, peak.Additional, peak.Hedges)
}

func (p *printer) faults(faults []FaultImpact) {
	if len(faults) == 0 {
		p.line("Faults    none")
		return
	}
	rows := []string{"Faults\tfrom\tto\tservice before\tduring\tafter"}
	for _, f := range faults[:min(len(faults), maxListLines)] {
		rows = append(rows, fmt.Sprintf("  %s\t%s s\t%s s\t%s\t%s\t%s", f.Description, formatNumber(f.From), formatNumber(f.To),
			formatShare(f.Before), formatShare(f.During), formatShare(f.After)))
	}
	if more := len(faults) - maxListLines; more > 0 {
		rows = append(rows, fmt.Sprintf("  and %d more", more))
	}
	p.table(rows)
}

func (p *printer) endpoints(r *Result) {
	var collapsed []string
	for i := range r.Endpoints {
		if r.Endpoints[i].Collapsed {
			collapsed = append(collapsed, r.Endpoints[i].Name)
		}
	}
	text := "none of %d fell over"
	if len(collapsed) > 0 {
		text = p.bad(firstNames(collapsed)+" fell over") + ", of %d"
	}
	if r.MaxColdLoad > 0 {
		text += fmt.Sprintf("; while cold, one was sent %.2f times what it could do", r.MaxColdLoad)
	}
	p.line("Boxes     "+text, len(r.Endpoints))
}

func (p *printer) violations(violations []Violation) {
	if len(violations) == 0 {
		p.line("Rules     %s", p.good("all kept"))
		return
	}
	var kinds []string
	for _, v := range violations {
		kinds = append(kinds, fmt.Sprintf("%s %d×", v.Kind, v.Count))
	}
	p.line("Rules     %s", p.bad("broken: "+strings.Join(kinds, ", ")))
	first := slices.IndexFunc(violations, func(v Violation) bool { return len(v.Timelines) > 0 })
	if first < 0 {
		return
	}
	timeline := violations[first].Timelines[0] // the report has the others
	for _, line := range timeline[:min(len(timeline), maxListLines)] {
		p.line("            %s", line)
	}
}

// fleetLoad writes a line for the discovery service and one for the sidecars' starts.
func (p *printer) fleetLoad(load *FleetLoad) {
	if load == nil {
		return
	}
	p.line("Listing   %d calls, %d turned away, %d connections, worst 100 ms %d; boxes: %d connections, worst 100 ms %d at one",
		load.Polls, load.RejectedPolls, load.DiscoveryConnections, load.MaxPolls, load.EndpointConnections, load.MaxEndpointConnections)
	if load.TimeToReady == nil || load.TimeToEndpointList == nil {
		return
	}
	format := func(q *Quantiles) string {
		if q == nil {
			return "-"
		}
		return fmt.Sprintf("%.2f, %.2f, %.2f", q.P50, q.P99, q.Max)
	}
	p.line("Starts    seconds of half, 99%%, the last: ready %s (%d never), listed %s (%d never), first served %s (%d never)",
		format(load.TimeToReady), load.NeverReady, format(load.TimeToEndpointList), load.NeverListed, format(load.TimeToFirstServed), load.NeverServed)
}

func (p *printer) audit(a *AuditResult) {
	if a == nil {
		return
	}
	p.line("Audit     %d attempts at boxes that had left, more than the grace and a second after", a.LateAttempts)
	if l := a.AuditLogs; l != nil {
		p.line("            trails: %d attempts for %d visits (%d sure); wrong %d, missing %d, unproven %d, unread %d",
			l.Attempts, l.EndpointRequests, l.Unambiguous, l.Contradicted, l.Missing, l.Unrecordable, len(l.UnreadSidecars))
	}
	for _, name := range slices.Sorted(maps.Keys(a.Auditors)) {
		found := a.Auditors[name]
		p.line("            %s: %d stragglers in %d rounds: found %d, not reached %d, hidden %d; false %d",
			name, found.Actual, found.Rounds, found.Detected, found.Unreached, found.Missed, found.FalsePositives)
	}
	for _, err := range a.Errors {
		p.line("            %s", p.bad(err))
	}
	if a.ResolutionTimes == nil && a.Unresolved == 0 {
		return
	}
	half, last := "-", "-"
	if times := a.ResolutionTimes; times != nil {
		half, last = fmt.Sprintf("%.2f", times.P50), fmt.Sprintf("%.2f", times.Max)
	}
	p.line("            seconds until a straggler was brought up or shut out: half %s, the last %s; %d neither", half, last, a.Unresolved)
}

func (p *printer) expectations(expectations []Expectation) {
	if len(expectations) == 0 {
		return
	}
	var unmet []Expectation
	for _, e := range expectations {
		if !e.Met {
			unmet = append(unmet, e)
		}
	}
	if len(unmet) == 0 {
		p.line("Expected  %s", p.good(fmt.Sprintf("held, all of %d", len(expectations))))
		return
	}
	p.line("Expected  %s", p.bad(fmt.Sprintf("%d of %d did not hold:", len(unmet), len(expectations))))
	for _, e := range unmet[:min(len(unmet), maxListLines)] {
		p.line("            %s", e)
	}
}

func (p *printer) usage(r *Result) {
	if len(r.Usage) == 0 {
		return
	}
	total := totalUsage(r.Usage)
	p.line("Sidecars  %d: %.2f s of CPU, %.0f µs a request; at most %.0f MB and %d descriptors each", len(r.Usage), total.CPU,
		1e6*ratio(total.CPU, float64(r.All.Requested)), total.PeakMemory, total.MaxDescriptors)
}

// totalUsage returns the CPU of all sidecars, and the highest memory and number of descriptors of any.
func totalUsage(usage []Usage) Usage {
	var total Usage
	for _, u := range usage {
		total.CPU += u.CPU
		total.PeakMemory = max(total.PeakMemory, u.PeakMemory)
		total.MaxDescriptors = max(total.MaxDescriptors, u.MaxDescriptors)
	}
	return total
}

func (p *printer) harness(h *Harness) {
	switch {
	case h.Measured == 0:
		p.line("Rig       virtual time, so never late")
	case h.Void:
		p.line("Rig       %s: %s. The run says nothing", p.bad("void"), h.Reason)
	default:
		p.line("Rig       on time: sent 50%% within %s of when due, 99%% %s, all %s", formatMillis(h.P50), formatMillis(h.P99), formatMillis(h.Max))
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

// describePlayer returns what played the run: the player, the endpoints, the sidecars and their builds.
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

// describeAttempts returns the endpoint requests at each tier for each client request.
func describeAttempts(r *Result) string {
	var out []string
	for i, n := range r.All.EndpointRequests {
		out = append(out, fmt.Sprintf("%.2f attempts at %s", n, r.Tiers[i]))
	}
	return strings.Join(out, ", ")
}
