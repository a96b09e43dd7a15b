package register

import (
	"time"

	"pinelb.example/pinelb/internal/fleet/coordination"
)

// groupCheck checks the calls of one group. The revisions give the order in which the puts took effect, so that it is
// enough to check that the calls are consistent with the revisions and with real time.
type groupCheck struct {
	sim           *simulation
	calls         []*call // decided calls
	allCalls      []*call
	putByRevision map[uint64]observedPut
	revisionByPut map[observedPut]uint64
	observations  []keyObservation
}

// observedPut is a put that a call returned. Values are unique, so that it identifies the put.
type observedPut struct{ key, value string }

// keyObservation is the revision of a key that a call returned.
type keyObservation struct {
	call     *call
	key      string
	revision uint64
	isPut    bool // the call is the put that created the revision
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

// record records the puts and revisions that a call returned.
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
		c.observations = append(c.observations, keyObservation{call: k, key: o.Key, revision: r.Revision}) // 0: the key does not exist
	case o.Kind == coordination.Watch:
		for _, e := range r.Events {
			c.observePut(e.Key, e.Value, e.Revision)
			c.observations = append(c.observations, keyObservation{call: k, key: e.Key, revision: e.Revision})
		}
	}
}

// observePut checks that a revision belongs to a single put, and a put to a single revision.
func (c *groupCheck) observePut(key, value string, revision uint64) {
	put := observedPut{key, value}
	if other, exists := c.putByRevision[revision]; exists && other != put {
		c.sim.fail("revision %d is returned for %v and for %v", revision, other, put)
	}
	if other, exists := c.revisionByPut[put]; exists && other != revision {
		c.sim.fail("%v is returned with the revisions %d and %d", put, other, revision)
	}
	c.putByRevision[revision], c.revisionByPut[put] = put, revision
}

// checkKeyOrder checks that a call returns the same revision of a key as any call that ended before it started, or a
// newer one. A put must have a newer one. Events of a watch may be old, so that they are compared to later calls only.
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
				c.sim.fail("%s was at revision %d, and revision %d at %v is returned to a later call of %v", p.key, earlier.revision, p.revision,
					p.call.startedAt, p.call.operation.Kind)
			}
		}
	}
}

// checkGroupOrder checks that puts and watches return no older revision of the group than any call that ended before
// they started, and that each put has a newer one.
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
				c.sim.fail("%v was at revision %d, and a later call of %v at %v returns revision %d", k.operation.Name, earlier.result.Revision,
					k.operation.Kind, k.startedAt, k.result.Revision)
			}
		}
	}
}

// checkRejectedPut checks that no call returns a put that was rejected or not executed.
func (c *groupCheck) checkRejectedPut(k *call) {
	o := &k.operation
	if o.Kind != coordination.Put || k.certainty != NotExecuted && (k.certainty != Decided || k.result.Outcome != coordination.Mismatch) {
		return
	}
	if revision, exists := c.revisionByPut[observedPut{o.Key, o.Value}]; exists {
		c.sim.fail("%s of %v was rejected, but is returned with revision %d", o.Value, o.Name, revision)
	}
}

// checkMismatch checks that the revision in a mismatch differs from the expected one and can belong to a put of the key.
func (c *groupCheck) checkMismatch(k *call) {
	if k.result.Outcome != coordination.Mismatch {
		return
	}
	o, revision := &k.operation, k.result.Revision
	if o.IfRevision == nil || *o.IfRevision == revision {
		c.sim.fail("a put of %s was rejected for revision %d, which it expected", o.Key, revision)
	}
	if put, exists := c.putByRevision[revision]; exists && put.key != o.Key {
		c.sim.fail("a mismatch returns revision %d, which belongs to %v and not to %s", revision, put, o.Key)
	} else if !exists && revision != 0 && !c.hasUnclearPut(o.Key, k.endedAt) {
		c.sim.fail("a mismatch returns revision %d of %s, which no put can have", revision, o.Key)
	}
}

// hasUnclearPut reports whether a put of a key with an unclear outcome started at or before a time.
func (c *groupCheck) hasUnclearPut(key string, by time.Duration) bool {
	for _, k := range c.allCalls {
		if k.operation.Kind == coordination.Put && k.operation.Key == key && k.endedAt == never && k.startedAt <= by {
			return true
		}
	}
	return false
}

// checkCondition checks that the key has no revision between the one that a put expected and the one that it created.
func (c *groupCheck) checkCondition(k *call) {
	o := &k.operation
	if o.Kind != coordination.Put || !k.isDone() || o.IfRevision == nil {
		return
	}
	for revision := *o.IfRevision + 1; revision < k.result.Revision; revision++ {
		if c.putByRevision[revision].key == o.Key {
			c.sim.fail("a put of %s that expected revision %d created revision %d, but revision %d lies between them", o.Key, *o.IfRevision, k.result.Revision, revision)
		}
	}
}

// checkWatch checks that a watch returns all puts of its range of revisions in order, and that events that are younger
// than simulatedHistory have not been compacted.
func (c *groupCheck) checkWatch(k *call) {
	o, r := &k.operation, &k.result
	if o.Kind != coordination.Watch {
		return
	}
	switch r.Outcome {
	case coordination.Done:
		for i, e := range r.Events {
			if e.Revision != o.Since+1+uint64(i) {
				c.sim.fail("a watch of %v since revision %d returned revision %d as event %d", o.Name, o.Since, e.Revision, i+1)
			}
		}
		if o.Since > 0 && o.Since+uint64(len(r.Events)) != r.Revision {
			c.sim.fail("a watch of %v since revision %d returned %d events up to revision %d", o.Name, o.Since, len(r.Events), r.Revision)
		}
	case coordination.Compacted:
		next := c.putByRevision[o.Since+1]
		for _, put := range c.allCalls {
			age := time.Duration(float64(k.endedAt-put.startedAt) * (1 + 2*maxClockDrift))
			if put.operation.Kind == coordination.Put && put.operation.Value == next.value && age < simulatedHistory {
				c.sim.fail("a watch of %v since revision %d finds revision %d compacted, at most %v after the put", o.Name, o.Since, o.Since+1, age)
			}
		}
	case coordination.Pending:
		if r.Revision > o.Since {
			c.sim.fail("a watch of %v since revision %d returned no events, but revision %d", o.Name, o.Since, r.Revision)
		}
	}
}
