package scenario

import (
	"fmt"
	"os"
	"path/filepath"

	"pinelb.example/pinelb/internal/tomlfile"
)

// Load reads a scenario's file. A relative RecordFile becomes one from the file's folder. Errors are those of Parse, or
// wrap that of the read.
func Load(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	s, err := Parse(path, data)
	if err == nil && s.Clients.RecordFile != "" && !filepath.IsAbs(s.Clients.RecordFile) {
		s.Clients.RecordFile = filepath.Join(filepath.Dir(path), s.Clients.RecordFile)
	}
	return s, err
}

// Parse reads a scenario's text; name is the file's in errors. A value that can't be played is an error that names its
// line and key; the scenario is returned beside it.
func Parse(name string, data []byte) (*Scenario, error) {
	s := Default()
	file, err := tomlfile.Decode(name, data, &s)
	if err != nil {
		return nil, err
	}
	s.setDefaults()
	return &s, s.validate(file)
}
