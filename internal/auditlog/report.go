package auditlog

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"pinelb.example/pinelb/internal/version"
)

// MaxReportBytes bounds a report.
const MaxReportBytes = 256 << 10

const (
	maxNameBytes  = 512     // of a host's, a class's, a process's or a build's name
	maxAttempts   = 1024    // of one entry; a Log writes some 16 KB of them
	maxOrderBytes = 4 << 10 // of an order
)

// ParseReport decodes a sidecar's report. An error names the key that is missing, too long, of another type or out of range.
// Whether the entries are a complete chain is for Check to say.
func ParseReport(text []byte) (Report, error) {
	var r Report
	if len(text) > MaxReportBytes {
		return r, fmt.Errorf("trail: a report of %d bytes, %d at most", len(text), MaxReportBytes)
	}
	var entries []json.RawMessage
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(text, &keys); err != nil {
		return r, fmt.Errorf("trail: report: %w", err)
	}
	for _, k := range []struct {
		key  string
		into any
		must bool
	}{
		{"name", &r.Name, true}, {"zone", &r.Zone, true}, {"site", &r.Site, true}, {"rank", &r.Rank, true},
		{"instances", &r.Instances, true}, {"life", &r.Incarnation, true}, {"now_ms", &r.Now, true}, {"version", &r.Version, true},
		{"up_ms", &r.Up, false}, {"under", &r.VersionID, true}, {"since_ms", &r.VersionAge, true}, {"heard_ms", &r.ListAge, true}, {"state", &r.State, true},
		{"why", &r.Reason, false}, {"floor", &r.Minimum, false}, {"ticket", &r.Permit, false}, {"succeed", &r.NeedsSuccessor, false},
		{"entries", &entries, false}, {"next", &r.Next, true}, {"first", &r.Oldest, true},
	} {
		got, there := keys[k.key]
		if k.must && (!there || string(got) == "null") {
			return r, fmt.Errorf("trail: report: %s is missing", k.key)
		}
		if there {
			if err := json.Unmarshal(got, k.into); err != nil {
				return r, fmt.Errorf("trail: report: %s: %w", k.key, err)
			}
		}
	}
	for i, text := range entries {
		var e Entry
		err := json.Unmarshal(text, &e)
		if err == nil {
			err = e.check()
		}
		if err != nil {
			return r, fmt.Errorf("trail: report: entries[%d]: %w", i, err)
		}
		r.Entries = append(r.Entries, e)
	}
	if err := r.check(); err != nil {
		return r, fmt.Errorf("trail: report: %w", err)
	}
	return r, nil
}

// check returns an error for a value that the types don't exclude.
func (r *Report) check() error {
	for _, f := range []struct {
		key string
		bad bool
	}{
		{"name", r.Name == "" || len(r.Name) > maxNameBytes},
		{"zone", len(r.Zone) > maxNameBytes},
		{"site", r.Site == "" || len(r.Site) > 8*maxNameBytes},
		{"rank", r.Rank < 0},
		{"instances", r.Instances < 1},
		{"life", r.Incarnation == "" || len(r.Incarnation) > maxNameBytes},
		{"since_ms", r.VersionAge < 0},
		{"heard_ms", r.ListAge < -1},
		{"state", r.State != "acts" && r.State != "behind" && r.State != "waking" && r.State != "shut"},
		{"why", len(r.Reason) > maxNameBytes},
		{"floor", r.Minimum != nil && !minimumFits(r.Minimum)},
		{"ticket", r.Permit != nil && r.Permit.Number < 0},
		{"version", !versionFits(&r.Version)},
		{"first", r.Oldest < 1 || r.Oldest > maxSeq},
		{"next", r.Next < r.Oldest || r.Next > maxSeq},
	} {
		if f.bad {
			return fmt.Errorf("%s is impossible, or too long", f.key)
		}
	}
	return nil
}

// check returns an error for a value that the types don't exclude; the chain isn't checked.
func (e *Entry) check() error {
	for _, f := range []struct {
		key string
		bad bool
	}{
		{"seq", e.Seq < 1 || e.Seq > maxSeq},
		{"prev", e.Prev != "" && !isChecksum(e.Prev)},
		{"sum", !isChecksum(e.Sum)},
		{"life", e.Incarnation == "" || len(e.Incarnation) > maxNameBytes},
		{"kind", e.Kind == "" || len(e.Kind) > maxNameBytes},
		{"version", e.Version != nil && !versionFits(e.Version)},
		{"from", len(e.From) > maxNameBytes},
		{"attempts", len(e.Attempts) > maxAttempts},
		{"crossed", e.Crossed < 0},
		{"order", e.Order != nil && !minimumFits(&e.Order.Minimum)},
		{"state", len(e.State) > maxNameBytes},
		{"why", len(e.Reason) > maxNameBytes},
		{"n", e.N < 0},
		{"upto", e.UpTo > maxSeq},
	} {
		if f.bad {
			return errors.New(f.key + " is impossible, or too long")
		}
	}
	for i, a := range e.Attempts {
		if len(a.Class) > maxNameBytes || len(a.Host) > maxNameBytes || a.N < 0 || a.Unsent < 0 || a.Withdrawn < 0 {
			return fmt.Errorf("attempts[%d] are impossible, or too long", i)
		}
	}
	return nil
}

func isChecksum(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == 16
}

func versionFits(v *version.Version) bool {
	return len(v.List.From) <= maxNameBytes && len(v.Build) <= maxNameBytes
}

// minimumFits checks the size alone: a rejected order may have any content, and is reported as it came.
func minimumFits(f *version.MinimumVersion) bool {
	size := len(f.By) + len(f.Site)
	for _, b := range f.Builds {
		size += len(b) + 1
	}
	return size <= maxOrderBytes
}
