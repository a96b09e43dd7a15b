package proxy

import (
	"math"
	"time"

	"pinelb.example/pinelb/internal/fleet/placement"
)

// Announcement is what a router has just met at an endpoint: a prompt that it sent there, or failures. Routers send them to each
// other, so that each knows the queues of all endpoints, as a CBOR array: the order of the fields is the wire's.
type Announcement struct {
	_             struct{} `cbor:",toarray"`
	Origin        uint32   // the router that sent the prompt or met the failures
	Endpoint      uint32   // placement.Endpoint.ShortID
	Priority      uint8
	Units         uint32             // that have to be prefilled
	Prefixes      []uint32           // placement.Prefix.Hash, the longest first
	Failures      uint8              // 0: a prompt was sent
	Overdue       bool               // the failures are answers that are overdue
	Prompt        uint32             // units in all
	Output        uint32             // tokens that may be written
	MaxEventGapMs uint16             // of the stream; 0: no bound
	Observation   *ObservationReport // the last one since the router's last announcement; nil: none
	Stall         *StallReport       // the same
}

// ObservationReport is a [placement.Observation] in an announcement.
type ObservationReport struct {
	_            struct{} `cbor:",toarray"`
	Endpoint     uint32
	PrefillUnits uint32
	Units        uint32
	DelayMs      uint16
	WaitMs       uint16
}

// StallReport is a [placement.Stall] in an announcement.
type StallReport struct {
	_         struct{} `cbor:",toarray"`
	Endpoint  uint32
	LongestMs uint16
	PrefillMs uint16
}

func newAnnouncement(origin uint32, placed *placement.Placement, call *placement.Call) Announcement {
	prompt := &call.Prompt
	a := Announcement{
		Origin: origin, Endpoint: placed.Endpoint.ShortID(), Priority: uint8(prompt.Priority), Units: uint32(placed.Units),
		Prompt: uint32(prompt.Units), Output: uint32(prompt.Output), MaxEventGapMs: milliseconds(prompt.MaxEventGap.Seconds()),
	}
	for _, prefix := range prompt.Prefixes {
		a.Prefixes = append(a.Prefixes, prefix.Hash)
	}
	return a
}

// prompt returns the prompt that was announced.
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

// newObservationReport returns the report of an observation; nil where there is none.
func newObservationReport(o *placement.Observation) *ObservationReport {
	if o == nil {
		return nil
	}
	return &ObservationReport{
		Endpoint: o.Endpoint, PrefillUnits: uint32(o.PrefillUnits), Units: uint32(o.Units), DelayMs: milliseconds(o.Delay), WaitMs: milliseconds(o.Wait),
	}
}

func (r *ObservationReport) observation() *placement.Observation {
	return &placement.Observation{
		Endpoint: r.Endpoint, PrefillUnits: float64(min(r.PrefillUnits, r.Units)), Units: float64(r.Units),
		Delay: float64(r.DelayMs) / 1000, Wait: float64(r.WaitMs) / 1000,
	}
}

// newStallReport returns the report of a stall; nil where there is none.
func newStallReport(s *placement.Stall) *StallReport {
	if s == nil {
		return nil
	}
	return &StallReport{Endpoint: s.Endpoint, LongestMs: milliseconds(s.LongestGap), PrefillMs: milliseconds(s.PrefillTime)}
}

func (r *StallReport) stall() *placement.Stall {
	return &placement.Stall{Endpoint: r.Endpoint, LongestGap: float64(r.LongestMs) / 1000, PrefillTime: float64(r.PrefillMs) / 1000}
}

// milliseconds rounds seconds to milliseconds, cut to the range of an announcement's field.
func milliseconds(seconds float64) uint16 {
	return uint16(min(max(0, math.Round(seconds*1000)), math.MaxUint16))
}
