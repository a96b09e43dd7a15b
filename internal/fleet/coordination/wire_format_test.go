package coordination

import (
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against renamed fields or reordered constants that change the wire protocol between routers of different versions, or the format on
// disk.
func TestWireFormat(t *testing.T) {
	revision := uint64(8)
	for _, message := range []struct {
		value   any
		encoded string
	}{
		{
			Operation{
				Kind: Acquire, Name: Name{Kind: KindLock, ID: "n"}, Holder: "h", Fence: 4, Hold: 5 * time.Nanosecond, Key: "k", Value: "v",
				IfRevision: &revision, Since: 9,
			},
			"a9010102a2010102616e0361680404050506616b07617608080909",
		},
		{Operation{Kind: Increment, Name: Name{Kind: KindCounter, ID: "n"}}, "a2010402a2010202616e"},
		{
			Result{Outcome: Done, Fence: 2, Count: 3, Revision: 4, Value: "v", Events: []Event{{Key: "k", Value: "v", Revision: 3, AgeMs: 4}}},
			"a601010202030304040561760681a401616b02617603030404",
		},
		{Result{Outcome: Held}, "a10102"},
		{
			Change{
				Lock:    &LockRecord{Fence: 1, Holder: "h", HoldMs: 3, AgeMs: 4},
				Counter: &CounterRecord{Count: 1},
				Group: &GroupRecord{
					Revision: 1, Floor: 2, Cells: []Cell{{Key: "k", Value: "v", Revision: 3}}, Events: []Event{{Key: "k", Value: "v", Revision: 3}},
				},
				Decision: &DecisionRecord{Value: "v"},
				Puts:     []Event{{Key: "k", Value: "v", Revision: 3}},
			},
			"a501a401010261680303040402a1010103a4010102020381a301616b02617603030481a301616b026176030304a10161760581a301616b0261760303",
		},
		{Change{Lock: &LockRecord{Fence: 1}, Group: &GroupRecord{Revision: 1}, Decision: &DecisionRecord{}}, "a301a1010103a1010104a0"},
	} {
		Convey(fmt.Sprintf("%+v has a stable encoding", message.value), t, func() {
			encoded, err := cbor.Marshal(message.value)
			So(err, ShouldBeNil)
			So(hex.EncodeToString(encoded), ShouldEqual, message.encoded)
		})
	}
	Convey("Kinds, operations and outcomes have stable numbers", t, func() {
		So([]Kind{KindLock, KindCounter, KindGroup, KindDecision}, ShouldResemble, []Kind{1, 2, 3, 4})
		So([]OperationKind{Acquire, Renew, Release, Increment, Put, Get, Watch, Decide}, ShouldResemble, []OperationKind{1, 2, 3, 4, 5, 6, 7, 8})
		So([]Outcome{Done, Held, Mismatch, Missing, Compacted, Pending, Full}, ShouldResemble, []Outcome{1, 2, 3, 4, 5, 6, 7})
	})
}
