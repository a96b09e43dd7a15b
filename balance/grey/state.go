package grey

import "math"

// CountState is attempts and how many of them went wrong, or any other number with a sum, for passing on.
type CountState struct {
	Attempts float64 `json:"N"`
	Failures float64 `json:"Bad"`
}

// PaceState is how long answers of a class take, for passing on.
type PaceState struct {
	N       float64 `json:"N"`
	Sum     float64 `json:"Sum"`
	Squares float64 `json:"Squares"`
}

// maxLogSeconds bounds the logarithm of an answer's seconds: from 1e-9 to 1e9.
const maxLogSeconds = 20

// DetectorState is what is known of a fleet, by class, for passing on to another process.
type DetectorState struct {
	Classes  []CountState `json:"Classes"`
	Paces    []PaceState  `json:"Paces"`
	Hangs    CountState   `json:"Mute"`
	Timeouts CountState   `json:"Ups"`
}

// HostState is what is known of one host, by class.
type HostState struct {
	Classes   []CountState `json:"Classes"`
	Hangs     CountState   `json:"Mute"`
	Recent    CountState   `json:"Lately"`
	Suspicion float64      `json:"Suspect"`
	Grey      bool         `json:"Grey"`
}

// DetectorState is what is known, to be passed on at once: nothing of it has aged.
func (f *Detector) State() DetectorState {
	st := DetectorState{Classes: countStates(f.classes), Hangs: f.hangs.state(), Timeouts: f.timeouts.state()}
	for _, p := range f.paces {
		st.Paces = append(st.Paces, PaceState{p.n, p.sum, p.squares})
	}
	return st
}

// Restore takes over what another process knew. What no process can have known is left out.
func (f *Detector) Restore(st DetectorState) {
	for i := range f.classes {
		if i < len(st.Classes) {
			f.classes[i] = st.Classes[i].restore()
		}
		if i < len(st.Paces) {
			if p := st.Paces[i]; validCount(p.N) && math.Abs(p.Sum) <= maxLogSeconds*p.N && p.Squares >= 0 && p.Squares <= maxLogSeconds*maxLogSeconds*p.N {
				f.paces[i].n, f.paces[i].sum, f.paces[i].squares = p.N, p.Sum, p.Squares
			}
		}
	}
	f.hangs, f.timeouts = st.Hangs.restore(), st.Timeouts.restore()
}

// DetectorState is what is known of a host.
func (h *Host) State() HostState {
	return HostState{Classes: countStates(h.classes), Hangs: h.hangs.state(), Recent: h.recent.state(), Suspicion: h.suspicion, Grey: h.grey}
}

// Restore is one of which so much is known, of that many classes.
func (st *HostState) Restore(classes int) Host {
	h := Host{hangs: st.Hangs.restore(), recent: st.Recent.restore(), grey: st.Grey}
	if validCount(st.Suspicion) {
		h.suspicion = min(maxSuspicion, st.Suspicion)
	}
	if len(st.Classes) > 0 {
		h.classes = make([]decayedCount, classes)
		for i := range min(classes, len(st.Classes)) {
			h.classes[i] = st.Classes[i].restore()
		}
	}
	return h
}

func countStates(ts []decayedCount) (out []CountState) {
	for i := range ts {
		out = append(out, ts[i].state())
	}
	return out
}

func (t *decayedCount) state() CountState { return CountState{t.attempts, t.failures} }

func (c CountState) restore() decayedCount {
	if !validCount(c.Attempts) || !validCount(c.Failures) || c.Failures > c.Attempts+1 {
		return decayedCount{}
	}
	return decayedCount{attempts: c.Attempts, failures: c.Failures}
}

// sane tells whether a number can be one of attempts.
func validCount(x float64) bool { return x >= 0 && x < 1e9 }
