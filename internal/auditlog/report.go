package auditlog

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"pinelb.example/pinelb/internal/version"
)

// ReportMost is how long a report may be, in bytes.
const ReportMost = 256 << 10

const (
	nameMost     = 512     // bytes of a name: of a host, a class, a process, a build
	attemptsMost = 1024    // of one entry: a book writes some 16 KB of them
	orderMost    = 4 << 10 // bytes of an order as it comes
)

// ParseReport reads a sidecar's answer. What is too long, missing, of another type or impossible is an error that names the
// key. Whether the entries are a whole chain is for Check to say.
func ParseReport(text []byte) (Report, error) {
	var r Report
	if len(text) > ReportMost {
		return r, fmt.Errorf("trail: a report of %d bytes, %d at most", len(text), ReportMost)
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
		{"instances", &r.Instances, true}, {"life", &r.Life, true}, {"now_ms", &r.Now, true}, {"version", &r.Version, true},
		{"up_ms", &r.Up, false}, {"under", &r.Under, true}, {"since_ms", &r.Since, true}, {"heard_ms", &r.Heard, true}, {"state", &r.State, true},
		{"why", &r.Why, false}, {"floor", &r.Floor, false}, {"ticket", &r.Ticket, false}, {"succeed", &r.Succeed, false},
		{"entries", &entries, false}, {"next", &r.Next, true}, {"first", &r.First, true},
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

// check looks at what the types leave open.
func (r *Report) check() error {
	for _, f := range []struct {
		key string
		bad bool
	}{
		{"name", r.Name == "" || len(r.Name) > nameMost},
		{"zone", len(r.Zone) > nameMost},
		{"site", r.Site == "" || len(r.Site) > 8*nameMost},
		{"rank", r.Rank < 0},
		{"instances", r.Instances < 1},
		{"life", r.Life == "" || len(r.Life) > nameMost},
		{"since_ms", r.Since < 0},
		{"heard_ms", r.Heard < -1},
		{"state", r.State != "acts" && r.State != "behind" && r.State != "waking" && r.State != "shut"},
		{"why", len(r.Why) > nameMost},
		{"floor", r.Floor != nil && !fitsFloor(r.Floor)},
		{"ticket", r.Ticket != nil && r.Ticket.No < 0},
		{"version", !fitsVersion(&r.Version)},
		{"first", r.First < 1 || r.First > seqMost},
		{"next", r.Next < r.First || r.Next > seqMost},
	} {
		if f.bad {
			return fmt.Errorf("%s is impossible, or too long", f.key)
		}
	}
	return nil
}

// check looks at what the types leave open; the chain is not looked at.
func (e *Entry) check() error {
	for _, f := range []struct {
		key string
		bad bool
	}{
		{"seq", e.Seq < 1 || e.Seq > seqMost},
		{"prev", e.Prev != "" && !isSum(e.Prev)},
		{"sum", !isSum(e.Sum)},
		{"life", e.Life == "" || len(e.Life) > nameMost},
		{"kind", e.Kind == "" || len(e.Kind) > nameMost},
		{"version", e.Version != nil && !fitsVersion(e.Version)},
		{"from", len(e.From) > nameMost},
		{"attempts", len(e.Attempts) > attemptsMost},
		{"crossed", e.Crossed < 0},
		{"order", e.Order != nil && !fitsFloor(&e.Order.Floor)},
		{"state", len(e.State) > nameMost},
		{"why", len(e.Why) > nameMost},
		{"n", e.N < 0},
		{"upto", e.Upto > seqMost},
	} {
		if f.bad {
			return errors.New(f.key + " is impossible, or too long")
		}
	}
	for i, a := range e.Attempts {
		if len(a.Class) > nameMost || len(a.Host) > nameMost || a.N < 0 || a.Never < 0 || a.Left < 0 {
			return fmt.Errorf("attempts[%d] are impossible, or too long", i)
		}
	}
	return nil
}

func isSum(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == 16
}

func fitsVersion(v *version.Version) bool {
	return len(v.List.From) <= nameMost && len(v.Build) <= nameMost
}

// fitsFloor looks at the size alone: an order that was refused may be any nonsense, and is told as it came.
func fitsFloor(f *version.Floor) bool {
	size := len(f.By) + len(f.Site)
	for _, b := range f.Builds {
		size += len(b) + 1
	}
	return size <= orderMost
}
