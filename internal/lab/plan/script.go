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

var boxFaults = map[string]model.FaultKind{
	"vanish": model.Vanish, "hang": model.Hang, "fail": model.Fail, "slow": model.Slow, "refuse": model.RefuseConns,
	"cut": model.Cut, "spoil": model.Spoil, "drip": model.Drip, "mute": model.Mute, "crash": model.Dead,
}

// defaultGrace is how long a draining box works on, and a sidecar may take to end, where no grace is given.
const (
	defaultDrain = 5 * time.Second
	defaultStop  = 3700 * time.Millisecond
	upgradeShown = 2 * time.Second // in reports; how long it takes is the sidecar's
)

// keyWindow is the longest of the keyed classes'.
func keyWindow(s *scenario.Scenario) (most time.Duration) {
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
	rng    *rand.Rand
	chosen []int // how many faults a box has had
	faults int
	delays []time.Duration // of each sidecar, beyond discovery's own
	told   []Event
}

func (p *Plan) script() {
	s := script{Plan: p, rng: p.stream(forFaults), chosen: make([]int, len(p.Boxes))}
	d, late := &p.Scenario.Discovery, p.stream(forTold)
	for i := range p.Sidecars {
		s.delays = append(s.delays, time.Duration(late.Float64()*float64(d.Jitter)))
		if late.Float64() < d.LateShare {
			s.delays[i] += d.LateDelay.D()
		}
	}
	for i := range p.Scenario.Faults {
		s.fault(&p.Scenario.Faults[i])
	}
	for i := range s.Scenario.Auditors {
		s.auditor(i, &s.Scenario.Auditors[i])
	}
	if len(s.Scenario.Auditors) > 0 && s.Upgrades() { // whose processes are at an address each, and a roster has one of a sidecar
		for i := range s.Sidecars {
			s.linked("control", i)
		}
	}
	s.hold()
	p.Events = append(p.Events, s.told...)
	for i := range p.Sidecars {
		// The sidecar of a box that is absent at first starts with it, by the event of that start.
		if c := &p.Sidecars[i]; c.Begin >= 0 && (c.Box < 0 || p.Boxes[c.Box].Start != "absent") {
			p.Events = append(p.Events, Event{At: c.Begin, Kind: StartSidecar, Box: -1, Sidecar: i})
		}
	}
	slices.SortStableFunc(p.Events, func(a, b Event) int { return int(a.At - b.At) })
}

func (s *script) end() time.Duration { return s.Scenario.Length.D() }

func (s *script) add(e Event) { s.Events = append(s.Events, e) }

func (s *script) mark(what string, from, to time.Duration) {
	if to <= from {
		to = s.end()
	}
	s.Marks = append(s.Marks, Mark{what, from, min(to, s.end())})
}

// tell has every sidecar of the box's tier hear of it, each in its time.
func (s *script) tell(at time.Duration, box int, phase trace.Phase, upSince time.Duration) {
	if len(s.Scenario.Auditors) > 0 && s.Boxes[box].Tier == 0 {
		s.told = append(s.told, Event{At: at, Kind: Tell, Box: -1, Sidecar: -1, Entry: Listed{Box: box, Phase: phase, UpSince: upSince}})
	}
	for i := range s.Sidecars {
		if s.Sidecars[i].Tier == s.Boxes[box].Tier {
			s.told = append(s.told, Event{At: at + s.delays[i], Kind: Tell, Box: -1, Sidecar: i,
				Entry: Listed{Box: box, Phase: phase, UpSince: upSince}})
		}
	}
}

// between has a box at fault for a while; to of 0 is for good.
func (s *script) between(box int, f model.Fault, from, to time.Duration) {
	s.faults++
	f.ID = s.faults
	kind := f.Kind
	s.add(Event{At: from, Kind: BeginFault, Box: box, Sidecar: -1, Fault: f})
	if to > 0 {
		s.add(Event{At: to, Kind: EndFault, Box: box, Sidecar: -1, Fault: f})
	}
	if kind != model.Dead && kind != model.Vanish {
		return
	}
	// The sidecar beside the box ends and starts with it.
	for i := range s.Sidecars {
		if s.Sidecars[i].Box != box {
			continue
		}
		s.add(Event{At: from, Kind: KillSidecar, Box: -1, Sidecar: i})
		if to > 0 {
			s.add(Event{At: to, Kind: StartSidecar, Box: -1, Sidecar: i})
		}
	}
}

// down is a box whose process or machine goes and perhaps comes back; discovery sees it after notice.
func (s *script) down(box int, kind model.FaultKind, from, to, notice time.Duration) {
	s.between(box, model.Fault{Kind: kind}, from, to)
	if to == 0 || to-from > notice {
		s.tell(from+notice, box, trace.PhaseGone, 0)
	}
	if to > 0 {
		s.tell(to+s.Scenario.Discovery.AddDelay.D(), box, trace.PhaseReady, to)
	}
}

func (s *script) fault(f *scenario.Fault) {
	from, to := f.At.D(), time.Duration(0)
	if f.Duration > 0 {
		to = (f.At + f.Duration).D()
	}
	switch f.Kind {
	case "discovery_silent":
		s.add(Event{At: from, Kind: SilenceDiscovery, Box: -1, Sidecar: -1})
		if to > 0 {
			s.add(Event{At: to, Kind: ResumeDiscovery, Box: -1, Sidecar: -1})
		}
		s.mark("discovery silent", from, to)
	case "discovery_late":
		s.mark("discovery late", from, to)
	case "discovery_move":
		s.add(Event{At: from, Kind: MoveDiscovery, Box: -1, Sidecar: -1})
		s.mark("discovery moves", from, from+time.Millisecond)
	case "list_down", "list_slow", "list_old", "list_wrong", "list_cut", "list_forget", "link_cut", "link_slow", "link_reset":
		s.betweenProcesses(f, from, to)
	case "sidecar_kill", "sidecar_stop", "sidecar_pause", "sidecar_upgrade":
		s.sidecarFault(f)
	case "disk_full":
		for _, i := range s.hit(f) {
			s.Sidecars[i].Full = true
		}
		s.mark("disk full", 0, s.end())
	case "order_again":
		for _, i := range s.hit(f) {
			s.faults++
			s.add(Event{At: from, Kind: KeepOrder, Box: -1, Sidecar: i, ID: s.faults})
			s.add(Event{At: from + f.RecoveryDelay.D(), Kind: PlayOrder, Box: -1, Sidecar: i, ID: s.faults, Raised: int(f.Size)})
		}
		s.mark("old order", from+f.RecoveryDelay.D(), from+f.RecoveryDelay.D()+time.Millisecond)
	case "hurry": // the requests have it already
		s.mark("clients in a hurry", from, to)
	default:
		boxes := s.choose(f)
		for _, box := range boxes {
			s.boxFault(f, box, from, to)
		}
		names := make([]string, len(boxes))
		for i, box := range boxes {
			names[i] = s.Boxes[box].Name
		}
		what := f.Kind
		if f.Kind == "flap" {
			what += " (" + f.Target + ")"
		}
		if len(names) > 4 {
			names = append(names[:3], fmt.Sprintf("%d more", len(names)-3))
		}
		s.mark(what+" "+strings.Join(names, ", "), from, to)
	}
}

func (s *script) boxFault(f *scenario.Fault, box int, from, to time.Duration) {
	d := &s.Scenario.Discovery
	switch f.Kind {
	case "crash":
		s.down(box, model.Dead, from, to, d.RemoveDelay.D())
	case "vanish":
		s.down(box, model.Vanish, from, to, d.UnresponsiveDelay.D())
	case "leave":
		s.between(box, model.Fault{Kind: model.Dead}, from, 0)
		if to > 0 {
			s.tell(to, box, trace.PhaseGone, 0)
		}
	case "drain":
		grace := f.Grace.D()
		if grace == 0 {
			grace = defaultDrain
		}
		ends, back := from+grace, time.Duration(0)
		if f.RecoveryDelay > 0 {
			back = ends + f.RecoveryDelay.D()
		}
		s.tell(from+d.RemoveDelay.D(), box, trace.PhaseTerminating, s.upSince(box))
		s.down(box, model.Dead, ends, back, d.RemoveDelay.D())
	case "add":
		s.Boxes[box].Start, s.Boxes[box].At = "absent", from
		s.add(Event{At: from, Kind: StartBox, Box: box, Sidecar: -1})
		for i := range s.Sidecars {
			if s.Sidecars[i].Box == box {
				s.add(Event{At: from, Kind: StartSidecar, Box: -1, Sidecar: i})
			}
		}
		s.tell(from+d.AddDelay.D(), box, trace.PhaseReady, from)
	case "flap":
		for at := from; at < to; at += (f.Down + f.Up).D() {
			back := min(at+f.Down.D(), to)
			switch kind := boxFaults[f.Target]; kind {
			case model.Dead:
				s.down(box, kind, at, back, d.RemoveDelay.D())
			case model.Vanish:
				s.down(box, kind, at, back, d.UnresponsiveDelay.D())
			default:
				s.between(box, s.boxFaultOf(f, f.Target), at, back)
			}
		}
	default:
		s.between(box, s.boxFaultOf(f, f.Kind), from, to)
	}
}

// boxFaultOf is a scenario's fault as the model has it.
func (s *script) boxFaultOf(f *scenario.Fault, kind string) model.Fault {
	return model.Fault{Kind: boxFaults[kind], Size: f.Size, Class: s.Scenario.ClassIndex(f.Class) + 1, Above: f.MinInFlight,
		ByConn: f.Scope == "connection"}
}

// sidecarFault kills or stops sidecars of the first tier, one after another where there is a step.
func (s *script) sidecarFault(f *scenario.Fault) {
	at := f.At.D()
	for _, i := range s.hit(f) {
		if f.Kind == "sidecar_pause" {
			s.add(Event{At: at, Kind: PauseSidecar, Box: -1, Sidecar: i, For: f.Duration.D()})
			s.mark("sidecar pause "+s.Sidecars[i].Name, at, at+f.Duration.D())
			at += f.Step.D()
			continue
		}
		if f.Kind == "sidecar_upgrade" {
			s.add(Event{At: at, Kind: UpgradeSidecar, Box: -1, Sidecar: i})
			s.mark("sidecar upgrade "+s.Sidecars[i].Name, at, at+upgradeShown)
			at += f.Step.D()
			continue
		}
		kind, ends := KillSidecar, at
		if f.Kind == "sidecar_stop" {
			kind = StopSidecar
			grace := f.Grace.D()
			if grace == 0 {
				grace = defaultStop
			}
			ends = at + grace
			s.add(Event{At: ends, Kind: KillSidecar, Box: -1, Sidecar: i}) // where it has not ended by itself
		}
		s.add(Event{At: at, Kind: kind, Box: -1, Sidecar: i})
		back := s.end()
		if f.RecoveryDelay > 0 {
			back = ends + f.RecoveryDelay.D()
			s.add(Event{At: back, Kind: StartSidecar, Box: -1, Sidecar: i})
		}
		s.mark(strings.ReplaceAll(f.Kind, "_", " ")+" "+s.Sidecars[i].Name, at, back)
		at += f.Step.D()
	}
}

// auditor is when one starts, stops and is killed.
func (s *script) auditor(id int, a *scenario.Auditor) {
	s.add(Event{At: a.Start.D(), Kind: StartAuditor, Box: -1, Sidecar: -1, ID: id})
	if a.PauseAt > 0 {
		s.add(Event{At: a.PauseAt.D(), Kind: PauseAuditor, Box: -1, Sidecar: -1, ID: id, For: a.PauseDuration.D()})
		s.mark("auditor pause "+a.Name, a.PauseAt.D(), (a.PauseAt + a.PauseDuration).D())
	}
	if a.KillAt > 0 {
		s.add(Event{At: a.KillAt.D(), Kind: KillAuditor, Box: -1, Sidecar: -1, ID: id})
		back := s.end()
		if a.RestartDelay > 0 {
			back = (a.KillAt + a.RestartDelay).D()
			s.add(Event{At: back, Kind: StartAuditor, Box: -1, Sidecar: -1, ID: id})
		}
		s.mark("auditor kill "+a.Name, a.KillAt.D(), back)
	}
}

// choose picks a fault's boxes: those named, or drawn, and then such as have had the fewest faults so far.
func (s *script) choose(f *scenario.Fault) []int {
	tier := 0
	if f.Tier != "" {
		tier = s.Scenario.TierIndex(f.Tier)
	}
	var of []int
	for i := range s.Boxes {
		b := &s.Boxes[i]
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
		s.rng.Shuffle(len(of), func(i, j int) { of[i], of[j] = of[j], of[i] })
		slices.SortStableFunc(of, func(a, b int) int { return s.chosen[a] - s.chosen[b] })
		of = of[:min(n, len(of))]
		slices.Sort(of)
	}
	for _, i := range of {
		s.chosen[i]++
	}
	return of
}

// hold keeps back what discovery would say while it is silent or late.
func (s *script) hold() {
	late := s.stream(forTold + 100)
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
		for j := range s.told {
			e := &s.told[j]
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
	// What a sidecar hears of one box keeps its order, whatever was held back.
	latest := map[[2]int]time.Duration{}
	for j := range s.told {
		e := &s.told[j]
		at := [2]int{e.Sidecar, e.Entry.Box}
		e.At = max(e.At, latest[at])
		latest[at] = e.At
	}
	s.told = slices.DeleteFunc(s.told, func(e Event) bool { return e.At == model.Never })
}
