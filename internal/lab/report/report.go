// Package report draws a run's result as one page that stands alone: no scripts, nothing fetched, readable in
// the dark, in a narrow window and on paper.
//
// The plots are SVG written here. gonum.org/v1/plot was tried first: its SVGs carry fixed colours on a white
// ground and fixed fonts, so that they can't follow the reader's theme, name a namespace by its address, and
// bring 9 MB of fonts and rasterizers into the program. What the page needs of it are axes and lines.
package report

import (
	"bytes"
	_ "embed" // the page's template
	"fmt"
	"html/template"
	"os"
	"strings"

	"pinelb.example/pinelb/internal/lab/result"
)

// File is the page's name in a run's folder.
const File = "report.html"

//go:embed page.html
var pageTemplateText string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": func(v float64) string { return fmt.Sprintf("%.2f%%", 100*v) },
	"fixed":   func(places int, v float64) string { return fmt.Sprintf("%.*f", places, v) },
	"short":   formatNumber,
	"span":    formatMillis,
	"share":   formatPercent,
	"join":    func(v []string) string { return strings.Join(v, "\n") },
	"add":     func(a, b int) int { return a + b },
	"nth":     nthOrDash,
}).Parse(pageTemplateText))

// Write puts the page into a file.
func Write(path string, r *result.Result) error {
	text, err := Page(r)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// Page is the page's text.
func Page(r *result.Result) ([]byte, error) {
	var out bytes.Buffer
	v := view{Result: r, Plots: plots(r), Verdict: verdict(r), Passed: r.Passed() && !r.Harness.Void}
	for _, b := range r.Endpoints {
		if b.Collapsed || b.MaxColdLoad > 0 {
			v.AffectedEndpoints = append(v.AffectedEndpoints, b)
		}
	}
	if err := pageTemplate.Execute(&out, v); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	return out.Bytes(), nil
}

// view is what the template sees.
type view struct {
	*result.Result
	Plots             []plot
	Verdict           string
	Passed            bool
	AffectedEndpoints []result.Endpoint // that were cold at some time or fell over
}

// verdict is the run in a sentence.
func verdict(r *result.Result) string {
	broken, missed := 0, 0
	for _, b := range r.Violations {
		broken += b.Count
	}
	for _, e := range r.Expectations {
		if !e.Met {
			missed++
		}
	}
	switch {
	case r.Harness.Void:
		return "Void: the rig itself ran late, so this run says nothing. " + r.Harness.Reason + "."
	case broken > 0 && missed > 0:
		return fmt.Sprintf("Rules were broken (%d times), and %d of %d expectations did not hold.", broken, missed, len(r.Expectations))
	case broken > 0:
		return fmt.Sprintf("Rules were broken (%d times).", broken)
	case missed > 0:
		return fmt.Sprintf("All rules were kept, but %d of %d expectations did not hold.", missed, len(r.Expectations))
	case len(r.Expectations) > 0:
		return fmt.Sprintf("All rules were kept and every expectation (%d) held.", len(r.Expectations))
	}
	return "All rules were kept."
}

// nth is "–" where there is none.
func nthOrDash(v []string, i int) string {
	if i < 0 || i >= len(v) {
		return "–"
	}
	return v[i]
}
