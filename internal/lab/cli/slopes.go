package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"pinelb.example/pinelb/internal/lab/footprint"
)

// slopesCmd measures what control costs at sizes that double.
type slopesCmd struct {
	Control  slopesControlCmd  `cmd:"" help:"Sidecars at rest: processor time, memory, calls and bytes, by hosts and changes."`
	Settings slopesSettingsCmd `cmd:"" help:"A change of settings by file and SIGHUP."`
	Audit    slopesAuditCmd    `cmd:"" help:"An auditor that asks so many sidecars, in processes and stand-ins."`
	Requests slopesRequestsCmd `cmd:"" help:"What requests cost a sidecar, and what it adds to them."`
	Module   slopesModuleCmd   `cmd:"" help:"The decision module's benchmarks: a request, a change, a whole list."`
	Page     slopesPageCmd     `cmd:"" help:"Fit the results and write the page's tables."`
}

// measureOptions are the flags that all measurements of sidecars share.
type measureOptions struct {
	Pinelb string `help:"The sidecar's program." default:"" placeholder:"FILE"`
	Out    string `help:"File to which lines of JSON are appended; none is standard output." placeholder:"FILE"`
	Trial  bool   `help:"Mark the lines as a trial's."`
	Repeat int    `help:"Measurements of each size." default:"3"`
}

// resultPoint is the part that all lines of results share.
type resultPoint struct {
	What    string  `json:"what"`
	Trial   bool    `json:"trial,omitempty"`
	Command string  `json:"command"`
	Load    float64 `json:"load_1min"` // of the machine, before the measurement
}

// measure checks the flags, finds the sidecar's program and runs measureSizes with it and a temporary directory, which is
// removed afterwards.
func (m *measureOptions) measure(ctx context.Context, t *terminal, check func() error,
	measureSizes func(ctx context.Context, t *terminal, program, dir string) error) error {
	if err := check(); err != nil {
		return err
	}
	if err := m.checkOut(); err != nil {
		return err
	}
	program, err := m.program()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }() // what is left over is a temporary file
	return measureSizes(ctx, t, program, dir)
}

// checkOut reports whether lines can be written to --out, before anything is measured.
func (m *measureOptions) checkOut() error {
	file, err := openAppend(m.Out)
	if err != nil {
		return err
	}
	return file.Close()
}

// program returns the path of the sidecar's program: the one beside this program if none is named.
func (m *measureOptions) program() (string, error) {
	path := m.Pinelb
	if path == "" {
		var err error
		if path, err = siblingProgram(); err != nil {
			return "", err
		}
	}
	if _, err := os.Stat(path); err != nil {
		return "", exitError{exitEnvironment, fmt.Errorf("--pinelb: %w", err)}
	}
	return path, nil
}

// siblingProgram returns the path that pinelb has if it is installed in the same directory as this program.
func siblingProgram() (string, error) {
	self, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Join(filepath.Dir(self), "pinelb"), nil
}

// newPoint returns the shared part of a line of results, with the load at this moment.
func (m *measureOptions) newPoint(what string) resultPoint {
	return resultPoint{What: what, Trial: m.Trial, Command: programName + " " + strings.Join(os.Args[1:], " "), Load: footprint.LoadAverage()}
}

// write appends a line to the results.
func (m *measureOptions) write(t *terminal, line any) error {
	if m.Out == "" {
		return json.NewEncoder(t.out).Encode(line)
	}
	return appendJSON(m.Out, line)
}
