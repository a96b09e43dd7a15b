package result

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// File is the name of the result in a run's folder.
const File = "result.json"

// Bytes is the file's content.
func (r *Result) Bytes() ([]byte, error) {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return nil, fmt.Errorf("result: %w", err)
	}
	return append(text, '\n'), nil
}

// Write puts result.json into a folder, which it makes where it is absent.
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

// Read reads a result: the file itself, or the folder that it is in.
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
		return nil, fmt.Errorf("result: %s has schema %d; this pinelab reads %d", path, r.Schema, Schema)
	}
	return r, nil
}
