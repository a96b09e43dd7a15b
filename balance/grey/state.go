package grey

import "math"

// CountState is the state of a decayed count of attempts and of the failures among them.
type CountState struct {
	Attempts float64 `json:"N"`
	Failures float64 `json:"Bad"`
}

// LatencyState is the state of the distribution of a class's latency: the decayed number, sum, and squared deviations
// from the mean of the logarithms of the latencies in seconds.
type LatencyState struct {
	N       float64 `json:"N"`
	Sum     float64 `json:"Sum"`
	Squares float64 `json:"Squares"`
}

// DetectorState is a Detector's evidence in a form that can be stored and passed to another process. The JSON names are
// those of stored snapshots and must not change.
type DetectorState struct {
	Classes   []CountState   `json:"Classes"` // by class
	Latencies []LatencyState `json:"Paces"`   // by class
	Hangs     CountState     `json:"Mute"`
	Timeouts  CountState     `json:"Ups"`
}

// HostState is the evidence about one host in a form that can be stored and passed to another process.
type HostState struct {
	Classes   []CountState `json:"Classes"` // by class
	Hangs     CountState   `json:"Mute"`
	Recent    CountState   `json:"Lately"`
	Suspicion float64      `json:"Suspect"`
	Grey      bool         `json:"Grey"`
}

// Bounds of plausible stored values.
const (
	maxLogSeconds = 20 // of the absolute logarithm of a latency: about 2e-9 to 5e8 seconds
	maxCount      = 1e9
)

// State returns the detector's evidence.
func (d *Detector) State() DetectorState {
	state := DetectorState{Classes: countStates(d.classes), Hangs: d.hangs.state(), Timeouts: d.timeouts.state()}
	for _, model := range d.latencies {
		state.Latencies = append(state.Latencies, LatencyState{N: model.weight, Sum: model.sum, Squares: model.squares})
	}
	return state
}

// Restore replaces the detector's evidence by that of another process. Implausible values are ignored.
func (d *Detector) Restore(state DetectorState) {
	for i := range d.classes {
		if i < len(state.Classes) {
			d.classes[i] = state.Classes[i].restore()
		}
		if i < len(state.Latencies) && state.Latencies[i].valid() {
			learned := &state.Latencies[i]
			model := &d.latencies[i]
			model.weight, model.sum, model.squares = learned.N, learned.Sum, learned.Squares
		}
	}
	d.hangs = state.Hangs.restore()
	d.timeouts = state.Timeouts.restore()
}

// valid reports whether the distribution is plausible.
func (s *LatencyState) valid() bool {
	return validCount(s.N) && math.Abs(s.Sum) <= maxLogSeconds*s.N && s.Squares >= 0 && s.Squares <= maxLogSeconds*maxLogSeconds*s.N
}

// State returns the evidence about the host.
func (h *Host) State() HostState {
	return HostState{Classes: countStates(h.classes), Hangs: h.hangs.state(), Recent: h.recent.state(), Suspicion: h.suspicion, Grey: h.grey}
}

// Restore returns a host with this evidence, for a detector with the given number of classes. Implausible values are
// ignored.
func (s *HostState) Restore(classes int) Host {
	h := Host{hangs: s.Hangs.restore(), recent: s.Recent.restore(), grey: s.Grey}
	if validCount(s.Suspicion) {
		h.suspicion = min(maxSuspicion, s.Suspicion)
	}
	if len(s.Classes) > 0 {
		h.classes = make([]decayedCount, classes)
		for i := range min(classes, len(s.Classes)) {
			h.classes[i] = s.Classes[i].restore()
		}
	}
	return h
}

func countStates(counts []decayedCount) (states []CountState) {
	for i := range counts {
		states = append(states, counts[i].state())
	}
	return states
}

func (c *decayedCount) state() CountState {
	return CountState{Attempts: c.attempts, Failures: c.failures}
}

func (s CountState) restore() decayedCount {
	if !validCount(s.Attempts) || !validCount(s.Failures) || s.Failures > s.Attempts+1 {
		return decayedCount{}
	}
	return decayedCount{attempts: s.Attempts, failures: s.Failures}
}

// validCount reports whether x is a plausible decayed count; NaN is not.
func validCount(x float64) bool { return x >= 0 && x < maxCount }
