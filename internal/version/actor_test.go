package version

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const s = time.Second

// oracle has a sidecar's past as a plain log and answers each question by reading it from its beginning.
type oracle struct {
	limits Limits
	log    []happened
}

type happened struct {
	at    time.Duration
	what  string
	v     Version
	o     Order
	age   time.Duration // of the order's ticket by the sidecar's clock
	asked time.Duration
}

func (r *oracle) add(h happened) { r.log = append(r.log, h) }

// state is what the sidecar has to be at the time, and its floor and whether its ticket is valid.
func (r *oracle) state(now time.Duration) (state string, floor *Floor, ticket bool) {
	var v Version
	var lapses, ripe, contact, woke, ticketEnd time.Duration
	var issued Millis
	under, waking, no := false, false, 0
	contact = r.log[0].at
	for _, h := range r.log {
		if floor != nil && h.at >= lapses {
			under = false
		}
		switch h.what {
		case "adopted":
			v = h.v
		case "taken":
			f := h.o.Floor
			if floor == nil || f.Epoch != floor.Epoch || f.By != floor.By {
				floor, lapses, ticketEnd, issued = &f, h.at+f.For.D(), 0, -1
				if under {
					ripe = min(ripe, h.at+f.Grace.D())
				}
			}
			if t := h.o.Ticket; t != nil && t.Issued > issued {
				issued, no = t.Issued, t.No
				ticketEnd = h.at + t.For.D()
				if h.age > 5*s {
					ticketEnd -= h.age - 5*s
				}
			}
		case "heard":
			if waking && h.asked < woke {
				contact = max(contact, h.asked)
			} else {
				contact, waking = h.at, false
			}
		case "vouched":
			contact = max(contact, h.at)
		case "stopped":
			waking, woke = true, h.at
		}
		meets := floor == nil || (floor.List == 0 || v.List.Digest == floor.List || v.List.Revision > floor.Revision) &&
			(floor.Settings == 0 || floor.Settings == v.Settings)
		if meets || h.at >= lapses {
			under = false
		} else if !under {
			under, ripe = true, h.at+floor.Grace.D()
		}
	}
	if floor != nil && now >= lapses {
		floor, under = nil, false
	}
	most := int(r.limits.Share*float64(r.limits.Instances) + 1e-9)
	most = max(0, min(most, r.limits.Instances-1))
	alone := 0
	if r.limits.Closed && r.limits.Lease > 0 {
		alone = (most + 1) / 2
	}
	ticket = now < ticketEnd && no < most-alone
	switch {
	case waking && now < woke+1500*time.Millisecond:
		return Waking, floor, ticket
	case alone > 0 && now >= contact+r.limits.Lease && r.limits.Rank%(r.limits.Instances/alone) == 0 && r.limits.Rank/(r.limits.Instances/alone) < alone:
		return Shut, floor, ticket
	case under && now >= ripe && ticket:
		return Shut, floor, ticket
	case under && now >= ripe:
		return Behind, floor, ticket
	}
	return Acts, floor, ticket
}

// A sidecar is at all times what the oracle reads from its past, holds no order older than one it took, and a verdict holds up to
// the time it states.
func TestActorAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(name string, n int) int { return rapid.IntRange(0, n-1).Draw(t, name) }
		l := Limits{Site: "s", Share: float64(pick("share", 5)) / 4, Instances: pick("instances", 6), Rank: pick("rank", 6),
			Lease: time.Duration(pick("lease", 3)) * 3 * s, Closed: pick("closed", 2) == 1}
		now, skew := 100*s, time.Duration(pick("skew", 11)-5)*s
		a := NewActor(now, l, rand.New(rand.NewPCG(1, 2)), 0, "")
		r := oracle{limits: l, log: []happened{{at: now, what: "began"}}}
		var epoch uint64
		var by string
		var last Verdict
		quiet := false // nothing but time since the last verdict
		floors := map[[2]int]Floor{}
		var sent []Order
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			quiet = false
			switch what := pick("event", 10); what {
			case 0, 1, 2: // time goes on
				step := time.Duration(1+pick("step", 8)) * 250 * time.Millisecond
				now += step
				if a.Beat(now) != 0 {
					t.Fatalf("%s taken for a stop", step)
				}
				quiet = true
			case 3:
				now += 2*s + time.Duration(1+pick("stop", 8000))*time.Millisecond
				a.Beat(now)
				r.add(happened{at: now, what: "stopped"})
			case 4:
				v := Version{List: List{Revision: int64(pick("revision", 4)), Digest: Digest(1 + pick("digest", 4))}, Settings: Digest(1 + pick("settings", 2))}
				a.Adopt(now, v)
				r.add(happened{at: now, what: "adopted", v: v})
			case 5:
				asked := now - time.Duration(pick("asked", 3))*s
				a.Heard(now, asked)
				r.add(happened{at: now, what: "heard", asked: asked})
			case 6:
				a.Vouched(now)
				r.add(happened{at: now, what: "vouched"})
			default:
				var o Order
				if len(sent) > 0 && pick("again", 2) == 0 {
					o = sent[pick("which", len(sent))]
				} else {
					e, b := 1+pick("epoch", 4), pick("by", 2)
					f, ok := floors[[2]int{e, b}]
					if !ok {
						f = Floor{Epoch: uint64(e), By: string(rune('a' + b)), Site: "s", List: Digest(pick("list", 5)), Settings: Digest(pick("config", 3)),
							Grace: Millis(1000 * pick("grace", 4)), Spread: Millis(1000 * pick("spread", 3)), For: Millis(4000 + 1000*pick("for", 20))}
						if f.List != 0 {
							f.Revision = int64(pick("least", 4))
						}
						floors[[2]int{e, b}] = f
					}
					o.Floor = f
					if pick("ticket", 4) != 0 {
						o.Ticket = &Ticket{No: pick("no", 3), Issued: Millis((now + time.Duration(pick("issued", 18)-11)*s) / time.Millisecond), For: Millis(1000 * (1 + pick("lasts", 5)))}
					}
					sent = append(sent, o)
				}
				older := o.Floor.Epoch < epoch || o.Floor.Epoch == epoch && o.Floor.By < by
				age := time.Duration(0)
				if o.Ticket != nil {
					age = now + skew - o.Ticket.Issued.D()
					late := age >= o.Ticket.For.D()+5*s || age < -5*s
					for _, h := range r.log {
						late = late || h.what == "taken" && h.o.Floor.Epoch == o.Floor.Epoch && h.o.Floor.By == o.Floor.By && h.o.Ticket != nil && h.o.Ticket.Issued > o.Ticket.Issued
					}
					older = older || late
				}
				err := a.Take(now, now+skew, o)
				if errors.As(err, new(Older)) != older || err != nil && !older {
					t.Fatalf("an order %+v after epoch %d by %q, ticket %+v of age %s: %v", o.Floor, epoch, by, o.Ticket, age, err)
				}
				if err == nil {
					epoch, by = o.Floor.Epoch, o.Floor.By
					r.add(happened{at: now, what: "taken", o: o, age: age})
				}
			}
			state, floor, ticket := r.state(now)
			v := a.Verdict(now)
			if v.State != state || (a.Floor(now) != nil) != (floor != nil) || (a.Ticket(now) != nil) != ticket {
				t.Fatalf("is %+v, floor %+v, ticket %+v; should be %s, %+v, %v", v, a.Floor(now), a.Ticket(now), state, floor, ticket)
			}
			if quiet && now < last.Until && v.State != last.State {
				t.Fatalf("%+v before the time to which %+v holds", v, last)
			}
			if v.Until <= now || v.Since > now || (v.Again > 0) == v.Takes() {
				t.Fatalf("at %s: %+v", now, v)
			}
			last = v
		}
	})
}

// The fixed cases that a random search may miss, each by its name.
func TestActorCases(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	floor := Floor{Epoch: 1, By: "a", Site: "s", List: 2, Revision: 2, Builds: []string{"new"}, Grace: 1000, For: 60000}
	limits := Limits{Site: "s", Share: 0.5, Instances: 4}
	begin := func(l Limits) *Actor {
		a := NewActor(0, l, r, 0, "")
		a.Adopt(0, Version{List: List{Revision: 1, Digest: 1}, Build: "old"})
		return a
	}
	order := func(f Floor, no int) Order { return Order{f, &Ticket{no, 0, 5000}} }
	t.Run("another site", func(t *testing.T) {
		f := floor
		f.Site = "t"
		if a := begin(limits); !errors.As(a.Take(0, 0, order(f, 0)), new(OtherSite)) || a.Floor(0) != nil {
			t.Error("taken")
		}
	})
	t.Run("an epoch given twice", func(t *testing.T) {
		a, f := begin(limits), floor
		f.List = 3
		if err := a.Take(0, 0, order(floor, 0)); err != nil {
			t.Fatal(err)
		}
		if !errors.As(a.Take(0, 0, order(f, 0)), new(FaultyKey)) || a.Floor(0).List != 2 {
			t.Error("taken")
		}
	})
	t.Run("an epoch kept over a restart", func(t *testing.T) {
		a := NewActor(0, limits, r, 2, "b")
		for _, late := range []Floor{floor, {Epoch: 2, By: "a", Site: "s", For: 1}} {
			if !errors.As(a.Take(0, 0, Order{Floor: late}), new(Older)) {
				t.Errorf("epoch %d taken", late.Epoch)
			}
		}
	})
	t.Run("alone, and no ticket for it", func(t *testing.T) {
		for share := 0.0; share <= 1; share += 0.05 {
			for n := range 60 {
				shut := 0
				for rank := range n {
					a := begin(Limits{Site: "s", Share: share, Instances: n, Rank: rank, Lease: s, Closed: true})
					a.beat = s
					if a.Verdict(s).State == Shut {
						shut++
					}
				}
				tickets, _ := Limits{Share: share, Instances: n, Lease: s, Closed: true}.most()
				if float64(shut+tickets) > share*float64(n)+1e-6 || n > 0 && shut+tickets >= n {
					t.Errorf("%d of %d alone and %d with tickets, share %g", shut, n, tickets, share)
				}
			}
		}
	})
	t.Run("wants", func(t *testing.T) {
		a := begin(limits)
		f := floor
		f.Spread, f.Settings = 4000, 9
		if err := a.Take(0, 0, Order{Floor: f}); err != nil {
			t.Fatal(err)
		}
		var lists, configs []time.Duration
		for now := time.Duration(0); now < 20*s; now += 50 * time.Millisecond {
			w := a.Wants(now)
			if !w.Succeed {
				t.Fatal("its build is under the floor")
			}
			if w.List {
				lists = append(lists, now)
			}
			if w.Config {
				configs = append(configs, now)
			}
		}
		quarters := [4]int{}
		for range 200 {
			b := begin(limits)
			if err := b.Take(0, 0, Order{Floor: f}); err != nil {
				t.Fatal(err)
			}
			now := time.Duration(0)
			for !b.Wants(now).List {
				now += 50 * time.Millisecond
			}
			quarters[min(3, now/s)]++
		}
		if least := min(quarters[0], quarters[1], quarters[2], quarters[3]); least < 25 {
			t.Errorf("200 ask first in the quarters of the spread %v times", quarters)
		}
		for _, asked := range [][]time.Duration{lists, configs} {
			if len(asked) < 4 || asked[0] > 4*s {
				t.Fatalf("asked at %v", asked)
			}
			for i := range asked[1:] {
				if asked[i+1]-asked[i] < 4*s {
					t.Errorf("asked at %v", asked)
				}
			}
		}
	})
	t.Run("a stop unnoticed", func(t *testing.T) {
		a := begin(limits)
		if v := a.Verdict(Gap + 1); v.Sends() || v.Takes() {
			t.Errorf("%+v with the last beat %s ago", v, Gap+1)
		}
		a.Beat(Gap + 1)
		if !a.Wants(Gap+1).List || a.Wants(Gap+2).List {
			t.Error("the list is asked for once")
		}
	})
}
