package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
)

// openAppend opens the file of the flag --out, to which each run adds lines. An empty path discards what is written.
// An error is an exitError with exitUsage that names the flag.
func openAppend(path string) (io.WriteCloser, error) {
	if path == "" {
		return discard{}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, exitError{exitUsage, fmt.Errorf("--out: %w", err)}
	}
	return file, nil
}

// discard is an io.WriteCloser that drops what is written.
type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) Close() error                { return nil }

// appendJSON adds one line of JSON to a file that is opened for it alone, so that a killed run leaves whole lines.
func appendJSON(path string, line any) (err error) {
	file, err := openAppend(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return json.NewEncoder(file).Encode(line)
}
