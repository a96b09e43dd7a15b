package experiment

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"pinelb.example/pinelb/internal/lab/scenario"
)

// Sweep is a key of a scenario and the values that it is to take, such as "fleet.sidecars=1,10,50". Elements of
// lists are named by their place: "tier.0.kind.0.boxes=12,24".
type Sweep struct {
	Key    string
	Values []string
}

// UnmarshalText reads one.
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
	Values   []string // a value for each key
	Scenario *scenario.Scenario
}

// Variants are a scenario's text with all combinations of the values, the last key changing fastest.
func Variants(name string, text []byte, vary []Sweep) ([]Variant, error) {
	out := []Variant{{}}
	for _, v := range vary {
		var next []Variant
		for _, had := range out {
			for _, word := range v.Values {
				next = append(next, Variant{Values: append(append([]string{}, had.Values...), word)})
			}
		}
		out = next
	}
	for i := range out {
		var all map[string]any
		if err := toml.Unmarshal(text, &all); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		for k, word := range out[i].Values {
			if err := setKey(all, strings.Split(vary[k].Key, "."), parseValue(word)); err != nil {
				return nil, fmt.Errorf("%s: %s: %w", name, vary[k].Key, err)
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

// value reads a word as TOML would where it is a number or a flag, and as text otherwise.
func parseValue(word string) any {
	if n, err := strconv.ParseInt(word, 10, 64); err == nil {
		return n
	}
	if x, err := strconv.ParseFloat(word, 64); err == nil {
		return x
	}
	if b, err := strconv.ParseBool(word); err == nil {
		return b
	}
	return word
}

// set puts a value at a path, making the tables that are not there.
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
