package plan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/scenario"
	"pinelb.example/pinelb/internal/lab/trace"
)

var endpointFaultKinds = map[string]model.FaultKind{
	"vanish": model.Vanish, "hang": model.Hang, "fail": model.Fail, "slow": model.Slow, "refuse": model.RefuseConns,
	"cut": model.Cut, "spoil": model.Spoil, "drip": model.Drip, "mute": model.Mute, "crash": model.Dead,
}

// defaultGrace is how long a draining box works on, and a sidecar may take to end, where no grace is given.
const (
	defaultDrainGrace = 5 * time.Second
	defaultStopGrace  = 3700 * time.Millisecond
	upgradeAnnotation = 2 * time.Second // in reports; how long it takes is the sidecar's
)

// maxDedupWindow is the longest of the keyed classes'.
func maxDedupWindow(s *scenario.Scenario) (most time.Duration) {
	for _, c := range s.Classes {
		if c.Idempotency == "keyed" {
			most = max(most, c.DedupWindow.D())
		}
	}
	return most
}

// script resolves the faults: on which boxes, from when to when, and what discovery says of it.
type script struct {
	*Plan
	random        *rand.Rand
	faultCount    []int // how many faults a box has had
	lastFaultID   int
	listDelays    []time.Duration // of each sidecar, beyond discovery's own
	notifications []Event
}

func (p *Plan) planEvents() {
	s := script{Plan: p, random: p.randomStream(faultStream), faultCount: make([]int, len(p.Endpoints))}
	d, late := &p.Scenario.Discovery, p.randomStream(notificationStream)
	for i := range p.Sidecars {
		s.listDelays = append(s.listDelays, time.Duration(late.Float64()*float64(d.Jitter)))
		if late.Float64() < d.LateShare {
			s.listDelays[i] += d.LateDelay.D()
		}
	}
	for i := range p.Scenario.Faults {
		s.scheduleFault(&p.Scenario.Faults[i])
	}
	for i := range s.Scenario.Auditors {
		s.scheduleAuditor(i, &s.Scenario.Auditors[i])
	}
	if len(s.Scenario.Auditors) > 0 && s.HasUpgrades() { // whose processes are at an address each, and a roster has one of a sidecar
		for i := range s.Sidecars {
			s.intercept("control", i)
		}
	}
	s.delayNotifications()
	p.Events = append(p.Events, s.notifications...)
	for i := range p.Sidecars {
		// The sidecar of a box that is absent at first starts with it, by the event of that start.
		if c := &p.Sidecars[i]; c.StartAt >= 0 && (c.Endpoint < 0 || p.Endpoints[c.Endpoint].Start != "absent") {
			p.Events = append(p.Events, Event{At: c.StartAt, Kind: StartSidecar, Endpoint: -1, Sidecar: i})
		}
	}
	slices.SortStableFunc(p.Events, func(a, b Event) int { return int(a.At - b.At) })
}

func (s *script) runEnd() time.Duration { return s.Scenario.Length.D() }

func (s *script) add(e Event) { s.Events = append(s.Events, e) }

func (s *script) annotate(what string, from, to time.Duration) {
	if to <= from {
		to = s.runEnd()
	}
	s.Annotations = append(s.Annotations, Annotation{what, from, min(to, s.runEnd())})
}

// tell has every sidecar of the box's tier hear of it, each in its time.
func (s *script) notify(at time.Duration, box int, phase trace.Phase, upSince time.Duration) {
	if len(s.Scenario.Auditors) > 0 && s.Endpoints[box].Tier == 0 {
		s.notifications = append(s.notifications, Event{At: at, Kind: NotifySidecar, Endpoint: -1, Sidecar: -1, Entry: ListEntry{Endpoint: box, Phase: phase, StartedAt: upSince}})
	}
	for i := range s.Sidecars {
		if s.Sidecars[i].Tier == s.Endpoints[box].Tier {
			s.notifications = append(s.notifications, Event{At: at + s.listDelays[i], Kind: NotifySidecar, Endpoint: -1, Sidecar: i,
				Entry: ListEntry{Endpoint: box, Phase: phase, StartedAt: upSince}})
		}
	}
}

// between has a box at fault for a while; to of 0 is for good.
func (s *script) endpointFaultWindow(box int, f model.Fault, from, to time.Duration) {
	s.lastFaultID++
	f.ID = s.lastFaultID
	kind := f.Kind
	s.add(Event{At: from, Kind: StartFault, Endpoint: box, Sidecar: -1, Fault: f})
	if to > 0 {
		s.add(Event{At: to, Kind: EndFault, Endpoint: box, Sidecar: -1, Fault: f})
	}
	if kind != model.Dead && kind != model.Vanish {
		return
	}
	// The sidecar beside the box ends and starts with it.
	for i := range s.Sidecars {
		if s.Sidecars[i].Endpoint != box {
			continue
		}
		s.add(Event{At: from, Kind: KillSidecar, Endpoint: -1, Sidecar: i})
		if to > 0 {
			s.add(Event{At: to, Kind: StartSidecar, Endpoint: -1, Sidecar: i})
		}
	}
}

// down is a box whose process or machine goes and perhaps comes back; discovery sees it after notice.
func (s *script) endpointOutage(box int, kind model.FaultKind, from, to, notice time.Duration) {
	s.endpointFaultWindow(box, model.Fault{Kind: kind}, from, to)
	if to == 0 || to-from > notice {
		s.notify(from+notice, box, trace.PhaseGone, 0)
	}
	if to > 0 {
		s.notify(to+s.Scenario.Discovery.AddDelay.D(), box, trace.PhaseReady, to)
	}
}

func (s *script) scheduleFault(f *scenario.Fault) {
	from, to := f.At.D(), time.Duration(0)
	if f.Duration > 0 {
		to = (f.At + f.Duration).D()
	}
	switch f.Kind {
	case "discovery_silent":
		s.add(Event{At: from, Kind: SuspendDiscovery, Endpoint: -1, Sidecar: -1})
		if to > 0 {
			s.add(Event{At: to, Kind: ResumeDiscovery, Endpoint: -1, Sidecar: -1})
		}
		s.annotate("discovery silent", from, to)
	case "discovery_late":
		s.annotate("discovery late", from, to)
	case "discovery_move":
		s.add(Event{At: from, Kind: MoveDiscovery, Endpoint: -1, Sidecar: -1})
		s.annotate("discovery moves", from, from+time.Millisecond)
	case "list_down", "list_slow", "list_old", "list_wrong", "list_cut", "list_forget", "link_cut", "link_slow", "link_reset":
		s.scheduleProcessFault(f, from, to)
	case "sidecar_kill", "sidecar_stop", "sidecar_pause", "sidecar_upgrade":
		s.scheduleSidecarFault(f)
	case "disk_full":
		for _, i := range s.chooseSidecars(f) {
			s.Sidecars[i].AuditDiskFull = true
		}
		s.annotate("disk full", 0, s.runEnd())
	case "order_again":
		for _, i := range s.chooseSidecars(f) {
			s.lastFaultID++
			s.add(Event{At: from, Kind: SaveOrder, Endpoint: -1, Sidecar: i, ID: s.lastFaultID})
			s.add(Event{At: from + f.RecoveryDelay.D(), Kind: ReplayOrder, Endpoint: -1, Sidecar: i, ID: s.lastFaultID, EpochIncrement: int(f.Size)})
		}
		s.annotate("old order", from+f.RecoveryDelay.D(), from+f.RecoveryDelay.D()+time.Millisecond)
	case "hurry": // the requests have it already
		s.annotate("clients in a hurry", from, to)
	default:
		boxes := s.chooseEndpoints(f)
		for _, box := range boxes {
			s.scheduleEndpointFault(f, box, from, to)
		}
		names := make([]string, len(boxes))
		for i, box := range boxes {
			names[i] = s.Endpoints[box].Name
		}
		what := f.Kind
		if f.Kind == "flap" {
			what += " (" + f.Target + ")"
		}
		if len(names) > 4 {
			names = append(names[:3], fmt.Sprintf("%d more", len(names)-3))
		}
		s.annotate(what+" "+strings.Join(names, ", "), from, to)
	}
}

func (s *script) scheduleEndpointFault(f *scenario.Fault, box int, from, to time.Duration) {
	d := &s.Scenario.Discovery
	switch f.Kind {
	case "crash":
		s.endpointOutage(box, model.Dead, from, to, d.RemoveDelay.D())
	case "vanish":
		s.endpointOutage(box, model.Vanish, from, to, d.UnresponsiveDelay.D())
	case "leave":
		s.endpointFaultWindow(box, model.Fault{Kind: model.Dead}, from, 0)
		if to > 0 {
			s.notify(to, box, trace.PhaseGone, 0)
		}
	case "drain":
		grace := f.Grace.D()
		if grace == 0 {
			grace = defaultDrainGrace
		}
		ends, back := from+grace, time.Duration(0)
		if f.RecoveryDelay > 0 {
			back = ends + f.RecoveryDelay.D()
		}
		s.notify(from+d.RemoveDelay.D(), box, trace.PhaseTerminating, s.listedStart(box))
		s.endpointOutage(box, model.Dead, ends, back, d.RemoveDelay.D())
	case "add":
		s.Endpoints[box].Start, s.Endpoints[box].StartAt = "absent", from
		s.add(Event{At: from, Kind: StartEndpoint, Endpoint: box, Sidecar: -1})
		for i := range s.Sidecars {
			if s.Sidecars[i].Endpoint == box {
				s.add(Event{At: from, Kind: StartSidecar, Endpoint: -1, Sidecar: i})
			}
		}
		s.notify(from+d.AddDelay.D(), box, trace.PhaseReady, from)
	case "flap":
		for at := from; at < to; at += (f.Down + f.Up).D() {
			back := min(at+f.Down.D(), to)
			switch kind := endpointFaultKinds[f.Target]; kind {
			case model.Dead:
				s.endpointOutage(box, kind, at, back, d.RemoveDelay.D())
			case model.Vanish:
				s.endpointOutage(box, kind, at, back, d.UnresponsiveDelay.D())
			default:
				s.endpointFaultWindow(box, s.modelFault(f, f.Target), at, back)
			}
		}
	default:
		s.endpointFaultWindow(box, s.modelFault(f, f.Kind), from, to)
	}
}

// modelFault is a scenario's fault as the model has it.
func (s *script) modelFault(f *scenario.Fault, kind string) model.Fault {
	return model.Fault{Kind: endpointFaultKinds[kind], Size: f.Size, Class: s.Scenario.ClassIndex(f.Class) + 1, Above: f.MinInFlight,
		ByConn: f.Scope == "connection"}
}

// scheduleSidecarFault kills or stops sidecars of the first tier, one after another where there is a step.
func (s *script) scheduleSidecarFault(f *scenario.Fault) {
	at := f.At.D()
	for _, i := range s.chooseSidecars(f) {
		if f.Kind == "sidecar_pause" {
			s.add(Event{At: at, Kind: PauseSidecar, Endpoint: -1, Sidecar: i, Duration: f.Duration.D()})
			s.annotate("sidecar pause "+s.Sidecars[i].Name, at, at+f.Duration.D())
			at += f.Step.D()
			continue
		}
		if f.Kind == "sidecar_upgrade" {
			s.add(Event{At: at, Kind: UpgradeSidecar, Endpoint: -1, Sidecar: i})
			s.annotate("sidecar upgrade "+s.Sidecars[i].Name, at, at+upgradeAnnotation)
			at += f.Step.D()
			continue
		}
		kind, ends := KillSidecar, at
		if f.Kind == "sidecar_stop" {
			kind = StopSidecar
			grace := f.Grace.D()
			if grace == 0 {
				grace = defaultStopGrace
			}
			ends = at + grace
			s.add(Event{At: ends, Kind: KillSidecar, Endpoint: -1, Sidecar: i}) // where it has not ended by itself
		}
		s.add(Event{At: at, Kind: kind, Endpoint: -1, Sidecar: i})
		back := s.runEnd()
		if f.RecoveryDelay > 0 {
			back = ends + f.RecoveryDelay.D()
			s.add(Event{At: back, Kind: StartSidecar, Endpoint: -1, Sidecar: i})
		}
		s.annotate(strings.ReplaceAll(f.Kind, "_", " ")+" "+s.Sidecars[i].Name, at, back)
		at += f.Step.D()
	}
}

// auditor is when one starts, stops and is killed.
func (s *script) scheduleAuditor(id int, a *scenario.Auditor) {
	s.add(Event{At: a.Start.D(), Kind: StartAuditor, Endpoint: -1, Sidecar: -1, ID: id})
	if a.PauseAt > 0 {
		s.add(Event{At: a.PauseAt.D(), Kind: PauseAuditor, Endpoint: -1, Sidecar: -1, ID: id, Duration: a.PauseDuration.D()})
		s.annotate("auditor pause "+a.Name, a.PauseAt.D(), (a.PauseAt + a.PauseDuration).D())
	}
	if a.KillAt > 0 {
		s.add(Event{At: a.KillAt.D(), Kind: KillAuditor, Endpoint: -1, Sidecar: -1, ID: id})
		back := s.runEnd()
		if a.RestartDelay > 0 {
			back = (a.KillAt + a.RestartDelay).D()
			s.add(Event{At: back, Kind: StartAuditor, Endpoint: -1, Sidecar: -1, ID: id})
		}
		s.annotate("auditor kill "+a.Name, a.KillAt.D(), back)
	}
}

// choose picks a fault's boxes: those named, or drawn, and then such as have had the fewest faults so far.
func (s *script) chooseEndpoints(f *scenario.Fault) []int {
	tier := 0
	if f.Tier != "" {
		tier = s.Scenario.TierIndex(f.Tier)
	}
	var of []int
	for i := range s.Endpoints {
		b := &s.Endpoints[i]
		if len(f.Names) > 0 && slices.Contains(f.Names, b.Name) ||
			len(f.Names) == 0 && b.Tier == tier && (b.Start == "absent") == (f.Kind == "add") {
			of = append(of, i)
		}
	}
	if len(f.Names) == 0 {
		n := f.Endpoints
		if f.Share > 0 {
			n = max(1, int(math.Round(f.Share*float64(len(of)))))
		}
		s.random.Shuffle(len(of), func(i, j int) { of[i], of[j] = of[j], of[i] })
		slices.SortStableFunc(of, func(a, b int) int { return s.faultCount[a] - s.faultCount[b] })
		of = of[:min(n, len(of))]
		slices.Sort(of)
	}
	for _, i := range of {
		s.faultCount[i]++
	}
	return of
}

// hold keeps back what discovery would say while it is silent or late.
func (s *script) delayNotifications() {
	late := s.randomStream(notificationStream + 100)
	for i := range s.Scenario.Faults {
		f := &s.Scenario.Faults[i]
		from, to := f.At.D(), (f.At + f.Duration).D()
		if f.Duration == 0 {
			to = model.Never
		}
		slow := make([]bool, len(s.Sidecars))
		for j := range slow {
			slow[j] = f.Size == 0 || late.Float64() < f.Size
		}
		for j := range s.notifications {
			e := &s.notifications[j]
			if e.At < from || e.At >= to || e.Sidecar < 0 { // what is held back is held back on the way
				continue
			}
			switch {
			case f.Kind == "discovery_silent":
				e.At = to
			case f.Kind == "discovery_late" && slow[e.Sidecar]:
				e.At += f.RecoveryDelay.D()
			}
		}
	}
	// Name a sidecar hears of one box keeps its order, whatever was held back.
	latest := map[[2]int]time.Duration{}
	for j := range s.notifications {
		e := &s.notifications[j]
		at := [2]int{e.Sidecar, e.Entry.Endpoint}
		e.At = max(e.At, latest[at])
		latest[at] = e.At
	}
	s.notifications = slices.DeleteFunc(s.notifications, func(e Event) bool { return e.At == model.Never })
}
