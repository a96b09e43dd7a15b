package replication

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a view change that removes a healthy member because it needs more than AppendTimeout to store a large
// change, and against one that never comes because the allowance for a large change is too long.
func TestLargeChangeExtendsAppendTimeout(t *testing.T) {
	for _, c := range []struct {
		name    string
		size    int // bytes of the change
		delay   time.Duration
		dropped bool
	}{
		{"a small change that takes 0.9 s", 1, 900 * time.Millisecond, true},
		{"a change of a megabyte that takes 1.2 s", 1 << 20, 1200 * time.Millisecond, false},
		{"a change of a megabyte that takes 2.5 s", 1 << 20, 2500 * time.Millisecond, true},
	} {
		Convey("A member that is late is removed or waited for: "+c.name, t, func() {
			cluster := newCluster(3, 1)
			cluster.run(time.Second)
			primary, slowMember, former := cluster.leader(), cluster.backups()[0].disk.Self, cluster.view().Number
			until := cluster.now + c.delay
			cluster.isDropped = func(e envelope) bool {
				_, isAppend := e.message.(Append)
				return isAppend && e.to == slowMember.Address && cluster.now < until
			}
			out, ok := primary.node.Propose(cluster.now, make([]byte, c.size))
			So(ok, ShouldBeTrue)
			cluster.apply(primary, out)
			cluster.settle()
			cluster.run(c.delay - 2*clusterTick)
			So(primary.node.HasPendingProposal(), ShouldEqual, !c.dropped)
			So(cluster.view().Number > former, ShouldEqual, c.dropped)
			cluster.run(time.Second)
			So(primary.node.HasPendingProposal(), ShouldBeFalse)
		})
	}
}
