package auditlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"pinelb.example/pinelb/internal/persistence"
)

// appendLine appends an entry's line.
func appendLine(text []byte, e Entry) []byte {
	l, err := json.Marshal(e)
	if err != nil {
		return text // it has no such values
	}
	return append(append(text, l...), '\n')
}

// fileNumber returns the number of a log's file.
func fileNumber(name string) (n int, ok bool) {
	digits, ok := strings.CutPrefix(name, filePrefix)
	n, err := strconv.Atoi(digits)
	return n, ok && err == nil && n > 0
}

// IsLogFile reports whether a file of that name is one of an audit log.
func IsLogFile(name string) bool { _, ok := fileNumber(name); return ok }

// Load reads what a sidecar's processes, alive or ended, have left on a disk: the entries in order of their numbers, and the
// faults. The order of the lines doesn't matter. A last line that is cut off is no fault: it had not been synced.
func Load(d persistence.Disk) (entries []Entry, faults []Fault, err error) {
	names, err := d.Names()
	if err != nil {
		return nil, nil, fmt.Errorf("trail: %w", err)
	}
	names = slices.DeleteFunc(names, func(name string) bool { return !IsLogFile(name) })
	known := map[string]bool{}
	for _, name := range names[max(0, len(names)-maxFiles):] {
		text, err := d.Read(name, maxReadBytes)
		if errors.Is(err, os.ErrNotExist) {
			continue // a running process has removed it in the meantime
		} else if err != nil {
			return nil, nil, fmt.Errorf("trail: %w", err)
		}
		read, bad := decode(text, name)
		faults = append(faults, bad...)
		for _, e := range read {
			if line := checksum(e) + e.Sum; !known[line] { // files begin with the lines of others, which may still be there
				known[line] = true
				entries = append(entries, e)
			}
		}
	}
	slices.SortStableFunc(entries, bySeq)
	return entries, append(faults, Check(entries)...), nil
}

// ReadDir reads the audit log in a directory, of a sidecar that runs or has ended, as Load does.
func ReadDir(path string) ([]Entry, []Fault, error) { return Load(persistence.Dir(path)) }

// decode parses a file's text. A line that isn't an entry, or not encoded as entries are, is a fault; one that is cut off at
// the end is ignored.
func decode(text []byte, name string) (entries []Entry, faults []Fault) {
	n := 0
	for l := range bytes.Lines(text) {
		n++
		line, complete := bytes.CutSuffix(l, []byte{'\n'})
		if !complete {
			break
		}
		var e Entry
		if json.Unmarshal(line, &e) != nil || e.check() != nil || !bytes.Equal(appendLine(nil, e), l) {
			faults = append(faults, Fault{Kind: Unreadable, File: name, Line: n})
			continue
		}
		entries = append(entries, e)
	}
	return entries, faults
}
