package replication

import "time"

// maxPenaltyFactor bounds a penalty, as a multiple of the first one.
const maxPenaltyFactor = 8

// penalties keep slow replicas out of the members, and out of the witnesses that are added, for a while that doubles with
// each penalty.
type penalties map[Replica]*penalty

type penalty struct {
	until   time.Duration
	backoff time.Duration
}

// includes reports whether a replica is penalized at a time.
func (p penalties) includes(r Replica, now time.Duration) bool {
	last := p[r]
	return last != nil && now < last.until
}

// add penalizes a replica, for the first time for initial. A penalty that still runs stays as it is.
func (p penalties) add(r Replica, now, initial time.Duration) {
	if p.includes(r, now) {
		return
	}
	last := p[r]
	if last == nil {
		last = &penalty{backoff: initial / 2}
		p[r] = last
	}
	last.backoff = min(2*last.backoff, maxPenaltyFactor*initial)
	last.until = now + last.backoff
}
