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

// leasedFleet simulates an allocator, and routers that renew their leases over a network with injected faults.
type leasedFleet struct {
	now              time.Duration
	view             uint64
	activatedAt      time.Duration // when the allocator was activated
	allocator        *Allocator    // nil: none is active
	routers          []*LocalQuota
	nextRenewal      []time.Duration // time of each router's next renewal
	unreachableUntil []time.Duration // time until which each router can't reach the allocator
	repliesLostUntil []time.Duration // time until which replies to each router are lost
	random           *rand.Rand
	tenant           *config.Tenant

	withRestarts bool // restarts of routers are among the faults
}

func newLeasedFleet(routers int, seed uint64) *leasedFleet {
	f := &leasedFleet{
		view: 1, random: rand.New(rand.NewPCG(seed, 8)), nextRenewal: make([]time.Duration, routers),
		unreachableUntil: make([]time.Duration, routers), repliesLostUntil: make([]time.Duration, routers),
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

// names returns the names of all routers.
func (f *leasedFleet) names() []string {
	var all []string
	for i := range f.routers {
		all = append(all, f.name(i))
	}
	return all
}

// renewLeases renews the leases of all routers whose renewal time has come.
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
		if f.now >= f.repliesLostUntil[i] {
			q.CompleteRenewal(r, shares)
		}
	}
}

// consume sends a request to a router and reports whether the request is admitted.
func (f *leasedFleet) consume(i int, t *config.Tenant, units float64) bool {
	q := f.routers[i]
	reachable := f.allocator
	if f.now < f.unreachableUntil[i] || f.now < f.repliesLostUntil[i] {
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

// stopAllocator stops the allocator. The caller starts another one later.
func (f *leasedFleet) stopAllocator() { f.allocator = nil }

func (f *leasedFleet) startAllocator() {
	f.view++
	f.allocator = NewAllocator(settings)
	f.allocator.Activate(f.now, f.view, false, f.now-f.activatedAt)
	f.allocator.SetRouters(len(f.routers))
	f.activatedAt = f.now
}

// leaseSeeds is the number of seeds that TestLeasesStayWithinBound runs for each fleet size.
var leaseSeeds = flag.Int("lease-seeds", 60, "number of seeds that TestLeasesStayWithinBound runs for each fleet size")

// Guards against use beyond the bound with leases when routers are partitioned off or restart, replies are lost, and allocators
// fail.
func TestLeasesStayWithinBound(t *testing.T) {
	for _, routers := range []int{3, 12, MaxLeaseFleetSize} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			t.Parallel()
			for seed := range *leaseSeeds {
				f := newLeasedFleet(routers, uint64(seed))
				t1 := f.tenant
				f.withRestarts = seed%2 == 1
				if got, allowed := maxInWindow(f.simulate(t1, 40*time.Second), settings.Window), allowedInWindow(t1); got > allowed {
					t.Fatalf("seed %d: %.0f units used in a window, %.0f are allowed", seed, got, allowed)
				}
			}
		})
	}
}

// overload sends requests for forty times the rate, evenly over the routers, and returns the admitted ones.
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

// idle advances the time without requests.
func (f *leasedFleet) idle(span time.Duration) {
	for end := f.now + span; f.now < end; f.now += 5 * time.Millisecond {
		f.renewLeases(f.tenant)
	}
}

// eventSequences are sequences of events that random simulations seldom contain. Each starts with a fleet whose tenant has used
// its full rate for some time, and returns the admitted requests.
var eventSequences = map[string]func(f *leasedFleet) []use{
	"a tenant is idle without an allocator, then uses its shares at once, and continues with the next allocator": func(f *leasedFleet) []use {
		f.stopAllocator()
		f.idle(4 * time.Second)
		uses := f.overload(100 * time.Millisecond)
		f.startAllocator()
		return append(uses, f.overload(8*time.Second)...)
	},
	"an allocator starts after a burst, and receives no renewals from a router that uses its share": func(f *leasedFleet) []use {
		f.idle(3 * time.Second)
		uses := f.overload(200 * time.Millisecond)
		f.stopAllocator()
		f.unreachableUntil[0] = f.now + time.Hour
		f.startAllocator()
		return append(uses, f.overload(settings.Window)...)
	},
	"a router reconnects without having used its share, after the others could use the whole bucket": func(f *leasedFleet) []use {
		f.unreachableUntil[0] = f.now + 10*time.Second
		f.idle(9 * time.Second)
		return f.overload(settings.Window)
	},
}

// Guards against use beyond the bound in sequences of events that random simulations seldom contain.
func TestEventSequencesStayWithinBound(t *testing.T) {
	for name, runSequence := range eventSequences {
		t.Run(name, func(t *testing.T) {
			f := newLeasedFleet(3, 1)
			f.overload(6 * time.Second)
			if got, allowed := maxInWindow(runSequence(f), settings.Window), allowedInWindow(f.tenant); got > allowed {
				t.Errorf("%.0f units used in a window, %.0f are allowed", got, allowed)
			}
		})
	}
}

// simulate sends requests for up to five times the rate, unevenly over the routers, while it injects faults. It returns the
// admitted requests.
func (f *leasedFleet) simulate(t *config.Tenant, span time.Duration) []use {
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

// restart replaces a router by a new process without any state.
func (f *leasedFleet) restart(i int) {
	f.routers[i] = NewLocalQuota(settings)
	f.routers[i].StartSession(f.random.Uint64() >> 1)
}

// injectFault partitions routers off, drops replies, stops the allocator, makes the tenant idle, or restarts routers.
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
				f.repliesLostUntil[i] = f.now + span
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

// admittedShare sends requests for three quarters of the tenant's rate and returns the fraction of units that is admitted.
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
	Convey("Twelve routers with a tenant that uses three quarters of its rate", t, func() {
		f, t := newLeasedFleet(12, 5), tenant()
		So(f.admittedShare(t, 10*time.Second), ShouldBeGreaterThan, 0.97) // buckets start with a small part of the burst
		Convey("admit requests without an allocator until their leases expire", func() {
			f.stopAllocator()
			So(f.admittedShare(t, 4*time.Second), ShouldBeGreaterThan, 0.85)
			Convey("and with the next allocator, to which they announce their leases", func() {
				f.startAllocator()
				f.admittedShare(t, 500*time.Millisecond)
				So(f.admittedShare(t, 5*time.Second), ShouldBeGreaterThan, 0.9)
			})
		})
		Convey("admit few requests without an allocator after their leases have expired", func() {
			f.stopAllocator()
			f.admittedShare(t, LeaseDuration)
			So(f.admittedShare(t, time.Second), ShouldBeLessThan, 0.4) // the fallback rate and burst
		})
		Convey("continue to admit requests if four are partitioned off, until their leases expire", func() {
			for i := range 4 {
				f.unreachableUntil[i] = f.now + time.Hour
			}
			So(f.admittedShare(t, 4*time.Second), ShouldBeGreaterThan, 0.85)
		})
		Convey("get grants from a new allocator immediately if all have restarted and hold no leases", func() {
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
