package history

import (
	"net/http"
	"time"
)

// checkWatches checks the watches of a group.
func (c *checker) checkWatches(g *groupHistory) {
	given := map[string]map[uint64]time.Duration{} // by watcher: when it was last given a revision
	for _, call := range g.calls {
		if call.Kind != Watch {
			continue
		}
		switch {
		case call.succeeded():
			c.checkEvents(g, call)
			if given[call.Caller] == nil {
				given[call.Caller] = map[uint64]time.Duration{}
			}
			given[call.Caller][call.Revision] = call.Received
		case call.Status == http.StatusGone:
			at, wasGiven := given[call.Caller][call.Since]
			if wasGiven && call.Received-at < c.history.History {
				c.broken(Lost, []*Call{call}, "a 410 for a revision that was given %.3f s before", (call.Received - at).Seconds())
			}
		}
	}
	c.checkFinalWatches(g)
}

// checkEvents checks that a watch's events rise within its span and leave out no put that is known.
func (c *checker) checkEvents(g *groupHistory, call *Call) {
	if call.Since == 0 { // only the present revision is asked for
		if len(call.Events) > 0 {
			c.broken(Order, []*Call{call}, "events came where only the present revision was asked for")
		}
		return
	}
	if call.Revision < call.Since {
		c.broken(ruleOf(call, Order), []*Call{call}, "the group's revision is below one that was given before")
		return
	}
	last, events := call.Since, map[uint64]bool{}
	for _, event := range call.Events {
		if event.Revision <= last || event.Revision > call.Revision {
			c.broken(Order, []*Call{call}, "the event of revision %d comes after %d, in an answer up to %d", event.Revision, last, call.Revision)
		}
		if !g.isInGroup(event.Name) {
			c.broken(Order, []*Call{call}, "the event of %s is not of the group", event.Name)
		}
		last, events[event.Revision] = event.Revision, true
	}
	for revision, p := range g.byRevision {
		if call.Since < revision && revision <= call.Revision && !events[revision] {
			c.broken(Order, []*Call{p.calls[0], call}, "the events pass over the put of revision %d", revision)
		}
	}
}

// checkFinalWatches checks that watches at the end reach all that was acknowledged before they were sent.
func (c *checker) checkFinalWatches(g *groupHistory) {
	var accepted []*Call
	for _, p := range g.list {
		if p.accepted != nil {
			accepted = append(accepted, p.accepted)
		}
	}
	earlier := newGivenOut(accepted, func(call *Call) uint64 { return call.Revision })
	for _, call := range g.calls {
		if call.Kind != Watch || !call.Final || !call.succeeded() {
			continue
		}
		if other := earlier.before(call.Sent); other != nil && other.Revision > call.Revision {
			c.broken(Lost, []*Call{other, call}, "a watch at the end reaches the revision %d after %d was acknowledged", call.Revision, other.Revision)
		}
	}
}
