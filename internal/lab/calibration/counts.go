package calibration

import (
	"math"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/stream"
)

// The margin that a rehearsal has to keep for each count: so large a share of it, or of all streams, whichever
// is more. A play of the recorded hosts themselves with other draws is off by up to two thirds of that on the bad
// morning, and by a little more than it where some 150 streams in all were refused.
const (
	marginCount = 0.15
	marginAll   = 0.01
)

// Count is what became of streams at the sidecar that took them.
type Count struct {
	Asked   int
	Aim     int // answered within the class's aim, from the stream's arrival
	Late    int // answered later
	Refused int
	Failed  int // failed, rejected, or out of time
	Gone    int // their clients left
}

// Counts are those of all streams and of each class.
type Counts struct {
	All      Count
	Classes  []Count // in the settings' order
	Names    []string
	Attempts [balance.NotSent]int // by balance.Status; moot ones were none
}

// counts counts a view's streams and attempts.
func (v *view) counts() Counts {
	c := Counts{Classes: make([]Count, len(v.settings.ClassNames)), Names: v.settings.ClassNames}
	for i := range v.streams {
		s := &v.streams[i]
		for _, n := range []*Count{&c.All, &c.Classes[s.class]} {
			n.Asked++
			switch s.end {
			case stream.Served:
				if s.after <= v.settings.Classes[s.class].TargetLatency {
					n.Aim++
				} else {
					n.Late++
				}
			case stream.RejectedLocally:
				n.Refused++
			case stream.ClientGone:
				n.Gone++
			default:
				n.Failed++
			}
		}
	}
	for i := range v.attempts {
		c.Attempts[v.attempts[i].status]++
	}
	return c
}

// Row is one count beside its rehearsal's.
type Row struct {
	What                string
	Observed, Rehearsed int
	Margin              float64
	Kept                bool
}

// Compare holds a rehearsal's counts against the observed ones.
func (r *Rehearsal) Compare(c Counts) (rows []Row) {
	o := &r.Observed.All
	for _, n := range []struct {
		what string
		a, b int
	}{{"served in aim", o.Aim, c.All.Aim}, {"late", o.Late, c.All.Late}, {"refused", o.Refused, c.All.Refused},
		{"failed", o.Failed, c.All.Failed}} {
		margin := max(marginCount*float64(n.a), marginAll*float64(o.Asked))
		rows = append(rows, Row{n.what, n.a, n.b, margin, math.Abs(float64(n.a-n.b)) <= margin})
	}
	return rows
}

// Kept tells whether all rows are within their margins.
func Kept(rows []Row) bool {
	for _, r := range rows {
		if !r.Kept {
			return false
		}
	}
	return true
}
