package register

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// scriptedCore is a proposer and three acceptors. The test controls which messages are delivered.
type scriptedCore struct {
	proposer  *Proposer
	config    Config
	acceptors map[string]*Acceptor
	requests  map[string]*Request // latest request to each acceptor, by address
	completed []Completion
}

func newScriptedCore() *scriptedCore {
	options := coordination.Options{History: time.Minute, MaxGroupBytes: 10000}
	founders := []string{"a:1", "b:1", "c:1"}
	core := &scriptedCore{
		proposer: NewProposer(ProposerOptions{State: options, Random: rand.New(rand.NewPCG(1, 2))}), config: FirstConfig(founders),
		acceptors: map[string]*Acceptor{}, requests: map[string]*Request{},
	}
	for _, address := range founders {
		core.acceptors[address] = NewAcceptor(0, InitialHardState(address, 0, founders), nil, options)
	}
	core.execute(core.proposer.SetConfig(0, core.config))
	return core
}

func (c *scriptedCore) execute(out *ProposerOutput) {
	for _, outgoing := range out.Send {
		c.requests[outgoing.To] = outgoing.Message.(*Request)
	}
	c.completed = append(c.completed, out.Completed...)
}

func (c *scriptedCore) submit(id uint64, operation coordination.Operation) {
	c.execute(c.proposer.Submit(0, &Call{ID: id, Operation: operation, Deadline: time.Second}))
}

// deliverRequest delivers the latest request to an acceptor and returns its reply, which is not delivered.
func (c *scriptedCore) deliverRequest(address string) *Reply {
	return c.acceptors[address].Receive(0, replication.Replica{}, c.requests[address]).Send[0].Message.(*Reply)
}

func (c *scriptedCore) deliverReply(address string, reply *Reply) {
	c.execute(c.proposer.Receive(0, replication.Replica{Address: address}, reply))
}

// Guards against a read that completes although no majority has confirmed the ballot after the read was submitted.
func TestProposerCountsAcknowledgementsOfTheTrip(t *testing.T) {
	Convey("A late acknowledgement of the previous read does not count for the next one", t, func() {
		core := newScriptedCore()
		get := coordination.Operation{Kind: coordination.Get, Name: coordination.Name{Kind: coordination.KindGroup, ID: "g."}, Key: "g.a"}
		core.submit(1, get)
		core.deliverReply("a:1", core.deliverRequest("a:1"))
		core.deliverReply("b:1", core.deliverRequest("b:1")) // two promises: the first round is in progress
		late := core.deliverRequest("c:1")
		core.deliverReply("a:1", core.deliverRequest("a:1"))
		core.deliverReply("b:1", core.deliverRequest("b:1"))
		So(core.completed, ShouldHaveLength, 1)

		core.submit(2, get)
		core.deliverReply("a:1", core.deliverRequest("a:1"))
		core.deliverReply("c:1", late)
		So(core.completed, ShouldHaveLength, 1)
		core.deliverReply("c:1", core.deliverRequest("c:1"))
		So(core.completed, ShouldHaveLength, 2)
		So(core.completed[1].Certainty, ShouldEqual, Decided)
	})
}
