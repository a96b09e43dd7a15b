package coordinator

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/register"
	"pinelb.example/pinelb/internal/fleet/replication"
)

// FuzzServiceReceive checks that no decodable message causes a panic, whether its sender is another machine or this one.
func FuzzServiceReceive(f *testing.F) {
	group := coordination.Name{Kind: coordination.KindGroup, ID: "g."}
	next := register.Config{
		Epoch: 2, Acceptors: []replication.Replica{testPeer, {Address: testAddress}}, Previous: []replication.Replica{{Address: testAddress}},
	}
	put := coordination.Operation{Kind: coordination.Put, Name: group, Key: "g.a", Value: "v"}
	for _, seed := range []struct {
		kind    uint8
		message any
	}{
		{0, acceptRequest("c", 1, 1)}, {1, &register.Reply{Epoch: 1}}, {2, &register.Hello{Config: next, Self: testPeer, ReadyEpoch: 1, Votes: true}},
		{2, &register.Hello{Config: register.Config{Epoch: 9}}}, {3, &register.Collect{Config: next}}, {4, &register.Collected{Epoch: 2}},
		{5, &CallRequest{ID: 1, Operation: put, Timeout: callTimeout}}, {6, &CallReply{ID: 1}},
		{5, &CallRequest{ID: 1, Operation: coordination.Operation{Kind: coordination.Watch, Name: group, Since: 1}, Park: time.Second}},
	} {
		encoded, err := cbor.Marshal(seed.message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(seed.kind, encoded)
	}
	f.Fuzz(func(t *testing.T, kind uint8, encoded []byte) {
		message := []any{
			&register.Request{}, &register.Reply{}, &register.Hello{}, &register.Collect{}, &register.Collected{}, &CallRequest{}, &CallReply{},
		}[kind%7]
		if cbor.Unmarshal(encoded, message) != nil {
			return
		}
		m, err := buildMachine("")
		if err != nil {
			t.Fatal(err)
		}
		m.service.acceptor.publish(true)
		for _, from := range []string{testPeer.Address, testAddress, testPeer.Address} {
			m.service.Receive(from, 0, message, 0)
			m.service.proposer.onCall(from, incrementRequest(uint64(kind)))
			m.drainInboxes(t)
			m.now += time.Second
			m.service.proposer.tick()
			m.drainInboxes(t)
			m.service.acceptor.step(t.Context(), m.service.acceptor.acceptor.Tick(m.now))
			m.service.acceptor.flush(t.Context())
		}
		m.service.Status()
	})
}
