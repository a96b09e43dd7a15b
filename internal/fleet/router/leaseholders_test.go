package router

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"pinelb.example/pinelb/internal/fleet/config"
	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/quota"
	"pinelb.example/pinelb/internal/fleet/settings"
)

const quotaTestWindow = 8 * time.Second

// leaseTestRouter is a router of the core that has run for a time, with nothing of it started.
func leaseTestRouter(directory string, uptime time.Duration, bootstrap bool) *Router {
	s := &settings.Settings{IP: "10.0.0.1", DataDir: directory, CountsForQuorum: true, Bootstrap: bootstrap}
	s.Bounds.QuotaWindow, s.Bounds.QuotaOvershootRatio = quotaTestWindow, 0.1
	r := New(s, zap.NewNop())
	r.startedAt = time.Now().Add(-uptime)
	r.leaseholders.start()
	return r
}

// grantedAfter is what the allocator of a new view grants some time later, in seconds of the rate, when these routers have
// announced their leases.
func (r *Router) grantedAfter(elapsed time.Duration, announced ...string) float64 {
	t := &config.Tenant{Name: "t", RatePerS: 1000, Burst: 5000}
	activatedAt := r.clock()
	r.gossip.mu.Lock()
	defer r.gossip.mu.Unlock()
	r.allocatorServer.mu.Lock()
	defer r.allocatorServer.mu.Unlock()
	r.allocatorServer.allocations.Activate(activatedAt, 5, false, quotaTestWindow)
	for _, address := range announced {
		r.allocatorServer.recordAnnouncement(address)
	}
	granted, _ := r.allocatorServer.allocations.Grant(activatedAt+elapsed, t, 1, 1e9)
	return granted / t.RatePerS
}

// initialGrant is the quota that a new allocator may grant at once, in seconds of the rate: a quarter of the excess.
const initialGrant = 0.25 * 0.1 * (8 + 5)

// Guards against an allocator that grants what partitioned routers still use: a primary that has just started knows few routers.
func TestNewAllocatorOfNewProcess(t *testing.T) {
	const elapsed = 2 * time.Second
	const enough = initialGrant + 1.9
	Convey("A primary that has just started", t, func() {
		directory := t.TempDir()
		Convey("withholds what routers that it does not know may have leased", func() {
			r := leaseTestRouter(directory, time.Second, false)
			So(r.grantedAfter(elapsed, r.settings.InternalAddress()), ShouldAlmostEqual, initialGrant, 0.01)
		})
		Convey("does so as well where its disk names routers that have not announced theirs", func() {
			writeLeaseholders(directory, "10.0.0.1:0", "10.0.0.2:0")
			r := leaseTestRouter(directory, time.Second, false)
			So(r.grantedAfter(elapsed, r.settings.InternalAddress()), ShouldAlmostEqual, initialGrant, 0.01)
		})
		Convey("grants at once when all routers that its disk names have announced theirs", func() {
			writeLeaseholders(directory, "10.0.0.1:0", "10.0.0.2:0")
			r := leaseTestRouter(directory, time.Second, false)
			So(r.grantedAfter(elapsed, r.settings.InternalAddress(), "10.0.0.2:0"), ShouldBeGreaterThan, enough)
		})
		Convey("has nothing to withhold at the first start of the whole system", func() {
			r := leaseTestRouter(directory, time.Second, true)
			So(r.grantedAfter(elapsed, r.settings.InternalAddress()), ShouldBeGreaterThan, enough)
		})
		Convey("does not take a list that can't be read for one", func() {
			So(os.WriteFile(filepath.Join(directory, leaseholdersName), []byte("torn"), 0o600), ShouldBeNil)
			r := leaseTestRouter(directory, time.Second, false)
			So(r.grantedAfter(elapsed, r.settings.InternalAddress()), ShouldAlmostEqual, initialGrant, 0.01)
		})
	})
	Convey("A primary that has run for long knows all lease holders", t, func() {
		r := leaseTestRouter("", membership.DefaultTiming().TombstoneTTL+time.Second, false)
		So(r.grantedAfter(elapsed, r.settings.InternalAddress()), ShouldBeGreaterThan, enough)
	})
	Convey("A process leaves to the next one the routers that it knows, and those that it has not met yet", t, func() {
		directory := t.TempDir()
		writeLeaseholders(directory, "10.0.0.9:0")
		r := leaseTestRouter(directory, time.Second, false)
		r.gossip.node.Members.Merge(r.clock(), []membership.Member{{Address: "10.0.0.2:0", Incarnation: 1, Status: membership.Alive}})
		r.leaseholders.tick()
		r.tasks.Wait()
		var written []string
		So(newStateFile(directory, leaseholdersName, zap.NewNop()).read(&written), ShouldBeTrue)
		So(written, ShouldResemble, []string{r.settings.InternalAddress(), "10.0.0.2:0", "10.0.0.9:0"})
	})
	Convey("A primary whose allocator awaits no announcements any more knows all lease holders, and sends them to others", t, func() {
		primary := leaseTestRouter("", 10*time.Second, false)
		_, complete := primary.leaseholders.possible()
		So(complete, ShouldBeFalse)
		primary.allocatorServer.allocations.Activate(primary.clock()-quota.LeaseDuration-time.Second, 5, false, quotaTestWindow)
		primary.allocatorServer.recordAnnouncement("10.0.0.2:0")
		all, complete := primary.leaseholders.possible()
		So(complete, ShouldBeTrue)
		So(all, ShouldResemble, []string{primary.settings.InternalAddress(), "10.0.0.2:0"})
		other := leaseTestRouter("", time.Second, false)
		other.leaseholders.addComplete(nil)
		So(other.leaseholders.knowsAll(), ShouldBeFalse)
		other.leaseholders.addComplete(append(all, "10.0.0.3:0"))
		all, complete = other.leaseholders.possible()
		So(complete, ShouldBeTrue)
		So(all, ShouldResemble, []string{other.settings.InternalAddress(), "10.0.0.2:0", "10.0.0.3:0"})
	})
	Convey("A process that may not know all leaves no list", t, func() {
		directory := t.TempDir()
		r := leaseTestRouter(directory, time.Second, false)
		r.leaseholders.tick()
		r.tasks.Wait()
		So(newStateFile(directory, leaseholdersName, zap.NewNop()).read(new([]string)), ShouldBeFalse)
	})
}

func writeLeaseholders(directory string, addresses ...string) {
	So(replaceFile(filepath.Join(directory, leaseholdersName), addresses), ShouldBeNil)
}
