package inflight

import "time"

// finishedEffect is an effect that a finished request may have had.
type finishedEffect struct {
	key string
	Update
	expiresAt time.Time
}

// recordFinished remembers what a request that is done may have done, until its retention is over.
func (t *Table) recordFinished(now time.Time, u Update) {
	expiresAt := u.SentAt.Add(u.Retention)
	if u.SentAt.IsZero() || !expiresAt.After(now) {
		return
	}
	key := u.effectKey()
	if effect := t.finished[key]; effect != nil { // a retry: endpoints count from the first attempt
		effect.Attempt = earliest(effect.Attempt, u.Attempt)
		if effect.expiresAt.Before(expiresAt) {
			effect.expiresAt = expiresAt
		}
		return
	}
	effect := &finishedEffect{key: key, Update: u, expiresAt: expiresAt}
	t.finished[key] = effect
	t.byFinish = append(t.byFinish, effect)
	if len(t.finished) > t.maxEffects {
		t.dropped++
		t.dropOldest()
	}
}

// dropExpired forgets the effects whose retention is over, as far as they came first.
func (t *Table) dropExpired(now time.Time) {
	for len(t.byFinish) > 0 && !t.byFinish[0].expiresAt.After(now) {
		t.dropOldest()
	}
}

// dropOldest forgets the effect that came first.
func (t *Table) dropOldest() {
	delete(t.finished, t.byFinish[0].key)
	t.byFinish[0] = nil // let the garbage collector have it
	t.byFinish = t.byFinish[1:]
}
