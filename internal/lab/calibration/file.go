package calibration

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"pinelb.example/pinelb/internal/accesslog"
	"pinelb.example/pinelb/internal/lab/scenario"
)

var (
	keyed  = regexp.MustCompile(`^([A-Za-z_]+) = `)
	headed = regexp.MustCompile(`^\[[^']*\]$`)
	// unset matches keys with the zero value, which in the elements of lists is the default.
	unset = regexp.MustCompile(`^[a-z_]+ = (''|"0s"|'0s'|0|0\.0|\[\])$`)
)

// Text returns a scenario as the text of its file.
func Text(s *scenario.Scenario) ([]byte, error) {
	written, err := toml.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("rehearse: %w", err)
	}
	var out bytes.Buffer
	list := false // within an element of a list
	for line := range strings.Lines(string(written)) {
		line = strings.TrimSpace(line)
		switch {
		case headed.MatchString(line):
			list = strings.HasPrefix(line, "[[")
			line = "\n" + strings.ToLower(line)
		case keyed.MatchString(line):
			key, value, _ := strings.Cut(line, " = ")
			line = strings.ToLower(key) + " = " + value
		}
		if line == "" || unset.MatchString(line) && list || strings.HasSuffix(line, " = []") {
			continue
		}
		out.WriteString(line + "\n")
	}
	return out.Bytes(), nil
}

// Write writes a replay into a folder, which it makes if need be: the scenario, and the merged record as RecordFile.
func (r *Replay) Write(dir string, records []*accesslog.Recording) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("rehearse: %w", err)
	}
	text, err := Text(r.Scenario)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "scenario.toml"), text, 0o644); err != nil {
		return fmt.Errorf("rehearse: %w", err)
	}
	f, err := os.Create(filepath.Join(dir, RecordFile))
	if err != nil {
		return fmt.Errorf("rehearse: %w", err)
	}
	if err := errors.Join(accesslog.Write(f, Merge(records)), f.Close()); err != nil {
		return fmt.Errorf("rehearse: %w", err)
	}
	return nil
}
