package version

import (
	"encoding/binary"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"
)

// The search: a fleet of three, of which one may be shut out, two auditors and three lists, all by the code that is deployed. Each
// state is tried with each fault, breadth first, up to so many faults and so many ticks; a state that has been seen is not gone
// into again. What has to hold is looked at after each fault and four times a tick. Bigger fleets are played at random.
const (
	auditors = 2
	tick     = 4 * time.Second // less than a ticket's time, so that one auditor's last and another's first are seen together
	maxPool  = 3
	skew     = maxClockSkew / 2 // of each wall clock, to either side
)

// lists are what the list service tells, one after the other; the last one after it has restarted and counts from 1 again.
var lists = [3]Version{{List: List{Revision: 5, Digest: 1}}, {List: List{Revision: 6, Digest: 2}}, {List: List{Revision: 1, Digest: 3}}}

type sidecar struct {
	actor             Actor
	zone              string
	wall              time.Duration // before the true time
	incarnationNumber int
	version           int
	cut               bool // from the list service
	stopped           bool
	links             [auditors]bool

	// What the judge knows, by the orders that the sidecar said it took.
	floor  *MinimumVersion
	lapses time.Duration
	under  bool
	ripe   time.Duration // when the least grace is over of the floors under which it has been since it came under one
	ticket time.Duration // when the last one was taken; 0 is none of this floor
	issued Millis
	sure   time.Duration // the ticket is valid up to then at least
}

type simulation struct {
	now      time.Duration
	newest   int
	share    float64
	sidecars []sidecar
	auditors [auditors]*Auditor // nil: not there
	walls    [auditors]time.Duration
	delay    [auditors]bool // its orders of the next round are under way for long
	pool     []delayedOrder
	lives    int
}

type delayedOrder struct {
	to int
	o  Order
}

func auditorName(i int) string { return string(rune('a' + i)) }

func (w *simulation) begin(n int) {
	w.auditors[n] = NewAuditor(Rules{By: auditorName(n), Site: "s", Share: w.share, Grace: 3 * time.Second, Validity: time.Minute, RaisesMinimum: true, IssuesPermits: true}, 0)
}

func (w *simulation) clone() *simulation {
	c := *w
	c.pool, c.sidecars = slices.Clone(w.pool), slices.Clone(w.sidecars)
	for i, a := range w.auditors {
		if a == nil {
			continue
		}
		b := *a
		b.sidecars, b.reservations = make(map[string]*sidecarRecord, len(a.sidecars)), make(map[string]reservation, len(a.reservations))
		for n, k := range a.sidecars {
			v := *k
			b.sidecars[n] = &v
		}
		for n, h := range a.reservations {
			b.reservations[n] = h
		}
		c.auditors[i] = &b
	}
	return &c
}

// hash tells states apart, by what lies how long ago or ahead, and not by what the clock says.
func (w *simulation) hash() uint64 {
	b := make([]byte, 0, 1024)
	num := func(ns ...int64) {
		for _, n := range ns {
			b = binary.AppendVarint(b, n)
		}
	}
	at := func(ts ...time.Duration) {
		for _, t := range ts {
			d := int64(1 << 20) // never
			if t != never && t != 0 {
				d = max(-80_000, min(int64((t-w.now)/time.Millisecond), 80_000))
			}
			num(d)
		}
	}
	yes := func(vs ...bool) {
		for _, v := range vs {
			if v {
				b = append(b, 1)
			} else {
				b = append(b, 0)
			}
		}
	}
	floor := func(f *MinimumVersion) {
		if f == nil {
			num(-1)
			return
		}
		num(int64(f.Epoch), int64(f.By[0]), int64(f.List), f.Revision)
	}
	ticket := func(t *Permit) {
		if t == nil {
			num(-1)
			return
		}
		num(int64(t.Number))
		at(t.Issued.D())
	}
	num(int64(w.newest))
	for i := range w.sidecars {
		s, a := &w.sidecars[i], &w.sidecars[i].actor
		num(int64(s.version), int64(a.epoch), int64(len(a.by)))
		b = append(b, a.by...)
		yes(s.wall > 0, s.cut, s.stopped, s.links[0], s.links[1], s.under, a.belowMinimum, a.resuming, a.listRequests.wanted)
		floor(s.floor)
		floor(a.minimum)
		ticket(a.permit)
		at(s.ripe, s.lapses, s.ticket, s.sure, a.minimumExpiry, a.graceEnd, a.permitExpiry, a.lastHeartbeat, a.listRequests.next)
		if a.resuming {
			at(a.resumedAt)
		}
	}
	for i, a := range w.auditors {
		yes(a != nil, w.delay[i], w.walls[i] > 0)
		if a == nil {
			continue
		}
		num(int64(a.epoch), int64(a.firstEpoch))
		at(a.raisedAt, a.changedAt)
		yes(a.superseded != "")
		floor(a.minimum)
		for j := range w.sidecars {
			if k := a.sidecars[strconv.Itoa(j)]; k != nil {
				yes(k.incarnation == incarnationName(w.sidecars[j].incarnationNumber))
				yes(k.incarnation == "")
				num(k.revision)
				at(k.followsSince, k.behindSince, k.belowSince)
			}
			if h, ok := a.reservations[strconv.Itoa(j)]; ok {
				num(int64(h.number))
				at(h.expiry)
			} else {
				num(-2)
			}
		}
	}
	for _, l := range w.pool {
		num(int64(l.to))
		floor(&l.o.Minimum)
		ticket(l.o.Permit)
	}
	return xxhash.Sum64(b)
}

func incarnationName(n int) string { return strconv.Itoa(n + 1) }

func (w *simulation) start(i, version int, epoch uint64, by string) {
	s := &w.sidecars[i]
	w.lives++
	s.incarnationNumber, s.version, s.stopped, s.floor, s.under, s.ticket, s.sure = w.lives, version, false, nil, false, 0, 0
	s.actor = *NewActor(w.now, Limits{Site: "s", Share: w.share, Instances: len(w.sidecars), Rank: i}, nil, epoch, by)
	s.actor.Adopt(w.now, lists[version])
}

// deliver hands over an order, and notes what the sidecar says of it.
func (w *simulation) deliver(l delayedOrder) error {
	s := &w.sidecars[l.to]
	epoch, by := s.actor.LastOrder()
	if err := s.actor.Accept(w.now, w.now+s.wall, l.o); err != nil {
		return nil
	}
	f := l.o.Minimum
	if compare(f.Epoch, f.By, epoch, by) < 0 {
		return fmt.Errorf("sidecar %d took epoch %d by %s after %d by %s", l.to, f.Epoch, f.By, epoch, by)
	}
	if s.floor == nil || compare(f.Epoch, f.By, s.floor.Epoch, s.floor.By) != 0 {
		s.under = s.under && w.now < s.lapses
		s.floor, s.lapses, s.ticket, s.issued, s.sure = &f, w.now+f.Validity.D(), 0, 0, 0
		if end := w.now + f.Grace.D(); s.under {
			s.ripe = min(s.ripe, end)
		}
	}
	if t := l.o.Permit; t != nil && t.Issued > s.issued {
		s.ticket, s.issued, s.sure = w.now, t.Issued, 0
		if w.now+s.wall-t.Issued.D() <= maxClockSkew {
			s.sure = w.now + t.Validity.D()
		}
	}
	w.look(l.to)
	return nil
}

// look keeps the judge's view of whether a sidecar is under its floor.
func (w *simulation) look(i int) {
	s := &w.sidecars[i]
	v := lists[s.version].List
	under := s.floor != nil && w.now < s.lapses && v.Digest != s.floor.List && v.Revision <= s.floor.Revision
	if under && !s.under {
		s.ripe = w.now + s.floor.Grace.D()
	}
	s.under = under
}

func (w *simulation) adopt(i, version int) {
	s := &w.sidecars[i]
	s.version = version
	s.actor.Adopt(w.now, lists[version])
	s.actor.ConfirmList(w.now, w.now)
	w.look(i)
}

// check is what has to hold at all times.
func (w *simulation) check() error {
	shut, size, shutIn := 0, map[string]int{}, map[string]int{}
	for i := range w.sidecars {
		s := &w.sidecars[i]
		size[s.zone]++
		v := s.actor.Verdict(w.now)
		if v.State == ShutOut {
			shut++
			shutIn[s.zone]++
			if !s.under {
				return fmt.Errorf("sidecar %d is shut out, and is up to date", i)
			}
			if s.ticket == 0 || w.now >= s.ticket+maxPermitValidity {
				return fmt.Errorf("sidecar %d is shut out, and nobody has said so for %s", i, w.now-s.ticket)
			}
		}
		if s.under && w.now >= s.ripe && w.now < min(s.sure, s.lapses) && v.AcceptsStreams() {
			return fmt.Errorf("sidecar %d acts (%+v) under the floor after its grace, with a ticket", i, v)
		}
	}
	if maxShut := min(w.share*float64(len(w.sidecars)), float64(len(w.sidecars)-1)); float64(shut) > maxShut+1e-9 {
		return fmt.Errorf("%d are shut out, %g may be", shut, maxShut)
	}
	for zone, n := range shutIn {
		if maxShut := w.share * float64(size[zone]); float64(n) > maxShut+1e-9 {
			return fmt.Errorf("%d are shut out in zone %s, %g may be", n, zone, maxShut)
		}
	}
	return nil
}

// tick lets time go on, and then has each auditor make a round and each sidecar hear of the newest list.
func (w *simulation) tick() error {
	for range 4 {
		w.now += tick / 4
		for i := range w.sidecars {
			if s := &w.sidecars[i]; !s.stopped {
				s.actor.Heartbeat(w.now)
			}
		}
		if err := w.check(); err != nil {
			return err
		}
	}
	for n, a := range w.auditors {
		if a == nil {
			continue
		}
		fleet := make([]Observation, len(w.sidecars))
		for i := range w.sidecars {
			s := &w.sidecars[i]
			fleet[i] = Observation{Name: strconv.Itoa(i), Zone: s.zone, Reached: s.links[n] && !s.stopped, AnsweredAt: w.now, Incarnation: incarnationName(s.incarnationNumber), Site: "s", Instances: len(w.sidecars),
				Version: s.actor.current, Minimum: s.actor.Minimum(w.now), State: s.actor.Verdict(w.now).State}
		}
		round := a.Round(w.now, w.now+w.walls[n], fleet, &Reference{List: lists[w.newest].List, RequestedAt: w.now})
		for _, o := range round.Orders {
			to, _ := strconv.Atoi(o.Name)
			l := delayedOrder{to, o.Order}
			if !w.delay[n] {
				if err := w.deliver(l); err != nil {
					return err
				}
			} else if len(w.pool) < maxPool {
				w.pool = append(w.pool, l)
			}
		}
		w.delay[n] = false
	}
	for i := range w.sidecars {
		if s := &w.sidecars[i]; !s.stopped && !s.cut {
			w.adopt(i, w.newest)
		}
	}
	return w.check()
}

// fault is what may happen between two ticks. It says whether it could happen.
type fault struct {
	name string
	does func(w *simulation) (bool, error)
}

func faults(sidecars int) (out []fault) {
	add := func(name string, does func(w *simulation) bool) {
		out = append(out, fault{name, func(w *simulation) (bool, error) { return does(w), nil }})
	}
	for i := range sidecars {
		add(fmt.Sprint("link of the list service and ", i), func(w *simulation) bool { w.sidecars[i].cut = !w.sidecars[i].cut; return true })
		add(fmt.Sprint("stop or go on ", i), func(w *simulation) bool {
			s := &w.sidecars[i]
			s.stopped = !s.stopped
			if !s.stopped {
				s.actor.Heartbeat(w.now)
			}
			return true
		})
		add(fmt.Sprint("restart ", i), func(w *simulation) bool {
			epoch, by := w.sidecars[i].actor.LastOrder()
			w.start(i, w.sidecars[i].version, epoch, by)
			return true
		})
		add(fmt.Sprint("restart without memory ", i), func(w *simulation) bool { w.start(i, 0, 0, ""); return true })
		add(fmt.Sprint("set the clock of ", i), func(w *simulation) bool { w.sidecars[i].wall *= -1; return true })
		for n := range auditors {
			add(fmt.Sprint("link of ", auditorName(n), " and ", i), func(w *simulation) bool { w.sidecars[i].links[n] = !w.sidecars[i].links[n]; return true })
		}
	}
	for n := range auditors {
		add("begin or die "+auditorName(n), func(w *simulation) bool {
			if w.auditors[n] != nil {
				w.auditors[n] = nil
			} else {
				w.begin(n)
			}
			return true
		})
		add("set the clock of "+auditorName(n), func(w *simulation) bool { w.walls[n] *= -1; return w.auditors[n] != nil })
		add("delay orders of "+auditorName(n), func(w *simulation) bool {
			had := w.auditors[n] != nil && !w.delay[n]
			w.delay[n] = true
			return had
		})
	}
	for j := range maxPool { // what came late stays, to come once more
		out = append(out, fault{fmt.Sprint("late order ", j), func(w *simulation) (bool, error) {
			if j >= len(w.pool) || w.sidecars[w.pool[j].to].stopped {
				return false, nil
			}
			return true, w.deliver(w.pool[j])
		}})
	}
	add("publish", func(w *simulation) bool { w.newest++; return w.newest < len(lists) })
	return out
}

// node is a state and how it was come to.
type node struct {
	w      *simulation
	faults int
	before *node
	did    string
}

func (n *node) path() string {
	var did []string
	for ; n != nil; n = n.before {
		did = append([]string{n.did}, did...)
	}
	return strings.Join(did, "; ")
}

// search goes through all that can come of a state within so many ticks and with so many faults.
// In some of them somebody has to be shut out, or nothing has been looked at.
func search(t *testing.T, root *simulation, ticks, maxFaults int) (states, shut int) {
	seen := map[uint64]int{} // the fewest faults with which a state was reached
	all := faults(len(root.sidecars))
	layer := []*node{{w: root, did: "begin"}}
	for range ticks {
		var next []*node
		for i := 0; i < len(layer); i++ { // it grows by faults
			n := layer[i]
			step := func(did string, faults int, does func(w *simulation) (bool, error)) {
				w := n.w.clone()
				able, err := does(w)
				if err == nil && able {
					err = w.check()
				}
				m := &node{w, faults, n, did}
				if err != nil {
					t.Fatalf("%v\nafter %s", err, m.path())
				}
				if !able {
					return
				}
				h := w.hash()
				if fewest, ok := seen[h]; ok && fewest <= faults {
					return
				}
				seen[h] = faults
				for i := range w.sidecars {
					if w.sidecars[i].actor.Verdict(w.now).State == ShutOut {
						shut++
					}
				}
				if faults > n.faults {
					layer = append(layer, m)
				} else {
					next = append(next, m)
				}
			}
			step("tick", n.faults, func(w *simulation) (bool, error) { return true, w.tick() })
			if n.faults < maxFaults {
				for _, f := range all {
					step(f.name, n.faults+1, f.does)
				}
			}
			n.w = nil
		}
		layer = next
	}
	return len(seen), shut
}

// fleet is one with the first list, of which those that are cut stay with it when the second one comes. links tells which
// sidecars each auditor sees; an auditor that sees none has not begun.
func fleet(n, zones int, share float64, cut func(i int) bool, links func(n, i int) bool) *simulation {
	w := &simulation{now: 1000 * time.Second, newest: 1, share: share, sidecars: make([]sidecar, n), walls: [auditors]time.Duration{skew, -skew}}
	for i := range w.sidecars {
		s := &w.sidecars[i]
		s.zone, s.wall, s.cut = strconv.Itoa(i%zones), skew, cut(i)
		if i%2 == 0 {
			s.wall = -skew
		}
		w.start(i, 0, 0, "")
		for n := range auditors {
			if s.links[n] = links(n, i); s.links[n] && w.auditors[n] == nil {
				w.begin(n)
			}
		}
	}
	return w
}

func TestSearch(t *testing.T) {
	maxFaults := 2
	if text := os.Getenv("VERSION_FAULTS"); text != "" {
		maxFaults, _ = strconv.Atoi(text)
	}
	for _, c := range []struct{ name, cut, a, b string }{
		{"one straggler, one auditor", "0", "012", ""},
		{"one straggler, two auditors", "0", "012", "012"},
		{"two stragglers, a fleet cut in two", "01", "02", "1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			has := func(of string, i int) bool { return strings.Contains(of, strconv.Itoa(i)) }
			w := fleet(3, 1, 0.5, func(i int) bool { return has(c.cut, i) }, func(n, i int) bool { return has([]string{c.a, c.b}[n], i) })
			began := time.Now()
			states, shut := search(t, w, 10, maxFaults)
			if t.Logf("%d states, in %d one is shut out, %s", states, shut, time.Since(began)); shut == 0 {
				t.Error("nobody is ever shut out")
			}
		})
	}
}

// The same holds in bigger fleets with zones, at random.
func TestRandomFleets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 24).Draw(t, "sidecars")
		among := func(name string, of int) func(i int) bool {
			in := rapid.SliceOfN(rapid.IntRange(0, of-1), n, n).Draw(t, name)
			return func(i int) bool { return in[i] == 0 }
		}
		cut, unseen := among("cut", 5), [auditors]func(int) bool{among("unseen by a", 8), among("unseen by b", 2)}
		w := fleet(n, rapid.IntRange(1, 3).Draw(t, "zones"), float64(rapid.IntRange(0, 10).Draw(t, "share"))/10, cut,
			func(a, i int) bool { return !unseen[a](i) })
		all := faults(n)
		for range rapid.IntRange(1, 30).Draw(t, "ticks") {
			for range max(0, rapid.IntRange(-3, 3).Draw(t, "faults")) {
				f := all[rapid.IntRange(0, len(all)-1).Draw(t, "fault")]
				c := w.clone()
				able, err := f.does(c)
				if err == nil && able {
					w, err = c, c.check()
				}
				if err != nil {
					t.Fatalf("%s: %v", f.name, err)
				}
			}
			if err := w.tick(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
