package audit

import (
	"errors"
	"fmt"
	"time"

	"pinelb.example/pinelb/internal/version"
)

// Options are what an audit is started with.
type Options struct {
	Inventory   *Inventory
	Dirs        map[string]string // directories of audit logs by sidecar, beside those of the inventory
	By          string            // the auditor's name, unique for each start
	Site        string            // "": that of most sidecars that the first round reaches
	List        string            // the list service's address; "": the newest adopted list is the reference
	Concurrency int
	Timeout     time.Duration // a sidecar

	RaiseMinimum bool // minimum versions are sent
	ShutOut      bool // and permits
	Settings     version.Digest
	File         version.Digest
	Builds       []string
	Grace        time.Duration
	Spread       time.Duration
	Validity     time.Duration
	Share        float64
}

// rules returns the rules of the version.Auditor.
func (o *Options) rules(site string) version.Rules {
	return version.Rules{By: o.By, Site: site, Share: o.Share, Grace: o.Grace, Spread: o.Spread, Validity: o.Validity,
		RaisesMinimum: o.RaiseMinimum, IssuesPermits: o.ShutOut}
}

// Check returns an error that names the invalid option, or nil.
func (o *Options) Check() error {
	if o.ShutOut && !o.RaiseMinimum {
		return errors.New("shut-out: without raise there is no floor to be under")
	}
	if !(o.Share >= 0 && o.Share <= 1) {
		return fmt.Errorf("share: %g is not from 0 to 1", o.Share)
	}
	if o.Concurrency < 1 || o.Timeout <= 0 {
		return fmt.Errorf("at-a-time and within: %d and %v must be above 0", o.Concurrency, o.Timeout)
	}
	if !o.RaiseMinimum {
		return nil
	}
	return o.rules("any").Check()
}
