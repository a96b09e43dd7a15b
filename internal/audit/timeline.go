package audit

import (
	"pinelb.example/pinelb/internal/auditlog"
	"pinelb.example/pinelb/internal/version"
)

const (
	unknownClockSkew = version.Millis(5000)   // of the clock of a machine that can't be reached
	minRebootStep    = version.Millis(60_000) // of the wall clock, between two incarnations; a clock is seldom set by more
)

// TimedEntry is an entry on the auditor's time line.
type TimedEntry struct {
	auditlog.Entry
	Time        version.Millis `json:"time_ms"`   // Unix time by the auditor's clock
	Uncertainty version.Millis `json:"within_ms"` // of Time, in either direction
}

// clockSample relates a sidecar's clocks to the auditor's: at Time its wall clock showed Wall, and the one since its machine's
// start Up.
type clockSample struct {
	Time, Uncertainty version.Millis
	Wall, Up          version.Millis // Up 0: unknown
}

// placeOnTimeline puts entries, in their order, on the time line. Where the clock since the machine's start is known it alone
// counts, for it isn't set: a step of the wall clock between two entries moves neither. Over a start of the machine, which
// shows by that clock going back or, between two incarnations, by a step of at least minRebootStep, the wall clock counts.
func placeOnTimeline(entries []auditlog.Entry, a clockSample) []TimedEntry {
	out := make([]TimedEntry, len(entries))
	shift, wall, up, incarnation := a.Time-a.Wall, a.Wall, a.Up, ""
	for i := len(entries) - 1; i >= 0; i-- {
		e := entries[i]
		if e.Up > 0 {
			if step := (wall - e.At) - (up - e.Up); up > 0 && e.Up <= up && !(incarnation != "" && e.Incarnation != incarnation && max(step, -step) > minRebootStep) {
				shift += step
			}
			wall, up = e.At, e.Up
		}
		incarnation = e.Incarnation
		out[i] = TimedEntry{Entry: e, Time: e.At + shift, Uncertainty: a.Uncertainty}
	}
	return out
}
