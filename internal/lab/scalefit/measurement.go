// Package scalefit fits linear models of costs to measurements made at sizes that double: cost = intercept + slope x hosts
// + slope x changes + ..., with the fit's residuals, the sizes and the extrapolation of a prediction. It writes the tables of
// docs/CAPACITY.md from the measurements and the plan in docs/capacity. Pure: measurements in, text out.
package scalefit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
)

// Measurement is the numbers and strings of a JSON object by key. Those of an object within it are under both keys,
// "hollow.p50_ms".
type Measurement struct {
	position string // its file and line
	numbers  map[string]float64
	strings  map[string]string // "true" and "false", too
}

// ParseMeasurements reads lines of JSON objects; name is the file's. Other values of an object, such as lists, are ignored.
// An error names the file and the line.
func ParseMeasurements(name string, text []byte) ([]Measurement, error) {
	var out []Measurement
	for i, line := range bytes.Split(text, []byte("\n")) {
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		position := fmt.Sprintf("%s:%d", name, i+1)
		var object map[string]any
		if err := json.Unmarshal(line, &object); err != nil {
			return nil, fmt.Errorf("scalefit: %s: %w", position, err)
		}
		m := Measurement{position: position, numbers: map[string]float64{}, strings: map[string]string{}}
		m.add("", object)
		out = append(out, m)
	}
	return out, nil
}

// add adds an object's values under their keys with a prefix.
func (m *Measurement) add(prefix string, object map[string]any) {
	for key, value := range object {
		switch key = prefix + key; value := value.(type) {
		case float64:
			m.numbers[key] = value
		case string:
			m.strings[key] = value
		case bool:
			m.strings[key] = fmt.Sprint(value)
		case map[string]any:
			m.add(key+".", value)
		}
	}
}

// matches reports whether the measurement has those values. Numbers are compared in their shortest form.
func (m *Measurement) matches(filter map[string]string) bool {
	for key, want := range filter {
		got, ok := m.strings[key]
		if n, isNumber := m.numbers[key]; isNumber {
			got, ok = fmt.Sprint(n), true
		}
		if !ok || got != want {
			return false
		}
	}
	return true
}

// exceeds reports whether one of the measurement's numbers is above its bound.
func (m *Measurement) exceeds(bounds map[string]float64) bool {
	for key, bound := range bounds {
		if m.numbers[key] > bound {
			return true
		}
	}
	return false
}

// product returns the product of the numbers that a predictor names.
func (m *Measurement) product(predictor string) (float64, error) {
	product := 1.0
	for _, key := range factorsOf(predictor) {
		n, err := m.number(key)
		if err != nil {
			return 0, err
		}
		product *= n
	}
	return product, nil
}

// number returns the number under a key, which must not be negative. An error is a *MeasurementError.
func (m *Measurement) number(key string) (float64, error) {
	n, ok := m.numbers[key]
	var problem string
	switch text := m.strings[key]; {
	case !ok && text != "":
		problem = fmt.Sprintf("%q is no number", text)
	case !ok:
		problem = "is missing, or no number"
	case n < 0 || math.IsInf(n, 0):
		problem = fmt.Sprintf("%v must be 0 or more", n)
	default:
		return n, nil
	}
	return 0, &MeasurementError{m.position, key, problem}
}
