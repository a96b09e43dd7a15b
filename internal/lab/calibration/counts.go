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
	countMargin = 0.15
	totalMargin = 0.01
)

// Count is what became of streams at the sidecar that took them.
type Count struct {
	Requests int
	InTarget int // answered within the class's aim, from the stream's arrival
	Late     int // answered later
	Rejected int
	Failed   int // failed, rejected, or out of time
	Canceled int // their clients left
}

// Counts are those of all streams and of each class.
type Counts struct {
	All      Count
	Classes  []Count // in the settings' order
	Names    []string
	Attempts [balance.Moot]int // by balance.Status; moot ones were none
}

// counts counts a view's streams and attempts.
func (v *history) counts() Counts {
	c := Counts{Classes: make([]Count, len(v.settings.ClassNames)), Names: v.settings.ClassNames}
	for i := range v.requests {
		s := &v.requests[i]
		for _, n := range []*Count{&c.All, &c.Classes[s.class]} {
			n.Requests++
			switch s.outcome {
			case stream.Served:
				if s.duration <= v.settings.Classes[s.class].Aim {
					n.InTarget++
				} else {
					n.Late++
				}
			case stream.Refused:
				n.Rejected++
			case stream.Gone:
				n.Canceled++
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
	Name               string
	Observed, Replayed int
	Margin             float64
	WithinMargin       bool
}

// Compare holds a rehearsal's counts against the observed ones.
func (r *Replay) Compare(c Counts) (rows []Row) {
	o := &r.Recorded.All
	for _, n := range []struct {
		what string
		a, b int
	}{{"served in aim", o.InTarget, c.All.InTarget}, {"late", o.Late, c.All.Late}, {"refused", o.Rejected, c.All.Rejected},
		{"failed", o.Failed, c.All.Failed}} {
		margin := max(countMargin*float64(n.a), totalMargin*float64(o.Requests))
		rows = append(rows, Row{n.what, n.a, n.b, margin, math.Abs(float64(n.a-n.b)) <= margin})
	}
	return rows
}

// AllWithinMargin tells whether all rows are within their margins.
func AllWithinMargin(rows []Row) bool {
	for _, r := range rows {
		if !r.WithinMargin {
			return false
		}
	}
	return true
}
