// Package slope fits measurements made at sizes that double: cost = fixed + per host x hosts + per change x changes + ..., with
// the fit's error, the sizes and how far beyond them an answer lies. It writes the tables of docs/CAPACITY.md. Pure: results in,
// text out.
package scalefit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
)

// Measurement is one measurement: a JSON object's numbers and words by key. What an object within it has goes by both keys, "hollow.p50_ms".
type Measurement struct {
	position string // its file and line, for errors
	numbers  map[string]float64
	strings  map[string]string // true and false too
}

// ParseMeasurements reads lines of JSON objects; name is the file's. What else stands in an object, such as a list, is left out.
// Errors name the file and the line.
func ParseMeasurements(name string, text []byte) ([]Measurement, error) {
	var out []Measurement
	for i, one := range bytes.Split(text, []byte("\n")) {
		if len(bytes.TrimSpace(one)) == 0 {
			continue
		}
		var all map[string]any
		if err := json.Unmarshal(one, &all); err != nil {
			return nil, fmt.Errorf("slope: %s:%d: %w", name, i+1, err)
		}
		l := Measurement{position: fmt.Sprintf("%s:%d", name, i+1), numbers: map[string]float64{}, strings: map[string]string{}}
		l.add("", all)
		out = append(out, l)
	}
	return out, nil
}

// take notes what an object has, under its keys after the prefix.
func (l *Measurement) add(prefix string, object map[string]any) {
	for key, v := range object {
		switch key = prefix + key; v := v.(type) {
		case float64:
			l.numbers[key] = v
		case string:
			l.strings[key] = v
		case bool:
			l.strings[key] = fmt.Sprint(v)
		case map[string]any:
			l.add(key+".", v)
		}
	}
}

// has tells whether a line has those words. Of a number it is the shortest form that counts.
func (l *Measurement) matches(words map[string]string) bool {
	for key, want := range words {
		got, ok := l.strings[key]
		if n, number := l.numbers[key]; number {
			got, ok = fmt.Sprint(n), true
		}
		if !ok || got != want {
			return false
		}
	}
	return true
}

// beyond tells whether one of a line's numbers is above its bound.
func (l *Measurement) exceeds(bounds map[string]float64) bool {
	for key, most := range bounds {
		if l.numbers[key] > most {
			return true
		}
	}
	return false
}

// number is what stands under a key, which can't be less than 0.
func (l *Measurement) number(key string) (float64, error) {
	v, ok := l.numbers[key]
	switch {
	case !ok && l.strings[key] != "":
		return 0, fmt.Errorf("slope: %s: %s: %q is no number", l.position, key, l.strings[key])
	case !ok:
		return 0, fmt.Errorf("slope: %s: %s is missing, or no number", l.position, key)
	case v < 0 || math.IsInf(v, 0):
		return 0, fmt.Errorf("slope: %s: %s: %v must be 0 or more", l.position, key, v)
	}
	return v, nil
}
