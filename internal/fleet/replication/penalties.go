package replication

import "time"

// maxPenaltyFactor is the maximum duration of a penalty, as a multiple of the first one.
const maxPenaltyFactor = 8

// penalties keep slow replicas from being chosen as members, and from being added as witnesses, for a time that doubles
// with each penalty.
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

// add penalizes a replica. The first penalty lasts for initial. A penalty that has not expired is neither extended nor
// doubled.
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
