package coordinator

import (
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/register"
)

// Guards against a renamed or renumbered field that changes the messages between routers of different versions.
func TestWireFormat(t *testing.T) {
	operation := coordination.Operation{Kind: coordination.Watch, Name: coordination.Name{Kind: coordination.KindGroup, ID: "g."}, Since: 9}
	for _, message := range []struct {
		value   any
		encoded string
	}{
		{CallRequest{ID: 1, Operation: operation, Timeout: 3 * time.Nanosecond, Park: 4 * time.Nanosecond}, "a4010102a3010702a201030262672e090903030404"},
		{CallRequest{ID: 1, Operation: operation, Timeout: 3 * time.Nanosecond}, "a3010102a3010702a201030262672e09090303"},
		{CallReply{ID: 1, Certainty: register.Decided, Result: coordination.Result{Outcome: coordination.Held}}, "a30101020103a10102"},
		{CallReply{ID: 1, Certainty: register.Unclear}, "a30101020203a10100"},
	} {
		Convey(fmt.Sprintf("%T %+v is encoded as before", message.value, message.value), t, func() {
			encoded, err := cbor.Marshal(message.value)
			So(err, ShouldBeNil)
			So(hex.EncodeToString(encoded), ShouldEqual, message.encoded)
		})
	}
}
