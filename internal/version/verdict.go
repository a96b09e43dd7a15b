package version

import (
	"math"
	"time"
)

// Forever is the end of a verdict that time alone doesn't end.
const Forever = time.Duration(math.MaxInt64)

// Limits are what a sidecar's own settings say about being shut out.
type Limits struct {
	Site      string
	Share     float64       // of the fleet that may be shut out at once, from 0 to 1
	Instances int           // of the fleet
	Rank      int           // among them, from 0
	Lease     time.Duration // after which a sidecar that hears from neither the list service nor an auditor is isolated; 0: never
	Closed    bool          // an isolated sidecar shuts itself out, if its rank is one that may
}

// shutOutLimits returns how many permit numbers are valid, and how many sidecars may shut themselves out because they are
// isolated. Both may happen at the same time to different sidecars, and an isolated one can't be asked: each kind has its part
// of the share, so that no auditor can exceed it.
func (l Limits) shutOutLimits() (permits, isolated int) {
	permits = MaxShutOut(l.Share, l.Instances)
	if l.Closed && l.Lease > 0 {
		isolated = (permits + 1) / 2
	}
	return permits - isolated, isolated
}

// mayShutOutAlone reports whether the sidecar is one of those that shut themselves out when they are isolated. They are
// distributed evenly over the ranks, as zones commonly are, too.
func (l Limits) mayShutOutAlone() bool {
	_, isolated := l.shutOutLimits()
	if isolated == 0 || l.Rank < 0 || l.Rank >= l.Instances {
		return false
	}
	step := l.Instances / isolated
	return l.Rank%step == 0 && l.Rank/step < isolated
}

// The states of a sidecar. The values stand in reports.
const (
	Active   = "acts"
	Behind   = "behind" // below the minimum version, and the grace is over
	Resuming = "waking" // the process was stopped, and the list service hasn't confirmed the list since
	ShutOut  = "shut"
)

// Verdict is what a sidecar may do.
type Verdict struct {
	State      string
	Reason     string        // empty where it is Active without reservation
	Since      time.Duration // when the state began
	Until      time.Duration // until when the verdict is valid, unless an event comes or a heartbeat is late by StopThreshold
	RetryAfter time.Duration // for a client whose stream is rejected
}

// AcceptsStreams reports whether new streams are accepted.
func (v Verdict) AcceptsStreams() bool { return v.State != ShutOut && v.State != Resuming }

// SendsAttempts reports whether attempts are sent. A sidecar that is shut out finishes the streams that it has accepted, by
// whatever list it has.
func (v Verdict) SendsAttempts() bool { return v.State != Resuming }

// Actions are what the sidecar has to do to meet the minimum version.
type Actions struct {
	RefreshList    bool // request the complete list from the list service now
	RereadConfig   bool // read the configuration again now
	NeedsSuccessor bool // its build is below the minimum: a process of another build has to succeed it
}
