// The list of endpoints.

package balance

import "time"

func (b *Balancer) onMembership(ev *Event) {
	if ev.List == ListFailed {
		b.subscribed = false
		b.askFails++
		wait := min(b.set.MustAskIn/4, 250*time.Millisecond<<min(b.askFails, 5))
		b.askAt = b.now + wait/2 + b.jitter(wait)
		return
	}
	if ev.List != ListCached {
		b.subscribed, b.askFails = true, 0
	}
	if ev.List != ListDelta { // what a whole list leaves out is gone
		for _, s := range b.byID {
			s.State, s.listed = Gone, false
		}
	}
	for _, e := range ev.Entries {
		b.update(e)
	}
	b.relist()
	b.dirty = true
}

// choose picks the endpoints that this instance uses: of a large fleet it would otherwise send each server
// too few calls to learn from, and all of them together fill every connection table. They are the first in an
// order of its own, hashed from its name and theirs, so that no number is needed and one more or less of them
// changes little; where it has no name, they are a stretch of the order of all, from its rank on.
func (b *Balancer) choose() {
	b.ready = ring(b.byID, b.own)
	n, first := len(b.ready), 0
	if b.own == 0 {
		first = b.set.Rank * n / b.set.Instances
	}
	b.followAble()
	want := max(usedLeast, (usersWanted*n+b.set.Instances-1)/b.set.Instances)
	b.users = b.set.sharers() * float64(min(n, want)) / float64(max(1, n))
	good := 0
	for i := range n {
		s := b.ready[(first+i)%n]
		s.used = good < want && i < 2*want
		if !s.trial || b.crisis { // one written off stays for its trial, and the next stands in
			good++
		}
	}
}

// update takes over one entry of a list.
func (b *Balancer) update(e Entry) {
	s := b.byID[e.Endpoint]
	told := e.UpSince
	switch {
	case s == nil && e.State == Gone:
		return
	case s != nil && s.Guess && !e.Guess && told == s.told: // as old as was guessed
	case s != nil && (told <= s.UpSince || told == s.told): // missing or moved back: no warmer for that
		e.UpSince = s.UpSince
	default: // a new process, and what was learned of an old one is void. None starts in the future
		e.UpSince = min(told, b.now)
		if s == nil {
			s = &server{}
			b.byID[e.Endpoint] = s
		}
		if *s = (server{held: s.held, told: told}); e.Guess {
			e.UpSince = b.now
		}
	}
	s.Entry, s.listed = e, e.State == Ready && !b.cordoned[e.Endpoint]
	k := groupKey{e.Kind, e.Weight}
	if b.groups[k] == nil {
		b.groups[k] = &group{}
	}
	s.group = b.groups[k]
}

// askDiscovery subscribes, and again after a failure, well before the list counts as old.
func (b *Balancer) askDiscovery() {
	if b.set.MustAsk && !b.subscribed && b.now >= b.askAt {
		b.askAt = b.now + b.set.MustAskIn/2
		b.do(Action{Kind: ActWatch})
	}
}
