package proxy

import (
	"math"
	"time"

	"pinelb.example/pinelb/internal/fleet/placement"
)

// Routers tell each other of the prompts that they send, so that each knows of all endpoints' queues. How many a second
// is bounded, whatever the fleet's size; where not all can be told, the long ones are.

const (
	minAnnouncedUnits       = 400.0  // units of a prompt that is worth telling
	longPromptUnits         = 6000.0 // units of one that is told before all others
	maxAnnouncementRate     = 1500.0 // a second, of all routers, in a small fleet
	largeFleetAnnouncements = 1.3e7  // the same times the square of the number of routers, in a large one: some 5 KB a second at 380
	announcementBurst       = 6.0    // by one router

	maxFailureReportRate     = 20.0   // failures a second that one router tells of, in a small fleet
	largeFleetFailureReports = 2000.0 // the same of all routers, in a large one
	failureReportBurst       = 20.0   // by one router
)

// Announcement is what a router has just met at an endpoint: a prompt that it sent there, or failures.
type Announcement struct {
	_             struct{} `cbor:",toarray"`
	Origin        uint32   // the router that sent the prompt
	Endpoint      uint32   // placement.Endpoint.Name
	Priority      uint8
	Units         uint32 // that have to be read
	Prefixes      []uint32
	Failures      uint8              // 0: a prompt was sent
	Overdue       bool               // the failures are answers that are overdue
	Prompt        uint32             // units in all
	Output        uint32             // tokens that may be written
	MaxEventGapMs uint16             // longest pause between events; 0: no bound
	Observation   *ObservationReport // what the router has learned since its last announcement
	Stall         *StallReport       // the same
}

// ObservationReport is a placement.Observation as it is told.
type ObservationReport struct {
	_            struct{} `cbor:",toarray"`
	Endpoint     uint32
	PrefillUnits uint32
	Units        uint32
	DelayMs      uint16
	WaitMs       uint16
}

// StallReport is a placement.Pause as it is told.
type StallReport struct {
	_         struct{} `cbor:",toarray"`
	Endpoint  uint32
	LongestMs uint16
	PrefillMs uint16
}

func newAnnouncement(origin uint32, placed *placement.Placement, call *placement.Call) Announcement {
	prompt := &call.Prompt
	a := Announcement{
		Origin: origin, Endpoint: placed.Endpoint.Name(), Priority: uint8(prompt.Priority), Units: uint32(placed.Units),
		Prompt: uint32(prompt.Units), Output: uint32(prompt.Output), MaxEventGapMs: milliseconds(prompt.MaxEventGap.Seconds()),
	}
	for _, prefix := range prompt.Prefixes {
		a.Prefixes = append(a.Prefixes, prefix.Hash)
	}
	return a
}

func newObservationReport(o *placement.Observation) *ObservationReport {
	if o == nil {
		return nil
	}
	return &ObservationReport{Endpoint: o.Endpoint, PrefillUnits: uint32(o.PrefillUnits), Units: uint32(o.Units), DelayMs: milliseconds(o.Delay), WaitMs: milliseconds(o.Wait)}
}

func newStallReport(p *placement.Stall) *StallReport {
	if p == nil {
		return nil
	}
	return &StallReport{Endpoint: p.Endpoint, LongestMs: milliseconds(p.Longest), PrefillMs: milliseconds(p.PrefillTime)}
}

// pause is what was seen, as it is learned from.
func (p *StallReport) stall() *placement.Stall {
	return &placement.Stall{Endpoint: p.Endpoint, Longest: float64(p.LongestMs) / 1000, PrefillTime: float64(p.PrefillMs) / 1000}
}

// milliseconds rounds a time, which is cut down to what an announcement can tell.
func milliseconds(seconds float64) uint16 {
	return uint16(min(max(0, math.Round(seconds*1000)), math.MaxUint16))
}

// prompt is the prompt that was announced.
func (a *Announcement) prompt() *placement.Prompt {
	p := &placement.Prompt{
		Units: max(1, float64(a.Prompt), float64(a.Units)), Output: float64(a.Output), Priority: int(a.Priority),
		MaxEventGap: time.Duration(a.MaxEventGapMs) * time.Millisecond,
	}
	for _, hash := range a.Prefixes[:min(len(a.Prefixes), maxPrefixes)] {
		p.Prefixes = append(p.Prefixes, placement.Prefix{Hash: hash})
	}
	return p
}

// observation is what was seen, as it is learned from.
func (s *ObservationReport) observation() *placement.Observation {
	return &placement.Observation{
		Endpoint: s.Endpoint, PrefillUnits: float64(min(s.PrefillUnits, s.Units)), Units: float64(s.Units), Delay: float64(s.DelayMs) / 1000,
		Wait: float64(s.WaitMs) / 1000,
	}
}

// takeAnnouncement takes one announcement out of what this router may send; short prompts leave some to long ones. The caller
// holds the lock.
func (d *Dispatcher) takeAnnouncement(now time.Duration, units float64) bool {
	routers := float64(d.routers)
	rate := min(maxAnnouncementRate, largeFleetAnnouncements/(routers*routers)) / routers
	most := max(announcementBurst, rate)
	d.allowed = min(d.allowed+rate*(now-d.allowedAt).Seconds(), most)
	d.allowedAt = now
	kept := 0.5 * most * max(0, 1-units/longPromptUnits)
	if d.allowed < 1+kept {
		return false
	}
	d.allowed--
	return true
}

// takeFailureReport takes one failure out of what this router may tell of. The caller holds the lock.
func (d *Dispatcher) takeFailureReport(now time.Duration) bool {
	rate := min(maxFailureReportRate, largeFleetFailureReports/float64(d.routers))
	d.failures = min(d.failures+rate*(now-d.failuresAt).Seconds(), failureReportBurst)
	d.failuresAt = now
	if d.failures < 1 {
		return false
	}
	d.failures--
	return true
}

// ApplyAnnouncements takes other routers' announcements over. Its own may be among them, and are known.
func (d *Dispatcher) ApplyAnnouncements(announcements []Announcement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	for i := range announcements {
		a := &announcements[i]
		if a.Origin == d.origin {
			continue
		}
		if a.Failures > 0 {
			d.placer.RecordRemoteFailures(now, a.Endpoint, int(a.Failures), a.Overdue)
			continue
		}
		d.placer.RecordRemoteCall(now, a.Endpoint, a.prompt(), float64(a.Units))
		if a.Observation != nil {
			d.placer.RecordRemoteFirstToken(now, a.Observation.observation())
		}
		if a.Stall != nil {
			d.placer.RecordRemoteStall(a.Stall.stall())
		}
	}
}

// ExportLearned is what this router has learned of the endpoints, for one that has just started.
func (d *Dispatcher) ExportLearned() placement.LearnedState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.ExportLearned(d.clock())
}

// ImportLearned takes over what another router had learned at a moment. It may be called again when more endpoints are known.
func (d *Dispatcher) ImportLearned(at time.Duration, learned *placement.LearnedState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.placer.ImportLearned(at, learned)
}
