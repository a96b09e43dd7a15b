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
	"moment": formatTime, "clock": formatClock, "span": formatDuration, "name": listName, "short": shortDigest, "class": cssClass, "what": describe,
	"life": func(s string) string { return s[:min(len(s), 6)] },
	"row":  func(v pageView, r Row) pageRow { return pageRow{r, v.View} },
}).Parse(pageText))

// cssClass returns a status's class in the page's style sheet.
func cssClass(s Status) string {
	switch s {
	case UpToDate:
		return "uptodate"
	case Behind:
		return "behind"
	case ShutOut:
		return "shut"
	case NotReached:
		return "away"
	}
	return "unknown"
}

// pageView is a view with the arrangements that the page shows. The template calls its methods.
type pageView struct{ *View }

// pageRow is a row with the texts of its cells. The template calls its methods.
type pageRow struct {
	Row
	v *View
}

func (l pageRow) For() string      { return l.v.ago(l.Since) }
func (l pageRow) SeenAgo() string  { return l.v.ago(l.LastAnswer) }
func (l pageRow) List() string     { return l.list() }
func (l pageRow) Settings() string { return l.settings() }
func (l pageRow) File() string     { return l.file() }
func (l pageRow) Build() string    { return l.build() }
func (l pageRow) LateSum() string  { return formatLate(l.Late) }
func (l pageRow) Epoch() string {
	return l.of(func(v *version.Version) string { return fmt.Sprint(v.Epoch) })
}
func (l pageRow) HeardAgo() string {
	if l.Version == nil || l.ListAge < 0 {
		return "-"
	}
	return formatDuration(l.ListAge)
}

// Page writes a view as a self-contained HTML page.
func (v *View) Page(out io.Writer) error {
	if err := page.Execute(out, pageView{v}); err != nil {
		return fmt.Errorf("audit: page: %w", err)
	}
	return nil
}

type statusCount struct {
	Status Status
	N      int
}

func (s pageView) Counts() (out []statusCount) {
	for _, status := range slices.Backward(statuses) {
		out = append(out, statusCount{status, s.Count(status)})
	}
	return out
}

func (s pageView) rows(well bool) (out []Row) {
	for _, r := range s.Rows {
		if (r.Status == UpToDate) == well {
			out = append(out, r)
		}
	}
	return out
}

func (s pageView) Stragglers() []Row { return s.rows(false) }
func (s pageView) Well() []Row       { return s.rows(true) }

type zoneRows struct {
	Name     string
	UpToDate int
	Rows     []Row
}

func (s pageView) Zones() []zoneRows {
	byName := map[string]*zoneRows{}
	for _, r := range s.Rows {
		z := byName[r.Zone]
		if z == nil {
			z = &zoneRows{Name: r.Zone}
			byName[r.Zone] = z
		}
		if r.Status == UpToDate {
			z.UpToDate++
		}
		z.Rows = append(z.Rows, r)
	}
	out := make([]zoneRows, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out = append(out, *byName[name])
	}
	return out
}

type lateHostSum struct {
	LateAttempts
	Sidecars int
}

func (s pageView) LateHosts() []lateHostSum {
	byHost := map[string]lateHostSum{}
	for i := range s.Rows {
		for _, l := range s.Rows[i].Late {
			h := byHost[l.Host]
			h.Host, h.Certain, h.Possible, h.Sidecars = l.Host, h.Certain+l.Certain, h.Possible+l.Possible, h.Sidecars+1
			byHost[l.Host] = h
		}
	}
	return slices.SortedFunc(maps.Values(byHost), func(a, b lateHostSum) int {
		return cmp.Or(cmp.Compare(b.Certain+b.Possible, a.Certain+a.Possible), cmp.Compare(a.Host, b.Host))
	})
}

func (s pageView) LateSum() string {
	var all []LateAttempts
	for i := range s.Rows {
		all = append(all, s.Rows[i].Late...)
	}
	if sum := formatLate(all); sum != "-" {
		return sum
	}
	return "0"
}

// describe returns an entry's text.
func describe(e Event) string {
	switch {
	case e.Kind == auditlog.Adopted && e.Version != nil:
		v := e.Version
		return fmt.Sprintf("no. %d: list %s of %s, settings %s, file %s, build %s, epoch %d", e.VersionID, listName(v.List), v.List.From,
			shortDigest(v.Settings), shortDigest(v.File), v.Build, v.Epoch)
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
		return "for " + formatDuration(e.Duration)
	case e.Kind == auditlog.Lost:
		return fmt.Sprintf("%d before it were not kept", e.N)
	}
	return e.From
}
