package dissemination

import "time"

// maxTrackedSequences bounds the list of sequences that a router knows of and lacks; the oldest ones count.
const maxTrackedSequences = 64

// observedSequence is an acknowledged configuration that this router has heard of.
type observedSequence struct {
	sequence uint64
	at       time.Duration // when it was first heard of
}

// lagTracker measures for how long a router has known of a configuration that is not in force there. The zero value is ready.
type lagTracker struct {
	newest  uint64             // sequence, of all that were heard of
	missing []observedSequence // rising
}

// hear records that a configuration with a sequence has been acknowledged.
func (l *lagTracker) observe(now time.Duration, sequence uint64) {
	if sequence <= l.newest {
		return
	}
	l.newest = sequence
	if len(l.missing) < maxTrackedSequences {
		l.missing = append(l.missing, observedSequence{sequence: sequence, at: now})
	}
}

// lag returns for how long a configuration newer than the one in force has been known; 0: none is.
func (l *lagTracker) lag(now time.Duration, active uint64) time.Duration {
	for len(l.missing) > 0 && l.missing[0].sequence <= active {
		l.missing = l.missing[1:]
	}
	switch {
	case len(l.missing) > 0:
		return max(now-l.missing[0].at, 1)
	case l.newest > active: // it came while the list was full
		return 1
	}
	return 0
}
