package version

import (
	"fmt"
	"time"
)

// Rules are what an auditor is started with.
type Rules struct {
	By            string // the auditor's name, unique for each start: two auditors with one name would not know of each other
	Site          string
	Share         float64 // of the fleet and of each zone that may be shut out at once, from 0 to 1
	Grace         time.Duration
	Spread        time.Duration
	Validity      time.Duration // of a minimum version; it is renewed after half of that
	RaisesMinimum bool          // the auditor sends minimum versions
	IssuesPermits bool          // and permits
}

// Check returns a KeyError for invalid rules, or nil.
func (r Rules) Check() error {
	if !(r.Share >= 0 && r.Share <= 1) {
		return KeyError{"share", fmt.Sprintf("%g is not from 0 to 1", r.Share)}
	}
	if r.Grace > r.Validity/2 {
		return KeyError{"floor.grace_ms", "is over half of floor.for_ms"}
	}
	o := Order{Minimum: r.minimum(Reference{}, 1)}
	return o.Check()
}

func (r Rules) minimum(d Reference, epoch uint64) MinimumVersion {
	return MinimumVersion{Epoch: epoch, By: r.By, Site: r.Site, List: d.List.Digest, Revision: d.List.Revision, Settings: d.Settings, File: d.File,
		Builds: d.Builds, Grace: Millis(r.Grace.Milliseconds()), Spread: Millis(r.Spread.Milliseconds()), Validity: Millis(r.Validity.Milliseconds())}
}

// Reference is what sidecars have to act on. What is empty may be anything.
type Reference struct {
	List        List
	RequestedAt time.Duration // when the list was requested from the list service
	Settings    Digest
	File        Digest
	Builds      []string
}

func (d Reference) isEmpty() bool {
	return d.List.Digest == 0 && d.Settings == 0 && d.File == 0 && len(d.Builds) == 0
}
