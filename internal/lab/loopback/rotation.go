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
type rotation struct {
	mu    sync.Mutex
	tiers []turn
	lost  []int // of each box: the faults that it is down by
	plan  *plan.Plan
}

type turn struct {
	listed []int // boxes, in order
	next   int
}

// noticed is what discovery would say of a box that has gone or come, and when.
type noticed struct {
	box   int
	on    bool
	after time.Duration
}

func newRotation(p *plan.Plan) *rotation {
	o := &rotation{plan: p, tiers: make([]turn, len(p.Scenario.Tier)), lost: make([]int, len(p.Boxes))}
	for tier := range o.tiers {
		for _, l := range p.First(tier) {
			o.list(l.Box, true)
		}
	}
	return o
}

// next is the box that gets a tier's next request; -1 if the list is empty.
func (o *rotation) next(tier int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := &o.tiers[tier]
	if len(t.listed) == 0 {
		return -1
	}
	t.next = (t.next + 1) % len(t.listed)
	return t.listed[t.next]
}

// event is a step of the script. What it changes on the list is to be passed to notice after that time.
func (o *rotation) event(e plan.Event) (n noticed, changes bool) {
	d := &o.plan.Scenario.Discovery
	n = noticed{box: e.Box, on: e.Kind != plan.BeginFault, after: d.Add.D()}
	if e.Kind == plan.StartBox {
		return n, true
	}
	notice := d.Notice.D()
	switch {
	case e.Kind != plan.BeginFault && e.Kind != plan.EndFault:
		return n, false
	case e.Fault.Kind == model.Vanish:
		notice = d.Silent.D()
	case e.Fault.Kind != model.Dead:
		return n, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if n.on {
		o.lost[e.Box]--
		return n, o.lost[e.Box] == 0
	}
	o.lost[e.Box]++
	n.after = notice
	return n, true
}

// notice carries out what was noticed, unless the box is not so any more.
func (o *rotation) notice(n noticed) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n.on == (o.lost[n.box] == 0) {
		o.list(n.box, n.on)
	}
}

// list puts a box on its tier's list or takes it off. It needs the lock.
func (o *rotation) list(box int, on bool) {
	t := &o.tiers[o.plan.Boxes[box].Tier]
	at, there := slices.BinarySearch(t.listed, box)
	switch {
	case on && !there:
		t.listed = slices.Insert(t.listed, at, box)
	case !on && there:
		t.listed = slices.Delete(t.listed, at, at+1)
	}
}
