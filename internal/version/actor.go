package version

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Tunables of a sidecar that looks at itself.
const (
	StopThreshold      = 2 * time.Second         // between two beats: a stop that may hide that a host was told to leave. Shorter ones are a busy machine's
	maxWakeWait        = 1500 * time.Millisecond // that it waits for the list service after a stop: a watch of 1 s, and its answer. Then it acts: a list service that is down must not be an outage
	minRequestInterval = 2 * time.Second         // between two times that the same is asked for because of a floor, so that a floor that can't be met is no load
	shutOutRetryAfter  = time.Second             // that a client of a shut sidecar is told to wait: it can be back with the list service's next answer
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
func (l Limits) shutOutLimits() (tickets, alone int) {
	tickets = MaxShutOut(l.Share, l.Instances)
	if l.Closed && l.Lease > 0 {
		alone = (tickets + 1) / 2
	}
	return tickets - alone, alone
}

// mayShutOutAlone tells whether the sidecar is one of those that shut themselves out when they are alone. They are spread evenly over
// the ranks, which zones commonly are as well.
func (l Limits) mayShutOutAlone() bool {
	_, alone := l.shutOutLimits()
	if alone == 0 || l.Rank < 0 || l.Rank >= l.Instances {
		return false
	}
	step := l.Instances / alone
	return l.Rank%step == 0 && l.Rank/step < alone
}

// Order's refusals, beside KeyError.
type (
	// StaleOrderError is an order that a later one has overtaken, or that comes too late.
	StaleOrderError struct{ Reason string }
	// WrongSiteError is an order for another site.
	WrongSiteError struct{ Site, Own string }
)

func (e StaleOrderError) Error() string { return "version: the order is old: " + e.Reason }
func (e WrongSiteError) Error() string {
	return fmt.Sprintf("version: the order is for the site %q, this is %q", e.Site, e.Own)
}

// The states of a sidecar.
const (
	Active   = "acts"
	Behind   = "behind" // under the floor, and its grace is over
	Resuming = "waking" // it was stopped and has not heard the list service since
	ShutOut  = "shut"
)

// Verdict is what a sidecar may do.
type Verdict struct {
	State      string
	Reason     string        // empty where it simply acts
	Since      time.Duration // the time at which that began
	Until      time.Duration // up to then it holds, unless something happens or a beat is Gap late
	RetryAfter time.Duration // after which a refused client may come again
}

// AcceptsStreams tells whether new streams are taken.
func (v Verdict) AcceptsStreams() bool { return v.State != ShutOut && v.State != Resuming }

// SendsAttempts tells whether attempts go out. One that is shut out answers what it has taken, from whatever list it has.
func (v Verdict) SendsAttempts() bool { return v.State != Resuming }

// Actions is what the sidecar has to do to come up to the floor.
type Actions struct {
	RefreshList    bool // ask the list service for the whole list, now
	RereadConfig   bool // read the configuration again, now
	NeedsSuccessor bool // its build is under the floor: it can but tell that it has to be succeeded
}

// Actor is what a sidecar knows of floors and of itself, and what follows. Its owner keeps the events in order.
type Actor struct {
	limits  Limits
	rand    *rand.Rand
	current Version
	epoch   uint64 // of the last order taken,
	by      string // and whose

	minimum       *MinimumVersion // nil: none
	minimumExpiry time.Duration
	graceEnd      time.Duration // from when on it is behind, if it is under the floor
	belowMinimum  bool

	permit       *Permit // the last one, perhaps lapsed; nil: none
	permitStart  time.Duration
	permitExpiry time.Duration

	lastHeartbeat time.Duration
	resuming      bool
	resumedAt     time.Duration
	lastContact   time.Duration // when it heard or was vouched for last

	listRequests, configRequests requestSchedule
}

// moment is when something is asked for. It has its own place in the spread and keeps it, so that a fleet stays spread.
type requestSchedule struct {
	wanted bool
	next   time.Duration
	last   time.Duration // 0: never
}

// want says whether the floor makes the thing wanted; where it was not before, its moment is drawn.
func (m *requestSchedule) update(wanted bool, now time.Duration, f *MinimumVersion, r *rand.Rand) {
	if wanted && !m.wanted {
		m.next = now
		if f.Spread > 0 {
			m.next += time.Duration(r.Int64N(int64(f.Spread.D())))
		}
		if m.last != 0 {
			m.next = max(m.next, m.last+f.requestInterval())
		}
	}
	m.wanted = wanted
}

// due tells whether the moment has come, and sets the next one.
func (m *requestSchedule) due(now, pause time.Duration) bool {
	if now < m.next {
		return false
	}
	m.next, m.last = now+pause, now
	return true
}

// NewActor returns that of a process that starts now and last took the order of this epoch and auditor.
func NewActor(now time.Duration, l Limits, r *rand.Rand, epoch uint64, by string) *Actor {
	a := &Actor{limits: l, rand: r, epoch: epoch, by: by, lastHeartbeat: now, lastContact: now}
	a.current.Epoch = epoch
	return a
}

// LastOrder is the last order that was taken, for the next process.
func (a *Actor) LastOrder() (epoch uint64, by string) { return a.epoch, a.by }

// Minimum is the floor in force, or nil; what it points to stays as it is.
func (a *Actor) Minimum(now time.Duration) *MinimumVersion {
	if a.minimum == nil || now >= a.minimumExpiry {
		return nil
	}
	return a.minimum
}

// Permit is the ticket in force, or nil.
func (a *Actor) Permit(now time.Duration) *Permit {
	if tickets, _ := a.limits.shutOutLimits(); a.permit == nil || now >= a.permitExpiry || a.permit.Number >= tickets {
		return nil
	}
	return a.permit
}

// SetLimits takes other limits. What was ordered for another site holds no more.
func (a *Actor) SetLimits(l Limits) {
	if l.Site != a.limits.Site {
		a.minimum, a.permit, a.belowMinimum = nil, nil, false
	}
	a.limits = l
}

// Adopt says what the sidecar acts on from now on; the epoch in it is not looked at.
func (a *Actor) Adopt(now time.Duration, v Version) {
	v.Epoch = a.epoch
	a.current = v
	a.evaluate(now)
}

// judge looks whether it is under the floor. The grace runs from when it came under one: who was under the one before gets no
// new grace, for one floor after the other would be a grace without end.
func (a *Actor) evaluate(now time.Duration) {
	f := a.Minimum(now)
	if f == nil {
		a.belowMinimum, a.listRequests.wanted, a.configRequests.wanted = false, false, false
		return
	}
	list, settings, file, build := f.MetBy(&a.current)
	under := !(list && settings && file && build)
	if ripe := now + f.Grace.D(); under && (!a.belowMinimum || ripe < a.graceEnd) {
		a.graceEnd = ripe
	}
	a.belowMinimum = under
	a.listRequests.update(!list, now, f, a.rand)
	a.configRequests.update(!(settings && file), now, f, a.rand)
}

// ConfirmList says that the list service answered what it was asked at the time asked, which proves the list fresh. What was asked
// before a stop may have been answered before it as well, and proves nothing of now.
func (a *Actor) ConfirmList(now, asked time.Duration) {
	a.Heartbeat(now)
	if a.resuming && asked < a.resumedAt {
		a.lastContact = max(a.lastContact, asked)
		return
	}
	a.resuming, a.lastContact = false, now
}

// ConfirmByAuditor says that an auditor has seen it.
func (a *Actor) ConfirmByAuditor(now time.Duration) { a.lastContact = max(a.lastContact, now) }

// Heartbeat says that the process runs, and returns for how long it did not: 0 unless that may hide something.
func (a *Actor) Heartbeat(now time.Duration) time.Duration {
	gap := now - a.lastHeartbeat
	a.lastHeartbeat = max(a.lastHeartbeat, now)
	if gap <= StopThreshold {
		return 0
	}
	a.resuming, a.resumedAt = true, now
	a.listRequests.next = now
	return gap
}

// Accept takes an order, or refuses it with an error of type KeyError, WrongSiteError or Older and leaves all as it was. wall is the Unix
// time by the own clock. A ticket is taken back by an order of a higher epoch without one; within an epoch it lapses, for an order
// without one that comes late looks the same.
func (a *Actor) Accept(now, wall time.Duration, o Order) error {
	if err := o.Check(); err != nil {
		return err
	}
	f := o.Minimum
	if f.Site != a.limits.Site {
		return WrongSiteError{f.Site, a.limits.Site}
	}
	order := compare(f.Epoch, f.By, a.epoch, a.by)
	if order < 0 {
		return StaleOrderError{fmt.Sprintf("epoch %d by %q, after %d by %q", f.Epoch, f.By, a.epoch, a.by)}
	}
	if order == 0 && a.minimum != nil && !f.equal(a.minimum) {
		return KeyError{"floor.epoch", "was given to another floor"}
	}
	var age time.Duration
	if t := o.Permit; t != nil {
		age = wall - t.Issued.D()
		if age >= t.Validity.D()+maxClockSkew || age < -maxClockSkew {
			return StaleOrderError{fmt.Sprintf("its ticket for %s was issued %s ago by this clock", t.Validity.D(), age)}
		}
		if order == 0 && a.permit != nil && t.Issued < a.permit.Issued {
			return StaleOrderError{"a later ticket has been taken"}
		}
	}
	if order != 0 {
		a.permit = nil
	}
	if order != 0 || a.minimum == nil {
		a.adoptMinimum(now, f)
	}
	// The same one once more prolongs nothing.
	if t := o.Permit; t != nil && (a.permit == nil || t.Issued > a.permit.Issued) {
		if a.permit == nil || now >= a.permitExpiry {
			a.permitStart = now
		}
		a.permit, a.permitExpiry = &Permit{t.Number, t.Issued, t.Validity}, now+min(t.Validity.D(), t.Validity.D()+maxClockSkew-age)
	}
	return nil
}

// raise takes a floor.
func (a *Actor) adoptMinimum(now time.Duration, f MinimumVersion) {
	if a.Minimum(now) == nil {
		a.belowMinimum = false // what was under one that has lapsed begins anew
	}
	a.epoch, a.by, a.current.Epoch = f.Epoch, f.By, f.Epoch
	a.minimum, a.minimumExpiry = &f, now+f.Validity.D()
	a.evaluate(now)
}

// pause is the least time between two times that a sidecar under the floor asks for the same.
func (f *MinimumVersion) requestInterval() time.Duration {
	return max(minRequestInterval, f.Spread.D())
}

// Verdict is what the sidecar may do now.
func (a *Actor) Verdict(now time.Duration) Verdict {
	if a.resuming || now-a.lastHeartbeat > StopThreshold {
		woke := a.resumedAt
		if now-a.lastHeartbeat > StopThreshold {
			woke = now // and its owner has not even noticed
		}
		if end := woke + maxWakeWait; now < end {
			return Verdict{State: Resuming, Reason: "was stopped and has not heard the list service since", Since: woke, Until: end, RetryAfter: end - now}
		}
	}
	v := Verdict{State: Active, Since: a.lastContact, Until: Forever}
	if l := a.limits; l.Lease > 0 {
		end := a.lastContact + l.Lease
		switch {
		case now < end:
			v.Until = end
		case l.mayShutOutAlone():
			return Verdict{State: ShutOut, Reason: "alone", Since: end, Until: Forever, RetryAfter: shutOutRetryAfter}
		default:
			v.Reason, v.Since = "alone", end
		}
	}
	f := a.Minimum(now)
	if f == nil {
		return v
	}
	v.Until = min(v.Until, a.minimumExpiry)
	if !a.belowMinimum {
		return v
	}
	if now < a.graceEnd {
		v.Until = min(v.Until, a.graceEnd)
		return v
	}
	v.State, v.Since, v.Reason = Behind, a.graceEnd, "under the floor: "+f.missing(&a.current)
	if a.Permit(now) != nil {
		v.State, v.Since, v.RetryAfter = ShutOut, max(a.graceEnd, a.permitStart), shutOutRetryAfter
		v.Until = min(v.Until, a.permitExpiry)
	}
	return v
}

// Actions is what to do now; each thing is asked for once, and again when its next moment has come.
func (a *Actor) Actions(now time.Duration) Actions {
	waking := a.resuming && now < a.resumedAt+maxWakeWait
	f := a.Minimum(now)
	if f == nil || !a.belowMinimum {
		return Actions{RefreshList: waking && a.listRequests.due(now, minRequestInterval)}
	}
	list, settings, file, build := f.MetBy(&a.current)
	return Actions{
		RefreshList:    (!list || waking) && a.listRequests.due(now, f.requestInterval()),
		RereadConfig:   !(settings && file) && a.configRequests.due(now, f.requestInterval()),
		NeedsSuccessor: !build,
	}
}
