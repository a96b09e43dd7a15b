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
func leaseTestRouter(directory string, ran time.Duration, bootstrap bool) *Router {
	s := &settings.Settings{IP: "10.0.0.1", DataDir: directory, CountsForQuorum: true, Bootstrap: bootstrap}
	s.Bounds.QuotaWindow, s.Bounds.QuotaOvershootRatio = quotaTestWindow, 0.1
	r := New(s, zap.NewNop())
	r.began = time.Now().Add(-ran)
	r.startLeaseholders()
	return r
}

// grantedAfter is what the ledger of a new view hands out some time later, in seconds of the rate, when these routers have
// announced what they hold.
func (r *Router) grantedAfter(span time.Duration, announced ...string) float64 {
	t := &config.Tenant{Name: "t", RatePerS: 1000, Burst: 5000}
	began := r.clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.Activate(began, 5, false, quotaTestWindow)
	for _, address := range announced {
		r.noteAnnounced(address)
	}
	granted, _ := r.ledger.Grant(began+span, t, 1, 1e9)
	return granted / t.RatePerS
}

// begunWith is the quota that a new ledger may hand out at once, in seconds of the rate: a quarter of the excess.
const begunWith = 0.25 * 0.1 * (8 + 5)

// Guards against a ledger that hands out what cut off routers still use: a primary that has just started knows few routers.
func TestNewLedgerOfANewProcess(t *testing.T) {
	const span = 2 * time.Second
	const enough = begunWith + 1.9
	Convey("A primary that has just started", t, func() {
		directory := t.TempDir()
		Convey("withholds what routers that it does not know may have leased", func() {
			r := leaseTestRouter(directory, time.Second, false)
			So(r.grantedAfter(span, r.settings.InternalAddress()), ShouldAlmostEqual, begunWith, 0.01)
		})
		Convey("does so as well where its disk names routers that have not announced theirs", func() {
			writeLeaseholders(directory, "10.0.0.1:0", "10.0.0.2:0")
			r := leaseTestRouter(directory, time.Second, false)
			So(r.grantedAfter(span, r.settings.InternalAddress()), ShouldAlmostEqual, begunWith, 0.01)
		})
		Convey("grants at once when all have that its disk names", func() {
			writeLeaseholders(directory, "10.0.0.1:0", "10.0.0.2:0")
			r := leaseTestRouter(directory, time.Second, false)
			So(r.grantedAfter(span, r.settings.InternalAddress(), "10.0.0.2:0"), ShouldBeGreaterThan, enough)
		})
		Convey("has nothing to withhold at the first start of the whole system", func() {
			r := leaseTestRouter(directory, time.Second, true)
			So(r.grantedAfter(span, r.settings.InternalAddress()), ShouldBeGreaterThan, enough)
		})
		Convey("does not take a list that can't be read for one", func() {
			So(os.WriteFile(filepath.Join(directory, leaseholdersName), []byte("torn"), 0o600), ShouldBeNil)
			r := leaseTestRouter(directory, time.Second, false)
			So(r.grantedAfter(span, r.settings.InternalAddress()), ShouldAlmostEqual, begunWith, 0.01)
		})
	})
	Convey("One that has run for long knows them all", t, func() {
		r := leaseTestRouter("", membership.DefaultTiming().TombstoneTTL+time.Second, false)
		So(r.grantedAfter(span, r.settings.InternalAddress()), ShouldBeGreaterThan, enough)
	})
	Convey("A process leaves the routers that it knows to the next, and those that it has not heard of yet", t, func() {
		directory := t.TempDir()
		writeLeaseholders(directory, "10.0.0.9:0")
		r := leaseTestRouter(directory, time.Second, false)
		r.node.Members.Merge(r.clock(), []membership.Member{{Address: "10.0.0.2:0", Incarnation: 1, Status: membership.Alive}})
		r.tickLeaseholders()
		r.tasks.Wait()
		var left []string
		So(newListFile(directory, leaseholdersName, zap.NewNop()).read(&left), ShouldBeTrue)
		So(left, ShouldResemble, []string{r.settings.InternalAddress(), "10.0.0.2:0", "10.0.0.9:0"})
	})
	Convey("A primary whose ledger waits for no announcements any more knows all, and tells others", t, func() {
		primary := leaseTestRouter("", 10*time.Second, false)
		_, complete := primary.mayHoldShares()
		So(complete, ShouldBeFalse)
		primary.ledger.Activate(primary.clock()-quota.LeaseDuration-time.Second, 5, false, quotaTestWindow)
		primary.noteAnnounced("10.0.0.2:0")
		all, complete := primary.mayHoldShares()
		So(complete, ShouldBeTrue)
		So(all, ShouldResemble, []string{primary.settings.InternalAddress(), "10.0.0.2:0"})
		other := leaseTestRouter("", time.Second, false)
		other.learnLeaseholders(nil)
		So(other.knowsLeaseholders(), ShouldBeFalse)
		other.learnLeaseholders(append(all, "10.0.0.3:0"))
		all, complete = other.mayHoldShares()
		So(complete, ShouldBeTrue)
		So(all, ShouldResemble, []string{other.settings.InternalAddress(), "10.0.0.2:0", "10.0.0.3:0"})
	})
	Convey("A process that may not know all leaves no list", t, func() {
		directory := t.TempDir()
		r := leaseTestRouter(directory, time.Second, false)
		r.tickLeaseholders()
		r.tasks.Wait()
		So(newListFile(directory, leaseholdersName, zap.NewNop()).read(new([]string)), ShouldBeFalse)
	})
}

func writeLeaseholders(directory string, addresses ...string) {
	So(replaceFile(filepath.Join(directory, leaseholdersName), addresses), ShouldBeNil)
}
