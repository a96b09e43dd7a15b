package register

import (
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/replication"
)

var (
	wireName    = coordination.Name{Kind: coordination.KindCounter, ID: "n"}
	wireBallot  = Ballot{Epoch: 1, Round: 2, Proposer: 3}
	wireVersion = Version{Ballot: wireBallot, Sequence: 4}
	wireChange  = &coordination.Change{Counter: &coordination.CounterRecord{Count: 1}}
	wireStored  = Stored{Name: wireName, Promised: wireBallot, Accepted: wireVersion, Change: wireChange}
	wireReplica = replication.Replica{Address: "a", Nonce: 7}
	wireConfig  = Config{Epoch: 2, Acceptors: []replication.Replica{wireReplica}, Previous: []replication.Replica{{Address: "b"}}}
)

// Guards against renamed fields that change the messages between routers of different versions, or the data on disks.
func TestWireFormat(t *testing.T) {
	for _, message := range []struct {
		value   any
		encoded string
	}{
		{
			Request{
				Epoch:    1,
				Prepares: []Prepare{{Name: wireName, Ballot: wireBallot, Known: wireVersion}},
				Accepts:  []Accept{{Name: wireName, Version: wireVersion, Base: wireVersion, Change: wireChange, RoundTrip: 5}},
			},
			"a301010281a301a2010202616e02a301010202030303a201a301010202030302040381a501a2010202616e02a201a3010102020303020403a201a3010102020303020404a102a101010505",
		},
		{
			Request{
				Epoch: 1, Prepares: []Prepare{{Name: wireName, Ballot: wireBallot}},
				Accepts: []Accept{{Name: wireName, Version: wireVersion, RoundTrip: 5}},
			},
			"a301010281a201a2010202616e02a30101020203030381a301a2010202616e02a201a301010202030302040505",
		},
		{
			Reply{
				Epoch: 1,
				Promises: []Promise{
					{Name: wireName, Ballot: wireBallot, Promised: wireBallot, Accepted: wireVersion, Value: wireChange},
					{Name: wireName, Ballot: wireBallot},
				},
				Acks: []AcceptAck{
					{Name: wireName, Version: wireVersion, RoundTrip: 3, Outcome: Rejected, Promised: wireBallot},
					{Name: wireName, Version: wireVersion, RoundTrip: 3, Outcome: Accepted},
				},
			},
			"a301010282a501a2010202616e02a301010202030303a301010202030304a201a3010102020303020405a102a10101a201a2010202616e02a30101020203030382a501a2010202616e02a201a301010202030302040303040205a3010102020303a401a2010202616e02a201a3010102020303020403030401",
		},
		{
			Hello{Config: wireConfig, Self: wireReplica, ReadyEpoch: 3, Zone: "z", Region: "r", Leaving: true, Votes: true},
			"a701a301020281a201616102070381a2016162020002a20161610207030304617a05617206f507f5",
		},
		{Hello{}, "a201a2010002f602a201600200"},
		{Collect{Config: wireConfig}, "a101a301020281a201616102070381a20161620200"},
		{Collected{Epoch: 2, Registers: []Stored{wireStored, {Name: wireName}}}, "a201020282a401a2010202616e02a301010202030303a201a3010102020303020404a102a10101a101a2010202616e"},
		{wireStored, "a401a2010202616e02a301010202030303a201a3010102020303020404a102a10101"},
		{HardState{Self: wireReplica, Config: wireConfig, ReadyEpoch: 3}, "a301a2016161020702a301020281a201616102070381a201616202000303"},
		{HardState{}, "a201a20160020002a2010002f6"},
	} {
		Convey(fmt.Sprintf("%T %+v has its fixed encoding", message.value, message.value), t, func() {
			encoded, err := cbor.Marshal(message.value)
			So(err, ShouldBeNil)
			So(hex.EncodeToString(encoded), ShouldEqual, message.encoded)
		})
	}
	Convey("Outcomes and certainties have their fixed numbers", t, func() {
		So([]AckOutcome{Accepted, Rejected, BaseMissing}, ShouldResemble, []AckOutcome{1, 2, 3})
		So([]Certainty{Decided, Unclear, NotExecuted}, ShouldResemble, []Certainty{1, 2, 3})
	})
}
