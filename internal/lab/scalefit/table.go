package scalefit

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"pinelb.example/pinelb/internal/tomlfile"
)

// Plan is what a page's tables are made of.
type Plan struct {
	Tables []Table
}

// Table is one between markers of the page.
type Table struct {
	Name string
	Rows []Row
}

// Row is a cost at a size, from the slope that a file's lines give.
type Row struct {
	Role        string             `toml:"role"`    // whose, and when
	File        string             `toml:"file"`    // of lines, beside the plan
	Filter      map[string]string  `toml:"where"`   // words and numbers that lines must have
	UpperBounds map[string]float64 `toml:"upto"`    // numbers that lines must not be above, for a knee
	Cost        string             `toml:"cost"`    // the key of what is explained
	Unit        string             `toml:"unit"`    // as the page words it
	Predictors  []string           `toml:"per"`     // the keys of what explains it, and products of them
	Inputs      map[string]float64 `toml:"at"`      // where it is asked for
	Multiplier  float64            `toml:"times"`   // of what one takes; a service's that so many ask; 0 is 1
	Limit       float64            `toml:"limit"`   // in the unit; 0 is none
	Command     string             `toml:"by"`      // the command that measures it again, of lines that don't name theirs
	Assumed     []string           `toml:"assumed"` // keys of At that nobody has measured: the answer is given at half and twice, too
}

// ParsePlan reads a plan's TOML. Errors name the file, the line and the key.
func ParsePlan(name string, text []byte) (*Plan, error) {
	var v struct {
		Table []struct {
			Name string `toml:"name"`
			Row  []Row  `toml:"row"`
		} `toml:"table"`
	}
	f, err := tomlfile.Decode(name, text, &v)
	if err != nil {
		return nil, err
	}
	if len(v.Table) == 0 {
		return nil, f.Fault("table", "there is none")
	}
	p, names := &Plan{}, map[string]bool{}
	for i, t := range v.Table {
		table := fmt.Sprintf("table[%d]", i)
		if t.Name == "" || names[t.Name] || strings.ContainsAny(t.Name, " >\n") {
			return nil, f.Fault(table+".name", "%q must be one word that no other table has", t.Name)
		}
		names[t.Name] = true
		if len(t.Row) == 0 {
			return nil, f.Fault(table+".row", "there is none")
		}
		for j := range t.Row {
			if key, fault := t.Row[j].invalidKey(); fault != "" {
				return nil, f.Fault(fmt.Sprintf("%s.row[%d].%s", table, j, key), "%s", fault)
			}
		}
		p.Tables = append(p.Tables, Table{t.Name, t.Row})
	}
	return p, nil
}

// fault is the first key that can't be, and what is wrong with it.
func (r *Row) invalidKey() (key, fault string) {
	switch {
	case r.File == "" || strings.ContainsAny(r.File, "/\\"):
		return "file", "must name a file beside this one"
	case r.Cost == "":
		return "cost", "is missing"
	case len(r.Predictors) == 0:
		return "per", "is missing"
	case !(r.Limit >= 0) || math.IsInf(r.Limit, 0):
		return "limit", "must be 0 or more"
	case !(r.Multiplier >= 0) || math.IsInf(r.Multiplier, 0):
		return "times", "must be 0 or more"
	}
	for key := range r.UpperBounds {
		if !slices.Contains(r.Predictors, key) {
			return "upto", key + " is not in per"
		}
	}
	for i, key := range r.Predictors {
		for _, one := range factorsOf(key) {
			at, ok := r.Inputs[one]
			if !ok || !(at >= 0) || math.IsInf(at, 0) {
				return "at", fmt.Sprintf("needs a number of 0 or more for %s", one)
			}
			if isProduct(key) && !slices.Contains(r.Predictors[:i], one) {
				return "per", fmt.Sprintf("%s needs %s before it", key, one)
			}
		}
	}
	for key := range r.Inputs {
		if !slices.Contains(r.Predictors, key) {
			return "at", key + " is not in per"
		}
	}
	for _, key := range r.Assumed {
		if !slices.Contains(r.Predictors, key) {
			return "assumed", key + " is not in per"
		}
	}
	return "", ""
}

const tableHeader = `| role | cost | fixed + slopes (fit's error: rms, largest; of the measured) | sizes measured | at | is | stretch | limit | verdict | at half, twice of what is assumed |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
`

// Markdown is the table, from the lines of each file that it names, with the commands that measure them again below it.
func (t *Table) Markdown(files map[string][]Measurement) (string, error) {
	var out strings.Builder
	out.WriteString(tableHeader)
	var commands []string
	for i := range t.Rows {
		line, fit, err := t.Rows[i].markdown(files)
		if err != nil {
			return "", fmt.Errorf("slope: table %s, row %d (%s): %w", t.Name, i+1, t.Rows[i].Role, err)
		}
		out.WriteString(line)
		for _, c := range fit.Commands {
			if !slices.Contains(commands, c) {
				commands = append(commands, c)
			}
		}
	}
	out.WriteString("\nMeasured by\n\n")
	for _, c := range commands {
		fmt.Fprintf(&out, "    %s\n", c)
	}
	return out.String(), nil
}

func (r *Row) markdown(files map[string][]Measurement) (string, Fit, error) {
	lines, ok := files[r.File]
	if !ok {
		return "", Fit{}, fmt.Errorf("file: no results %s", r.File)
	}
	fit, err := Model{Filter: r.Filter, UpperBounds: r.UpperBounds, Cost: r.Cost, Predictors: r.Predictors}.Fit(lines)
	if err != nil {
		return "", fit, err
	}
	if r.Command != "" {
		fit.Commands = append(fit.Commands, r.Command)
	}
	if len(fit.Commands) == 0 {
		return "", fit, fmt.Errorf("by: is missing, and no line names its command")
	}
	is, stretch := r.predict(&fit, 1)
	equation := formatNumber(fit.Intercept)
	var sizes, at []string
	for i, key := range fit.Predictors {
		sign := "+"
		if fit.Slopes[i] < 0 {
			sign = "-"
		}
		equation += fmt.Sprintf(" %s %s x %s", sign, formatNumber(math.Abs(fit.Slopes[i])), strings.Join(factorsOf(key), " x "))
		if !isProduct(key) {
			measured := key + " " + formatNumbers(fit.Sizes[i])
			if _, knee := r.UpperBounds[key]; knee {
				measured += " (beyond is a knee)"
			}
			sizes = append(sizes, measured)
			at = append(at, fmt.Sprintf("%s %s", key, formatNumber(r.Inputs[key])))
		}
	}
	if r.Multiplier > 0 {
		equation, at = "("+equation+") x "+formatNumber(r.Multiplier), append(at, "times "+formatNumber(r.Multiplier))
	}
	mark := fmt.Sprintf("%.2g", stretch)
	if stretch > MaxExtrapolation {
		mark += ", **a guess**"
	}
	limit, verdict := "none", ""
	if r.Limit > 0 {
		limit, verdict = formatNumber(r.Limit), Verdict(is, r.Limit)
	}
	role := r.Role
	if fit.IncludesTrials {
		role += " (trial)"
	}
	around := ""
	if len(r.Assumed) > 0 {
		half, _ := r.predict(&fit, 0.5)
		twice, _ := r.predict(&fit, 2)
		around = fmt.Sprintf("%s: %s, %s", strings.Join(r.Assumed, ", "), formatNumber(half), formatNumber(twice))
		if r.Limit > 0 {
			around += fmt.Sprintf(" (%s; %s)", Verdict(half, r.Limit), Verdict(twice, r.Limit))
		}
	}
	return fmt.Sprintf("| %s | `%s`, %s | %s (%s, %s; %.1f%%, %.1f%%) | %s; %d points | %s | %s | %s | %s | %s | %s |\n",
		role, r.Cost, r.Unit, equation, formatNumber(fit.RMSResidual), formatNumber(fit.MaxResidual), 100*fit.RelativeRMS, 100*fit.RelativeMax,
		strings.Join(sizes, "; "), fit.Measurements, strings.Join(at, ", "), formatNumber(is), mark, limit, verdict, around), fit, nil
}

// at is the cost where it is asked for, with what is assumed taken so many times.
func (r *Row) predict(fit *Fit, assumed float64) (cost, stretch float64) {
	at := maps.Clone(r.Inputs)
	for _, key := range r.Assumed {
		at[key] *= assumed
	}
	cost, stretch = fit.Predict(at)
	if r.Multiplier > 0 {
		cost *= r.Multiplier
	}
	return cost, stretch
}

// Verdict says whether a cost is within its limit, and by what factor.
func Verdict(is, limit float64) string {
	switch {
	case is <= 0:
		return "holds"
	case is <= limit:
		return fmt.Sprintf("holds, %s times over", formatNumber(limit/is))
	}
	return fmt.Sprintf("**does not**, by %s", formatNumber(is/limit))
}

// figure is a number with three figures that count, or all of a whole one.
func formatNumber(v float64) string {
	if v == math.Trunc(v) && math.Abs(v) < 1e9 {
		return fmt.Sprintf("%.0f", v)
	}
	if a := math.Abs(v); a >= 100 && a < 1e9 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

func formatNumbers(v []float64) string {
	var out []string
	for _, x := range v {
		out = append(out, formatNumber(x))
	}
	return strings.Join(out, ", ")
}

// Files are the names of those that a plan's rows are made from, each once.
func (p *Plan) Files() []string {
	names := map[string]bool{}
	for _, t := range p.Tables {
		for _, r := range t.Rows {
			names[r.File] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}
