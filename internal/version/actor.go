package version

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Time-outs of an Actor.
const (
	// StopThreshold is the time between two heartbeats above which the process was stopped, for so long that it may have missed
	// a host's removal. Shorter gaps are a busy machine's.
	StopThreshold = 2 * time.Second
	// maxWakeWait bounds the wait for the list service after a stop: a long poll of 1 s and its answer. After that the sidecar
	// acts, for a list service that is down must not be an outage.
	maxWakeWait = 1500 * time.Millisecond

	minRequestInterval = 2 * time.Second // between two requests for the same thing, so that a minimum version that can't be met is no load
	shutOutRetryAfter  = time.Second     // the Retry-After of a sidecar that is shut out: it may be back with the list service's next answer
)

// Actor decides for one sidecar. It knows the minimum version in force and what the sidecar acts on. Its owner passes the
// events in their order.
type Actor struct {
	limits  Limits
	rand    *rand.Rand
	current Version
	epoch   uint64 // of the last order accepted
	by      string // the auditor of that order

	minimum       *MinimumVersion // nil: none
	minimumExpiry time.Duration
	graceEnd      time.Duration // from when on it is behind, if it is below the minimum
	belowMinimum  bool

	permit       *Permit // the last one, which may have expired; nil: none
	permitStart  time.Duration
	permitExpiry time.Duration

	lastHeartbeat time.Duration
	resuming      bool
	resumedAt     time.Duration
	lastContact   time.Duration // when the list service or an auditor was last heard

	listRequests, configRequests requestSchedule
}

// NewActor returns the actor of a process that starts now and has last accepted the order of this epoch and auditor.
func NewActor(now time.Duration, l Limits, r *rand.Rand, epoch uint64, by string) *Actor {
	a := &Actor{limits: l, rand: r, epoch: epoch, by: by, lastHeartbeat: now, lastContact: now}
	a.current.Epoch = epoch
	return a
}

// LastOrder returns the last order that was accepted, for the next process.
func (a *Actor) LastOrder() (epoch uint64, by string) { return a.epoch, a.by }

// Minimum returns the minimum version in force, or nil. It is not to be changed.
func (a *Actor) Minimum(now time.Duration) *MinimumVersion {
	if a.minimum == nil || now >= a.minimumExpiry {
		return nil
	}
	return a.minimum
}

// Permit returns the permit in force, or nil.
func (a *Actor) Permit(now time.Duration) *Permit {
	if permits, _ := a.limits.shutOutLimits(); a.permit == nil || now >= a.permitExpiry || a.permit.Number >= permits {
		return nil
	}
	return a.permit
}

// SetLimits replaces the limits. Orders for another site lose their force.
func (a *Actor) SetLimits(l Limits) {
	if l.Site != a.limits.Site {
		a.minimum, a.permit, a.belowMinimum = nil, nil, false
	}
	a.limits = l
}

// Adopt records what the sidecar acts on from now on; the version's epoch is ignored.
func (a *Actor) Adopt(now time.Duration, v Version) {
	v.Epoch = a.epoch
	a.current = v
	a.evaluate(now)
}

// evaluate checks whether the version in force is below the minimum. The grace runs from when it first was: a sidecar that was
// below the minimum version before gets no new grace, or a sequence of them would be a grace without end.
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

// ConfirmList records that the list service has answered a request sent at requestedAt, which proves that the list is current.
// The answer to a request from before a stop may be from before the stop, too, and proves nothing about now.
func (a *Actor) ConfirmList(now, requestedAt time.Duration) {
	a.Heartbeat(now)
	if a.resuming && requestedAt < a.resumedAt {
		a.lastContact = max(a.lastContact, requestedAt)
		return
	}
	a.resuming, a.lastContact = false, now
}

// ConfirmByAuditor records that an auditor has contacted the sidecar.
func (a *Actor) ConfirmByAuditor(now time.Duration) { a.lastContact = max(a.lastContact, now) }

// Heartbeat records that the process runs, and returns for how long it was stopped: 0 up to StopThreshold.
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

// Accept accepts an order, or rejects it with an error of type KeyError, WrongSiteError or StaleOrderError and changes nothing.
// Wall is the Unix time by the sidecar's clock. An order of a higher epoch without a permit revokes the permit; within an epoch
// the permit expires, for an order without one may only be a late one.
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
	// The same permit received once more isn't renewed.
	if t := o.Permit; t != nil && (a.permit == nil || t.Issued > a.permit.Issued) {
		if a.permit == nil || now >= a.permitExpiry {
			a.permitStart = now
		}
		a.permit, a.permitExpiry = &Permit{t.Number, t.Issued, t.Validity}, now+min(t.Validity.D(), t.Validity.D()+maxClockSkew-age)
	}
	return nil
}

// adoptMinimum puts a minimum version in force.
func (a *Actor) adoptMinimum(now time.Duration, f MinimumVersion) {
	if a.Minimum(now) == nil {
		a.belowMinimum = false // the grace begins anew after one that has expired
	}
	a.epoch, a.by, a.current.Epoch = f.Epoch, f.By, f.Epoch
	a.minimum, a.minimumExpiry = &f, now+f.Validity.D()
	a.evaluate(now)
}

// Verdict returns what the sidecar may do now.
func (a *Actor) Verdict(now time.Duration) Verdict {
	if a.resuming || now-a.lastHeartbeat > StopThreshold {
		woke := a.resumedAt
		if now-a.lastHeartbeat > StopThreshold {
			woke = now // the owner hasn't called Heartbeat since the stop
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

// Actions returns what to do now. Each thing is requested once, and again when its next time has come.
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
