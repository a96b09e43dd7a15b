package history

import (
	"net/http"
	"strings"
)

// checkGroup checks the calls of one group of cells.
func (c *checker) checkGroup(name string, calls []*Call) {
	g := newGroupHistory(name, calls)
	c.checkShown(g)
	c.checkPutRevisions(g)
	c.checkPutOrder(g)
	c.checkConditions(g)
	c.checkMismatches(g)
	c.checkReads(g)
	c.checkWatches(g)
	c.checkGroupLinearizable(g)
}

// checkShown checks each value that is shown, and learns the revisions of puts without a clear answer from it.
func (c *checker) checkShown(g *groupHistory) {
	for _, s := range g.shown {
		p := g.puts[putIdentity{s.Name, s.Value}]
		switch {
		case p == nil || p.sent() > s.by.Received:
			c.broken(Mixed, []*Call{s.by}, "%s shows %q, which nobody has put there", s.Name, short(s.Value))
			continue
		case p.rejected != nil:
			c.broken(Refused, []*Call{p.rejected, s.by}, "%s shows %q, whose put was rejected", s.Name, short(s.Value))
		}
		switch {
		case p.revision == 0:
			p.revision, p.shown = s.Revision, s.by.Received
		case p.revision != s.Revision:
			c.broken(Mixed, []*Call{p.calls[0], s.by}, "%s shows %q under the revisions %d and %d", s.Name, short(s.Value), p.revision, s.Revision)
		}
		p.shown = min(p.shown, s.by.Received)
	}
}

// checkPutRevisions finds a put with two revisions, and a revision with two puts.
func (c *checker) checkPutRevisions(g *groupHistory) {
	for _, p := range g.list {
		for _, call := range p.calls {
			if call.succeeded() && call.Revision != p.revision {
				c.broken(Order, []*Call{p.accepted, call}, "the repeated put got the revision %d after %d", call.Revision, p.revision)
			}
		}
		if p.revision == 0 {
			continue
		}
		if other := g.byRevision[p.revision]; other != nil {
			c.broken(Order, []*Call{other.calls[0], p.calls[0]}, "the revision %d was given twice", p.revision)
		}
		g.byRevision[p.revision] = p
	}
}

// checkPutOrder finds a put whose revision is not above one that was given out before the put was sent.
func (c *checker) checkPutOrder(g *groupHistory) {
	var given []*Call
	for _, call := range g.calls {
		if call.succeeded() || call.Status == http.StatusPreconditionFailed {
			given = append(given, call)
		}
	}
	earlier := newGivenOut(given, func(call *Call) uint64 { return call.Revision })
	for _, p := range g.list {
		if p.revision == 0 {
			continue
		}
		if other := earlier.before(p.sent()); other != nil && other.Revision >= p.revision {
			c.broken(ruleOf(p.calls[0], Order), []*Call{other, p.calls[0]}, "the revision %d was given after %d", p.revision, other.Revision)
		}
	}
}

// checkConditions finds a put that succeeded over a later revision than its ifRevision.
func (c *checker) checkConditions(g *groupHistory) {
	for _, p := range g.list {
		if p.ifRevision == nil || p.revision == 0 {
			continue
		}
		for _, other := range g.list {
			if other.key == p.key && *p.ifRevision < other.revision && other.revision < p.revision {
				c.broken(Order, []*Call{other.calls[0], p.calls[0]}, "the put of revision %d succeeded over the revision %d", p.revision, other.revision)
			}
		}
	}
}

// checkMismatches finds a 412 that names a revision which no put gave the key, or the revision that was asked for. A put without a clear
// answer that no answer shows may have any revision, one each.
func (c *checker) checkMismatches(g *groupHistory) {
	unseen := map[string]int{}
	for _, p := range g.list {
		if p.isUnclear() && p.revision == 0 {
			unseen[p.key]++
		}
	}
	type named struct {
		key      string
		revision uint64
	}
	unexplained := map[named]bool{}
	for _, call := range g.calls {
		if call.Status != http.StatusPreconditionFailed {
			continue
		}
		if call.IfRevision == nil || *call.IfRevision == call.Revision {
			c.broken(Mixed, []*Call{call}, "a put was rejected although its condition held")
			continue
		}
		p := g.byRevision[call.Revision]
		if call.Revision == 0 || p != nil && p.key == call.Name && p.sent() < call.Received {
			continue
		}
		answer := named{call.Name, call.Revision}
		if unexplained[answer] {
			continue
		}
		unexplained[answer] = true
		unseen[call.Name]--
		if p != nil || unseen[call.Name] < 0 {
			c.broken(Mixed, []*Call{call}, "a 412 names the revision %d, which no put gave the key", call.Revision)
		}
	}
}

// checkReads finds a read that shows less than was acknowledged before it was sent. A 404 is revision 0.
func (c *checker) checkReads(g *groupHistory) {
	accepted := map[string][]*Call{}
	for _, p := range g.list {
		if p.accepted != nil {
			accepted[p.key] = append(accepted[p.key], p.accepted)
		}
	}
	earlier := map[string]*givenOut{}
	for key, calls := range accepted {
		earlier[key] = newGivenOut(calls, func(call *Call) uint64 { return call.Revision })
	}
	for _, call := range g.calls {
		if call.Kind != Get || !call.succeeded() && call.Status != http.StatusNotFound || earlier[call.Name] == nil {
			continue
		}
		if other := earlier[call.Name].before(call.Sent); other != nil && other.Revision > call.Revision {
			c.broken(ruleOf(call, Stale), []*Call{other, call}, "a read shows the revision %d after %d was acknowledged", call.Revision, other.Revision)
		}
	}
}

// isInGroup reports whether a key belongs to a group.
func (g *groupHistory) isInGroup(key string) bool { return strings.HasPrefix(key, g.name) }
