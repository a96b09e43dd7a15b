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

// leasedFleet is a ledger and routers that renew their leases with it, over ways that are cut at times.
type leasedFleet struct {
	now              time.Duration
	view             uint64
	activatedAt      time.Duration // the ledger
	allocator        *Allocator    // nil: there is none
	routers          []*LocalQuota
	nextRenewal      []time.Duration // when each renews
	unreachableUntil []time.Duration // until when each reaches no ledger
	answersLostUntil []time.Duration // until when the answers to each are lost
	random           *rand.Rand
	tenant           *config.Tenant

	restarts bool // routers start again, too
}

func newLeasedFleet(routers int, seed uint64) *leasedFleet {
	f := &leasedFleet{
		view: 1, random: rand.New(rand.NewPCG(seed, 8)), nextRenewal: make([]time.Duration, routers),
		unreachableUntil: make([]time.Duration, routers), answersLostUntil: make([]time.Duration, routers),
	}
	for i := range routers {
		a := NewLocalQuota(settings)
		a.StartSession(uint64(i+1) << 32)
		f.routers = append(f.routers, a)
	}
	f.allocator = NewAllocator(settings)
	f.allocator.Activate(0, 1, false, settings.Window)
	f.tenant = tenant()
	f.tenant.RatePerS, f.tenant.Burst = 400000, 400000
	return f
}

func (f *leasedFleet) name(i int) string { return fmt.Sprint("router-", i) }

// names are those of all routers.
func (f *leasedFleet) names() []string {
	var all []string
	for i := range f.routers {
		all = append(all, f.name(i))
	}
	return all
}

// renew has routers renew whose time has come.
func (f *leasedFleet) renewLeases(t *config.Tenant) {
	for i, a := range f.routers {
		if f.now < f.nextRenewal[i] {
			continue
		}
		f.nextRenewal[i] = f.now + RenewInterval(len(f.routers))
		r := a.BeginRenewal(f.now)
		if f.allocator == nil || f.now < f.unreachableUntil[i] {
			continue
		}
		shares := map[string]float64{}
		if use, told := r.Usage[t.Name]; told {
			shares[t.Name] = f.allocator.RenewLease(f.now, t, f.name(i), r.Number, len(f.routers), use)
		}
		f.allocator.RecordAnnouncement(f.name(i))
		f.allocator.ExpectAnnouncements(f.names())
		if f.now >= f.answersLostUntil[i] {
			a.CompleteRenewal(r, shares)
		}
	}
}

// use has a request come to a router, and tells whether it may run.
func (f *leasedFleet) consume(i int, t *config.Tenant, units float64) bool {
	a := f.routers[i]
	reached := f.allocator
	if f.now < f.unreachableUntil[i] || f.now < f.answersLostUntil[i] {
		reached = nil
	}
	if charge(f.now, a, reached, t, units) {
		return true
	}
	if reached != nil {
		return false
	}
	if ok, wait := a.ConsumeLease(f.now, t, units); ok || wait > 0 {
		return ok
	}
	return a.ConsumeFallbackAfterLease(f.now, t, units, len(f.routers), f.random.Float64())
}

// lose ends the ledger; another one begins later.
func (f *leasedFleet) stopAllocator() { f.allocator = nil }

func (f *leasedFleet) startAllocator() {
	f.view++
	f.allocator = NewAllocator(settings)
	f.allocator.Activate(f.now, f.view, false, f.now-f.activatedAt)
	f.allocator.SetRouters(len(f.routers))
	f.activatedAt = f.now
}

// leaseSeeds is how many seeds of each size TestLeasesStayWithinBound plays.
var leaseSeeds = flag.Int("lease-seeds", 60, "seeds of each size that TestLeasesStayWithinTheBound plays")

// Guards against use beyond the rule's bound over leases, whoever is cut off, whatever answers are lost, and however often the
// ledger is lost.
func TestLeasesStayWithinBound(t *testing.T) {
	for _, routers := range []int{3, 12, MaxLeasedRouters} {
		t.Run(fmt.Sprint(routers, " routers"), func(t *testing.T) {
			t.Parallel()
			for seed := range *leaseSeeds {
				f := newLeasedFleet(routers, uint64(seed))
				t1 := f.tenant
				f.restarts = seed%2 == 1
				bound := (t1.RatePerS*settings.Window.Seconds()+t1.Burst)*(1+settings.OvershootRatio) + settings.OvershootUnits
				if most := maxInWindow(f.play(t1, 40*time.Second), settings.Window); most > bound {
					t.Fatalf("seed %d: %.0f in a window, %.0f are allowed", seed, most, bound)
				}
			}
		})
	}
}

// press has forty times the rate come over a time, evenly, and returns what is let through.
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

// rest lets a tenant send nothing for a time.
func (f *leasedFleet) idle(span time.Duration) {
	for end := f.now + span; f.now < end; f.now += 5 * time.Millisecond {
		f.renewLeases(f.tenant)
	}
}

// crossings are courses of events that random ones seldom come to. Each begins with a fleet whose tenant has been at its rate for
// some time, and returns what it used.
var eventSequences = map[string]func(f *leasedFleet) []use{
	"a tenant rests while there is no ledger, uses its shares at once, and goes on with the next ledger": func(f *leasedFleet) []use {
		f.stopAllocator()
		f.idle(4 * time.Second)
		uses := f.overload(100 * time.Millisecond)
		f.startAllocator()
		return append(uses, f.overload(8*time.Second)...)
	},
	"a new ledger follows a burst, and does not hear of a router that uses its share": func(f *leasedFleet) []use {
		f.idle(3 * time.Second)
		uses := f.overload(200 * time.Millisecond)
		f.stopAllocator()
		f.unreachableUntil[0] = f.now + time.Hour
		f.startAllocator()
		return append(uses, f.overload(settings.Window)...)
	},
	"a router comes back that has not used its share, after the others had the time to use all that is there": func(f *leasedFleet) []use {
		f.unreachableUntil[0] = f.now + 10*time.Second
		f.idle(9 * time.Second)
		return f.overload(settings.Window)
	},
}

// Guards against use beyond the bound in courses of events that random ones seldom come to.
func TestEventSequencesStayWithinBound(t *testing.T) {
	for name, play := range eventSequences {
		t.Run(name, func(t *testing.T) {
			f := newLeasedFleet(3, 1)
			f.overload(6 * time.Second)
			bound := (f.tenant.RatePerS*settings.Window.Seconds()+f.tenant.Burst)*(1+settings.OvershootRatio) + settings.OvershootUnits
			if most := maxInWindow(play(f), settings.Window); most > bound {
				t.Errorf("%.0f in a window, %.0f are allowed", most, bound)
			}
		})
	}
}

// play has up to five times the rate come, unevenly over the routers, in the midst of disturbances.
func (f *leasedFleet) play(t *config.Tenant, span time.Duration) []use {
	var uses []use
	event, back, busy := time.Duration(0), time.Duration(0), time.Duration(0)
	for f.now < span {
		f.now += 5 * time.Millisecond
		if f.now >= event {
			event = f.now + time.Duration(f.random.IntN(4000))*time.Millisecond
			f.disturb(&back, &busy)
		}
		if f.allocator == nil && f.now >= back {
			f.startAllocator()
		}
		f.renewLeases(t)
		if f.now < busy && f.random.IntN(10) > 0 {
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

// restart has another process, which knows nothing, take a router's place.
func (f *leasedFleet) restart(i int) {
	f.routers[i] = NewLocalQuota(settings)
	f.routers[i].StartSession(f.random.Uint64() >> 1)
}

// disturb cuts routers off, loses answers, ends the ledger, starts routers again, or has the tenant rest.
func (f *leasedFleet) disturb(back, busy *time.Duration) {
	span := time.Duration(f.random.IntN(9000)) * time.Millisecond
	kinds := 5
	if f.restarts {
		kinds = 6
	}
	switch f.random.IntN(kinds) {
	case 0:
		f.stopAllocator()
		*back = f.now + time.Duration(200+f.random.IntN(4000))*time.Millisecond
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
		*busy = f.now + span/2
	case 5:
		for i := range f.routers {
			if f.random.IntN(4) == 0 {
				f.restart(i)
			}
		}
	}
}

// served is the share of what comes that is let through over a time, with a tenant at three quarters of its rate.
func (f *leasedFleet) admittedShare(t *config.Tenant, span time.Duration) float64 {
	came, passed := 0.0, 0.0
	for end := f.now + span; f.now < end; {
		f.now += 10 * time.Millisecond
		f.renewLeases(t)
		units := 0.75 * t.RatePerS / 100
		came += units
		if f.consume(f.random.IntN(len(f.routers)), t, units) {
			passed += units
		}
	}
	return passed / came
}

func TestLeases(t *testing.T) {
	Convey("Twelve routers of a tenant at three quarters of its rate", t, func() {
		f, t := newLeasedFleet(12, 5), tenant()
		So(f.admittedShare(t, 10*time.Second), ShouldBeGreaterThan, 0.97) // it begins with a small part of the burst
		Convey("are let through for as long as leases last without a ledger", func() {
			f.stopAllocator()
			So(f.admittedShare(t, 4*time.Second), ShouldBeGreaterThan, 0.85)
			Convey("and by the next one, which they announce their leases to", func() {
				f.startAllocator()
				f.admittedShare(t, 500*time.Millisecond)
				So(f.admittedShare(t, 5*time.Second), ShouldBeGreaterThan, 0.9)
			})
		})
		Convey("are not let through without a ledger when leases have ended", func() {
			f.stopAllocator()
			f.admittedShare(t, LeaseDuration)
			So(f.admittedShare(t, time.Second), ShouldBeLessThan, 0.4) // the floor, and what it allows at once
		})
		Convey("serve on where four are cut off, within their leases", func() {
			for i := range 4 {
				f.unreachableUntil[i] = f.now + time.Hour
			}
			So(f.admittedShare(t, 4*time.Second), ShouldBeGreaterThan, 0.85)
		})
		Convey("have a new ledger grant at once when all have started again and hold nothing", func() {
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
