package experiment

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"pinelb.example/pinelb/internal/lab/scenario"
)

// Sweep is a key of a scenario and the values that it takes in turn, such as "fleet.sidecars=1,10,50". Elements of lists
// are named by their index: "tier.0.kind.0.boxes=12,24".
type Sweep struct {
	Key    string
	Values []string
}

// UnmarshalText parses "KEY=VALUE,VALUE".
func (v *Sweep) UnmarshalText(text []byte) error {
	key, values, ok := strings.Cut(string(text), "=")
	if !ok || key == "" || values == "" {
		return fmt.Errorf("%q must be KEY=VALUE,VALUE", text)
	}
	v.Key, v.Values = key, strings.Split(values, ",")
	return nil
}

// Variant is one combination of values.
type Variant struct {
	Values   []string // one for each sweep
	Scenario *scenario.Scenario
}

// Variants returns the scenarios of all combinations of the sweeps' values, the last key changing fastest. Name is the
// file's in errors; a key that the scenario does not have is an error.
func Variants(name string, text []byte, sweeps []Sweep) ([]Variant, error) {
	out := []Variant{{}}
	for _, v := range sweeps {
		var next []Variant
		for _, prefix := range out {
			for _, value := range v.Values {
				next = append(next, Variant{Values: append(append([]string{}, prefix.Values...), value)})
			}
		}
		out = next
	}
	for i := range out {
		var all map[string]any
		if err := toml.Unmarshal(text, &all); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		for k, value := range out[i].Values {
			if err := setKey(all, strings.Split(sweeps[k].Key, "."), parseValue(value)); err != nil {
				return nil, fmt.Errorf("%s: %s: %w", name, sweeps[k].Key, err)
			}
		}
		changed, err := toml.Marshal(all)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		if out[i].Scenario, err = scenario.Parse(name+" "+strings.Join(out[i].Values, " "), changed); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// parseValue parses a value as TOML does if it is a number or a boolean, and takes it as text otherwise.
func parseValue(value string) any {
	if n, err := strconv.ParseInt(value, 10, 64); err == nil {
		return n
	}
	if x, err := strconv.ParseFloat(value, 64); err == nil {
		return x
	}
	if b, err := strconv.ParseBool(value); err == nil {
		return b
	}
	return value
}

// setKey sets the value at a path, and makes the tables that are missing.
func setKey(in any, path []string, v any) error {
	switch at := in.(type) {
	case map[string]any:
		if len(path) == 1 {
			at[path[0]] = v
			return nil
		}
		if at[path[0]] == nil {
			at[path[0]] = map[string]any{}
		}
		return setKey(at[path[0]], path[1:], v)
	case []any:
		i, err := strconv.Atoi(path[0])
		if err != nil || i < 0 || i >= len(at) {
			return fmt.Errorf("%q is no place in a list of %d", path[0], len(at))
		}
		if len(path) == 1 {
			at[i] = v
			return nil
		}
		return setKey(at[i], path[1:], v)
	}
	return fmt.Errorf("%q stands below a value", path[0])
}
