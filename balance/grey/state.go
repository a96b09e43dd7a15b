package grey

import "math"

// Count is attempts and how many of them went wrong, or any other number with a sum, for passing on.
type Count struct {
	N   float64 `json:"N"`
	Bad float64 `json:"Bad"`
}

// Pace is how long answers of a class take, for passing on.
type Pace struct {
	N       float64 `json:"N"`
	Sum     float64 `json:"Sum"`
	Squares float64 `json:"Squares"`
}

// paceMost bounds the logarithm of an answer's seconds: from 1e-9 to 1e9.
const paceMost = 20

// State is what is known of a fleet, by class, for passing on to another process.
type State struct {
	Classes []Count `json:"Classes"`
	Paces   []Pace  `json:"Paces"`
	Mute    Count   `json:"Mute"`
	Ups     Count   `json:"Ups"`
}

// HostState is what is known of one host, by class.
type HostState struct {
	Classes []Count `json:"Classes"`
	Mute    Count   `json:"Mute"`
	Lately  Count   `json:"Lately"`
	Suspect float64 `json:"Suspect"`
	Grey    bool    `json:"Grey"`
}

// State is what is known, to be passed on at once: nothing of it has aged.
func (f *Fleet) State() State {
	st := State{Classes: counts(f.classes), Mute: f.mute.count(), Ups: f.ups.count()}
	for _, p := range f.paces {
		st.Paces = append(st.Paces, Pace{p.n, p.sum, p.squares})
	}
	return st
}

// Take takes over what another process knew. What no process can have known is left out.
func (f *Fleet) Take(st State) {
	for i := range f.classes {
		if i < len(st.Classes) {
			f.classes[i] = st.Classes[i].tally()
		}
		if i < len(st.Paces) {
			if p := st.Paces[i]; sane(p.N) && math.Abs(p.Sum) <= paceMost*p.N && p.Squares >= 0 && p.Squares <= paceMost*paceMost*p.N {
				f.paces[i].n, f.paces[i].sum, f.paces[i].squares = p.N, p.Sum, p.Squares
			}
		}
	}
	f.mute, f.ups = st.Mute.tally(), st.Ups.tally()
}

// State is what is known of a host.
func (h *Host) State() HostState {
	return HostState{Classes: counts(h.classes), Mute: h.mute.count(), Lately: h.lately.count(), Suspect: h.suspect, Grey: h.grey}
}

// Host is one of which so much is known, of that many classes.
func (st *HostState) Host(classes int) Host {
	h := Host{mute: st.Mute.tally(), lately: st.Lately.tally(), grey: st.Grey}
	if sane(st.Suspect) {
		h.suspect = min(suspectMost, st.Suspect)
	}
	if len(st.Classes) > 0 {
		h.classes = make([]tally, classes)
		for i := range min(classes, len(st.Classes)) {
			h.classes[i] = st.Classes[i].tally()
		}
	}
	return h
}

func counts(ts []tally) (out []Count) {
	for i := range ts {
		out = append(out, ts[i].count())
	}
	return out
}

func (t *tally) count() Count { return Count{t.n, t.bad} }

func (c Count) tally() tally {
	if !sane(c.N) || !sane(c.Bad) || c.Bad > c.N+1 {
		return tally{}
	}
	return tally{n: c.N, bad: c.Bad}
}

// sane tells whether a number can be one of attempts.
func sane(x float64) bool { return x >= 0 && x < 1e9 }
