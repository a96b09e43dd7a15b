package coordinator

import (
	"math"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pinelb.example/pinelb/internal/fleet/coordination"
	"pinelb.example/pinelb/internal/fleet/register"
)

// CallRequest asks a proposer to execute an operation. One that comes again, with the same ID from the same machine, is executed once. The
// numbers of the fields are part of the protocol.
type CallRequest struct {
	ID        uint64                 `cbor:"1,keyasint"`
	Operation coordination.Operation `cbor:"2,keyasint"`
	Timeout   time.Duration          `cbor:"3,keyasint"`           // after which the caller has given up, from when this copy was sent
	Park      time.Duration          `cbor:"4,keyasint,omitempty"` // of a watch: how long it waits for events
	Process   uint64                 `cbor:"5,keyasint,omitempty"` // the only process that may execute it; 0: any at the address
}

// CallReply answers a CallRequest. Where that came again while the first copy is under way, or is meant for another
// process, it has no certainty: the proposer is alive.
type CallReply struct {
	ID        uint64              `cbor:"1,keyasint"`
	Certainty register.Certainty  `cbor:"2,keyasint,omitempty"`
	Result    coordination.Result `cbor:"3,keyasint"`
	Process   uint64              `cbor:"4,keyasint,omitempty"` // that answers
}

// decoding takes as many registers as a machine holds; the default ends at 131,072.
var decoding = sync.OnceValues(cbor.DecOptions{MaxArrayElements: math.MaxInt32}.DecMode)

// Decode decodes a message of this package or of package register, or a record of the log.
func Decode(encoded []byte, value any) error {
	mode, err := decoding()
	if err != nil {
		return err
	}
	return mode.Unmarshal(encoded, value)
}
