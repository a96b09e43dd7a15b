package register

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/coordination"
)

// groupCheck checks the calls of one group. Its revisions say in which order the puts took effect, so that the calls need only agree with
// them and with the time.
type groupCheck struct {
	sim           *simulation
	calls         []*call // decided
	allCalls      []*call
	putByRevision map[uint64]observedPut
	revisionByPut map[observedPut]uint64
	observations  []keyObservation
}

// observedPut is a put as it was shown. Values are written once.
type observedPut struct{ key, value string }

// point says that a call found a key at a revision.
type keyObservation struct {
	call     *call
	key      string
	revision uint64
	isPut    bool // the call made it
}

func (s *simulation) checkGroup(name coordination.Name) {
	c := &groupCheck{sim: s, calls: s.history.decidedCalls(name), putByRevision: map[uint64]observedPut{}, revisionByPut: map[observedPut]uint64{}}
	for _, k := range s.history.calls {
		if k.operation.Name == name {
			c.allCalls = append(c.allCalls, k)
		}
	}
	for _, k := range c.calls {
		c.record(k)
	}
	c.checkKeyOrder()
	c.checkGroupOrder()
	for _, k := range c.allCalls {
		c.checkRejectedPut(k)
	}
	for _, k := range c.calls {
		c.checkMismatch(k)
		c.checkCondition(k)
		c.checkWatch(k)
	}
}

// record takes over what a call has shown.
func (c *groupCheck) record(k *call) {
	o, r := &k.operation, &k.result
	switch {
	case r.Outcome == coordination.Full:
		c.sim.fail("%v is full", o.Name)
	case o.Kind == coordination.Put && r.Outcome == coordination.Done:
		c.observePut(o.Key, o.Value, r.Revision)
		c.observations = append(c.observations, keyObservation{call: k, key: o.Key, revision: r.Revision, isPut: true})
	case o.Kind == coordination.Put, o.Kind == coordination.Get:
		if r.Outcome == coordination.Done {
			c.observePut(o.Key, r.Value, r.Revision)
		}
		c.observations = append(c.observations, keyObservation{call: k, key: o.Key, revision: r.Revision}) // 0: there is none
	case o.Kind == coordination.Watch:
		for _, e := range r.Events {
			c.observePut(e.Key, e.Value, e.Revision)
			c.observations = append(c.observations, keyObservation{call: k, key: e.Key, revision: e.Revision})
		}
	}
}

// show: a revision is one put, and a put has one revision.
func (c *groupCheck) observePut(key, value string, revision uint64) {
	put := observedPut{key, value}
	if other, shown := c.putByRevision[revision]; shown && other != put {
		c.sim.fail("revision %d is shown with %v and with %v", revision, other, put)
	}
	if other, shown := c.revisionByPut[put]; shown && other != revision {
		c.sim.fail("%v is shown under the revisions %d and %d", put, other, revision)
	}
	c.putByRevision[revision], c.revisionByPut[put] = put, revision
}

// checkKeyOrder: whoever comes after an answer finds what that found, or something newer. A put is newer than all before it. Events are
// in the past of their watch: they bind later calls only.
func (c *groupCheck) checkKeyOrder() {
	for _, p := range c.observations {
		if p.call.operation.Kind == coordination.Watch {
			continue
		}
		for _, earlier := range c.observations {
			if earlier.key != p.key || !earlier.call.precedes(p.call) {
				continue
			}
			if p.revision < earlier.revision || p.isPut && p.revision == earlier.revision {
				c.sim.fail("%s was at revision %d, and %d at %v is shown to a later call of %v", p.key, earlier.revision, p.revision,
					p.call.startedAt, p.call.operation.Kind)
			}
		}
	}
}

// checkGroupOrder: puts and watches find the group no older than any call before them found it.
func (c *groupCheck) checkGroupOrder() {
	for _, k := range c.calls {
		isPut := k.operation.Kind == coordination.Put && k.result.Outcome == coordination.Done
		isWatch := k.operation.Kind == coordination.Watch && k.result.Outcome != coordination.Compacted
		if !isPut && !isWatch {
			continue
		}
		for _, earlier := range c.calls {
			if !earlier.precedes(k) {
				continue
			}
			if k.result.Revision < earlier.result.Revision || isPut && k.result.Revision == earlier.result.Revision {
				c.sim.fail("%v was at revision %d, and a later call of %v at %v finds %d", k.operation.Name, earlier.result.Revision,
					k.operation.Kind, k.startedAt, k.result.Revision)
			}
		}
	}
}

// checkRejectedPut: a put that was refused is never shown.
func (c *groupCheck) checkRejectedPut(k *call) {
	o := &k.operation
	if o.Kind != coordination.Put || k.certainty != NotExecuted && (k.certainty != Decided || k.result.Outcome != coordination.Mismatch) {
		return
	}
	if revision, shown := c.revisionByPut[observedPut{o.Key, o.Value}]; shown {
		c.sim.fail("%s of %v was refused, and is shown under revision %d", o.Value, o.Name, revision)
	}
}

// checkMismatch: the revision that a refusal names is not the one that was asked for, and some put of the key has it.
func (c *groupCheck) checkMismatch(k *call) {
	if k.result.Outcome != coordination.Mismatch {
		return
	}
	o, revision := &k.operation, k.result.Revision
	if o.IfRevision == nil || *o.IfRevision == revision {
		c.sim.fail("a put of %s was refused for revision %d, which it asked for", o.Key, revision)
	}
	if put, shown := c.putByRevision[revision]; shown && put.key != o.Key {
		c.sim.fail("a refusal names revision %d, which is of %v and not of %s", revision, put, o.Key)
	} else if !shown && revision != 0 && !c.hasUnclearPut(o.Key, k.endedAt) {
		c.sim.fail("a refusal names revision %d of %s, which no put can have", revision, o.Key)
	}
}

// hasUnclearPut reports whether some put of a key was sent by then whose outcome nobody knows.
func (c *groupCheck) hasUnclearPut(key string, by time.Duration) bool {
	for _, k := range c.allCalls {
		if k.operation.Kind == coordination.Put && k.operation.Key == key && k.endedAt == never && k.startedAt <= by {
			return true
		}
	}
	return false
}

// checkCondition: between the revision that a put asked for and its own, the key has no other.
func (c *groupCheck) checkCondition(k *call) {
	o := &k.operation
	if o.Kind != coordination.Put || !k.isDone() || o.IfRevision == nil {
		return
	}
	for revision := *o.IfRevision + 1; revision < k.result.Revision; revision++ {
		if c.putByRevision[revision].key == o.Key {
			c.sim.fail("a put of %s on top of revision %d has %d, and %d is between", o.Key, *o.IfRevision, k.result.Revision, revision)
		}
	}
}

// checkWatch: events are all puts of their span in order, and none is withheld that is younger than the history.
func (c *groupCheck) checkWatch(k *call) {
	o, r := &k.operation, &k.result
	if o.Kind != coordination.Watch {
		return
	}
	switch r.Outcome {
	case coordination.Done:
		for i, e := range r.Events {
			if e.Revision != o.Since+1+uint64(i) {
				c.sim.fail("a watch of %v since %d has %d as event %d", o.Name, o.Since, e.Revision, i+1)
			}
		}
		if o.Since > 0 && o.Since+uint64(len(r.Events)) != r.Revision {
			c.sim.fail("a watch of %v since %d has %d events up to %d", o.Name, o.Since, len(r.Events), r.Revision)
		}
	case coordination.Compacted:
		next := c.putByRevision[o.Since+1]
		for _, put := range c.allCalls {
			age := time.Duration(float64(k.endedAt-put.startedAt) * (1 + 2*maxClockDrift))
			if put.operation.Kind == coordination.Put && put.operation.Value == next.value && age < simulatedHistory {
				c.sim.fail("a watch of %v since %d is told that revision %d is gone, at most %v after it was put", o.Name, o.Since, o.Since+1, age)
			}
		}
	case coordination.Pending:
		if r.Revision > o.Since {
			c.sim.fail("a watch of %v since %d got no events, and revision %d", o.Name, o.Since, r.Revision)
		}
	}
}
