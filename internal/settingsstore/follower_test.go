package settingsstore

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinelb.example/pinelb/internal/version"
)

// kind is how a distributor of these tests behaves. All of them have every change as soon as it is published.
type kind int

const (
	good         kind = iota
	late              // answers late, but within the grace
	full              // answers at once, and asks to be left alone for an hour
	dead              // refuses connections
	unresponsive      // takes the connection, and nothing comes
	slow              // answers a little after the grace
	absurd            // another service's settings
	behind            // older settings, at once
	kinds
)

func (k kind) bad() bool { return k >= dead }

const (
	followedService = "orders"
	sent            = time.Millisecond       // that an answer takes
	tardy           = 400 * time.Millisecond // and from a late one
)

// turn is a distributor that becomes another kind.
type turn struct {
	at  time.Duration
	who int
	to  kind
}

// followerSimulation is a follower and its distributors in virtual time.
type followerSimulation struct {
	t       *rapid.T
	now     time.Duration
	first   []kind
	turns   []turn
	changes []time.Duration // edition n is published at changes[n-1]
	f       *Follower

	lastCall  time.Duration // the last call
	calls     int
	avoided   []time.Duration // up to when each is to be, by the plain rule
	inForceAt []time.Duration // when each edition was in force
}

func newFollowerSimulation(t *rapid.T, first []kind, turns []turn, changes []time.Duration) *followerSimulation {
	var from []string
	for i := range first {
		from = append(from, fmt.Sprintf("10.0.0.%d:8600", i+1))
	}
	seed := rapid.Uint64().Draw(t, "seed")
	return &followerSimulation{t: t, first: first, turns: turns, changes: changes, lastCall: -time.Hour, avoided: make([]time.Duration, len(first)),
		f: NewFollower(followedService, fmt.Sprintf("n%d", seed%1000), from, rand.New(rand.NewPCG(seed, 0)))}
}

func (p *followerSimulation) kind(who int, at time.Duration) kind {
	k := p.first[who]
	for _, t := range p.turns { // in their order
		if t.who == who && t.at <= at {
			k = t.to
		}
	}
	return k
}

// newest is the edition that is published by then.
func (p *followerSimulation) newest(at time.Duration) (epoch uint64) {
	for _, t := range p.changes {
		if t <= at {
			epoch++
		}
	}
	return epoch
}

// run plays one call after the other until then.
func (p *followerSimulation) run(until time.Duration) {
	for p.now < until {
		decided := p.now
		c := p.f.Next(p.now)
		if c.NotBefore < p.lastCall+minCallInterval {
			p.t.Fatalf("a call at %s, after one at %s", c.NotBefore, p.lastCall)
		}
		if c.NotBefore > p.now+max(minCallInterval, maxRetryAfter) {
			p.t.Fatalf("no call before %s, at %s", c.NotBefore, p.now)
		}
		for i := range p.avoided {
			if p.avoided[c.Distributor] > decided && p.avoided[i] <= decided {
				p.t.Fatalf("%d is asked at %s and is to be avoided until %s; %d is not", c.Distributor, decided, p.avoided[c.Distributor], i)
			}
		}
		p.now, p.lastCall = c.NotBefore, c.NotBefore
		p.calls++
		p.f.Sent(p.now, c)
		p.one(c)
	}
}

// one plays a call: a distributor is of the kind that it is at its beginning, unless it falls silent before the answer.
func (p *followerSimulation) one(c Call) {
	k := p.kind(c.Distributor, p.now)
	seen, wait, end := c.Request.NewestSeen().Epoch, c.Request.Wait, p.now+c.Timeout
	if k == full {
		wait = 0
	}
	answer := p.now + wait
	for _, at := range p.changes {
		if p.newest(at) > seen {
			answer = max(p.now, min(answer, at))
			break
		}
	}
	if !k.bad() && p.kind(c.Distributor, answer).bad() { // it dies before: the call hangs
		k = unresponsive
	}
	took := sent
	if k == late {
		took = tardy
	}
	switch {
	case k == dead:
		p.f.Failed(p.now, 0)
		p.avoided[c.Distributor] = p.now + avoidDuration
	case k == unresponsive || k == slow:
		p.now = end
		if !p.f.TimedOut(p.now) {
			p.t.Fatal("who was silent is not avoided")
		}
		p.avoided[c.Distributor] = p.now + avoidDuration
	case k == absurd || k == behind:
		p.now += sent
		p.odd(k, c)
		p.avoided[c.Distributor] = p.now + avoidDuration
	case p.newest(answer) > seen:
		p.now = answer + took
		p.hear(edition(p.newest(answer), "d"))
		p.avoided[c.Distributor] = 0
	default:
		p.now, p.avoided[c.Distributor] = answer+took, 0
		if k == full {
			p.f.ReceiveNothing(p.now, time.Hour)
			p.avoided[c.Distributor] = p.now + maxRetryAfter
		} else {
			p.f.ReceiveNothing(p.now, 0)
		}
	}
}

// odd has an answer be heard that is not to be taken.
func (p *followerSimulation) odd(k kind, c Call) {
	was := p.f.InForce()
	s := State{Service: "other", Edition: edition(1<<40, "z")}
	if k == behind {
		s = State{Service: followedService, Edition: c.Request.NewestSeen()}
	}
	var other WrongServiceError
	var older StaleError
	err := p.f.ReceiveState(p.now, s)
	if k == absurd && !errors.As(err, &other) || k == behind && !errors.As(err, &older) {
		p.t.Fatalf("%+v: %v", s, err)
	}
	if next := p.f.Next(p.now); next.Request.Reason != err.Error() || !next.Request.Rejected.None() || p.f.InForce() != was {
		p.t.Fatalf("after %v: %+v, %s in force", err, next, p.f.InForce())
	}
}

// hear has news be taken.
func (p *followerSimulation) hear(e version.Edition) {
	was := p.f.InForce()
	if err := p.f.ReceiveState(p.now, State{Service: followedService, Edition: e}); err != nil || e.Compare(was) <= 0 {
		p.t.Fatalf("%s after %s: %v", e, was, err)
	}
	p.f.Applied(e)
	for uint64(len(p.inForceAt)) < e.Epoch {
		p.inForceAt = append(p.inForceAt, p.now)
	}
}

// bad is how many distributors are bad at some time from one to the other.
func (p *followerSimulation) bad(from, to time.Duration) (n int) {
	for i := range p.first {
		bad := p.kind(i, from).bad()
		for _, t := range p.turns {
			bad = bad || t.who == i && t.at > from && t.at <= to && t.to.bad()
		}
		if bad {
			n++
		}
	}
	return n
}

// Guards against a change that is found late with any of the distributors dead, silent, slow or telling nonsense, against one that is
// hammered or gone back to too soon, and against an edition that goes back. The bound is the one that the tunables state.
func TestFollowerFindsChanges(t *testing.T) {
	const long = 60 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "distributors")
		first := make([]kind, n)
		for i := range first {
			first[i] = kind(rapid.IntRange(0, int(kinds)-1).Draw(t, "kind"))
		}
		var turns []turn
		at := time.Duration(0)
		for range rapid.IntRange(0, 6).Draw(t, "turns") {
			at += time.Duration(rapid.IntRange(1, 20_000).Draw(t, "after ms")) * time.Millisecond
			turns = append(turns, turn{at, rapid.IntRange(0, n-1).Draw(t, "who"), kind(rapid.IntRange(0, int(kinds)-1).Draw(t, "to"))})
		}
		var changes []time.Duration
		at = 0
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			at += time.Duration(rapid.IntRange(0, 12_000).Draw(t, "after ms")) * time.Millisecond
			changes = append(changes, at)
		}
		p := newFollowerSimulation(t, first, turns, changes)
		p.run(long)
		for i, at := range changes {
			// A call that a distributor was bad at the beginning of stays so.
			bound := pollWait + time.Duration(n)*pollGrace
			bad := p.bad(at-pollWait-pollGrace, at+bound)
			if bad == n || at+bound > long {
				continue
			}
			bound = pollWait + time.Duration(bad)*pollGrace + 2*(minCallInterval+tardy)
			if i >= len(p.inForceAt) || p.inForceAt[i] > at+bound {
				t.Fatalf("edition %d of %s, %d of %d bad, in force at %v", i+1, at, bad, n, p.inForceAt)
			}
		}
	})
}

// Guards against a bound that is wider than is stated: with so many of five silent just before a change, and with all of them
// silent until one comes back with it.
func TestFollowerBounds(t *testing.T) {
	const long = time.Minute
	for bad, limit := range []time.Duration{0, 2500, 3000, 3500, 4000} {
		rapid.Check(t, func(t *rapid.T) {
			falls := time.Duration(rapid.IntRange(0, 10_000).Draw(t, "falls ms")) * time.Millisecond
			var turns []turn
			for _, who := range rapid.Permutation([]int{0, 1, 2, 3, 4}).Draw(t, "order")[:bad] {
				turns = append(turns, turn{falls, who, unresponsive})
			}
			p := newFollowerSimulation(t, make([]kind, 5), turns, []time.Duration{falls + time.Millisecond})
			p.run(long)
			if took := p.inForceAt[0] - falls; took > limit*time.Millisecond+minCallInterval+10*sent {
				t.Fatalf("%d of 5 silent: in force after %s", bad, took)
			}
		})
	}
	rapid.Check(t, func(t *rapid.T) {
		all := []kind{unresponsive, unresponsive, unresponsive, unresponsive, unresponsive}
		back := time.Duration(rapid.IntRange(0, 40_000).Draw(t, "back ms")) * time.Millisecond
		p := newFollowerSimulation(t, all, []turn{{back, rapid.IntRange(0, 4).Draw(t, "who"), good}}, []time.Duration{back})
		p.run(long)
		if took := p.inForceAt[0] - back; took > 5*pollGrace+10*sent {
			t.Fatalf("all silent, one back: in force after %s", took)
		}
	})
}

// Guards against calls at rest that are more than a watch needs.
func TestFollowerPausesBetweenCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newFollowerSimulation(t, make([]kind, 5), nil, nil)
		p.run(time.Minute)
		if maxCalls := int(time.Minute/(pollWait*3/4)) + 2; p.calls > maxCalls {
			t.Fatalf("%d calls in a minute without news, %d at most", p.calls, maxCalls)
		}
	})
}

// Guards against an edition that is tried again and again once it was refused, against one that is refused and not told, and
// against one that is taken after a newer one was refused.
func TestFollowerRemembersRejections(t *testing.T) {
	f := NewFollower(followedService, "n", []string{"a", "b"}, rand.New(rand.NewPCG(1, 1)))
	state := func(epoch uint64) State { return State{Service: followedService, Edition: edition(epoch, "d")} }
	now := time.Duration(0)
	hear := func(s State) error {
		c := f.Next(now)
		now = c.NotBefore
		f.Sent(now, c)
		return f.ReceiveState(now, s)
	}
	if err := hear(state(3)); err != nil {
		t.Fatal(err)
	}
	f.Applied(edition(3, "d"))
	if err := hear(state(5)); err != nil {
		t.Fatal(err)
	}
	f.Rejected(edition(5, "d"), errors.New("classes[0].aim is wrong"))
	q := f.Next(now).Request
	if q.Since != edition(3, "d") || q.Rejected != edition(5, "d") || q.Reason != "classes[0].aim is wrong" || q.NewestSeen() != edition(5, "d") {
		t.Errorf("asked with %+v", q)
	}
	for _, epoch := range []uint64{4, 5} {
		if err := hear(state(epoch)); !errors.As(err, &StaleError{}) {
			t.Errorf("epoch %d after 5 was refused: %v", epoch, err)
		}
	}
	f.RetryRejected()
	if err := hear(state(5)); err != nil {
		t.Errorf("once more: %v", err)
	}
	f.Rejected(edition(5, "d"), errors.New("as before"))
	if err := hear(state(6)); err != nil {
		t.Errorf("a newer one: %v", err)
	}
	f.Applied(edition(6, "d"))
	if q := f.Next(now).Request; q.Since != edition(6, "d") || !q.Rejected.None() || q.Reason != "" {
		t.Errorf("asked with %+v", q)
	}
}

// Guards against a distributor that is blamed for a stop of this process, or that is never left on a machine where all is late.
func TestFollowerAfterProcessStop(t *testing.T) {
	f := NewFollower(followedService, "n", []string{"a", "b"}, rand.New(rand.NewPCG(1, 1)))
	c := f.Next(0)
	f.Sent(0, c)
	f.ReceiveNothing(0, 0)
	watch := f.Next(0)
	f.Sent(watch.NotBefore, watch)
	now := watch.NotBefore + time.Minute
	if f.TimedOut(now) {
		t.Error("a distributor is avoided for a stop of this process")
	}
	again := f.Next(now)
	if again.Distributor != watch.Distributor || again.NotBefore != now || again.Request.Wait != 0 {
		t.Errorf("after a stop: %+v", again)
	}
	f.Sent(now, again)
	if !f.TimedOut(now+time.Minute) || f.Next(now+time.Minute).Distributor == watch.Distributor {
		t.Error("who is silent again is not left")
	}
}

// Guards against a distributor that many more sidecars start from than from another, or that has to bear alone what another bore.
func TestFollowersSpread(t *testing.T) {
	const n = 1700
	from := []string{"10.0.0.1:8600", "10.0.0.2:8600", "10.0.0.3:8600", "10.1.0.1:8600", "10.1.0.2:8600"}
	first, second := map[int]int{}, map[int]int{}
	for i := range n {
		f := NewFollower(followedService, fmt.Sprintf("sidecar-%d", i), from, rand.New(rand.NewPCG(1, 1)))
		c := f.Next(0)
		first[c.Distributor]++
		f.Sent(0, c)
		f.Failed(0, 0)
		if c.Distributor == 0 {
			second[f.Next(0).Distributor]++
		}
	}
	for i := range from {
		if first[i] < 290 || first[i] > 390 { // three deviations
			t.Errorf("%d of %d start from %d", first[i], n, i)
		}
		if i > 0 && (second[i] < 55 || second[i] > 115) {
			t.Errorf("%d of %d go from the first to %d", second[i], first[0], i)
		}
	}
}
