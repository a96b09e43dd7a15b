package audit

import (
	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/version"
)

const (
	apart      = version.Millis(5000)   // how far the clock of a machine that can't be asked may be off
	rebootStep = version.Millis(60_000) // from one life to the next; a clock is seldom set by more
)

// Placed is an entry on the auditor's time line.
type Placed struct {
	auditlog.Entry
	Time   version.Millis `json:"time_ms"`   // Unix time by the auditor's clock,
	Within version.Millis `json:"within_ms"` // give or take that
}

// anchor ties a sidecar's clocks to the auditor's: at Time its wall clock said Wall, and the one since its machine's start Up.
type anchor struct {
	Time, Within version.Millis
	Wall, Up     version.Millis // Up 0: not known
}

// place puts entries, in their order, on the time line. Where the clock since the machine's start is known it alone counts:
// nobody sets that one, so that a step of the wall clock between two entries moves neither. Over a start of the machine, which
// shows by that clock going back or, from one life to the next, by a step that nobody sets a clock by, the wall clock counts.
func place(entries []auditlog.Entry, a anchor) []Placed {
	out := make([]Placed, len(entries))
	shift, wall, up, life := a.Time-a.Wall, a.Wall, a.Up, ""
	for i := len(entries) - 1; i >= 0; i-- {
		e := entries[i]
		if e.Up > 0 {
			if step := (wall - e.At) - (up - e.Up); up > 0 && e.Up <= up && !(life != "" && e.Incarnation != life && max(step, -step) > rebootStep) {
				shift += step
			}
			wall, up = e.At, e.Up
		}
		life = e.Incarnation
		out[i] = Placed{Entry: e, Time: e.At + shift, Within: a.Within}
	}
	return out
}
