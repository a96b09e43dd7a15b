package replication

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// cluster is a world whose replicas tick at intervals, and whose messages are delivered at once unless a partition or
// isDropped drops them.
type cluster struct {
	*world
	down          map[string]bool            // addresses of machines without power
	isPartitioned func(from, to string) bool // nil: there is no partition
	isDropped     func(envelope) bool        // nil: no message is dropped

	transferTime    time.Duration // delay of messages with a snapshot
	delayedMessages []delayedMessage
}

// delayedMessage is a message with a snapshot, to be delivered at a time.
type delayedMessage struct {
	at time.Duration
	envelope
}

const clusterTick = 30 * time.Millisecond

func newCluster(replicas, tolerance int) *cluster {
	c := &cluster{world: newWorld(replicas, tolerance, noMistake), down: map[string]bool{}}
	c.intercept = c.delaySnapshot
	for _, h := range c.replicas {
		c.start(h, DefaultTiming())
	}
	return c
}

// run advances the clock by span, in steps of clusterTick.
func (c *cluster) run(span time.Duration) {
	for end := c.now + span; c.now < end; {
		c.now += clusterTick
		for _, h := range c.replicas {
			if !c.down[h.disk.Self.Address] {
				c.apply(h, h.node.Tick(c.now))
				c.recordAcknowledged(h)
			}
		}
		c.deliverDueSnapshots()
		c.settle()
	}
}

// deliverDueSnapshots queues the delayed messages whose delivery time has been reached.
func (c *cluster) deliverDueSnapshots() {
	waiting := c.delayedMessages
	c.delayedMessages = nil
	for _, m := range waiting {
		if m.at <= c.now {
			c.sent = append(c.sent, m.envelope)
		} else {
			c.delayedMessages = append(c.delayedMessages, m)
		}
	}
}

// hasSnapshot reports whether a message carries a snapshot.
func (e *envelope) hasSnapshot() bool {
	switch message := e.message.(type) {
	case InstallSnapshot:
		return message.Snapshot != nil
	case Append:
		return message.Snapshot != nil
	case FetchSnapshotReply:
		return message.Snapshot != nil
	}
	return false
}

// delaySnapshot delays a message that carries a snapshot. It returns false, without an effect, if the message carries
// none or transferTime is 0.
func (c *cluster) delaySnapshot(e envelope) bool {
	if c.transferTime == 0 || !e.hasSnapshot() {
		return false
	}
	c.delayedMessages = append(c.delayedMessages, delayedMessage{at: c.now + c.transferTime, envelope: e})
	return true
}

// settle delivers messages until none is in flight, except delayed ones.
func (c *cluster) settle() {
	for len(c.sent) > 0 {
		e := c.sent[0]
		c.sent = c.sent[1:]
		clear(c.sentFingerprints)
		if c.isDropped != nil && c.isDropped(e) {
			continue
		}
		h := c.hostAt(e.to)
		if h == nil || c.down[e.to] || c.down[e.from.Address] || c.isPartitioned != nil && c.isPartitioned(e.from.Address, e.to) {
			continue
		}
		c.apply(h, h.node.Receive(c.now, e.from, e.message))
		c.recordAcknowledged(h)
	}
}

func (c *cluster) leader() *host {
	var newest *host
	for _, h := range c.replicas {
		if h.node.Status() == Leading && !c.down[h.disk.Self.Address] {
			if newest == nil || newest.node.View().Number < h.node.View().Number {
				newest = h
			}
		}
	}
	return newest
}

// proposeAndCommit proposes a change to the primary and reports whether it was acknowledged.
func (c *cluster) proposeAndCommit() bool {
	h := c.leader()
	if h == nil || !c.propose(h) {
		return false
	}
	c.settle()
	return slices.Equal(c.acknowledged, h.state) && !h.node.HasPendingProposal()
}

func (c *cluster) powerOff(h *host) { c.down[h.disk.Self.Address] = true }

func (c *cluster) powerOn(h *host) {
	delete(c.down, h.disk.Self.Address)
	c.start(h, DefaultTiming())
}

func (c *cluster) powerOffAll() {
	for _, h := range c.replicas {
		c.powerOff(h)
	}
}

func (c *cluster) powerOnAll() {
	for _, h := range c.replicas {
		c.powerOn(h)
	}
}

func TestFailover(t *testing.T) {
	Convey("Three replicas of which one may be lost", t, func() {
		c := newCluster(3, 1)
		c.run(time.Second)
		first := c.leader()
		So(first, ShouldNotBeNil)
		So(len(first.node.hardState.View.Members), ShouldEqual, 3)
		So(c.proposeAndCommit(), ShouldBeTrue)

		Convey("elect another primary within two seconds when the primary loses power, and lose nothing", func() {
			c.powerOff(first)
			c.run(2 * time.Second)
			So(c.leader(), ShouldNotBeNil)
			So(c.leader(), ShouldNotEqual, first)
			So(c.leader().state, ShouldResemble, c.acknowledged)
			So(c.proposeAndCommit(), ShouldBeTrue)
			Convey("and add the former primary again", func() {
				c.powerOn(first)
				c.run(2 * time.Second)
				So(len(c.leader().node.hardState.View.Members), ShouldEqual, 3)
				So(first.state, ShouldResemble, c.acknowledged)
			})
		})
	})
}

// Guards against the loss of acknowledged changes when power or a disk is lost.
func TestPowerAndDiskLoss(t *testing.T) {
	Convey("Three replicas of which one may be lost", t, func() {
		c := newCluster(3, 1)
		c.run(time.Second)
		first := c.leader()
		So(first, ShouldNotBeNil)
		So(len(first.node.hardState.View.Members), ShouldEqual, 3)
		So(c.proposeAndCommit(), ShouldBeTrue)

		Convey("never acknowledge with one copy", func() {
			for _, h := range c.replicas {
				if h != first {
					c.powerOff(h)
				}
			}
			c.run(3 * time.Second)
			So(c.proposeAndCommit(), ShouldBeFalse)
		})
		Convey("replace a replica whose disk was lost by a new one of the same machine", func() {
			lost := c.replicas[2]
			c.wipe(lost)
			c.start(lost, DefaultTiming())
			c.run(3 * time.Second)
			view := c.leader().node.View()
			So(len(view.Witnesses), ShouldEqual, 3)
			So(view.HasMember(lost.disk.Self), ShouldBeTrue)
			So(lost.state, ShouldResemble, c.acknowledged)
		})
		Convey("survive the loss of the primary's disk while all others lose power", func() {
			c.powerOffAll()
			c.wipe(first)
			c.powerOnAll()
			c.run(3 * time.Second)
			So(c.leader(), ShouldNotBeNil)
			So(c.leader().state, ShouldResemble, c.acknowledged)
			So(c.proposeAndCommit(), ShouldBeTrue)
		})
		Convey("have a primary again within half a second when all lost power at once", func() {
			c.powerOffAll()
			c.powerOnAll()
			c.run(500 * time.Millisecond)
			So(c.leader(), ShouldNotBeNil)
			So(c.leader().state, ShouldResemble, c.acknowledged)
		})
		Convey("have another primary within four ticks when the primary resigns", func() {
			c.apply(first, first.node.Resign(c.now))
			c.settle()
			c.run(4 * clusterTick)
			So(c.leader(), ShouldNotBeNil)
			So(c.leader(), ShouldNotEqual, first)
			So(c.proposeAndCommit(), ShouldBeTrue)
		})
	})
}

func TestPartitions(t *testing.T) {
	Convey("Three replicas", t, func() {
		c := newCluster(3, 1)
		c.run(time.Second)
		first := c.leader()
		So(c.proposeAndCommit(), ShouldBeTrue)
		isolated := first.disk.Self.Address

		Convey("whose primary is partitioned from the others: its leadership is not confirmed any more, and the others elect another", func() {
			c.isPartitioned = func(from, to string) bool { return from == isolated || to == isolated }
			partitionedAt := c.now
			c.run(3 * time.Second)
			confirmed, _ := first.node.LeadershipConfirmedAt()
			So(confirmed, ShouldBeLessThanOrEqualTo, partitionedAt)
			So(c.leader(), ShouldNotEqual, first)
			So(c.proposeAndCommit(), ShouldBeTrue)
			Convey("and it follows the new primary when the partition heals", func() {
				c.isPartitioned = nil
				c.run(2 * time.Second)
				So(first.node.Status(), ShouldEqual, Following)
				So(first.state, ShouldResemble, c.acknowledged)
			})
		})
		Convey("whose primary can send but receives nothing: another becomes the primary", func() {
			c.isPartitioned = func(_, to string) bool { return to == isolated }
			c.run(4 * time.Second)
			So(c.leader(), ShouldNotBeNil)
			So(c.leader(), ShouldNotEqual, first)
			So(c.proposeAndCommit(), ShouldBeTrue)
		})
		Convey("of which a backup is partitioned from the primary only: it does not replace the primary", func() {
			var backup *host
			for _, h := range c.replicas {
				if h != first {
					backup = h
				}
			}
			unreachable := backup.disk.Self.Address
			c.isPartitioned = func(from, to string) bool {
				return from == isolated && to == unreachable || from == unreachable && to == isolated
			}
			c.run(3 * time.Second)
			So(c.leader(), ShouldEqual, first)
			So(c.proposeAndCommit(), ShouldBeTrue)
		})
	})
}

func TestComposition(t *testing.T) {
	Convey("A group of three replicas, at its first start", t, func() {
		c := newCluster(3, 1)
		c.run(time.Second)
		So(c.proposeAndCommit(), ShouldBeTrue)

		Convey("adds three machines one after another, each before one of the founders is lost", func() {
			for i := range 3 {
				c.lastNonce++
				added := &host{disk: InitialHardState(address(10+i), c.lastNonce, nil)}
				c.replicas = append(c.replicas, added)
				c.start(added, DefaultTiming())
				added.node.options.JoinTargets = func() []string {
					return []string{address(0), address(1), address(2), address(10), address(11)}
				}
				c.run(3 * time.Second)
				c.powerOff(c.replicas[i])
				c.run(4 * time.Second)
				So(c.leader(), ShouldNotBeNil)
				So(c.proposeAndCommit(), ShouldBeTrue)
			}
			view := c.leader().node.View()
			So(len(view.Witnesses), ShouldEqual, 3)
			So(c.leader().state, ShouldResemble, c.acknowledged)
			Convey("and the founders, started again, decide no view among themselves", func() {
				for i := range 3 {
					c.powerOn(c.replicas[i])
				}
				c.run(4 * time.Second)
				So(c.leader().state, ShouldResemble, c.acknowledged)
				So(c.proposeAndCommit(), ShouldBeTrue)
			})
		})
		Convey("removes a member whose disk hangs, and acknowledges changes without it", func() {
			slow := c.replicas[2]
			if slow == c.leader() {
				slow = c.replicas[1]
			}
			c.down[slow.disk.Self.Address] = true // its loop waits for the disk, so that it sends nothing
			So(c.proposeAndCommit(), ShouldBeFalse)
			c.run(1500 * time.Millisecond)
			So(c.leader().state, ShouldResemble, c.acknowledged)
			So(len(c.acknowledged), ShouldEqual, 2)
		})
	})
}

// Guards against replicas that don't count for the quorum remaining witnesses, and against their removal where too few
// witnesses would remain to tolerate a loss.
func TestNonVotingReplicas(t *testing.T) {
	Convey("Founders of which only one counts for the quorum make it the only witness, so that it leads alone after a restart", t, func() {
		c := newCluster(3, 0)
		counts := c.replicas[1]
		for _, h := range c.replicas {
			h.node.options.LocalityOf = func(a string) Locality {
				return Locality{Zone: a, Known: true, CountsForQuorum: a == counts.disk.Self.Address}
			}
		}
		c.run(3 * time.Second)
		So(c.leader(), ShouldEqual, counts)
		So(len(counts.node.hardState.View.Witnesses), ShouldEqual, 1)
		So(c.proposeAndCommit(), ShouldBeTrue)
		for _, h := range c.replicas {
			if h != counts {
				c.powerOff(h)
			}
		}
		c.powerOff(counts)
		c.powerOn(counts)
		c.run(2 * time.Second)
		So(c.leader(), ShouldEqual, counts)
		So(c.leader().state, ShouldResemble, c.acknowledged)
		So(c.proposeAndCommit(), ShouldBeTrue)
	})
	Convey("Two replicas that count for the quorum keep a third witness where one may be lost", t, func() {
		c := newCluster(3, 1)
		outsider := c.replicas[0].disk.Self.Address
		for _, h := range c.replicas {
			h.node.options.LocalityOf = func(a string) Locality { return Locality{Zone: a, Known: true, CountsForQuorum: a != outsider} }
		}
		c.run(3 * time.Second)
		So(len(c.leader().node.hardState.View.Witnesses), ShouldEqual, 3)
	})
}

func TestTwoDisksLost(t *testing.T) {
	Convey("Six replicas of which two may be lost acknowledge changes after two disks are lost at once", t, func() {
		c := newCluster(6, 2)
		c.run(1500 * time.Millisecond)
		So(c.proposeAndCommit(), ShouldBeTrue)
		first := c.leader()
		c.wipe(first)
		c.start(first, DefaultTiming())
		other := c.replicas[5]
		if other == first {
			other = c.replicas[4]
		}
		c.wipe(other)
		c.start(other, DefaultTiming())
		c.run(4 * time.Second)
		So(c.leader(), ShouldNotBeNil)
		So(c.leader().state, ShouldResemble, c.acknowledged)
		So(c.proposeAndCommit(), ShouldBeTrue)
	})
}
