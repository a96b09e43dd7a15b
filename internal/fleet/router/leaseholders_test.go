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

// leaseTestRouter returns a core router with a simulated uptime, of which only the list of lease holders is started.
func leaseTestRouter(directory string, uptime time.Duration, bootstrap bool) *Router {
	s := &settings.Settings{IP: "10.0.0.1", DataDir: directory, CountsForQuorum: true, Bootstrap: bootstrap}
	s.Bounds.QuotaWindow, s.Bounds.QuotaOvershootRatio = quotaTestWindow, 0.1
	r := New(s, zap.NewNop())
	r.startedAt = time.Now().Add(-uptime)
	r.leaseholders.start()
	return r
}

// grantedAfter returns how much the allocator of a new view grants after a time, in seconds of the tenant's rate, if the given routers have
// announced their shares.
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

// initialGrant is the quota that a new allocator may grant immediately, in seconds of the tenant's rate: a quarter of the permitted
// overshoot.
const initialGrant = 0.25 * 0.1 * (8 + 5)

// Guards against an allocator that grants quota that partitioned routers still use under their leases. A primary that has just started
// does not know these routers.
func TestNewAllocatorOfNewProcess(t *testing.T) {
	const elapsed = 2 * time.Second
	const minLaterGrant = initialGrant + 1.9
	Convey("A primary that has just started", t, func() {
		directory := t.TempDir()
		Convey("withholds the shares that routers unknown to it may have leased", func() {
			r := leaseTestRouter(directory, time.Second, false)
			So(r.grantedAfter(elapsed, r.settings.InternalAddress()), ShouldAlmostEqual, initialGrant, 0.01)
		})
		Convey("withholds shares if the list on its disk has routers that have not announced their shares", func() {
			writeLeaseholders(directory, "10.0.0.1:0", "10.0.0.2:0")
			r := leaseTestRouter(directory, time.Second, false)
			So(r.grantedAfter(elapsed, r.settings.InternalAddress()), ShouldAlmostEqual, initialGrant, 0.01)
		})
		Convey("grants immediately once all routers of the list on its disk have announced their shares", func() {
			writeLeaseholders(directory, "10.0.0.1:0", "10.0.0.2:0")
			r := leaseTestRouter(directory, time.Second, false)
			So(r.grantedAfter(elapsed, r.settings.InternalAddress(), "10.0.0.2:0"), ShouldBeGreaterThan, minLaterGrant)
		})
		Convey("withholds nothing at the first start of the whole system", func() {
			r := leaseTestRouter(directory, time.Second, true)
			So(r.grantedAfter(elapsed, r.settings.InternalAddress()), ShouldBeGreaterThan, minLaterGrant)
		})
		Convey("treats an unreadable list as missing", func() {
			So(os.WriteFile(filepath.Join(directory, leaseholdersFileName), []byte("torn"), 0o600), ShouldBeNil)
			r := leaseTestRouter(directory, time.Second, false)
			So(r.grantedAfter(elapsed, r.settings.InternalAddress()), ShouldAlmostEqual, initialGrant, 0.01)
		})
	})
	Convey("A primary that has run for longer than the tombstone TTL knows all lease holders", t, func() {
		r := leaseTestRouter("", membership.DefaultTiming().TombstoneTTL+time.Second, false)
		So(r.grantedAfter(elapsed, r.settings.InternalAddress()), ShouldBeGreaterThan, minLaterGrant)
	})
	Convey("A process writes to the disk the live routers and the routers of the previous list that it has not discovered", t, func() {
		directory := t.TempDir()
		writeLeaseholders(directory, "10.0.0.9:0")
		r := leaseTestRouter(directory, time.Second, false)
		r.gossip.node.Members.Merge(r.clock(), []membership.Member{{Address: "10.0.0.2:0", Incarnation: 1, Status: membership.Alive}})
		r.leaseholders.tick()
		r.tasks.Wait()
		var written []string
		So(newStateFile(directory, leaseholdersFileName, zap.NewNop()).read(&written), ShouldBeTrue)
		So(written, ShouldResemble, []string{r.settings.InternalAddress(), "10.0.0.2:0", "10.0.0.9:0"})
	})
	Convey("A primary whose allocator awaits no more announcements has a complete list, which completes other lists", t, func() {
		primary := leaseTestRouter("", 10*time.Second, false)
		_, complete := primary.leaseholders.possibleHolders()
		So(complete, ShouldBeFalse)
		primary.allocatorServer.allocations.Activate(primary.clock()-quota.LeaseDuration-time.Second, 5, false, quotaTestWindow)
		primary.allocatorServer.recordAnnouncement("10.0.0.2:0")
		all, complete := primary.leaseholders.possibleHolders()
		So(complete, ShouldBeTrue)
		So(all, ShouldResemble, []string{primary.settings.InternalAddress(), "10.0.0.2:0"})
		other := leaseTestRouter("", time.Second, false)
		other.leaseholders.addCompleteList(nil)
		So(other.leaseholders.coversAllHolders(), ShouldBeFalse)
		other.leaseholders.addCompleteList(append(all, "10.0.0.3:0"))
		all, complete = other.leaseholders.possibleHolders()
		So(complete, ShouldBeTrue)
		So(all, ShouldResemble, []string{other.settings.InternalAddress(), "10.0.0.2:0", "10.0.0.3:0"})
	})
	Convey("A process that may not know all lease holders writes no list", t, func() {
		directory := t.TempDir()
		r := leaseTestRouter(directory, time.Second, false)
		r.leaseholders.tick()
		r.tasks.Wait()
		So(newStateFile(directory, leaseholdersFileName, zap.NewNop()).read(new([]string)), ShouldBeFalse)
	})
}

// writeLeaseholders writes a list of lease holders as a previous process would.
func writeLeaseholders(directory string, addresses ...string) {
	So(replaceFile(filepath.Join(directory, leaseholdersFileName), addresses), ShouldBeNil)
}
