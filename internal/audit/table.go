package audit

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"pinelb.example/pinelb/internal/version"
)

// Table writes a view for people: the sidecars that aren't up to date, or with everybody all of them, and what is wrong.
func (v *View) Table(out io.Writer, everybody bool) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %s\n", formatTime(v.At), v.Verdict())
	if v.ReferenceSource != "" {
		fmt.Fprintf(&b, "measured by %s: %s\n", v.ReferenceSource, listName(v.Reference))
	}
	if f := v.Minimum; f != nil {
		fmt.Fprintf(&b, "floor epoch %d by %s, grace %v\n", f.Epoch, f.By, f.Grace.D())
	}
	if v.NoOrdersReason != "" {
		fmt.Fprintln(&b, v.NoOrdersReason)
	}
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	head := false
	for i := range v.Rows {
		r := &v.Rows[i]
		if r.Status == UpToDate && !everybody {
			continue
		}
		if !head {
			head = true
			fmt.Fprint(t, "\nsidecar\tzone\tstatus\tfor\tlist\tsettings\tfile\tbuild\tlate\twhy\n")
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", printable(r.Name), printable(r.Zone), r.Status, v.ago(r.Since),
			r.list(), r.settings(), r.file(), r.build(), formatLate(r.Late), printable(r.Reason))
	}
	_ = t.Flush() // into b, which takes all
	for _, c := range v.Contradictions {
		fmt.Fprintf(&b, "contradiction, %s: %s, %s: %s\n", c.Kind, printable(c.Sidecar), formatTime(c.Time), printable(c.What))
	}
	if v.Omitted > 0 {
		fmt.Fprintf(&b, "and %s more\n", plural(v.Omitted, "contradiction"))
	}
	for _, f := range v.InventoryFaults {
		fmt.Fprintf(&b, "roster: %s\n", printable(f))
	}
	_, err := io.WriteString(out, b.String())
	return err
}

// JSON writes a line for each sidecar, one for each contradiction, and a summary.
func (v *View) JSON(out io.Writer) error {
	e := json.NewEncoder(out)
	for i := range v.Rows {
		if err := e.Encode(struct {
			Line string `json:"line"`
			*Row
		}{"sidecar", &v.Rows[i]}); err != nil {
			return err
		}
	}
	for _, c := range v.Contradictions {
		if err := e.Encode(struct {
			Line string `json:"line"`
			Contradiction
		}{"contradiction", c}); err != nil {
			return err
		}
	}
	return e.Encode(map[string]any{"line": "summary", "at_ms": v.At, "took_ms": v.Duration, "round": v.Round, "site": v.Site, "by": v.By,
		"reference": v.Reference, "measure": v.ReferenceSource, "floor": v.Minimum, "standing": v.NoOrdersReason, "sidecars": len(v.Rows),
		"up_to_date": v.Count(UpToDate), "behind": v.Count(Behind), "shut_out": v.Count(ShutOut), "not_reached": v.Count(NotReached),
		"cant_tell": v.Count(Unknown), "contradictions": len(v.Contradictions) + v.Omitted, "roster": v.InventoryFaults,
		"verdict": v.Verdict(), "exit": v.Exit()})
}

// printable returns text from elsewhere with control characters replaced.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}
		return r
	}, s)
}

func formatTime(t version.Millis) string {
	if t == 0 {
		return "-"
	}
	return time.UnixMilli(int64(t)).UTC().Format("2006-01-02 15:04:05.000Z")
}

// formatClock formats a time without its date.
func formatClock(t version.Millis) string {
	if t == 0 {
		return "–"
	}
	return time.UnixMilli(int64(t)).UTC().Format("15:04:05.000")
}

// ago formats how long before the view's time something was.
func (v *View) ago(t version.Millis) string {
	if t == 0 {
		return "-"
	}
	return formatDuration(v.At - t)
}

func formatDuration(m version.Millis) string {
	d := m.D()
	switch {
	case d < 0:
		return "-"
	case d < 10*time.Second:
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}

// listName returns a list's short name.
func listName(l version.List) string {
	if l.Digest == 0 {
		return "-"
	}
	return fmt.Sprintf("%d/%s", l.Revision, shortDigest(l.Digest))
}

// shortDigest returns the beginning of a digest, which is enough to compare by eye.
func shortDigest(d version.Digest) string {
	if d == 0 {
		return "-"
	}
	return fmt.Sprintf("%016x", uint64(d))[:6]
}

func (r *Row) list() string { return r.of(func(v *version.Version) string { return listName(v.List) }) }
func (r *Row) settings() string {
	return r.of(func(v *version.Version) string { return shortDigest(v.Settings) })
}
func (r *Row) file() string {
	return r.of(func(v *version.Version) string { return shortDigest(v.File) })
}
func (r *Row) build() string {
	return r.of(func(v *version.Version) string {
		if len(v.Build) > 12 {
			return printable(v.Build[:12])
		}
		return printable(v.Build)
	})
}

// of is a part of the last version that is known.
func (r *Row) of(part func(v *version.Version) string) string {
	if r.Version == nil {
		return "-"
	}
	return part(r.Version)
}

// formatLate formats how many attempts were late: those that certainly were, and those that may have been.
func formatLate(all []LateAttempts) string {
	n, perhaps := 0, 0
	for _, l := range all {
		n, perhaps = n+l.Certain, perhaps+l.Possible
	}
	switch {
	case n+perhaps == 0:
		return "-"
	case perhaps == 0:
		return fmt.Sprint(n)
	}
	return fmt.Sprintf("%d to %d", n, n+perhaps)
}
