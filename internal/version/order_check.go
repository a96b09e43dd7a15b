package version

import (
	"fmt"
	"slices"
	"time"
)

// Bounds on an order. They are the same everywhere, for auditors rely on what sidecars reject.
const (
	maxMinimumValidity = time.Hour       // a wrong minimum version has expired by then, also if nobody can revoke it
	maxPermitValidity  = 5 * time.Second // a dead auditor's permits have expired by then; renewed every second, four renewals may be lost
	maxClockSkew       = 5 * time.Second // between wall clocks
	maxIssued          = Millis(1 << 43) // the year 2248: in nanoseconds it fits an int64
	maxBuilds          = 16
	maxNameBytes       = 256 // of a build's, an auditor's or a site's name
)

// Check returns a KeyError for an order that no auditor may give, or nil.
func (o *Order) Check() error {
	f := &o.Minimum
	span := func(key string, m Millis, shortest, longest time.Duration) error {
		if m < Millis(shortest.Milliseconds()) || m > Millis(longest.Milliseconds()) {
			return KeyError{key, fmt.Sprintf("%d is not from %d to %d", m, shortest.Milliseconds(), longest.Milliseconds())}
		}
		return nil
	}
	switch {
	case f.Epoch == 0 || f.Epoch > MaxEpoch:
		return KeyError{"floor.epoch", fmt.Sprintf("%d is not from 1 to %d", f.Epoch, uint64(MaxEpoch))}
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
