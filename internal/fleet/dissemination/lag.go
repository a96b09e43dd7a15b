package dissemination

import "time"

// maxTrackedSequences bounds the tracked sequences. The oldest are tracked, since the lag is measured from the oldest.
const maxTrackedSequences = 64

// observedSequence is the sequence of an acknowledged configuration that this router was notified of.
type observedSequence struct {
	sequence uint64
	at       time.Duration // time of the first notification
}

// lagTracker measures how long ago a router was notified of a configuration that is not yet active. The zero value is ready for use.
type lagTracker struct {
	newest  uint64             // newest sequence observed
	missing []observedSequence // not yet active, in ascending order
}

// observe records a notification that the configuration with a sequence has been acknowledged.
func (l *lagTracker) observe(now time.Duration, sequence uint64) {
	if sequence <= l.newest {
		return
	}
	l.newest = sequence
	if len(l.missing) < maxTrackedSequences {
		l.missing = append(l.missing, observedSequence{sequence: sequence, at: now})
	}
}

// lag returns the time since the first notification of a configuration newer than the active sequence; 0: there is none.
func (l *lagTracker) lag(now time.Duration, active uint64) time.Duration {
	for len(l.missing) > 0 && l.missing[0].sequence <= active {
		l.missing = l.missing[1:]
	}
	switch {
	case len(l.missing) > 0:
		return max(now-l.missing[0].at, 1)
	case l.newest > active: // it was observed while the list was full, so its time is not known
		return 1
	}
	return 0
}
