// Routing: the bin of a request, and the server that its row draws.

package balance

import (
	"math"
	"slices"
)

// binOf is the request's class and the share of its aim that is spent.
func (b *Balancer) binOf(r *request) int {
	spent := 1 - float64(r.aimAt-b.now)/float64(r.class.Aim)
	k := 0
	for k < len(spentEdges) && spent > spentEdges[k] {
		k++
	}
	return r.ci*spentBuckets + k
}

// route draws from the bin's cached row, renormalised over the endpoints now eligible.
func (b *Balancer) route(r *request) *server {
	if len(b.servers) == 0 {
		return nil
	}
	held := 1 + float64(b.working)
	if held > b.whole(r) && len(r.tries) == 0 {
		return nil
	}
	// Bounded loads: while some endpoint holds less than its share, one that holds more is passed over.
	// Chance alone would crowd a server now and then, and one that is crowded turns slow and stays so.
	if s := b.draw(r, b.binOf(r), held); s != nil {
		return s
	}
	return b.draw(r, b.binOf(r), math.Inf(1))
}

// draw is one from a bin's row over those eligible that hold less than their share of held: the first of some
// draws from the whole row that is one of these, or else, where they are few, one of a look through it all.
func (b *Balancer) draw(r *request, bin int, held float64) *server {
	most := min(held, limitSlack*b.limit)
	fits := func(i int) bool {
		s := b.servers[i]
		return float64(s.working) < max(1, math.Ceil(most*b.share[i])) && b.eligible(r, s)
	}
	for range drawTries {
		if i, _ := slices.BinarySearch(b.sums[bin], b.rng.Float64()); i < len(b.servers) && fits(i) {
			return b.servers[i]
		}
	}
	drawn, total := (*server)(nil), 0.0
	for i, p := range b.table[bin] {
		if p > 0 && fits(i) {
			total += p
			if b.rng.Float64()*total < p {
				drawn = b.servers[i]
			}
		}
	}
	return drawn
}

// eligible tells whether an endpoint can take a request, by what is known this moment.
func (b *Balancer) eligible(r *request, s *server) bool {
	if !s.used || (!b.healthy(s) && !b.crisis) || (s.trial && len(s.held) > 0) {
		return false
	}
	return b.allowed(r, s) && !slices.ContainsFunc(r.tries, func(a attempt) bool { return a.server == s })
}
