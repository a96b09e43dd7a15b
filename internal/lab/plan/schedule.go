package plan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/lab/scenario"
)

// Defaults of faults, where the scenario gives no grace.
const (
	defaultDrainGrace = 5 * time.Second         // for which a draining endpoint goes on serving
	defaultStopGrace  = 3700 * time.Millisecond // from SIGTERM to SIGKILL, of a sidecar
)

const (
	upgradeAnnotation  = 2 * time.Second  // length of an upgrade in reports; its real length is the sidecar's
	instantAnnotation  = time.Millisecond // of what happens at once
	maxAnnotationNames = 4                // endpoints in one annotation; of more, one name less and their number are shown
)

// scheduler makes the events of a scenario's faults: which endpoints and sidecars they affect, from when to when, and
// how sidecars are notified of it. The order in which it draws is part of a seed's meaning.
type scheduler struct {
	*Plan
	random        *rand.Rand
	faultCount    []int           // of each endpoint, how many faults have affected it so far
	lastFaultID   int             // ids are from 1
	listDelays    []time.Duration // of each sidecar, beyond discovery's own
	notifications []Event         // kept apart until all are known, as they may be delayed
}

// planEvents makes the events, in order of time.
func (p *Plan) planEvents() {
	s := scheduler{Plan: p, random: p.randomStream(faultStream), faultCount: make([]int, len(p.Endpoints))}
	s.drawListDelays()
	for i := range p.Scenario.Faults {
		s.scheduleFault(&p.Scenario.Faults[i])
	}
	for i := range p.Scenario.Auditors {
		s.scheduleAuditor(i, &p.Scenario.Auditors[i])
	}
	// The two processes of an upgrade have an address each, and an auditor's inventory has one for a sidecar.
	if len(p.Scenario.Auditors) > 0 && p.HasUpgrades() {
		for i := range p.Sidecars {
			s.intercept("control", i)
		}
	}
	s.delayNotifications()
	p.Events = append(p.Events, s.notifications...)
	s.scheduleStarts()
	slices.SortStableFunc(p.Events, func(a, b Event) int { return int(a.At - b.At) })
}

// scheduleStarts starts the sidecars that don't run from the beginning. That of an absent endpoint starts with it, by
// the event of that start.
func (s *scheduler) scheduleStarts() {
	for i := range s.Sidecars {
		if c := &s.Sidecars[i]; c.StartAt >= 0 && (c.Endpoint < 0 || s.Endpoints[c.Endpoint].Start != "absent") {
			s.addForSidecar(c.StartAt, StartSidecar, i)
		}
	}
}

func (s *scheduler) runEnd() time.Duration { return s.Scenario.Length.D() }

func (s *scheduler) add(e Event) { s.Events = append(s.Events, e) }

// addGlobal adds an event that is of no endpoint and no sidecar.
func (s *scheduler) addGlobal(at time.Duration, kind EventKind) {
	s.add(Event{At: at, Kind: kind, Endpoint: -1, Sidecar: -1})
}

func (s *scheduler) addForSidecar(at time.Duration, kind EventKind, sidecar int) {
	s.add(Event{At: at, Kind: kind, Endpoint: -1, Sidecar: sidecar})
}

// annotate adds an annotation; one without an end lasts to the end of the run.
func (s *scheduler) annotate(name string, from, to time.Duration) {
	if to <= from {
		to = s.runEnd()
	}
	s.Annotations = append(s.Annotations, Annotation{name, from, min(to, s.runEnd())})
}

// scheduleFault makes the events of one fault.
func (s *scheduler) scheduleFault(f *scenario.Fault) {
	from, to := f.At.D(), time.Duration(0) // 0: it has no end
	if f.Duration > 0 {
		to = (f.At + f.Duration).D()
	}
	switch f.Kind {
	case "discovery_silent":
		s.addGlobal(from, SuspendDiscovery)
		if to > 0 {
			s.addGlobal(to, ResumeDiscovery)
		}
		s.annotate("discovery silent", from, to)
	case "discovery_late": // see delayNotifications
		s.annotate("discovery late", from, to)
	case "discovery_move":
		s.addGlobal(from, MoveDiscovery)
		s.annotate("discovery moves", from, from+instantAnnotation)
	case "list_down", "list_slow", "list_old", "list_wrong", "list_cut", "list_forget", "link_cut", "link_slow", "link_reset":
		s.scheduleProcessFault(f, from, to)
	case "sidecar_kill", "sidecar_stop", "sidecar_pause", "sidecar_upgrade":
		s.scheduleSidecarFaults(f)
	case "disk_full":
		for _, i := range s.chooseSidecars(f) {
			s.Sidecars[i].AuditDiskFull = true
		}
		s.annotate("disk full", 0, s.runEnd())
	case "order_again":
		s.scheduleReplay(f)
	case "hurry": // see shortenIfHurried
		s.annotate("clients in a hurry", from, to)
	default:
		s.scheduleEndpointFaults(f, from, to)
	}
}

// scheduleEndpointFaults makes the events of a fault at each endpoint that it affects.
func (s *scheduler) scheduleEndpointFaults(f *scenario.Fault, from, to time.Duration) {
	endpoints := s.chooseEndpoints(f)
	names := make([]string, len(endpoints))
	for i, endpoint := range endpoints {
		s.scheduleEndpointFault(f, endpoint, from, to)
		names[i] = s.Endpoints[endpoint].Name
	}
	what := f.Kind
	if f.Kind == "flap" {
		what += " (" + f.Target + ")"
	}
	if shown := maxAnnotationNames - 1; len(names) > maxAnnotationNames {
		names = append(names[:shown], fmt.Sprintf("%d more", len(names)-shown))
	}
	s.annotate(what+" "+strings.Join(names, ", "), from, to)
}

// scheduleAuditor starts, pauses and kills an auditor.
func (s *scheduler) scheduleAuditor(id int, a *scenario.Auditor) {
	add := func(at time.Duration, kind EventKind, duration time.Duration) {
		s.add(Event{At: at, Kind: kind, Endpoint: -1, Sidecar: -1, ID: id, Duration: duration})
	}
	add(a.Start.D(), StartAuditor, 0)
	if a.PauseAt > 0 {
		add(a.PauseAt.D(), PauseAuditor, a.PauseDuration.D())
		s.annotate("auditor pause "+a.Name, a.PauseAt.D(), (a.PauseAt + a.PauseDuration).D())
	}
	if a.KillAt > 0 {
		add(a.KillAt.D(), KillAuditor, 0)
		restart := s.runEnd()
		if a.RestartDelay > 0 {
			restart = (a.KillAt + a.RestartDelay).D()
			add(restart, StartAuditor, 0)
		}
		s.annotate("auditor kill "+a.Name, a.KillAt.D(), restart)
	}
}
