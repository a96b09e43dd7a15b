package dissemination

import (
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/membership"
	"pinelb.example/pinelb/internal/fleet/registry"
)

// Guards against a renamed or reordered field that changes the encoding of messages between routers of different versions. The
// expected encodings were produced by version b772427.
func TestWireFormat(t *testing.T) {
	member := membership.Member{
		Address: "10.0.0.1:1", Control: "10.0.0.1:2", Zone: "z", Region: "r", Core: true, BootID: 7, Incarnation: 3, Status: membership.Dead,
	}
	endpoint := registry.Endpoint{
		ID: "e", Service: "s", Address: "10.1.0.1:1", Zone: "z", Capacity: 8, State: registry.Draining, Sequence: 9, Owner: "10.0.0.1:1", WarmupMs: 12,
	}
	digests := registry.Digests{Partition: 1, Partitions: 2, Sums: [registry.Buckets]uint32{3}}
	for _, message := range []struct {
		value   any
		encoded string
	}{
		{Heartbeat{WantsReply: true}, "a101f5"},
		{
			Pull{Self: member, Round: 4, Sequence: 5, Members: membership.Digests{1, 2}, Endpoints: digests},
			"a501a8016a31302e302e302e313a31026a31302e302e302e313a3203617a04617205f506070703080202040305049001020000000000000000" +
				"000000000000058301029003000000000000000000000000000000",
		},
		{
			PullReply{Round: 4, Sequence: 5, Fresh: true, AgeMs: 6, View: 7, Primary: "10.0.0.1:1"},
			"a60104020503f504060507066a31302e302e302e313a31",
		},
		{
			Update{
				Members: []membership.Member{member}, Endpoints: []registry.Endpoint{endpoint}, Sequence: 5, Change: []byte("c"), Hops: 2,
				View: 7, Primary: "10.0.0.1:1",
			},
			"a70181a8016a31302e302e302e313a31026a31302e302e302e313a3203617a04617205f50607070308020281a9016165026173036a31302e312e302e313a31" +
				"04617a050806020709086a31302e302e302e313a31090c030504416305020607076a31302e302e302e313a31",
		},
		{FetchRequest{After: 5}, "a10105"},
		{
			FetchReply{Sequence: 5, Changes: [][]byte{[]byte("c")}, Document: []byte("d"), Fresh: true, AgeMs: 6},
			"a501050281416303416404f50506",
		},
	} {
		Convey(fmt.Sprintf("%T is encoded as before", message.value), t, func() {
			encoded, err := cbor.Marshal(message.value)
			So(err, ShouldBeNil)
			So(hex.EncodeToString(encoded), ShouldEqual, message.encoded)
		})
	}
}
