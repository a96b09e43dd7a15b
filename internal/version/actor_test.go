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
type model struct {
	limits Limits
	log    []modelEvent
}

type modelEvent struct {
	at          time.Duration
	what        string
	v           Version
	o           Order
	age         time.Duration // of the order's ticket by the sidecar's clock
	requestedAt time.Duration
}

func (r *model) add(h modelEvent) { r.log = append(r.log, h) }

// state is what the sidecar has to be at the time, and its floor and whether its ticket is valid.
func (r *model) state(now time.Duration) (state string, floor *MinimumVersion, ticket bool) {
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
			f := h.o.Minimum
			if floor == nil || f.Epoch != floor.Epoch || f.By != floor.By {
				floor, lapses, ticketEnd, issued = &f, h.at+f.Validity.D(), 0, -1
				if under {
					ripe = min(ripe, h.at+f.Grace.D())
				}
			}
			if t := h.o.Permit; t != nil && t.Issued > issued {
				issued, no = t.Issued, t.Number
				ticketEnd = h.at + t.Validity.D()
				if h.age > 5*s {
					ticketEnd -= h.age - 5*s
				}
			}
		case "heard":
			if waking && h.requestedAt < woke {
				contact = max(contact, h.requestedAt)
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
	maxShutOut := int(r.limits.Share*float64(r.limits.Instances) + 1e-9)
	maxShutOut = max(0, min(maxShutOut, r.limits.Instances-1))
	alone := 0
	if r.limits.Closed && r.limits.Lease > 0 {
		alone = (maxShutOut + 1) / 2
	}
	ticket = now < ticketEnd && no < maxShutOut-alone
	switch {
	case waking && now < woke+1500*time.Millisecond:
		return Resuming, floor, ticket
	case alone > 0 && now >= contact+r.limits.Lease && r.limits.Rank%(r.limits.Instances/alone) == 0 && r.limits.Rank/(r.limits.Instances/alone) < alone:
		return ShutOut, floor, ticket
	case under && now >= ripe && ticket:
		return ShutOut, floor, ticket
	case under && now >= ripe:
		return Behind, floor, ticket
	}
	return Active, floor, ticket
}

// A sidecar is at all times what the oracle reads from its past, holds no order older than one it took, and a verdict holds up to
// the time it states.
func TestActorAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(name string, n int) int { return rapid.IntRange(0, n-1).Draw(t, name) }
		l := Limits{Site: "s", Share: float64(pick("share", 5)) / 4, Instances: pick("instances", 6), Rank: pick("rank", 6),
			Lease: time.Duration(pick("lease", 3)) * 3 * s, Closed: pick("closed", 2) == 1}
		now, skew := 100*s, time.Duration(pick("skew", 11)-5)*s
		a := NewActor(now, l, rand.New(rand.NewPCG(1, 2)), 0, "")
		r := model{limits: l, log: []modelEvent{{at: now, what: "began"}}}
		var epoch uint64
		var by string
		var last Verdict
		quiet := false // nothing but time since the last verdict
		floors := map[[2]int]MinimumVersion{}
		var sent []Order
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			quiet = false
			switch what := pick("event", 10); what {
			case 0, 1, 2: // time goes on
				step := time.Duration(1+pick("step", 8)) * 250 * time.Millisecond
				now += step
				if a.Heartbeat(now) != 0 {
					t.Fatalf("%s taken for a stop", step)
				}
				quiet = true
			case 3:
				now += 2*s + time.Duration(1+pick("stop", 8000))*time.Millisecond
				a.Heartbeat(now)
				r.add(modelEvent{at: now, what: "stopped"})
			case 4:
				v := Version{List: List{Revision: int64(pick("revision", 4)), Digest: Digest(1 + pick("digest", 4))}, Settings: Digest(1 + pick("settings", 2))}
				a.Adopt(now, v)
				r.add(modelEvent{at: now, what: "adopted", v: v})
			case 5:
				requestedAt := now - time.Duration(pick("asked", 3))*s
				a.ConfirmList(now, requestedAt)
				r.add(modelEvent{at: now, what: "heard", requestedAt: requestedAt})
			case 6:
				a.ConfirmByAuditor(now)
				r.add(modelEvent{at: now, what: "vouched"})
			default:
				var o Order
				if len(sent) > 0 && pick("again", 2) == 0 {
					o = sent[pick("which", len(sent))]
				} else {
					e, b := 1+pick("epoch", 4), pick("by", 2)
					f, ok := floors[[2]int{e, b}]
					if !ok {
						f = MinimumVersion{Epoch: uint64(e), By: string(rune('a' + b)), Site: "s", List: Digest(pick("list", 5)), Settings: Digest(pick("config", 3)),
							Grace: Millis(1000 * pick("grace", 4)), Spread: Millis(1000 * pick("spread", 3)), Validity: Millis(4000 + 1000*pick("for", 20))}
						if f.List != 0 {
							f.Revision = int64(pick("least", 4))
						}
						floors[[2]int{e, b}] = f
					}
					o.Minimum = f
					if pick("ticket", 4) != 0 {
						o.Permit = &Permit{Number: pick("no", 3), Issued: Millis((now + time.Duration(pick("issued", 18)-11)*s) / time.Millisecond), Validity: Millis(1000 * (1 + pick("lasts", 5)))}
					}
					sent = append(sent, o)
				}
				older := o.Minimum.Epoch < epoch || o.Minimum.Epoch == epoch && o.Minimum.By < by
				age := time.Duration(0)
				if o.Permit != nil {
					age = now + skew - o.Permit.Issued.D()
					late := age >= o.Permit.Validity.D()+5*s || age < -5*s
					for _, h := range r.log {
						late = late || h.what == "taken" && h.o.Minimum.Epoch == o.Minimum.Epoch && h.o.Minimum.By == o.Minimum.By && h.o.Permit != nil && h.o.Permit.Issued > o.Permit.Issued
					}
					older = older || late
				}
				err := a.Accept(now, now+skew, o)
				if errors.As(err, new(StaleOrderError)) != older || err != nil && !older {
					t.Fatalf("an order %+v after epoch %d by %q, ticket %+v of age %s: %v", o.Minimum, epoch, by, o.Permit, age, err)
				}
				if err == nil {
					epoch, by = o.Minimum.Epoch, o.Minimum.By
					r.add(modelEvent{at: now, what: "taken", o: o, age: age})
				}
			}
			state, floor, ticket := r.state(now)
			v := a.Verdict(now)
			if v.State != state || (a.Minimum(now) != nil) != (floor != nil) || (a.Permit(now) != nil) != ticket {
				t.Fatalf("is %+v, floor %+v, ticket %+v; should be %s, %+v, %v", v, a.Minimum(now), a.Permit(now), state, floor, ticket)
			}
			if quiet && now < last.Until && v.State != last.State {
				t.Fatalf("%+v before the time to which %+v holds", v, last)
			}
			if v.Until <= now || v.Since > now || (v.RetryAfter > 0) == v.AcceptsStreams() {
				t.Fatalf("at %s: %+v", now, v)
			}
			last = v
		}
	})
}

// The fixed cases that a random search may miss, each by its name.
func TestActorCases(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	floor := MinimumVersion{Epoch: 1, By: "a", Site: "s", List: 2, Revision: 2, Builds: []string{"new"}, Grace: 1000, Validity: 60000}
	limits := Limits{Site: "s", Share: 0.5, Instances: 4}
	begin := func(l Limits) *Actor {
		a := NewActor(0, l, r, 0, "")
		a.Adopt(0, Version{List: List{Revision: 1, Digest: 1}, Build: "old"})
		return a
	}
	order := func(f MinimumVersion, no int) Order { return Order{f, &Permit{no, 0, 5000}} }
	t.Run("another site", func(t *testing.T) {
		f := floor
		f.Site = "t"
		if a := begin(limits); !errors.As(a.Accept(0, 0, order(f, 0)), new(WrongSiteError)) || a.Minimum(0) != nil {
			t.Error("taken")
		}
	})
	t.Run("an epoch given twice", func(t *testing.T) {
		a, f := begin(limits), floor
		f.List = 3
		if err := a.Accept(0, 0, order(floor, 0)); err != nil {
			t.Fatal(err)
		}
		if !errors.As(a.Accept(0, 0, order(f, 0)), new(KeyError)) || a.Minimum(0).List != 2 {
			t.Error("taken")
		}
	})
	t.Run("an epoch kept over a restart", func(t *testing.T) {
		a := NewActor(0, limits, r, 2, "b")
		for _, late := range []MinimumVersion{floor, {Epoch: 2, By: "a", Site: "s", Validity: 1}} {
			if !errors.As(a.Accept(0, 0, Order{Minimum: late}), new(StaleOrderError)) {
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
					a.lastHeartbeat = s
					if a.Verdict(s).State == ShutOut {
						shut++
					}
				}
				tickets, _ := Limits{Share: share, Instances: n, Lease: s, Closed: true}.shutOutLimits()
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
		if err := a.Accept(0, 0, Order{Minimum: f}); err != nil {
			t.Fatal(err)
		}
		var lists, configs []time.Duration
		for now := time.Duration(0); now < 20*s; now += 50 * time.Millisecond {
			w := a.Actions(now)
			if !w.NeedsSuccessor {
				t.Fatal("its build is under the floor")
			}
			if w.RefreshList {
				lists = append(lists, now)
			}
			if w.RereadConfig {
				configs = append(configs, now)
			}
		}
		quarters := [4]int{}
		for range 200 {
			b := begin(limits)
			if err := b.Accept(0, 0, Order{Minimum: f}); err != nil {
				t.Fatal(err)
			}
			now := time.Duration(0)
			for !b.Actions(now).RefreshList {
				now += 50 * time.Millisecond
			}
			quarters[min(3, now/s)]++
		}
		if minCount := min(quarters[0], quarters[1], quarters[2], quarters[3]); minCount < 25 {
			t.Errorf("200 ask first in the quarters of the spread %v times", quarters)
		}
		for _, requestTimes := range [][]time.Duration{lists, configs} {
			if len(requestTimes) < 4 || requestTimes[0] > 4*s {
				t.Fatalf("asked at %v", requestTimes)
			}
			for i := range requestTimes[1:] {
				if requestTimes[i+1]-requestTimes[i] < 4*s {
					t.Errorf("asked at %v", requestTimes)
				}
			}
		}
	})
	t.Run("a stop unnoticed", func(t *testing.T) {
		a := begin(limits)
		if v := a.Verdict(StopThreshold + 1); v.SendsAttempts() || v.AcceptsStreams() {
			t.Errorf("%+v with the last beat %s ago", v, StopThreshold+1)
		}
		a.Heartbeat(StopThreshold + 1)
		if !a.Actions(StopThreshold+1).RefreshList || a.Actions(StopThreshold+2).RefreshList {
			t.Error("the list is asked for once")
		}
	})
}
