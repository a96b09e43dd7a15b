package version

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Tunables of a sidecar that looks at itself.
const (
	Gap       = 2 * time.Second         // between two beats: a stop that may hide that a host was told to leave. Shorter ones are a busy machine's
	wakeMost  = 1500 * time.Millisecond // that it waits for the list service after a stop: a watch of 1 s, and its answer. Then it acts: a list service that is down must not be an outage
	againLeas = 2 * time.Second         // between two times that the same is asked for because of a floor, so that a floor that can't be met is no load
	shutAgain = time.Second             // that a client of a shut sidecar is told to wait: it can be back with the list service's next answer
)

// Forever is when a verdict ends that time alone doesn't end.
const Forever = time.Duration(math.MaxInt64)

// Limits are what a sidecar's own settings say of being shut out.
type Limits struct {
	Site      string
	Share     float64       // of the fleet that may be shut out at once, 0 to 1
	Instances int           // of the fleet
	Rank      int           // among them, from 0
	Lease     time.Duration // without a word of the list service or an auditor it is alone; 0: never
	Closed    bool          // who is alone shuts itself out, if its rank is one that may
}

// most is how many numbers of tickets count, and how many may shut themselves out because they are alone. The two happen at the
// same time to different sidecars, and nobody who is alone can be asked: each has its part of the share, so that no auditor can
// bring the fleet beyond it.
func (l Limits) most() (tickets, alone int) {
	tickets = Most(l.Share, l.Instances)
	if l.Closed && l.Lease > 0 {
		alone = (tickets + 1) / 2
	}
	return tickets - alone, alone
}

// mayBeAlone tells whether the sidecar is one of those that shut themselves out when they are alone. They are spread evenly over
// the ranks, which zones commonly are as well.
func (l Limits) mayBeAlone() bool {
	_, alone := l.most()
	if alone == 0 || l.Rank < 0 || l.Rank >= l.Instances {
		return false
	}
	step := l.Instances / alone
	return l.Rank%step == 0 && l.Rank/step < alone
}

// Order's refusals, beside FaultyKey.
type (
	// Older is an order that a later one has overtaken, or that comes too late.
	Older struct{ Why string }
	// OtherSite is an order for another site.
	OtherSite struct{ Site, Own string }
)

func (e Older) Error() string { return "version: the order is old: " + e.Why }
func (e OtherSite) Error() string {
	return fmt.Sprintf("version: the order is for the site %q, this is %q", e.Site, e.Own)
}

// The states of a sidecar.
const (
	Acts   = "acts"
	Behind = "behind" // under the floor, and its grace is over
	Waking = "waking" // it was stopped and has not heard the list service since
	Shut   = "shut"
)

// Verdict is what a sidecar may do.
type Verdict struct {
	State string
	Why   string        // empty where it simply acts
	Since time.Duration // the time at which that began
	Until time.Duration // up to then it holds, unless something happens or a beat is Gap late
	Again time.Duration // after which a refused client may come again
}

// Takes tells whether new streams are taken.
func (v Verdict) Takes() bool { return v.State != Shut && v.State != Waking }

// Sends tells whether attempts go out. One that is shut out answers what it has taken, from whatever list it has.
func (v Verdict) Sends() bool { return v.State != Waking }

// Wants is what the sidecar has to do to come up to the floor.
type Wants struct {
	List    bool // ask the list service for the whole list, now
	Config  bool // read the configuration again, now
	Succeed bool // its build is under the floor: it can but tell that it has to be succeeded
}

// Actor is what a sidecar knows of floors and of itself, and what follows. Its owner keeps the events in order.
type Actor struct {
	limits Limits
	rand   *rand.Rand
	now    Version
	epoch  uint64 // of the last order taken,
	by     string // and whose

	floor  *Floor // nil: none
	lapses time.Duration
	ripe   time.Duration // from when on it is behind, if it is under the floor
	under  bool

	ticket *Ticket // the last one, perhaps lapsed; nil: none
	from   time.Duration
	until  time.Duration

	beat    time.Duration
	waking  bool
	woke    time.Duration
	contact time.Duration // when it heard or was vouched for last

	list, config moment
}

// moment is when something is asked for. It has its own place in the spread and keeps it, so that a fleet stays spread.
type moment struct {
	wanted bool
	next   time.Duration
	last   time.Duration // 0: never
}

// want says whether the floor makes the thing wanted; where it was not before, its moment is drawn.
func (m *moment) want(wanted bool, now time.Duration, f *Floor, r *rand.Rand) {
	if wanted && !m.wanted {
		m.next = now
		if f.Spread > 0 {
			m.next += time.Duration(r.Int64N(int64(f.Spread.D())))
		}
		if m.last != 0 {
			m.next = max(m.next, m.last+f.pause())
		}
	}
	m.wanted = wanted
}

// due tells whether the moment has come, and sets the next one.
func (m *moment) due(now, pause time.Duration) bool {
	if now < m.next {
		return false
	}
	m.next, m.last = now+pause, now
	return true
}

// NewActor returns that of a process that starts now and last took the order of this epoch and auditor.
func NewActor(now time.Duration, l Limits, r *rand.Rand, epoch uint64, by string) *Actor {
	a := &Actor{limits: l, rand: r, epoch: epoch, by: by, beat: now, contact: now}
	a.now.Epoch = epoch
	return a
}

// Last is the last order that was taken, for the next process.
func (a *Actor) Last() (epoch uint64, by string) { return a.epoch, a.by }

// Floor is the floor in force, or nil; what it points to stays as it is.
func (a *Actor) Floor(now time.Duration) *Floor {
	if a.floor == nil || now >= a.lapses {
		return nil
	}
	return a.floor
}

// Ticket is the ticket in force, or nil.
func (a *Actor) Ticket(now time.Duration) *Ticket {
	if tickets, _ := a.limits.most(); a.ticket == nil || now >= a.until || a.ticket.No >= tickets {
		return nil
	}
	return a.ticket
}

// Retune takes other limits. What was ordered for another site holds no more.
func (a *Actor) Retune(l Limits) {
	if l.Site != a.limits.Site {
		a.floor, a.ticket, a.under = nil, nil, false
	}
	a.limits = l
}

// Adopt says what the sidecar acts on from now on; the epoch in it is not looked at.
func (a *Actor) Adopt(now time.Duration, v Version) {
	v.Epoch = a.epoch
	a.now = v
	a.judge(now)
}

// judge looks whether it is under the floor. The grace runs from when it came under one: who was under the one before gets no
// new grace, for one floor after the other would be a grace without end.
func (a *Actor) judge(now time.Duration) {
	f := a.Floor(now)
	if f == nil {
		a.under, a.list.wanted, a.config.wanted = false, false, false
		return
	}
	list, settings, file, build := f.Meets(&a.now)
	under := !(list && settings && file && build)
	if ripe := now + f.Grace.D(); under && (!a.under || ripe < a.ripe) {
		a.ripe = ripe
	}
	a.under = under
	a.list.want(!list, now, f, a.rand)
	a.config.want(!(settings && file), now, f, a.rand)
}

// Heard says that the list service answered what it was asked at the time asked, which proves the list fresh. What was asked
// before a stop may have been answered before it as well, and proves nothing of now.
func (a *Actor) Heard(now, asked time.Duration) {
	a.Beat(now)
	if a.waking && asked < a.woke {
		a.contact = max(a.contact, asked)
		return
	}
	a.waking, a.contact = false, now
}

// Vouched says that an auditor has seen it.
func (a *Actor) Vouched(now time.Duration) { a.contact = max(a.contact, now) }

// Beat says that the process runs, and returns for how long it did not: 0 unless that may hide something.
func (a *Actor) Beat(now time.Duration) time.Duration {
	gap := now - a.beat
	a.beat = max(a.beat, now)
	if gap <= Gap {
		return 0
	}
	a.waking, a.woke = true, now
	a.list.next = now
	return gap
}

// Take takes an order, or refuses it with an error of type FaultyKey, OtherSite or Older and leaves all as it was. wall is the Unix
// time by the own clock. A ticket is taken back by an order of a higher epoch without one; within an epoch it lapses, for an order
// without one that comes late looks the same.
func (a *Actor) Take(now, wall time.Duration, o Order) error {
	if err := o.Check(); err != nil {
		return err
	}
	f := o.Floor
	if f.Site != a.limits.Site {
		return OtherSite{f.Site, a.limits.Site}
	}
	order := compare(f.Epoch, f.By, a.epoch, a.by)
	if order < 0 {
		return Older{fmt.Sprintf("epoch %d by %q, after %d by %q", f.Epoch, f.By, a.epoch, a.by)}
	}
	if order == 0 && a.floor != nil && !f.same(a.floor) {
		return FaultyKey{"floor.epoch", "was given to another floor"}
	}
	var age time.Duration
	if t := o.Ticket; t != nil {
		age = wall - t.Issued.D()
		if age >= t.For.D()+slack || age < -slack {
			return Older{fmt.Sprintf("its ticket for %s was issued %s ago by this clock", t.For.D(), age)}
		}
		if order == 0 && a.ticket != nil && t.Issued < a.ticket.Issued {
			return Older{"a later ticket has been taken"}
		}
	}
	if order != 0 {
		a.ticket = nil
	}
	if order != 0 || a.floor == nil {
		a.raise(now, f)
	}
	// The same one once more prolongs nothing.
	if t := o.Ticket; t != nil && (a.ticket == nil || t.Issued > a.ticket.Issued) {
		if a.ticket == nil || now >= a.until {
			a.from = now
		}
		a.ticket, a.until = &Ticket{t.No, t.Issued, t.For}, now+min(t.For.D(), t.For.D()+slack-age)
	}
	return nil
}

// raise takes a floor.
func (a *Actor) raise(now time.Duration, f Floor) {
	if a.Floor(now) == nil {
		a.under = false // what was under one that has lapsed begins anew
	}
	a.epoch, a.by, a.now.Epoch = f.Epoch, f.By, f.Epoch
	a.floor, a.lapses = &f, now+f.For.D()
	a.judge(now)
}

// pause is the least time between two times that a sidecar under the floor asks for the same.
func (f *Floor) pause() time.Duration { return max(againLeas, f.Spread.D()) }

// Verdict is what the sidecar may do now.
func (a *Actor) Verdict(now time.Duration) Verdict {
	if a.waking || now-a.beat > Gap {
		woke := a.woke
		if now-a.beat > Gap {
			woke = now // and its owner has not even noticed
		}
		if end := woke + wakeMost; now < end {
			return Verdict{State: Waking, Why: "was stopped and has not heard the list service since", Since: woke, Until: end, Again: end - now}
		}
	}
	v := Verdict{State: Acts, Since: a.contact, Until: Forever}
	if l := a.limits; l.Lease > 0 {
		end := a.contact + l.Lease
		switch {
		case now < end:
			v.Until = end
		case l.mayBeAlone():
			return Verdict{State: Shut, Why: "alone", Since: end, Until: Forever, Again: shutAgain}
		default:
			v.Why, v.Since = "alone", end
		}
	}
	f := a.Floor(now)
	if f == nil {
		return v
	}
	v.Until = min(v.Until, a.lapses)
	if !a.under {
		return v
	}
	if now < a.ripe {
		v.Until = min(v.Until, a.ripe)
		return v
	}
	v.State, v.Since, v.Why = Behind, a.ripe, "under the floor: "+f.lacks(&a.now)
	if a.Ticket(now) != nil {
		v.State, v.Since, v.Again = Shut, max(a.ripe, a.from), shutAgain
		v.Until = min(v.Until, a.until)
	}
	return v
}

// Wants is what to do now; each thing is asked for once, and again when its next moment has come.
func (a *Actor) Wants(now time.Duration) Wants {
	waking := a.waking && now < a.woke+wakeMost
	f := a.Floor(now)
	if f == nil || !a.under {
		return Wants{List: waking && a.list.due(now, againLeas)}
	}
	list, settings, file, build := f.Meets(&a.now)
	return Wants{
		List:    (!list || waking) && a.list.due(now, f.pause()),
		Config:  !(settings && file) && a.config.due(now, f.pause()),
		Succeed: !build,
	}
}
