package loopback

import (
	"slices"
	"sync"
	"time"

	"pinelb.example/pinelb/internal/lab/model"
	"pinelb.example/pinelb/internal/lab/plan"
)

// rotation is the plain policy: no sidecars, each request to the next box of its tier's list. There is nobody
// whom discovery would tell, so the plan has no such events; instead a box is on the list by its own state,
// Discovery.Notice after its process ends or its machine vanishes, and Discovery.Add after it is up. A drain
// shows only by its end, and an entry that stays (leave) goes likewise: both flatter nobody but the plain.
type roundRobin struct {
	mu         sync.Mutex
	tiers      []tierRotation
	downFaults []int // of each box: the faults that it is down by
	plan       *plan.Plan
}

type tierRotation struct {
	endpoints []int // boxes, in order
	next      int
}

// noticed is what discovery would say of a box that has gone or come, and when.
type listChange struct {
	endpoint int
	listed   bool
	delay    time.Duration
}

func newRoundRobin(p *plan.Plan) *roundRobin {
	o := &roundRobin{plan: p, tiers: make([]tierRotation, len(p.Scenario.Tier)), downFaults: make([]int, len(p.Boxes))}
	for tier := range o.tiers {
		for _, l := range p.First(tier) {
			o.setListed(l.Box, true)
		}
	}
	return o
}

// next is the box that gets a tier's next request; -1 if the list is empty.
func (o *roundRobin) next(tier int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	rotation := &o.tiers[tier]
	if len(rotation.endpoints) == 0 {
		return -1
	}
	rotation.next = (rotation.next + 1) % len(rotation.endpoints)
	return rotation.endpoints[rotation.next]
}

// event is a step of the script. What it changes on the list is to be passed to notice after that time.
func (o *roundRobin) applyEvent(e plan.Event) (change listChange, changes bool) {
	d := &o.plan.Scenario.Discovery
	change = listChange{endpoint: e.Box, listed: e.Kind != plan.BeginFault, delay: d.Add.D()}
	if e.Kind == plan.StartBox {
		return change, true
	}
	notice := d.Notice.D()
	switch {
	case e.Kind != plan.BeginFault && e.Kind != plan.EndFault:
		return change, false
	case e.Fault.Kind == model.Vanish:
		notice = d.Silent.D()
	case e.Fault.Kind != model.Dead:
		return change, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if change.listed {
		o.downFaults[e.Box]--
		return change, o.downFaults[e.Box] == 0
	}
	o.downFaults[e.Box]++
	change.delay = notice
	return change, true
}

// notice carries out what was noticed, unless the box is not so any more.
func (o *roundRobin) applyListChange(change listChange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if change.listed == (o.downFaults[change.endpoint] == 0) {
		o.setListed(change.endpoint, change.listed)
	}
}

// list puts a box on its tier's list or takes it off. It needs the lock.
func (o *roundRobin) setListed(box int, on bool) {
	rotation := &o.tiers[o.plan.Boxes[box].Tier]
	at, there := slices.BinarySearch(rotation.endpoints, box)
	switch {
	case on && !there:
		rotation.endpoints = slices.Insert(rotation.endpoints, at, box)
	case !on && there:
		rotation.endpoints = slices.Delete(rotation.endpoints, at, at+1)
	}
}
