package scenario

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// minPhase is the shortest phase of a fault that comes and goes: shorter ones are beyond the players' timers.
const minPhase = Span(10 * time.Millisecond)

func (v *validator) fault(at string, fault *Fault, s *Scenario) {
	kinds := slices.Concat(EndpointFaults, EndpointEvents, SidecarAndDiscoveryFaults, ListServiceFaults, LinkFaults, []string{"flap"})
	v.oneOf(fault.Kind, at+".kind", kinds...)
	v.require(fault.At >= 0 && fault.At <= s.Length && fault.Duration >= 0, at+".at",
		"must be from 0 to length, and for not negative")
	v.require(fault.Tier == "" || s.TierIndex(fault.Tier) >= 0, at+".tier", "%q is no tier", fault.Tier)
	if isBetweenProcesses(fault.Kind) {
		v.faultBetweenProcesses(at, fault, s)
		return
	}
	if !slices.Contains(SidecarAndDiscoveryFaults, fault.Kind) {
		v.faultEndpoints(at, fault, s)
	}
	kind := fault.Kind // or the one that comes and goes
	if kind == "flap" {
		v.oneOf(fault.Target, at+".of", append([]string{"crash"}, EndpointFaults...)...)
		v.require(fault.Up >= minPhase && fault.Down >= minPhase && fault.Duration > 0, at+".up",
			"and down must be 10ms or more, and for given")
		kind = fault.Target
	} else {
		v.require(fault.Target == "" && fault.Up == 0 && fault.Down == 0, at+".of", "with up and down, is for flap alone")
	}
	ofRequests := slices.Contains(requestShareFaults, kind)
	v.require(fault.Class == "" || (ofRequests || kind == "hurry") && s.ClassIndex(fault.Class) >= 0, at+".class",
		"must be a class, of a fault that strikes a share of the requests")
	v.require(fault.MinInFlight == 0 || ofRequests && fault.MinInFlight > 0, at+".above",
		"must be above 0, of a fault that strikes a share of the requests")
	v.require(fault.Scope == "" || ofRequests && slices.Contains([]string{"request", "connection"}, fault.Scope), at+".by",
		`must be "request" or "connection", of a fault that strikes a share of the requests`)
	v.require((fault.TimeoutShare > 0 && fault.TimeoutShare < 1) == (kind == "hurry"), at+".left",
		"must be above 0 and under 1 for hurry, and is for hurry alone")
	v.faultSize(at, kind, fault, s)
}

// faultEndpoints checks which endpoints a fault affects.
func (v *validator) faultEndpoints(at string, fault *Fault, s *Scenario) {
	v.require(countTrue(fault.Endpoints > 0, fault.Share > 0, len(fault.Names) > 0) == 1, at+".boxes",
		"one of boxes, share and names must be given")
	v.require(fault.Share >= 0 && fault.Share <= 1, at+".share", "must be from 0 to 1")
	names := s.EndpointNames()
	for _, name := range fault.Names {
		v.require(slices.Contains(names, name), at+".names", "%q is no box; the first of a tier \"t\" is \"t-1\"", name)
	}
}

// faultSize checks the fields that depend on the kind.
func (v *validator) faultSize(at, kind string, fault *Fault, s *Scenario) {
	switch kind {
	case "fail", "cut", "spoil", "drip", "mute":
		v.require(fault.Size > 0 && fault.Size <= 1, at+".size", "must be above 0 and at most 1: a share of the requests")
	case "hurry":
		v.require(fault.Size > 0 && fault.Size <= 1, at+".size", "must be above 0 and at most 1: a share of the clients")
	case "sidecar_pause":
		v.require(fault.Duration > 0 && fault.Duration <= Span(maxPause), at+".for", "must be given, and %s at most", maxPause)
	case "order_again":
		v.require(len(s.Auditors) > 0 && fault.RecoveryDelay > 0 && fault.Size >= 0, at+".back",
			"must be given, size not negative, and [[audit]] there")
	case "disk_full":
		v.require(fault.At == 0 && fault.Duration == 0, at+".at", "must be 0, and no for: it is full all the time")
		v.require(strings.Contains(s.Fleet.OperatorConfig, "[state]"), at+".kind", "needs [state] in fleet.operator")
	case "slow":
		v.require(fault.Size >= 1, at+".size", "must be 1 or more: how many times as long work takes")
	case "discovery_late":
		v.require(fault.Size >= 0 && fault.Size <= 1, at+".size", "must be from 0 to 1: a share of the sidecars, all if left out")
		v.require(fault.RecoveryDelay > 0, at+".back", "must be given: how much later")
	}
}

// faultBetweenProcesses checks a fault of the list service or of links.
func (v *validator) faultBetweenProcesses(at string, fault *Fault, s *Scenario) {
	phasesFit := fault.Up >= minPhase && fault.Down >= minPhase && fault.Duration > 0
	v.require((fault.Up > 0) == (fault.Down > 0) && (fault.Up == 0 || phasesFit), at+".up",
		"and down go together, are 10ms or more, and need for")
	v.require(fault.Share >= 0 && fault.Share <= 1 && fault.Endpoints >= 0, at+".share",
		"must be from 0 to 1, and boxes not negative")
	v.require(fault.RecoveryDelay >= 0 && fault.RecoveryDelay.D() <= time.Minute, at+".back", "must be from 0 to 1m")
	switch fault.Kind {
	case "list_wrong":
		v.oneOf(fault.Target, at+".of", "empty", "half", "other")
	case "list_slow":
		v.require(fault.Size >= 1 || fault.Size == 0 && fault.RecoveryDelay > 0, at+".size", "must be 1 or more, or back given")
	case "list_cut":
		v.require(fault.Size > 0 && fault.Size <= 1, at+".size", "must be above 0 and at most 1: a share of the answers")
	case "link_cut", "link_slow", "link_reset":
		v.oneOf(fault.Target, at+".of", "list", "boxes", "clients", "control")
		v.require(fault.Target != "control" || len(s.Auditors) > 0 || s.Fleet.HasAuditLogs(), at+".of",
			"control needs [[audit]], or [audit] in fleet.operator")
		v.require(fault.Scope == "" || fault.Kind == "link_cut", at+".by", "is for link_cut alone")
		v.require((fault.Kind == "link_slow") == (fault.RecoveryDelay > 0), at+".back",
			"must be given for link_slow, and is for that alone")
	}
	if fault.Scope != "" {
		v.oneOf(fault.Scope, at+".by", "both", "there", "back")
	}
	for _, name := range fault.Names {
		n, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
		v.require(err == nil && n > 0 && n <= s.Fleet.Sidecars, at+".names",
			"%q is no sidecar of the first tier; the first is \"n1\"", name)
	}
}
