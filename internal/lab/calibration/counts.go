package calibration

import (
	"math"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/stream"
)

// The margin of each count of a replay: a share of the count, or of all requests, whichever is more. A play of the recorded
// endpoints themselves with other draws is off by up to two thirds of that for the scenario bad-morning, and by a little
// more than it where some 150 requests in all were rejected.
const (
	countMargin = 0.15
	totalMargin = 0.01
)

// Count counts requests by their outcome at the sidecar that accepted them.
type Count struct {
	Requests int
	InTarget int // served within the class's target latency, from the request's arrival
	Late     int // served later
	Rejected int
	Failed   int // failed, rejected, or out of time
	Canceled int // by their clients
}

// Counts are the counts of all requests and of each class.
type Counts struct {
	All      Count
	Classes  []Count // in the settings' order
	Names    []string
	Attempts [balance.NotSent]int // by balance.Status, but for those that were not sent
}

// counts counts the requests and attempts.
func (v *history) counts() Counts {
	c := Counts{Classes: make([]Count, len(v.settings.ClassNames)), Names: v.settings.ClassNames}
	for i := range v.requests {
		s := &v.requests[i]
		for _, n := range []*Count{&c.All, &c.Classes[s.class]} {
			n.Requests++
			switch s.outcome {
			case stream.Served:
				if s.duration <= v.settings.Classes[s.class].TargetLatency {
					n.InTarget++
				} else {
					n.Late++
				}
			case stream.RejectedLocally:
				n.Rejected++
			case stream.ClientGone:
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

// Row is one count of the record beside the replay's.
type Row struct {
	Name               string
	Recorded, Replayed int
	Margin             float64
	WithinMargin       bool
}

// Compare compares the counts of a play with the recorded ones.
func (r *Replay) Compare(c Counts) (rows []Row) {
	recorded, replayed := &r.Recorded.All, &c.All
	add := func(name string, recordedCount, replayedCount int) {
		margin := max(countMargin*float64(recordedCount), totalMargin*float64(recorded.Requests))
		difference := math.Abs(float64(recordedCount - replayedCount))
		rows = append(rows, Row{name, recordedCount, replayedCount, margin, difference <= margin})
	}
	add("served in aim", recorded.InTarget, replayed.InTarget)
	add("late", recorded.Late, replayed.Late)
	add("refused", recorded.Rejected, replayed.Rejected)
	add("failed", recorded.Failed, replayed.Failed)
	return rows
}

// AllWithinMargin reports whether all rows are within their margins.
func AllWithinMargin(rows []Row) bool {
	for _, r := range rows {
		if !r.WithinMargin {
			return false
		}
	}
	return true
}
