package dissemination

import "time"

// maxTrackedSequences bounds the list of sequences that a router knows of and lacks; the oldest ones count.
const maxTrackedSequences = 64

// heardSequence is an acknowledged configuration that this router has heard of.
type heardSequence struct {
	sequence uint64
	at       time.Duration // when it was first heard of
}

// lagTracker measures for how long a router has known of a configuration that is not in force there. The zero value is ready.
type lagTracker struct {
	newest  uint64          // sequence, of all that were heard of
	missing []heardSequence // rising
}

// hear records that a configuration with a sequence has been acknowledged.
func (l *lagTracker) hear(now time.Duration, sequence uint64) {
	if sequence <= l.newest {
		return
	}
	l.newest = sequence
	if len(l.missing) < maxTrackedSequences {
		l.missing = append(l.missing, heardSequence{sequence: sequence, at: now})
	}
}

// lag returns for how long a configuration newer than the one in force has been known; 0: none is.
func (l *lagTracker) lag(now time.Duration, inForce uint64) time.Duration {
	for len(l.missing) > 0 && l.missing[0].sequence <= inForce {
		l.missing = l.missing[1:]
	}
	switch {
	case len(l.missing) > 0:
		return max(now-l.missing[0].at, 1)
	case l.newest > inForce: // it came while the list was full
		return 1
	}
	return 0
}
