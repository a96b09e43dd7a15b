package mutation

import (
	"errors"
	"testing"
)

func TestApply(t *testing.T) {
	m := Mistake{File: "f.go", Edits: []Edit{{"a < b", "a <= b"}, {"c()", ""}}}
	text, err := m.Apply("if a < b { c() }")
	if err != nil || text != "if a <= b {  }" {
		t.Errorf("%q, %v", text, err)
	}
	var place *PlaceError
	for _, odd := range []string{"if a > b { c() }", "a < b; a < b; c()"} {
		if _, err := m.Apply(odd); !errors.As(err, &place) || place.Place != "a < b" {
			t.Errorf("%q: %v", odd, err)
		}
	}
}
