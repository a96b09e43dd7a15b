package quota

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/config"
)

// leasedFleet is an allocator and routers that renew their leases with it, over a network that fails at times.
type leasedFleet struct {
	now              time.Duration
	view             uint64
	activatedAt      time.Duration // the allocator
	allocator        *Allocator    // nil: none is active
	routers          []*LocalQuota
	nextRenewal      []time.Duration // when each renews
	unreachableUntil []time.Duration // until when each can't reach the allocator
	answersLostUntil []time.Duration // until when answers to each are lost
	random           *rand.Rand
	tenant           *config.Tenant

	withRestarts bool // is among the faults
}

func newLeasedFleet(routers int, seed uint64) *leasedFleet {
	f := &leasedFleet{
		view: 1, random: rand.New(rand.NewPCG(seed, 8)), nextRenewal: make([]time.Duration, routers),
		unreachableUntil: make([]time.Duration, routers), answersLostUntil: make([]time.Duration, routers),
	}
	for i := range routers {
		q := NewLocalQuota(settings)
		q.StartSession(uint64(i+1) << 32)
		f.routers = append(f.routers, q)
	}
	f.allocator = NewAllocator(settings)
	f.allocator.Activate(0, 1, false, settings.Window)
	f.tenant = tenant()
	f.tenant.RatePerS, f.tenant.Burst = 400000, 400000
	return f
}

func (f *leasedFleet) name(i int) string { return fmt.Sprint("router-", i) }

// names returns those of all routers.
func (f *leasedFleet) names() []string {
	var all []string
	for i := range f.routers {
		all = append(all, f.name(i))
	}
	return all
}

// renewLeases lets each router renew its lease where that is due.
func (f *leasedFleet) renewLeases(t *config.Tenant) {
	for i, q := range f.routers {
		if f.now < f.nextRenewal[i] {
			continue
		}
		f.nextRenewal[i] = f.now + RenewInterval(len(f.routers))
		r := q.BeginRenewal(f.now)
		if f.allocator == nil || f.now < f.unreachableUntil[i] {
			continue
		}
		shares := map[string]float64{}
		if usage, reported := r.Usage[t.Name]; reported {
			shares[t.Name] = f.allocator.RenewLease(f.now, t, f.name(i), r.Number, len(f.routers), usage)
		}
		f.allocator.RecordAnnouncement(f.name(i))
		f.allocator.ExpectAnnouncements(f.names())
		if f.now >= f.answersLostUntil[i] {
			q.CompleteRenewal(r, shares)
		}
	}
}

// consume sends a request to a router, and reports whether it is let through.
func (f *leasedFleet) consume(i int, t *config.Tenant, units float64) bool {
	q := f.routers[i]
	reachable := f.allocator
	if f.now < f.unreachableUntil[i] || f.now < f.answersLostUntil[i] {
		reachable = nil
	}
	if charge(f.now, q, reachable, t, units) {
		return true
	}
	if reachable != nil {
		return false
	}
	if ok, wait := q.ConsumeLease(f.now, t, units); ok || wait > 0 {
		return ok
	}
	return q.ConsumeFallbackAfterLease(f.now, t, units, len(f.routers), f.random.Float64())
}

// stopAllocator ends the allocator; another one starts later.
func (f *leasedFleet) stopAllocator() { f.allocator = nil }

func (f *leasedFleet) startAllocator() {
	f.view++
	f.allocator = NewAllocator(settings)
	f.allocator.Activate(f.now, f.view, false, f.now-f.activatedAt)
	f.allocator.SetRouters(len(f.routers))
	f.activatedAt = f.now
}

// leaseSeeds is how many seeds of each size TestLeasesStayWithinBound plays.
var leaseSeeds = flag.Int("lease-seeds", 60, "seeds of each size that TestLeasesStayWithinBound plays")

// Guards against use beyond the bound with leases, whoever is cut off, whatever answers are lost, and however often the
// allocator fails.
func TestLeasesStayWithinBound(t *testing.T) {
	for _, routers := range []int{3, 12, MaxLeaseFleetSize} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			t.Parallel()
			for seed := range *leaseSeeds {
				f := newLeasedFleet(routers, uint64(seed))
				t1 := f.tenant
				f.withRestarts = seed%2 == 1
				if got, allowed := maxInWindow(f.play(t1, 40*time.Second), settings.Window), allowedInWindow(t1); got > allowed {
					t.Fatalf("seed %d: %.0f in a window, %.0f are allowed", seed, got, allowed)
				}
			}
		})
	}
}

// overload sends forty times the rate for a time, evenly, and returns what is let through.
func (f *leasedFleet) overload(span time.Duration) []use {
	t := f.tenant
	var uses []use
	for end := f.now + span; f.now < end; {
		f.now += 5 * time.Millisecond
		f.renewLeases(t)
		for i := range f.routers {
			if units := t.RatePerS / 5 / float64(len(f.routers)); f.consume(i, t, units) {
				uses = append(uses, use{f.now, units})
			}
		}
	}
	return uses
}

// idle lets time pass without requests.
func (f *leasedFleet) idle(span time.Duration) {
	for end := f.now + span; f.now < end; f.now += 5 * time.Millisecond {
		f.renewLeases(f.tenant)
	}
}

// eventSequences are sequences that random ones seldom contain. Each starts with a fleet whose tenant has been at its rate for
// some time, and returns what the tenant used.
var eventSequences = map[string]func(f *leasedFleet) []use{
	"a tenant is idle while there is no allocator, uses its shares at once, and goes on with the next allocator": func(f *leasedFleet) []use {
		f.stopAllocator()
		f.idle(4 * time.Second)
		uses := f.overload(100 * time.Millisecond)
		f.startAllocator()
		return append(uses, f.overload(8*time.Second)...)
	},
	"a new allocator follows a burst, and gets no renewal of a router that uses its share": func(f *leasedFleet) []use {
		f.idle(3 * time.Second)
		uses := f.overload(200 * time.Millisecond)
		f.stopAllocator()
		f.unreachableUntil[0] = f.now + time.Hour
		f.startAllocator()
		return append(uses, f.overload(settings.Window)...)
	},
	"a router returns that has not used its share, after the others had the time to use all that is there": func(f *leasedFleet) []use {
		f.unreachableUntil[0] = f.now + 10*time.Second
		f.idle(9 * time.Second)
		return f.overload(settings.Window)
	},
}

// Guards against use beyond the bound in sequences of events that random ones seldom contain.
func TestEventSequencesStayWithinBound(t *testing.T) {
	for name, play := range eventSequences {
		t.Run(name, func(t *testing.T) {
			f := newLeasedFleet(3, 1)
			f.overload(6 * time.Second)
			if got, allowed := maxInWindow(play(f), settings.Window), allowedInWindow(f.tenant); got > allowed {
				t.Errorf("%.0f in a window, %.0f are allowed", got, allowed)
			}
		})
	}
}

// play sends up to five times the rate, unevenly over the routers, in the midst of faults.
func (f *leasedFleet) play(t *config.Tenant, span time.Duration) []use {
	var uses []use
	nextFault, restartAt, busyFrom := time.Duration(0), time.Duration(0), time.Duration(0)
	for f.now < span {
		f.now += 5 * time.Millisecond
		if f.now >= nextFault {
			nextFault = f.now + time.Duration(f.random.IntN(4000))*time.Millisecond
			f.injectFault(&restartAt, &busyFrom)
		}
		if f.allocator == nil && f.now >= restartAt {
			f.startAllocator()
		}
		f.renewLeases(t)
		if f.now < busyFrom && f.random.IntN(10) > 0 {
			continue
		}
		for range 3 {
			i := min(f.random.IntN(len(f.routers)), f.random.IntN(len(f.routers)))
			if units := float64(500 + f.random.IntN(6000)); f.consume(i, t, units) {
				uses = append(uses, use{f.now, units})
			}
		}
	}
	return uses
}

// restart replaces a router by a new process, which knows nothing.
func (f *leasedFleet) restart(i int) {
	f.routers[i] = NewLocalQuota(settings)
	f.routers[i].StartSession(f.random.Uint64() >> 1)
}

// injectFault cuts routers off, loses answers, stops the allocator, restarts routers, or lets the tenant be idle.
func (f *leasedFleet) injectFault(restartAt, busyFrom *time.Duration) {
	span := time.Duration(f.random.IntN(9000)) * time.Millisecond
	kinds := 5
	if f.withRestarts {
		kinds = 6
	}
	switch f.random.IntN(kinds) {
	case 0:
		f.stopAllocator()
		*restartAt = f.now + time.Duration(200+f.random.IntN(4000))*time.Millisecond
	case 1, 2:
		for i := range f.routers {
			if f.random.IntN(3) == 0 {
				f.unreachableUntil[i] = f.now + span
			}
		}
	case 3:
		for i := range f.routers {
			if f.random.IntN(3) == 0 {
				f.answersLostUntil[i] = f.now + span
			}
		}
	case 4:
		*busyFrom = f.now + span/2
	case 5:
		for i := range f.routers {
			if f.random.IntN(4) == 0 {
				f.restart(i)
			}
		}
	}
}

// admittedShare returns the part of the units sent that is let through over a time, with a tenant at three quarters of its rate.
func (f *leasedFleet) admittedShare(t *config.Tenant, span time.Duration) float64 {
	sent, admitted := 0.0, 0.0
	for end := f.now + span; f.now < end; {
		f.now += 10 * time.Millisecond
		f.renewLeases(t)
		units := 0.75 * t.RatePerS / 100
		sent += units
		if f.consume(f.random.IntN(len(f.routers)), t, units) {
			admitted += units
		}
	}
	return admitted / sent
}

func TestLeases(t *testing.T) {
	Convey("Twelve routers of a tenant at three quarters of its rate", t, func() {
		f, t := newLeasedFleet(12, 5), tenant()
		So(f.admittedShare(t, 10*time.Second), ShouldBeGreaterThan, 0.97) // buckets start with a small part of the burst
		Convey("are let through without an allocator until their leases expire", func() {
			f.stopAllocator()
			So(f.admittedShare(t, 4*time.Second), ShouldBeGreaterThan, 0.85)
			Convey("and by the next one, to which they announce their leases", func() {
				f.startAllocator()
				f.admittedShare(t, 500*time.Millisecond)
				So(f.admittedShare(t, 5*time.Second), ShouldBeGreaterThan, 0.9)
			})
		})
		Convey("are not let through without an allocator after their leases have expired", func() {
			f.stopAllocator()
			f.admittedShare(t, LeaseDuration)
			So(f.admittedShare(t, time.Second), ShouldBeLessThan, 0.4) // the fallback rate, and its burst
		})
		Convey("go on serving where four are cut off, until their leases expire", func() {
			for i := range 4 {
				f.unreachableUntil[i] = f.now + time.Hour
			}
			So(f.admittedShare(t, 4*time.Second), ShouldBeGreaterThan, 0.85)
		})
		Convey("have a new allocator grant at once when all have restarted and have no leases", func() {
			f.startAllocator()
			for i := range f.routers {
				f.restart(i)
				f.allocator.RecordAnnouncement(f.name(i))
			}
			f.allocator.ExpectAnnouncements(f.names())
			So(f.admittedShare(t, 5*time.Second), ShouldBeGreaterThan, 0.9)
		})
	})
}
