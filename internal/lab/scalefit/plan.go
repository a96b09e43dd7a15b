package scalefit

import (
	"fmt"
	"iter"
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

// Table is a table between its markers on the page.
type Table struct {
	Name string
	Rows []Row
}

// Row is a prediction of a cost, by a model that is fitted to a file's measurements.
type Row struct {
	Role        string             `toml:"role"`    // of the process that the cost is of, and when
	File        string             `toml:"file"`    // of measurements, in the plan's directory
	Filter      map[string]string  `toml:"where"`   // see Model.Filter
	UpperBounds map[string]float64 `toml:"upto"`    // see Model.UpperBounds
	Cost        string             `toml:"cost"`    // key of the cost
	Unit        string             `toml:"unit"`    // of the cost, as the page words it
	Predictors  []string           `toml:"per"`     // see Model.Predictors
	Inputs      map[string]float64 `toml:"at"`      // the sizes of the prediction
	Multiplier  float64            `toml:"times"`   // of the cost, as for a service that so many processes use; 0 is 1
	Limit       float64            `toml:"limit"`   // of the cost, in its unit; 0 is none
	Command     string             `toml:"by"`      // that measures it again, for measurements that don't name theirs
	Assumed     []string           `toml:"assumed"` // keys of Inputs that were not measured: the cost is given at half and twice them, too
}

// ParsePlan reads a plan's TOML; name is the file's. Errors name the file, the line and the key.
func ParsePlan(name string, text []byte) (*Plan, error) {
	var document struct {
		Table []struct {
			Name string `toml:"name"`
			Row  []Row  `toml:"row"`
		} `toml:"table"`
	}
	file, err := tomlfile.Decode(name, text, &document)
	if err != nil {
		return nil, err
	}
	if len(document.Table) == 0 {
		return nil, file.Errorf("table", "there is none")
	}
	plan := &Plan{}
	names := map[string]bool{}
	for i, table := range document.Table {
		tableKey := fmt.Sprintf("table[%d]", i)
		if table.Name == "" || names[table.Name] || strings.ContainsAny(table.Name, " >\n") {
			return nil, file.Errorf(tableKey+".name", "%q must be one word that no other table has", table.Name)
		}
		names[table.Name] = true
		if len(table.Row) == 0 {
			return nil, file.Errorf(tableKey+".row", "there is none")
		}
		for j := range table.Row {
			if key, problem := table.Row[j].invalidKey(); problem != "" {
				return nil, file.Errorf(fmt.Sprintf("%s.row[%d].%s", tableKey, j, key), "%s", problem)
			}
		}
		plan.Tables = append(plan.Tables, Table{table.Name, table.Row})
	}
	return plan, nil
}

// Files returns the names of the files that the plan's rows are made from, each once, sorted.
func (p *Plan) Files() []string {
	names := map[string]bool{}
	for _, table := range p.Tables {
		for _, row := range table.Rows {
			names[row.File] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// invalidKey returns the first key with an invalid value and what is wrong with it, "" if there is none.
func (r *Row) invalidKey() (key, problem string) {
	switch {
	case r.File == "" || strings.ContainsAny(r.File, "/\\"):
		return "file", "must name a file beside this one"
	case r.Cost == "":
		return "cost", "is missing"
	case len(r.Predictors) == 0:
		return "per", "is missing"
	case !isSize(r.Limit):
		return "limit", "must be 0 or more"
	case !isSize(r.Multiplier):
		return "times", "must be 0 or more"
	}
	if key := r.firstUnknown(maps.Keys(r.UpperBounds)); key != "" {
		return "upto", key + " is not in per"
	}
	for i, predictor := range r.Predictors {
		for _, factor := range factorsOf(predictor) {
			if input, ok := r.Inputs[factor]; !ok || !isSize(input) {
				return "at", fmt.Sprintf("needs a number of 0 or more for %s", factor)
			}
			if isProduct(predictor) && !slices.Contains(r.Predictors[:i], factor) {
				return "per", fmt.Sprintf("%s needs %s before it", predictor, factor)
			}
		}
	}
	if key := r.firstUnknown(maps.Keys(r.Inputs)); key != "" {
		return "at", key + " is not in per"
	}
	if key := r.firstUnknown(slices.Values(r.Assumed)); key != "" {
		return "assumed", key + " is not in per"
	}
	return "", ""
}

// firstUnknown returns a key that is no predictor, "" if there is none.
func (r *Row) firstUnknown(keys iter.Seq[string]) string {
	for key := range keys {
		if !slices.Contains(r.Predictors, key) {
			return key
		}
	}
	return ""
}

// isSize reports whether v is finite and not negative.
func isSize(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
