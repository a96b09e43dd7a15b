package version

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Bounds on what an order may say. They are the same everywhere: an auditor counts on what the sidecars of others refuse.
const (
	maxMinimumValidity = time.Hour       // a wrong floor is over by then, whoever can't take it back
	maxPermitValidity  = 5 * time.Second // a dead auditor's tickets are over by then. Renewed every second, four may be lost
	maxClockSkew       = 5 * time.Second // by which wall clocks may be apart
	maxEpoch           = 1<<53 - 1       // beyond that JSON's readers disagree
	maxIssued          = Millis(1 << 43) // the year 2248: as nanoseconds it fits
	maxBuilds          = 16              // builds
	maxNameBytes       = 256             // bytes of a name
)

// MetBy tells whether v may act under the floor, and if not, what is wanting: the list, the settings, the operator's file or the build.
func (f *MinimumVersion) MetBy(v *Version) (list, settings, file, build bool) {
	// A digest of the same revision that differs is of a service that has restarted, or of another one.
	list = f.List == 0 || v.List.Digest == f.List || v.List.Revision > f.Revision
	settings = f.Settings == 0 || v.Settings == f.Settings
	file = f.File == 0 || v.File == f.File
	build = len(f.Builds) == 0 || slices.Contains(f.Builds, v.Build)
	return
}

// lacks names what v lacks of the floor; nothing if it meets it.
func (f *MinimumVersion) missing(v *Version) string {
	list, settings, file, build := f.MetBy(v)
	var lacks []string
	for _, one := range []struct {
		met  bool
		name string
	}{{list, "list"}, {settings, "settings"}, {file, "file"}, {build, "build"}} {
		if !one.met {
			lacks = append(lacks, one.name)
		}
	}
	return strings.Join(lacks, ", ")
}

// compare orders floors of two orders: the one that is less loses.
func compare(epoch uint64, by string, other uint64, otherBy string) int {
	if epoch != other {
		if epoch < other {
			return -1
		}
		return 1
	}
	return strings.Compare(by, otherBy)
}

// same tells whether two floors of one epoch are one.
func (f *MinimumVersion) equal(o *MinimumVersion) bool {
	return f.Epoch == o.Epoch && f.By == o.By && f.Site == o.Site && f.List == o.List && f.Revision == o.Revision &&
		f.Settings == o.Settings && f.File == o.File && slices.Equal(f.Builds, o.Builds) &&
		f.Grace == o.Grace && f.Spread == o.Spread && f.Validity == o.Validity
}

// MaxShutOut is how many of n sidecars may be shut out at once: the share, rounded down, and never all of them. With one sidecar, or
// less than 1 / share, it is none: who serves by an old list serves better than nobody.
func MaxShutOut(share float64, n int) int {
	if !(share > 0) || n < 1 {
		return 0
	}
	return min(int(math.Floor(min(share, 1)*float64(n)+1e-9)), n-1) // 1e-9: 0.29 x 100 is less than 29 in binary
}

// KeyError is an order that can't be: Key as the order's JSON has it.
type KeyError struct{ Key, Reason string }

func (e KeyError) Error() string { return fmt.Sprintf("version: an order's %s: %s", e.Key, e.Reason) }

// Check returns a KeyError for what no auditor may ask, or nil.
func (o *Order) Check() error {
	f := &o.Minimum
	span := func(key string, m Millis, least, most time.Duration) error {
		if m < Millis(least.Milliseconds()) || m > Millis(most.Milliseconds()) {
			return KeyError{key, fmt.Sprintf("%d is not from %d to %d", m, least.Milliseconds(), most.Milliseconds())}
		}
		return nil
	}
	switch {
	case f.Epoch == 0 || f.Epoch > maxEpoch:
		return KeyError{"floor.epoch", fmt.Sprintf("%d is not from 1 to %d", f.Epoch, uint64(maxEpoch))}
	case f.By == "" || len(f.By) > maxNameBytes:
		return KeyError{"floor.by", fmt.Sprintf("has 1 to %d bytes", maxNameBytes)}
	case f.Site == "" || len(f.Site) > maxNameBytes:
		return KeyError{"floor.site", fmt.Sprintf("has 1 to %d bytes", maxNameBytes)}
	case f.Revision < 0 || f.Revision > 0 && f.List == 0:
		return KeyError{"floor.revision", "is 0 or more, and stands beside floor.list"}
	case len(f.Builds) > maxBuilds:
		return KeyError{"floor.builds", fmt.Sprintf("names %d at most", maxBuilds)}
	case slices.ContainsFunc(f.Builds, func(b string) bool { return b == "" || len(b) > maxNameBytes }):
		return KeyError{"floor.builds", fmt.Sprintf("each has 1 to %d bytes", maxNameBytes)}
	}
	if err := span("floor.for_ms", f.Validity, time.Millisecond, maxMinimumValidity); err != nil {
		return err
	}
	if err := span("floor.grace_ms", f.Grace, 0, f.Validity.D()); err != nil {
		return err
	}
	if err := span("floor.spread_ms", f.Spread, 0, f.Validity.D()); err != nil {
		return err
	}
	if t := o.Permit; t != nil {
		if t.Number < 0 {
			return KeyError{"ticket.no", "is 0 or more"}
		}
		if t.Issued < 0 || t.Issued > maxIssued {
			return KeyError{"ticket.issued_ms", "is no Unix time in milliseconds"}
		}
		return span("ticket.for_ms", t.Validity, time.Millisecond, maxPermitValidity)
	}
	return nil
}
