package plan

import (
	"math"
	"slices"
	"strings"
	"time"

	"pinelb.example/pinelb/internal/lab/scenario"
)

// chooseSidecars returns the sidecars that a fault affects: those it names, a drawn number or share of the first tier's,
// or all of every tier.
func (s *scheduler) chooseSidecars(f *scenario.Fault) []int {
	var chosen []int
	some := len(f.Names) > 0 || f.Endpoints > 0 || f.Share > 0
	for i := range s.Sidecars {
		c := &s.Sidecars[i]
		if !some || c.Endpoint < 0 && (len(f.Names) == 0 || slices.Contains(f.Names, c.Name)) {
			chosen = append(chosen, i)
		}
	}
	if some && len(f.Names) == 0 {
		s.random.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
		count := max(1, f.Endpoints, int(math.Round(f.Share*float64(len(chosen)))))
		chosen = chosen[:min(len(chosen), count)]
	}
	return chosen
}

// scheduleSidecarFaults makes the events of a sidecar's fault, at one sidecar after the other where there is a step.
func (s *scheduler) scheduleSidecarFaults(f *scenario.Fault) {
	at := f.At.D()
	for _, i := range s.chooseSidecars(f) {
		switch f.Kind {
		case "sidecar_pause":
			s.add(Event{At: at, Kind: PauseSidecar, Endpoint: -1, Sidecar: i, Duration: f.Duration.D()})
			s.annotate("sidecar pause "+s.Sidecars[i].Name, at, at+f.Duration.D())
		case "sidecar_upgrade":
			s.addForSidecar(at, UpgradeSidecar, i)
			s.annotate("sidecar upgrade "+s.Sidecars[i].Name, at, at+upgradeAnnotation)
		default:
			s.scheduleSidecarExit(f, i, at)
		}
		at += f.Step.D()
	}
}

// scheduleSidecarExit kills a sidecar or has it shut down, and starts it again after the recovery delay.
func (s *scheduler) scheduleSidecarExit(f *scenario.Fault, sidecar int, at time.Duration) {
	kind, exit := KillSidecar, at
	if f.Kind == "sidecar_stop" {
		kind, exit = StopSidecar, at+orDefault(f.Grace, defaultStopGrace)
		s.addForSidecar(exit, KillSidecar, sidecar) // where it has not exited by itself
	}
	s.addForSidecar(at, kind, sidecar)
	restart := s.runEnd()
	if f.RecoveryDelay > 0 {
		restart = exit + f.RecoveryDelay.D()
		s.addForSidecar(restart, StartSidecar, sidecar)
	}
	s.annotate(strings.ReplaceAll(f.Kind, "_", " ")+" "+s.Sidecars[sidecar].Name, at, restart)
}

// scheduleReplay saves the orders that sidecars have and replays them later.
func (s *scheduler) scheduleReplay(f *scenario.Fault) {
	save, replay := f.At.D(), (f.At + f.RecoveryDelay).D()
	for _, i := range s.chooseSidecars(f) {
		s.lastFaultID++
		s.add(Event{At: save, Kind: SaveOrder, Endpoint: -1, Sidecar: i, ID: s.lastFaultID})
		s.add(Event{At: replay, Kind: ReplayOrder, Endpoint: -1, Sidecar: i, ID: s.lastFaultID, EpochIncrement: int(f.Size)})
	}
	s.annotate("old order", replay, replay+instantAnnotation)
}
