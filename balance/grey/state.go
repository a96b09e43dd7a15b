package grey

import "math"

// CountState is a number of attempts and of failures among them.
type CountState struct {
	Attempts float64 `json:"N"`
	Failures float64 `json:"Bad"`
}

// LatencyState is the distribution of a class's latency: the weight, sum and squared distances of the logarithms of its
// seconds.
type LatencyState struct {
	N       float64 `json:"N"`
	Sum     float64 `json:"Sum"`
	Squares float64 `json:"Squares"`
}

// DetectorState is what a Detector knows, as plain values for another process. The JSON names are those of stored snapshots.
type DetectorState struct {
	Classes   []CountState   `json:"Classes"` // by class
	Latencies []LatencyState `json:"Paces"`   // by class
	Hangs     CountState     `json:"Mute"`
	Timeouts  CountState     `json:"Ups"`
}

// HostState is the evidence about one host, as plain values for another process.
type HostState struct {
	Classes   []CountState `json:"Classes"` // by class
	Hangs     CountState   `json:"Mute"`
	Recent    CountState   `json:"Lately"`
	Suspicion float64      `json:"Suspect"`
	Grey      bool         `json:"Grey"`
}

// Bounds of what a process can have learned.
const (
	maxLogSeconds = 20 // of the logarithm of a latency: from 1e-9 to 1e9 seconds
	maxCount      = 1e9
)

// State returns what the detector knows.
func (d *Detector) State() DetectorState {
	state := DetectorState{Classes: countStates(d.classes), Hangs: d.hangs.state(), Timeouts: d.timeouts.state()}
	for _, model := range d.latencies {
		state.Latencies = append(state.Latencies, LatencyState{N: model.n, Sum: model.sum, Squares: model.squares})
	}
	return state
}

// Restore takes over what another process knew. Values that no process can have learned are left out.
func (d *Detector) Restore(state DetectorState) {
	for i := range d.classes {
		if i < len(state.Classes) {
			d.classes[i] = state.Classes[i].restore()
		}
		if i < len(state.Latencies) && state.Latencies[i].valid() {
			learned := &state.Latencies[i]
			model := &d.latencies[i]
			model.n, model.sum, model.squares = learned.N, learned.Sum, learned.Squares
		}
	}
	d.hangs = state.Hangs.restore()
	d.timeouts = state.Timeouts.restore()
}

// valid reports whether a process can have learned the distribution.
func (s *LatencyState) valid() bool {
	return validCount(s.N) && math.Abs(s.Sum) <= maxLogSeconds*s.N && s.Squares >= 0 && s.Squares <= maxLogSeconds*maxLogSeconds*s.N
}

// State returns the evidence about the host.
func (h *Host) State() HostState {
	return HostState{Classes: countStates(h.classes), Hangs: h.hangs.state(), Recent: h.recent.state(), Suspicion: h.suspicion, Grey: h.grey}
}

// Restore returns a host of which so much is known, for a detector of that many classes.
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

// validCount reports whether a number can be one of attempts; NaN can't.
func validCount(x float64) bool { return x >= 0 && x < maxCount }
