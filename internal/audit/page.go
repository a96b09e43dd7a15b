package audit

import (
	"cmp"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"

	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/version"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"add": func(a, b int) int { return a + b }, "sub": func(a, b version.Millis) version.Millis { return a - b },
	"moment": moment, "clock": clock, "span": span, "name": name, "short": short, "class": class, "what": what,
	"life": func(s string) string { return s[:min(len(s), 6)] },
	"row":  func(v sheet, r Row) line { return line{r, v.View} },
}).Parse(pageText))

// class is a status's in the page's style.
func class(s Status) string {
	switch s {
	case UpToDate:
		return "uptodate"
	case Behind:
		return "behind"
	case Shut:
		return "shut"
	case NotReached:
		return "away"
	}
	return "unknown"
}

// sheet is a view with what the page shows in other arrangements.
type sheet struct{ *View }

// line is a row with the words for its cells.
type line struct {
	Row
	v *View
}

func (l line) For() string      { return l.v.since(l.Since) }
func (l line) SeenAgo() string  { return l.v.since(l.Seen) }
func (l line) List() string     { return l.list() }
func (l line) Settings() string { return l.settings() }
func (l line) File() string     { return l.file() }
func (l line) Build() string    { return l.build() }
func (l line) LateSum() string  { return late(l.Late) }
func (l line) Epoch() string {
	return l.of(func(v *version.Version) string { return fmt.Sprint(v.Epoch) })
}
func (l line) HeardAgo() string {
	if l.Version == nil || l.Heard < 0 {
		return "-"
	}
	return span(l.Heard)
}

// Page writes a view as a page for a browser, in which everything stands that it needs.
func (v *View) Page(out io.Writer) error {
	if err := page.Execute(out, sheet{v}); err != nil {
		return fmt.Errorf("audit: page: %w", err)
	}
	return nil
}

type count struct {
	Status Status
	N      int
}

func (s sheet) Counts() (out []count) {
	for _, status := range slices.Backward(statuses) {
		out = append(out, count{status, s.Count(status)})
	}
	return out
}

func (s sheet) rows(well bool) (out []Row) {
	for _, r := range s.Rows {
		if (r.Status == UpToDate) == well {
			out = append(out, r)
		}
	}
	return out
}

func (s sheet) Stragglers() []Row { return s.rows(false) }
func (s sheet) Well() []Row       { return s.rows(true) }

type zone struct {
	Name     string
	UpToDate int
	Rows     []Row
}

func (s sheet) Zones() []zone {
	byName := map[string]*zone{}
	for _, r := range s.Rows {
		z := byName[r.Zone]
		if z == nil {
			z = &zone{Name: r.Zone}
			byName[r.Zone] = z
		}
		if r.Status == UpToDate {
			z.UpToDate++
		}
		z.Rows = append(z.Rows, r)
	}
	out := make([]zone, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out = append(out, *byName[name])
	}
	return out
}

type lateHost struct {
	Late
	Sidecars int
}

func (s sheet) LateHosts() []lateHost {
	byHost := map[string]lateHost{}
	for i := range s.Rows {
		for _, l := range s.Rows[i].Late {
			h := byHost[l.Host]
			h.Host, h.N, h.Perhaps, h.Sidecars = l.Host, h.N+l.N, h.Perhaps+l.Perhaps, h.Sidecars+1
			byHost[l.Host] = h
		}
	}
	return slices.SortedFunc(maps.Values(byHost), func(a, b lateHost) int {
		return cmp.Or(cmp.Compare(b.N+b.Perhaps, a.N+a.Perhaps), cmp.Compare(a.Host, b.Host))
	})
}

func (s sheet) LateSum() string {
	var all []Late
	for i := range s.Rows {
		all = append(all, s.Rows[i].Late...)
	}
	if sum := late(all); sum != "-" {
		return sum
	}
	return "0"
}

// what tells an entry in words.
func what(e Event) string {
	switch {
	case e.Kind == auditlog.Adopted && e.Version != nil:
		v := e.Version
		return fmt.Sprintf("no. %d: list %s of %s, settings %s, file %s, build %s, epoch %d", e.VersionID, name(v.List), v.List.From,
			short(v.Settings), short(v.File), v.Build, v.Epoch)
	case e.Kind == auditlog.Ordered && e.Order != nil:
		text := fmt.Sprintf("epoch %d by %s", e.Order.Minimum.Epoch, e.Order.Minimum.By)
		if e.Order.Permit != nil {
			text += fmt.Sprintf(", ticket %d", e.Order.Permit.Number)
		}
		if e.Reason != "" {
			text += ", refused: " + e.Reason
		}
		return text
	case e.Kind == auditlog.VerdictChanged && e.Reason != "":
		return e.State + ": " + e.Reason
	case e.Kind == auditlog.VerdictChanged:
		return e.State
	case e.Kind == auditlog.Stopped:
		return "for " + span(e.Duration)
	case e.Kind == auditlog.Lost:
		return fmt.Sprintf("%d before it were not kept", e.N)
	}
	return e.From
}
