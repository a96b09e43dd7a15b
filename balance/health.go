// Health of single servers and of all.

package balance

// failed is a failure of a class at a server; hung is the odds that the server has said nothing.
func (b *Balancer) failed(s *server, class int, hung float64) {
	b.fleet.Failed(&s.seen, class, hung)
	s.fails++
	if (s.trial || s.fails >= ejectAfter && s.seen.Mostly()) && b.now >= s.ejected {
		b.eject(s)
	}
}

// eject leaves a server out for a while, twice as long as the last time, and then tries it gently.
func (b *Balancer) eject(s *server) {
	s.backoff = min(ejectMost, max(ejectFirst, 2*s.backoff))
	s.ejected, s.trial, s.fails, b.dirty = b.now+s.backoff, true, 0, true
}

// healthy tells whether a server is neither ejected nor silent. A vanished server shows only as
// attempts that stay out while nothing comes back.
func (b *Balancer) healthy(s *server) bool {
	if b.now < s.ejected {
		return false
	}
	return len(s.held) == 0 || !s.held[0].stuck() ||
		b.ran() < max(s.last, s.held[0].ran)+b.overdue(s.held[0].request.class)
}

// judgeFleet: when most servers look bad, the cause is shared, and none is to be avoided for it.
func (b *Balancer) judgeFleet() { b.crisis = b.unwell*2 > b.listed }
