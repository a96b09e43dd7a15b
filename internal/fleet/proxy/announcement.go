package proxy

import (
	"math"
	"time"

	"pinelb.example/pinelb/internal/fleet/placement"
)

// Announcement reports to the other routers that this router has sent a prompt to an endpoint, or that the endpoint failed. From
// announcements, each router estimates the queues of all endpoints. An Announcement is encoded as a CBOR array: the order of its
// fields is part of the protocol.
type Announcement struct {
	_             struct{} `cbor:",toarray"`
	Origin        uint32   // router that sent the prompt or detected the failures
	Endpoint      uint32   // placement.Endpoint.ShortID
	Priority      uint8
	Units         uint32             // units of the prompt that the endpoint has to prefill
	Prefixes      []uint32           // placement.Prefix.Hash, the longest first
	Failures      uint8              // number of failures; 0: a prompt was sent
	Overdue       bool               // the failures are overdue first tokens
	Prompt        uint32             // units of the whole prompt
	Output        uint32             // maximum number of output tokens; 0: not stated
	MaxEventGapMs uint16             // a stream with a longer gap between two events counts as late; 0: no bound
	Observation   *ObservationReport // the latest since the router's previous prompt announcement; nil: none
	Stall         *StallReport       // the latest since the router's previous prompt announcement; nil: none
}

// ObservationReport is the encoding of a [placement.Observation] in an Announcement.
type ObservationReport struct {
	_            struct{} `cbor:",toarray"`
	Endpoint     uint32
	PrefillUnits uint32
	Units        uint32
	DelayMs      uint16
	WaitMs       uint16
}

// StallReport is the encoding of a [placement.Stall] in an Announcement.
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

// newObservationReport returns the encoding of an observation; nil for nil.
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

// newStallReport returns the encoding of a stall; nil for nil.
func newStallReport(s *placement.Stall) *StallReport {
	if s == nil {
		return nil
	}
	return &StallReport{Endpoint: s.Endpoint, LongestMs: milliseconds(s.LongestGap), PrefillMs: milliseconds(s.PrefillTime)}
}

func (r *StallReport) stall() *placement.Stall {
	return &placement.Stall{Endpoint: r.Endpoint, LongestGap: float64(r.LongestMs) / 1000, PrefillTime: float64(r.PrefillMs) / 1000}
}

// milliseconds converts seconds to milliseconds, rounded and limited to the range of uint16.
func milliseconds(seconds float64) uint16 {
	return uint16(min(max(0, math.Round(seconds*1000)), math.MaxUint16))
}
