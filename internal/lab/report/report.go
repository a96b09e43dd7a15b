// Package report renders a run's result as one self-contained HTML page: without scripts or external resources, readable
// in a dark theme, in a narrow window and on paper. It is pure but for Write, and equal results give equal pages.
//
// The plots are SVG written here. The SVGs of gonum.org/v1/plot, which was tried first, have fixed fonts and fixed colours
// on white, so that they can't follow the reader's theme, and refer to a namespace by its address; the module adds 9 MB of
// fonts and rasterizers to the program. All that the page needs are axes and lines.
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

// File is the name of the page in a run's directory.
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

// Write writes the page to a file.
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

// Page returns the page. Its error is the template's.
func Page(r *result.Result) ([]byte, error) {
	var out bytes.Buffer
	v := view{Result: r, Plots: plots(r), Verdict: verdict(r), Passed: r.Passed() && !r.Harness.Void}
	for _, e := range r.Endpoints {
		if e.Collapsed || e.MaxColdLoad > 0 {
			v.AffectedEndpoints = append(v.AffectedEndpoints, e)
		}
	}
	if err := pageTemplate.Execute(&out, v); err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	return out.Bytes(), nil
}

// view is the template's data.
type view struct {
	*result.Result
	Plots             []plot
	Verdict           string
	Passed            bool
	AffectedEndpoints []result.Endpoint // that warmed up at some time or collapsed
}

// verdict sums the run up in a sentence.
func verdict(r *result.Result) string {
	violations, unmet := 0, 0
	for _, v := range r.Violations {
		violations += v.Count
	}
	for _, e := range r.Expectations {
		if !e.Met {
			unmet++
		}
	}
	switch {
	case r.Harness.Void:
		return "Void: the rig itself ran late, so this run says nothing. " + r.Harness.Reason + "."
	case violations > 0 && unmet > 0:
		return fmt.Sprintf("Rules were broken (%d times), and %d of %d expectations did not hold.", violations, unmet, len(r.Expectations))
	case violations > 0:
		return fmt.Sprintf("Rules were broken (%d times).", violations)
	case unmet > 0:
		return fmt.Sprintf("All rules were kept, but %d of %d expectations did not hold.", unmet, len(r.Expectations))
	case len(r.Expectations) > 0:
		return fmt.Sprintf("All rules were kept and every expectation (%d) held.", len(r.Expectations))
	}
	return "All rules were kept."
}

// nthOrDash returns an element, or a dash where there is none.
func nthOrDash(v []string, i int) string {
	if i < 0 || i >= len(v) {
		return "–"
	}
	return v[i]
}
