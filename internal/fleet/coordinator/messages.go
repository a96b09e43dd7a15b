package coordinator

import (
	"math"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/register"
)

// CallRequest asks a proposer to execute an operation. A proposer executes copies with the same ID from the same machine only
// once. The field numbers are part of the protocol.
type CallRequest struct {
	ID        uint64                 `cbor:"1,keyasint"`
	Operation coordination.Operation `cbor:"2,keyasint"`
	Timeout   time.Duration          `cbor:"3,keyasint"`           // from sending this copy until the caller's deadline, excluding Park
	Park      time.Duration          `cbor:"4,keyasint,omitempty"` // of a watch: for how long it waits for events
	Process   uint64                 `cbor:"5,keyasint,omitempty"` // the only process that may execute it; 0: any process at the address
}

// CallReply answers a CallRequest. Certainty is 0 if an earlier copy of the request is still in progress, or if the request is
// bound to another process. Such a reply only shows that the proposer is alive.
type CallReply struct {
	ID        uint64              `cbor:"1,keyasint"`
	Certainty register.Certainty  `cbor:"2,keyasint,omitempty"`
	Result    coordination.Result `cbor:"3,keyasint"`
	Process   uint64              `cbor:"4,keyasint,omitempty"` // the sending process: a number drawn at random at its start
}

// decoding returns a mode with the highest limit on the length of arrays, so that a record or message can contain all
// registers of a machine. The library's default limit is 131,072 elements.
var decoding = sync.OnceValues(cbor.DecOptions{MaxArrayElements: math.MaxInt32}.DecMode)

// Decode decodes a message of this package or of package register, or a record of the log.
func Decode(encoded []byte, value any) error {
	mode, err := decoding()
	if err != nil {
		return err
	}
	return mode.Unmarshal(encoded, value)
}
