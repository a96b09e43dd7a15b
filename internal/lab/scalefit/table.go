package scalefit

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

const tableHeader = `| role | cost | fixed + slopes (fit's error: rms, largest; of the measured) | sizes measured | at | is | stretch | limit | verdict | at half, twice of what is assumed |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
`

// Markdown returns the table, made from the measurements of each file that it names, followed by the commands that measure
// them again. Its error names the table and the row.
func (t *Table) Markdown(files map[string][]Measurement) (string, error) {
	var out strings.Builder
	out.WriteString(tableHeader)
	var commands []string
	for i := range t.Rows {
		row := &t.Rows[i]
		fit, err := row.fit(files)
		if err != nil {
			return "", fmt.Errorf("scalefit: table %s, row %d (%s): %w", t.Name, i+1, row.Role, err)
		}
		out.WriteString(row.markdown(&fit))
		for _, command := range fit.Commands {
			if !slices.Contains(commands, command) {
				commands = append(commands, command)
			}
		}
	}
	out.WriteString("\nMeasured by\n\n")
	for _, command := range commands {
		fmt.Fprintf(&out, "    %s\n", command)
	}
	return out.String(), nil
}

// fit fits the row's model. The fit has one command at least. An error is a *FitError or a *MeasurementError.
func (r *Row) fit(files map[string][]Measurement) (Fit, error) {
	measurements, ok := files[r.File]
	if !ok {
		return Fit{}, &FitError{"file", "no results " + r.File}
	}
	model := Model{Filter: r.Filter, UpperBounds: r.UpperBounds, Cost: r.Cost, Predictors: r.Predictors}
	fit, err := model.Fit(measurements)
	if err != nil {
		return Fit{}, err
	}
	if r.Command != "" {
		fit.Commands = append(fit.Commands, r.Command)
	}
	if len(fit.Commands) == 0 {
		return Fit{}, &FitError{"by", "is missing, and no line names its command"}
	}
	return fit, nil
}

// markdown returns the row's cells.
func (r *Row) markdown(fit *Fit) string {
	cost, extrapolation := r.predict(fit, 1)
	cells := []string{
		r.roleCell(fit),
		fmt.Sprintf("`%s`, %s", r.Cost, r.Unit),
		r.equationCell(fit),
		r.sizesCell(fit),
		r.inputsCell(),
		formatNumber(cost),
		extrapolationCell(extrapolation),
		"none",
		"",
		r.assumedCell(fit),
	}
	if r.Limit > 0 {
		cells[7], cells[8] = formatNumber(r.Limit), Verdict(cost, r.Limit)
	}
	return "| " + strings.Join(cells, " | ") + " |\n"
}

func (r *Row) roleCell(fit *Fit) string {
	if fit.IncludesTrials {
		return r.Role + " (trial)"
	}
	return r.Role
}

// equationCell returns the fitted equation and its residuals.
func (r *Row) equationCell(fit *Fit) string {
	equation := formatNumber(fit.Intercept)
	for i, predictor := range fit.Predictors {
		sign := "+"
		if fit.Slopes[i] < 0 {
			sign = "-"
		}
		factors := strings.Join(factorsOf(predictor), " x ")
		equation += fmt.Sprintf(" %s %s x %s", sign, formatNumber(math.Abs(fit.Slopes[i])), factors)
	}
	if r.Multiplier > 0 {
		equation = "(" + equation + ") x " + formatNumber(r.Multiplier)
	}
	return fmt.Sprintf("%s (%s, %s; %.1f%%, %.1f%%)", equation, formatNumber(fit.RMSResidual), formatNumber(fit.MaxResidual),
		100*fit.RelativeRMS, 100*fit.RelativeMax)
}

func (r *Row) sizesCell(fit *Fit) string {
	var sizes []string
	for i, predictor := range fit.Predictors {
		if isProduct(predictor) {
			continue
		}
		measured := predictor + " " + formatNumbers(fit.Sizes[i])
		if _, knee := r.UpperBounds[predictor]; knee {
			measured += " (beyond is a knee)"
		}
		sizes = append(sizes, measured)
	}
	return fmt.Sprintf("%s; %d points", strings.Join(sizes, "; "), fit.Measurements)
}

func (r *Row) inputsCell() string {
	var inputs []string
	for _, predictor := range r.Predictors {
		if !isProduct(predictor) {
			inputs = append(inputs, predictor+" "+formatNumber(r.Inputs[predictor]))
		}
	}
	if r.Multiplier > 0 {
		inputs = append(inputs, "times "+formatNumber(r.Multiplier))
	}
	return strings.Join(inputs, ", ")
}

func extrapolationCell(extrapolation float64) string {
	cell := fmt.Sprintf("%.2g", extrapolation)
	if extrapolation > MaxExtrapolation {
		cell += ", **a guess**"
	}
	return cell
}

// assumedCell returns the costs at half and twice the inputs that are assumed.
func (r *Row) assumedCell(fit *Fit) string {
	if len(r.Assumed) == 0 {
		return ""
	}
	half, _ := r.predict(fit, 0.5)
	twice, _ := r.predict(fit, 2)
	cell := fmt.Sprintf("%s: %s, %s", strings.Join(r.Assumed, ", "), formatNumber(half), formatNumber(twice))
	if r.Limit > 0 {
		cell += fmt.Sprintf(" (%s; %s)", Verdict(half, r.Limit), Verdict(twice, r.Limit))
	}
	return cell
}

// predict returns the cost at the row's inputs, with those that are assumed multiplied by a factor.
func (r *Row) predict(fit *Fit, assumedFactor float64) (cost, extrapolation float64) {
	inputs := maps.Clone(r.Inputs)
	for _, key := range r.Assumed {
		inputs[key] *= assumedFactor
	}
	cost, extrapolation = fit.Predict(inputs)
	if r.Multiplier > 0 {
		cost *= r.Multiplier
	}
	return cost, extrapolation
}

// Verdict words whether a cost is within its limit, and by what factor.
func Verdict(cost, limit float64) string {
	switch {
	case cost <= 0:
		return "holds"
	case cost <= limit:
		return fmt.Sprintf("holds, %s times over", formatNumber(limit/cost))
	}
	return fmt.Sprintf("**does not**, by %s", formatNumber(cost/limit))
}

// formatNumber formats a number with three significant digits, or with all digits of an integer.
func formatNumber(v float64) string {
	magnitude := math.Abs(v)
	if magnitude < 1e9 && (v == math.Trunc(v) || magnitude >= 100) {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

func formatNumbers(values []float64) string {
	var out []string
	for _, v := range values {
		out = append(out, formatNumber(v))
	}
	return strings.Join(out, ", ")
}
