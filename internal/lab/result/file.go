package result

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// File is the name of the result in a run's directory.
const File = "result.json"

// Bytes returns the file's content.
func (r *Result) Bytes() ([]byte, error) {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return nil, fmt.Errorf("result: %w", err)
	}
	return append(text, '\n'), nil
}

// Write writes result.json into a directory, which it creates where it is absent.
func (r *Result) Write(dir string) error {
	text, err := r.Bytes()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("result: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, File), text, 0o644); err != nil {
		return fmt.Errorf("result: %w", err)
	}
	return nil
}

// SchemaError says that a result has a schema that this version doesn't read.
type SchemaError struct {
	Path   string
	Schema int
}

func (e *SchemaError) Error() string {
	return fmt.Sprintf("result: %s has schema %d; this pinelab reads %d", e.Path, e.Schema, Schema)
}

// Read reads a result from its file, or from the directory that has the file. An error is the file system's, the JSON
// decoder's or a *SchemaError.
func Read(path string) (*Result, error) {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		path = filepath.Join(path, File)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("result: %w", err)
	}
	r := &Result{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("result: %s: %w", path, err)
	}
	if r.Schema != Schema {
		return nil, &SchemaError{Path: path, Schema: r.Schema}
	}
	return r, nil
}
