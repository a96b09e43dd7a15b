package register

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

var (
	fuzzOptions   = coordination.Options{History: time.Minute, MaxGroupBytes: 1 << 16}
	fuzzAcceptors = []replication.Replica{{Address: "a"}, {Address: "b"}, {Address: "c"}}
	fuzzPeers     = []replication.Replica{{Address: "a"}, {Address: "b"}, {Address: "c"}, {Address: "b", Nonce: 1}}
)

// addSeeds adds the encoded messages to the corpus, each with its index as its kind: whole and truncated to a half.
func addSeeds(f *testing.F, messages ...any) {
	for kind, message := range messages {
		encoded, err := cbor.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(kind), uint8(1), encoded)
		f.Add(uint8(kind), uint8(1), encoded[:len(encoded)/2])
	}
	f.Add(uint8(0), uint8(9), []byte{0xa0})
	f.Add(uint8(0), uint8(0), []byte{0xf6})
}

// fuzzChanges returns changes of each kind, and one of two kinds at once.
func fuzzChanges() []*coordination.Change {
	event := coordination.Event{Key: "g.a", Value: "v", Revision: 3}
	return []*coordination.Change{
		nil,
		{Lock: &coordination.LockRecord{Fence: 1, Holder: "h", HoldMs: 5, AgeMs: 1}},
		{Counter: &coordination.CounterRecord{Count: 1}},
		{Group: &coordination.GroupRecord{
			Revision: 3, Floor: 2, Cells: []coordination.Cell{{Key: "g.a", Value: "v", Revision: 3}}, Events: []coordination.Event{event}}},
		{Decision: &coordination.DecisionRecord{Value: "v"}},
		{Puts: []coordination.Event{event}},
		{Counter: &coordination.CounterRecord{}, Puts: []coordination.Event{event, event}},
	}
}

// fuzzRequest returns a request with a prepare and an accept for each change, under names of all kinds and of invalid ones.
func fuzzRequest() *Request {
	request := &Request{Epoch: 1}
	for i, change := range fuzzChanges() {
		name := coordination.Name{Kind: coordination.Kind(i), ID: "g."}
		ballot := Ballot{Epoch: 1, Round: 2, Proposer: 3}
		request.Prepares = append(request.Prepares, Prepare{Name: name, Ballot: ballot})
		request.Accepts = append(request.Accepts, Accept{Name: name, Version: Version{Ballot: ballot, Sequence: 1}, Change: change, RoundTrip: 1})
	}
	return request
}

// FuzzAcceptorReceive checks that no message crashes an acceptor, also in combination with others, and that the stored
// registers can be decoded again.
func FuzzAcceptorReceive(f *testing.F) {
	next := Config{Epoch: 2, Acceptors: fuzzAcceptors, Previous: fuzzAcceptors}
	stored := []Stored{{Name: coordination.Name{Kind: 9, ID: "x"}, Accepted: Version{Sequence: 1}, Change: fuzzChanges()[3]}, {}}
	addSeeds(f, fuzzRequest(), &Hello{Config: next}, &Collect{Config: next}, &Collected{Epoch: 2, Registers: stored})
	f.Fuzz(func(t *testing.T, kind, from uint8, encoded []byte) {
		message := []any{&Request{}, &Hello{}, &Collect{}, &Collected{}}[kind%4]
		if cbor.Unmarshal(encoded, message) != nil {
			return
		}
		acceptor := NewAcceptor(0, HardState{Self: fuzzAcceptors[0], Config: FirstConfig([]string{"a", "b", "c"}), ReadyEpoch: 1}, nil, fuzzOptions)
		sender := fuzzPeers[int(from)%len(fuzzPeers)]
		for _, m := range []any{fuzzRequest(), message, &Hello{Config: next}, message, fuzzRequest()} {
			acceptor.Receive(time.Second, sender, m)
		}
		for _, former := range fuzzAcceptors[1:] {
			acceptor.Receive(time.Second, former, &Collected{Epoch: acceptor.HardState().Config.Epoch})
		}
		acceptor.Tick(2 * time.Second)
		again, err := cbor.Marshal(acceptor.Snapshot(3 * time.Second))
		if err != nil {
			t.Fatal(err)
		}
		var records []Stored
		if err := cbor.Unmarshal(again, &records); err != nil {
			t.Fatal(err)
		}
		NewAcceptor(0, acceptor.HardState(), [][]Stored{records}, fuzzOptions)
	})
}

// fuzzProposer returns a proposer that is preparing a name of each kind, and its last output.
func fuzzProposer() (*Proposer, *ProposerOutput) {
	p := NewProposer(ProposerOptions{State: fuzzOptions, Random: rand.New(rand.NewPCG(1, 2))})
	p.SetConfig(0, FirstConfig([]string{"a", "b", "c"}))
	calls := []coordination.Operation{
		{Kind: coordination.Acquire, Name: coordination.Name{Kind: coordination.KindLock, ID: "g."}, Holder: "h", Hold: time.Second},
		{Kind: coordination.Increment, Name: coordination.Name{Kind: coordination.KindCounter, ID: "g."}},
		{Kind: coordination.Put, Name: coordination.Name{Kind: coordination.KindGroup, ID: "g."}, Key: "g.a", Value: "w"},
		{Kind: coordination.Watch, Name: coordination.Name{Kind: coordination.KindGroup, ID: "g."}, Since: 1},
		{Kind: coordination.Watch, Name: coordination.Name{Kind: coordination.KindGroup, ID: "g."}, Since: 5},
		{Kind: coordination.Get, Name: coordination.Name{Kind: coordination.KindGroup, ID: "g."}, Key: "g.a"},
		{Kind: coordination.Decide, Name: coordination.Name{Kind: coordination.KindDecision, ID: "g."}, Value: "d"},
	}
	var out *ProposerOutput
	for i, operation := range calls {
		out = p.Submit(0, &Call{ID: uint64(i + 1), Operation: operation, Deadline: time.Second, ParkUntil: time.Second})
	}
	return p, out
}

// fuzzReply returns a reply with promises and acknowledgements for each kind of name, for the ballots of fuzzProposer.
func fuzzReply() *Reply {
	p, _ := fuzzProposer()
	reply := &Reply{Epoch: 1}
	for i, change := range fuzzChanges() {
		name := coordination.Name{Kind: coordination.Kind(i), ID: "g."}
		ballot := Ballot{Epoch: 1, Round: uint64(i), Proposer: p.id}
		accepted := Version{Ballot: Ballot{Epoch: 1, Round: 1}, Sequence: 1}
		version := Version{Ballot: ballot, Sequence: 1}
		reply.Promises = append(reply.Promises, Promise{Name: name, Ballot: ballot, Accepted: accepted, Value: change})
		reply.Acks = append(reply.Acks, AcceptAck{Name: name, Version: version, RoundTrip: uint64(i), Outcome: AckOutcome(i % 5)})
	}
	return reply
}

// FuzzProposerReceive checks that no replies of two acceptors crash a proposer, and that each call completes exactly once.
func FuzzProposerReceive(f *testing.F) {
	gap := fuzzReply()
	gap.Promises[3].Value.Group = &coordination.GroupRecord{Revision: 9, Events: []coordination.Event{{Key: "g.a", Value: "v", Revision: 1}}}
	addSeeds(f, fuzzReply(), fuzzReply(), gap, &Reply{Epoch: 1}, &Reply{Epoch: 2})
	f.Fuzz(func(t *testing.T, second, from uint8, encoded []byte) {
		reply := &Reply{}
		if cbor.Unmarshal(encoded, reply) != nil {
			return
		}
		p, _ := fuzzProposer()
		completed := map[uint64]int{}
		carryOut := func(out *ProposerOutput) {
			for _, c := range out.Completed {
				completed[c.ID]++
			}
		}
		for i, sender := range []replication.Replica{fuzzPeers[from%4], fuzzPeers[second%4], fuzzPeers[from%4], fuzzPeers[second%4]} {
			carryOut(p.Receive(time.Duration(i)*time.Millisecond, sender, reply))
		}
		carryOut(p.Tick(500 * time.Millisecond))
		carryOut(p.Receive(600*time.Millisecond, fuzzPeers[0], reply))
		carryOut(p.Tick(2 * time.Second))
		carryOut(p.Tick(3 * time.Second))
		for id := range uint64(7) {
			if completed[id+1] != 1 {
				t.Errorf("call %d was completed %d times", id+1, completed[id+1])
			}
		}
	})
}
