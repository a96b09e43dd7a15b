package register

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// scriptedCore is a proposer and three acceptors; the script decides which messages arrive.
type scriptedCore struct {
	proposer  *Proposer
	config    Config
	acceptors map[string]*Acceptor
	requests  map[string]*Request // the newest that was sent, by acceptor
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

// ask delivers the newest request to an acceptor and returns its reply, which has not arrived yet.
func (c *scriptedCore) deliverRequest(address string) *Reply {
	return c.acceptors[address].Receive(0, replication.Replica{}, c.requests[address]).Send[0].Message.(*Reply)
}

func (c *scriptedCore) deliverReply(address string, reply *Reply) {
	c.execute(c.proposer.Receive(0, replication.Replica{Address: address}, reply))
}

// Guards against a read that is answered without a majority that confirmed it after it came.
func TestProposerCountsAcknowledgementsOfTheTrip(t *testing.T) {
	Convey("A late acknowledgement of the former read confirms nothing", t, func() {
		core := newScriptedCore()
		get := coordination.Operation{Kind: coordination.Get, Name: coordination.Name{Kind: coordination.KindGroup, ID: "g."}, Key: "g.a"}
		core.submit(1, get)
		core.deliverReply("a:1", core.deliverRequest("a:1"))
		core.deliverReply("b:1", core.deliverRequest("b:1")) // two promises: the first round is under way
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
