package replication

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// resign has a replica announce that it shuts down.
func (c *cluster) resign(h *host) {
	c.apply(h, h.node.Resign(c.now))
	c.settle()
}

// view is the leader's.
func (c *cluster) view() *View {
	view := c.leader().node.View()
	return &view
}

// backups are the replicas beside the leader.
func (c *cluster) backups() []*host {
	var all []*host
	for _, h := range c.replicas {
		if h != c.leader() {
			all = append(all, h)
		}
	}
	return all
}

// Guards against a resigning replica whose copy or vote is counted on when it has gone.
func TestResignation(t *testing.T) {
	Convey("Three replicas of which one may be lost", t, func() {
		c := newCluster(3, 1)
		c.run(time.Second)
		So(c.proposeAndCommit(), ShouldBeTrue)
		backups := c.backups()

		Convey("release one that only restarts, as soon as it is no member", func() {
			c.resign(backups[0])
			c.run(500 * time.Millisecond)
			So(backups[0].node.CanStop(), ShouldBeTrue)
			So(len(c.view().Witnesses), ShouldEqual, 3)
			So(c.view().HasMember(backups[0].disk.Self), ShouldBeFalse)
			So(c.proposeAndCommit(), ShouldBeTrue)
			Convey("and add it again when it is back", func() {
				c.powerOff(backups[0])
				c.run(500 * time.Millisecond)
				c.powerOn(backups[0])
				c.run(2 * time.Second)
				So(c.view().HasMember(backups[0].disk.Self), ShouldBeTrue)
			})
		})
		Convey("replace it by one that requests to join, in one view", func() {
			added := c.join(address(3))
			c.run(time.Second)
			So(len(c.view().Witnesses), ShouldEqual, 3)
			So(c.view().HasWitness(added.disk.Self), ShouldBeFalse)
			c.resign(backups[0])
			c.run(time.Second)
			view := c.leader().node.View()
			So(len(view.Witnesses), ShouldEqual, 3)
			So(view.HasWitness(added.disk.Self), ShouldBeTrue)
			So(view.HasWitness(backups[0].disk.Self), ShouldBeFalse)
			So(backups[0].node.CanStop(), ShouldBeTrue)
			So(added.state, ShouldResemble, c.acknowledged)
		})
		Convey("do not release it while one that could take its place can't be reached", func() {
			added := c.join(address(3))
			c.run(time.Second)
			c.powerOff(added)
			c.resign(backups[0])
			c.run(3 * time.Second)
			So(backups[0].node.CanStop(), ShouldBeFalse)
		})
	})
}

// Guards against an acknowledgement that rests on a copy which goes.
func TestCommitWhileResigning(t *testing.T) {
	Convey("Three replicas of which one may be lost", t, func() {
		c := newCluster(3, 1)
		c.run(time.Second)
		So(c.proposeAndCommit(), ShouldBeTrue)
		backups := c.backups()

		Convey("acknowledge nothing on the copy of one that is resigning", func() {
			c.powerOff(backups[1])
			c.run(2 * time.Second)
			So(c.proposeAndCommit(), ShouldBeTrue) // the leader and the first backup hold it
			c.resign(backups[0])
			c.run(300 * time.Millisecond)
			So(c.proposeAndCommit(), ShouldBeFalse)
			So(backups[0].node.CanStop(), ShouldBeFalse)
			Convey("and go on when another copy is back", func() {
				c.powerOn(backups[1])
				c.run(2 * time.Second)
				So(c.proposeAndCommit(), ShouldBeTrue)
				So(backups[0].node.CanStop(), ShouldBeTrue)
			})
		})
		Convey("release all that resign at once", func() {
			for _, h := range c.replicas {
				c.resign(h)
			}
			c.run(time.Second)
			So(c.leader().node.CanStop(), ShouldBeTrue)
		})
	})
}

func TestHandoverOfASingleReplica(t *testing.T) {
	Convey("A core of one hands all over to the machine that replaces it", t, func() {
		c := newCluster(1, 0)
		c.run(time.Second)
		So(c.proposeAndCommit(), ShouldBeTrue)
		former := c.replicas[0]
		added := c.join(address(1))
		c.run(time.Second)
		c.resign(former)
		c.run(time.Second)
		So(former.node.CanStop(), ShouldBeTrue)
		c.powerOff(former)
		c.run(time.Second)
		So(c.leader(), ShouldEqual, added)
		So(added.state, ShouldResemble, c.acknowledged)
		So(c.proposeAndCommit(), ShouldBeTrue)
	})
}

// Guards against a witness that was replaced while it was away and never learns of it.
func TestReplacedWitnessComesBack(t *testing.T) {
	Convey("A backup is away for so long that another machine takes its place", t, func() {
		c := newCluster(3, 1)
		c.run(time.Second)
		stopped := c.backups()[0]
		c.powerOff(stopped)
		c.run(time.Second) // it is no member any more
		added := c.join(address(3))
		c.run(3 * time.Second)
		So(c.view().HasWitness(added.disk.Self), ShouldBeTrue)
		So(c.view().HasWitness(stopped.disk.Self), ShouldBeFalse)
		c.powerOn(stopped)
		stopped.node.options.JoinTargets = c.addresses
		c.run(4 * time.Second)
		Convey("it learns the present view, and can take the place of the next one", func() {
			So(stopped.node.View().Number, ShouldEqual, c.leader().node.View().Number)
			c.powerOff(added)
			c.run(4 * time.Second)
			So(c.view().HasWitness(stopped.disk.Self), ShouldBeTrue)
			So(c.proposeAndCommit(), ShouldBeTrue)
		})
	})
}

// Guards against a joiner that is counted on though it never stored anything, and against one that blocks all.
func TestJoinerThatStoresNothing(t *testing.T) {
	Convey("A replica requests to join and answers nothing else, while a witness is lost for good", t, func() {
		c := newCluster(3, 1)
		c.run(time.Second)
		So(c.proposeAndCommit(), ShouldBeTrue)
		silentJoiner := c.join(address(3))
		c.isDropped = func(e envelope) bool {
			_, isJoin := e.message.(Join)
			return e.from == silentJoiner.disk.Self && !isJoin
		}
		c.powerOff(c.leader())
		c.run(4 * time.Second)
		So(c.leader(), ShouldNotBeNil)
		So(c.view().HasWitness(silentJoiner.disk.Self), ShouldBeFalse)
		So(c.proposeAndCommit(), ShouldBeTrue)
		Convey("it is added when it answers", func() {
			c.isDropped = nil
			c.run(5 * time.Second)
			So(c.view().HasWitness(silentJoiner.disk.Self), ShouldBeTrue)
			So(silentJoiner.state, ShouldResemble, c.acknowledged)
		})
	})
}

// Guards against a state that never arrives because it takes longer than a step of a view change.
func TestSlowTransfer(t *testing.T) {
	const snapshotDelay = 3 * time.Second
	Convey("Three replicas whose snapshot takes three seconds to send", t, func() {
		c := newCluster(3, 1)
		c.transferTime = snapshotDelay
		c.run(time.Second)
		So(c.proposeAndCommit(), ShouldBeTrue)
		first := c.leader()

		Convey("bring a replaced disk up to date while changes go on", func() {
			lost := c.backups()[0]
			c.loseDisk(lost)
			for range 16 {
				c.run(500 * time.Millisecond)
				c.proposeAndCommit()
			}
			So(len(c.acknowledged), ShouldBeGreaterThan, 12)
			So(c.view().HasMember(lost.disk.Self), ShouldBeTrue)
			So(lost.state, ShouldResemble, c.acknowledged)
		})
		Convey("go on when all but one copy has to be made anew", func() {
			c.powerOff(c.backups()[0])
			c.run(2 * time.Second)
			So(c.proposeAndCommit(), ShouldBeTrue) // on two copies
			stopped := stoppedHost(c, first)
			c.loseDisk(first)
			c.powerOn(stopped)
			c.run(12 * time.Second)
			So(c.leader(), ShouldNotBeNil)
			So(c.leader().state, ShouldResemble, c.acknowledged)
			So(c.proposeAndCommit(), ShouldBeTrue)
		})
	})
}

// stoppedHost is the machine that is down.
func stoppedHost(c *cluster, except *host) *host {
	for _, h := range c.replicas {
		if h != except && c.down[h.disk.Self.Address] {
			return h
		}
	}
	return nil
}

// Guards against a witness that forgets its promise at a restart, so that two candidates decide one view.
func TestPromiseSurvivesRestart(t *testing.T) {
	Convey("A witness that has promised a ballot and starts again accepts no lower one", t, func() {
		c := newCluster(3, 1)
		view := c.replicas[0].node.View()
		witness, low, high := c.replicas[0], Ballot{Round: 3, Proposer: c.replicas[1].disk.Self}, Ballot{Round: 4, Proposer: c.replicas[2].disk.Self}
		c.apply(witness, witness.node.Receive(c.now, high.Proposer, Prepare{View: view, Ballot: high}))
		c.powerOn(witness)
		out := witness.node.Receive(c.now, low.Proposer, Accept{Ballot: low, Proposal: View{Number: 1, Members: view.Members, Witnesses: view.Witnesses}})
		So(out.Write, ShouldBeNil)
		So(len(out.Send), ShouldEqual, 1)
		_, rejected := out.Send[0].Message.(Reject)
		So(rejected, ShouldBeTrue)
	})
}
