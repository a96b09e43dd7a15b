package replication

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// answer delivers a message to a replica and returns its only answer; changed reports whether the step writes to the
// disk.
func (c *cluster) answer(h *host, from Replica, message Message) (answer Message, changed bool) {
	out := h.node.Receive(c.now, from, message)
	So(len(out.Send), ShouldEqual, 1)
	return out.Send[0].Message, out.Write != nil
}

// Guards against a witness that breaks its promise: two candidates could both have a majority, and a replaced primary
// could still acknowledge changes.
func TestPromiseBinds(t *testing.T) {
	Convey("A member that has promised a ballot for the next view", t, func() {
		c := newCluster(3, 1)
		c.run(time.Second)
		So(c.proposeAndCommit(), ShouldBeTrue)
		primary, member, candidate := c.leader(), c.backups()[0], c.backups()[1]
		view := primary.node.View()
		low, high := Ballot{Round: 90, Proposer: primary.disk.Self}, Ballot{Round: 91, Proposer: candidate.disk.Self}
		c.now += time.Second // the primary is unresponsive
		_, changed := c.answer(member, candidate.disk.Self, Prepare{View: view, Ballot: high})
		So(changed, ShouldBeTrue)
		next := View{Number: view.Number + 1, Primary: primary.disk.Self, Members: view.Members, Witnesses: view.Witnesses}
		rejects := func(from Replica, message Message) {
			answer, changed := c.answer(member, from, message)
			So(answer, ShouldHaveSameTypeAs, Reject{})
			So(answer.(Reject).Promised, ShouldResemble, high)
			So(changed, ShouldBeFalse)
		}
		Convey("promises no lower ballot", func() { rejects(low.Proposer, Prepare{View: view, Ballot: low}) })
		Convey("accepts no proposal under a lower ballot", func() { rejects(low.Proposer, Accept{Ballot: low, Proposal: next}) })
		Convey("installs no state under a lower ballot", func() {
			rejects(low.Proposer, InstallSnapshot{Number: next.Number, Ballot: low, Position: Position{View: next.Number}, Snapshot: []byte{0}})
		})
		Convey("stores no more changes of the current primary", func() {
			position := member.disk.Position
			position.Sequence++
			rejects(primary.disk.Self, Append{View: view, InstallBallot: member.disk.InstallBallot, Position: position, Entry: []byte{9}})
		})
		Convey("does not confirm the current primary", func() {
			answer, _ := c.answer(member, primary.disk.Self, Heartbeat{View: view, Round: 1000})
			So(answer, ShouldResemble, HeartbeatAck{Number: view.Number, Round: 1000, Current: false})
		})
	})
}

// Guards against a majority that counts replicas which are not witnesses of the view, or have promised the next one.
func TestPromiseCounts(t *testing.T) {
	Convey("A primary is not confirmed by witnesses that have promised the next view, nor by replicas that are not witnesses", t, func() {
		c := newCluster(3, 1)
		c.run(time.Second)
		primary := c.leader()
		c.now += time.Second
		c.apply(primary, primary.node.ConfirmLeadership(c.now))
		number, round := primary.node.View().Number, primary.node.primary.heartbeats.number
		for _, backup := range c.backups() {
			primary.node.Receive(c.now, backup.disk.Self, HeartbeatAck{Number: number, Round: round})
		}
		for nonce := range uint64(3) {
			primary.node.Receive(c.now, Replica{Address: "10.0.9.9:1", Nonce: nonce}, HeartbeatAck{Number: number, Round: round, Current: true})
		}
		confirmed, _ := primary.node.LeadershipConfirmedAt()
		So(confirmed, ShouldBeLessThan, c.now)
	})
	Convey("A candidate counts promises of the view's witnesses only", t, func() {
		c := newCluster(3, 1)
		c.run(time.Second)
		candidate := c.backups()[0]
		candidate.node.becomeCandidate(c.now)
		view, ballot := candidate.node.View(), candidate.node.election.ballot
		for nonce := range uint64(3) {
			promise := Promise{Number: view.Number + 1, Ballot: ballot, Position: candidate.disk.Position}
			candidate.node.Receive(c.now+promiseGracePeriod, Replica{Address: "10.0.9.9:1", Nonce: nonce}, promise)
		}
		So(candidate.node.Status(), ShouldEqual, Preparing)
	})
}
