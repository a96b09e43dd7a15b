package register

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// maxMessageBytes is the size of a message that routers accept, less its envelope (transport, maxBodyBytes).
const maxMessageBytes = 31 << 20

const (
	testGroups     = 40
	testValueBytes = 16 << 10 // the largest that the control API takes
	testCells      = 64       // of each group
)

// newFullAcceptor returns a former acceptor whose registers have over 32 MiB, and the configuration that replaces it.
func newFullAcceptor() (*Acceptor, Config) {
	former := FirstConfig([]string{"a:1", "b:1", "c:1"}).Acceptors
	joiner := replication.Replica{Address: "d:1", Nonce: 7}
	next := Config{Epoch: 2, Acceptors: []replication.Replica{former[0], former[1], joiner}, Previous: former}
	var records []Stored
	for i := range testGroups {
		group := &coordination.GroupRecord{Revision: testCells}
		for k := range testCells {
			key := fmt.Sprintf("g%d.k%d", i, k)
			group.Cells = append(group.Cells, coordination.Cell{Key: key, Value: strings.Repeat("x", testValueBytes), Revision: uint64(k + 1)})
		}
		records = append(records, storedOf(coordination.KindGroup, fmt.Sprintf("g%d.", i), &coordination.Change{Group: group}))
	}
	for i := range 5 {
		records = append(records, storedOf(coordination.KindCounter, fmt.Sprint("n", i), &coordination.Change{Counter: &coordination.CounterRecord{Count: uint64(i)}}))
	}
	return NewAcceptor(0, HardState{Self: former[0], Config: FirstConfig([]string{"a:1", "b:1", "c:1"}), ReadyEpoch: 1}, [][]Stored{records}, testOptions), next
}

func storedOf(kind coordination.Kind, id string, change *coordination.Change) Stored {
	return Stored{Name: coordination.Name{Kind: kind, ID: id}, Accepted: Version{Ballot: Ballot{Epoch: 1, Round: 1}, Sequence: 1}, Change: change}
}

// transfer lets a new acceptor collect from former ones until it is ready, and returns the sizes of the messages that it received. Each step,
// lose decides by the number of the message whether it is lost.
func transfer(collector *Acceptor, formers map[replication.Replica]*Acceptor, lose func(message int) bool) (sizes []int) {
	self := collector.HardState().Self
	messages := 0
	now := time.Duration(0)
	for step := 0; collector.HardState().ReadyEpoch < 2 && step < 1000; step++ {
		now += 50 * time.Millisecond
		requests := collector.Tick(now).Send
		for len(requests) > 0 {
			request := requests[0]
			requests = requests[1:]
			for replica, former := range formers {
				if replica.Address != request.To {
					continue
				}
				for _, answer := range former.Receive(now, self, request.Message).Send {
					if messages++; lose(messages) {
						continue
					}
					encoded, err := cbor.Marshal(answer.Message)
					So(err, ShouldBeNil)
					sizes = append(sizes, len(encoded))
					requests = append(requests, collector.Receive(now, replica, answer.Message).Send...)
				}
			}
		}
	}
	return sizes
}

// versionsAndSizes returns the version and the size of each register's value.
func versionsAndSizes(a *Acceptor) map[coordination.Name]string {
	registers := map[coordination.Name]string{}
	for _, s := range a.Snapshot(0) {
		registers[s.Name] = fmt.Sprint(s.Accepted, s.Change.Size())
	}
	return registers
}

// Guards against LOST: a new acceptor that never becomes ready because all registers are sent in one message, which is longer than a router
// accepts.
func TestRegistersBeyondOneMessageAreCarriedOver(t *testing.T) {
	for name, lose := range map[string]func(int) bool{
		"no message is lost":     func(int) bool { return false },
		"every third is lost":    func(message int) bool { return message%3 == 0 },
		"the first ten are lost": func(message int) bool { return message <= 10 },
	} {
		Convey("Registers of over 32 MiB reach a new acceptor in messages that a router accepts, where "+name, t, func() {
			full, next := newFullAcceptor()
			formers := map[replication.Replica]*Acceptor{}
			for _, replica := range next.Previous[:2] {
				state := full.HardState()
				state.Self = replica
				formers[replica] = NewAcceptor(0, state, [][]Stored{full.Snapshot(0)}, testOptions)
			}
			collector := NewAcceptor(0, HardState{Self: next.Acceptors[2], Config: next}, nil, testOptions)
			sizes := transfer(collector, formers, lose)
			So(collector.HardState().ReadyEpoch, ShouldEqual, 2)
			So(versionsAndSizes(collector), ShouldResemble, versionsAndSizes(full))
			total := 0
			for _, size := range sizes {
				So(size, ShouldBeLessThan, maxMessageBytes)
				So(size, ShouldBeLessThan, 2*maxPieceBytes+testCells*testValueBytes)
				total += size
			}
			So(total, ShouldBeGreaterThan, 32<<20)
		})
	}
	Convey("An acceptor of an earlier build, which doesn't ask for pieces, gets all registers", t, func() {
		full, next := newFullAcceptor()
		answer := full.Receive(0, next.Acceptors[2], &Collect{Config: next}).Send[0].Message.(*Collected)
		So(answer.Registers, ShouldHaveLength, testGroups+5)
		So(answer.More, ShouldBeFalse)
	})
	Convey("A piece that comes twice, or is not the next one, changes nothing", t, func() {
		full, next := newFullAcceptor()
		collector := NewAcceptor(0, HardState{Self: next.Acceptors[2], Config: next}, nil, testOptions)
		first := full.Receive(0, next.Acceptors[2], collector.Tick(0).Send[0].Message).Send[0].Message.(*Collected)
		second := collector.Receive(0, next.Previous[0], first).Send[0].Message.(*Collect)
		So(collector.Receive(0, next.Previous[0], first).Send, ShouldBeEmpty)
		So(*second.After, ShouldResemble, first.Registers[len(first.Registers)-1].Name)
		So(collector.Receive(0, next.Previous[0], &Collected{Epoch: 2, Ready: true}).Send, ShouldBeEmpty)
		So(collector.collections[next.Previous[0]].isComplete, ShouldBeFalse)
	})
}

// Guards against a link that is filled with copies of a piece that it is still transferring.
func TestPieceIsRequestedAgainEverMoreRarely(t *testing.T) {
	Convey("While no reply comes, a piece is requested again after times that double up to a bound", t, func() {
		_, next := newFullAcceptor()
		collector := NewAcceptor(0, HardState{Self: next.Acceptors[2], Config: next}, nil, testOptions)
		requests := 0
		for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
			requests += len(collector.Tick(now).Send)
		}
		So(requests, ShouldBeLessThanOrEqualTo, 3*18) // at 0, 0.15, 0.45, 1.05 s and each 0.6 s from then on
		So(requests, ShouldBeGreaterThanOrEqualTo, 3*16)
	})
}
