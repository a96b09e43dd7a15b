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

// view returns the leader's view.
func (c *cluster) view() *View {
	view := c.leader().node.View()
	return &view
}

// backups returns the replicas other than the leader.
func (c *cluster) backups() []*host {
	var all []*host
	for _, h := range c.replicas {
		if h != c.leader() {
			all = append(all, h)
		}
	}
	return all
}

// Guards against a resigning replica that stops while its copy or its vote is still needed.
func TestResignation(t *testing.T) {
	Convey("Three replicas of which one may be lost", t, func() {
		c := newCluster(3, 1)
		c.run(time.Second)
		So(c.proposeAndCommit(), ShouldBeTrue)
		backups := c.backups()

		Convey("release a resigning replica once it is not a member any more, if none can replace it as a witness", func() {
			c.resign(backups[0])
			c.run(500 * time.Millisecond)
			So(backups[0].node.CanStop(), ShouldBeTrue)
			So(len(c.view().Witnesses), ShouldEqual, 3)
			So(c.view().HasMember(backups[0].disk.Self), ShouldBeFalse)
			So(c.proposeAndCommit(), ShouldBeTrue)
			Convey("and add it as a member again when it has restarted", func() {
				c.powerOff(backups[0])
				c.run(500 * time.Millisecond)
				c.powerOn(backups[0])
				c.run(2 * time.Second)
				So(c.view().HasMember(backups[0].disk.Self), ShouldBeTrue)
			})
		})
		Convey("replace it, in one view change, by a replica that requests to join", func() {
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
		Convey("do not release it while a possible replacement is unreachable", func() {
			added := c.join(address(3))
			c.run(time.Second)
			c.powerOff(added)
			c.resign(backups[0])
			c.run(3 * time.Second)
			So(backups[0].node.CanStop(), ShouldBeFalse)
		})
	})
}

// Guards against an acknowledgement that counts the copy on a resigning replica.
func TestCommitWhileResigning(t *testing.T) {
	Convey("Three replicas of which one may be lost", t, func() {
		c := newCluster(3, 1)
		c.run(time.Second)
		So(c.proposeAndCommit(), ShouldBeTrue)
		backups := c.backups()

		Convey("acknowledge no change that would need the copy on a resigning replica", func() {
			c.powerOff(backups[1])
			c.run(2 * time.Second)
			So(c.proposeAndCommit(), ShouldBeTrue) // the leader and the first backup have stored the change
			c.resign(backups[0])
			c.run(300 * time.Millisecond)
			So(c.proposeAndCommit(), ShouldBeFalse)
			So(backups[0].node.CanStop(), ShouldBeFalse)
			Convey("and acknowledge changes again when the other backup has restarted", func() {
				c.powerOn(backups[1])
				c.run(2 * time.Second)
				So(c.proposeAndCommit(), ShouldBeTrue)
				So(backups[0].node.CanStop(), ShouldBeTrue)
			})
		})
		Convey("release the leader when all replicas resign at once", func() {
			for _, h := range c.replicas {
				c.resign(h)
			}
			c.run(time.Second)
			So(c.leader().node.CanStop(), ShouldBeTrue)
		})
	})
}

func TestHandoverOfASingleReplica(t *testing.T) {
	Convey("A group of one replica hands its state and its vote over to the machine that replaces it", t, func() {
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

// Guards against a witness that was replaced while it was down, and never learns of the newer view.
func TestReplacedWitnessComesBack(t *testing.T) {
	Convey("A backup is down until another machine has replaced it", t, func() {
		c := newCluster(3, 1)
		c.run(time.Second)
		stopped := c.backups()[0]
		c.powerOff(stopped)
		c.run(time.Second) // removes it from the members
		added := c.join(address(3))
		c.run(3 * time.Second)
		So(c.view().HasWitness(added.disk.Self), ShouldBeTrue)
		So(c.view().HasWitness(stopped.disk.Self), ShouldBeFalse)
		c.powerOn(stopped)
		stopped.node.options.JoinTargets = c.addresses
		c.run(4 * time.Second)
		Convey("it learns the current view when it is up again, and can replace the next witness that fails", func() {
			So(stopped.node.View().Number, ShouldEqual, c.leader().node.View().Number)
			c.powerOff(added)
			c.run(4 * time.Second)
			So(c.view().HasWitness(stopped.disk.Self), ShouldBeTrue)
			So(c.proposeAndCommit(), ShouldBeTrue)
		})
	})
}

// Guards against a joiner that becomes a witness without having stored anything, and against one that blocks elections.
func TestJoinerThatStoresNothing(t *testing.T) {
	Convey("A replica requests to join but sends no other message, while the primary is lost permanently", t, func() {
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

// Guards against a snapshot that never arrives because its transfer takes longer than a phase of an election.
func TestSlowTransfer(t *testing.T) {
	const snapshotDelay = 3 * time.Second
	Convey("Three replicas whose snapshot takes three seconds to send", t, func() {
		c := newCluster(3, 1)
		c.transferTime = snapshotDelay
		c.run(time.Second)
		So(c.proposeAndCommit(), ShouldBeTrue)
		first := c.leader()

		Convey("bring a replica with a new disk up to date while changes are committed", func() {
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
		Convey("acknowledge changes again when only one up-to-date copy is left", func() {
			c.powerOff(c.backups()[0])
			c.run(2 * time.Second)
			So(c.proposeAndCommit(), ShouldBeTrue) // stored by two replicas
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

// stoppedHost returns a machine other than except that is down, or nil.
func stoppedHost(c *cluster, except *host) *host {
	for _, h := range c.replicas {
		if h != except && c.down[h.disk.Self.Address] {
			return h
		}
	}
	return nil
}

// Guards against a witness that loses its promise in a restart: two candidates could decide different views of one
// number.
func TestPromiseSurvivesRestart(t *testing.T) {
	Convey("A witness that has promised a ballot and restarts accepts no proposal under a lower one", t, func() {
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
