package mutation

import (
	"errors"
	"testing"
)

func TestApply(t *testing.T) {
	m := Mutant{File: "f.go", Edits: []Edit{{"a < b", "a <= b"}, {"c()", ""}}}
	text, err := m.Apply("if a < b { c() }")
	if err != nil || text != "if a <= b {  }" {
		t.Errorf("%q, %v", text, err)
	}
	var match *MatchError
	for _, source := range []string{"if a > b { c() }", "a < b; a < b; c()"} {
		if _, err := m.Apply(source); !errors.As(err, &match) || match.Text != "a < b" {
			t.Errorf("%q: %v", source, err)
		}
	}
}
