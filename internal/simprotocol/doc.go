// Package simprotocol decodes the simulator's binary batches of events into balance events and encodes actions into its binary
// replies. It decides nothing and does no I/O but reading from the io.Reader that it is given. Package simadapter is its caller.
//
// A batch is a header of 16 bytes (the number of records, the bytes that follow, and the clock in nanoseconds), the records of 48
// bytes, and a tail that records refer to by offset and length. A reply is a header of 8 bytes, records of 24 bytes and a tail.
// All numbers are big-endian.
package simprotocol

import (
	"encoding/binary"
	"math"
	"time"
)

const (
	headerLen      = 16
	replyHeaderLen = 8
	eventLen       = 48
	actionLen      = 24
	entryLen       = 22
	listSlots      = 16
	maxBody        = 1 << 30 // bytes
	allPeers       = math.MaxUint32
)

// The codes of events, by the protocol's names.
const (
	codePowerOff   = 1
	codeManifest   = 2
	codeGone       = 3
	codeSettled    = 4
	codeChecked    = 5
	codeOrder      = 6
	codeMembership = 7
	codeTo         = 8
	codeHeaders    = 9
	codeInbox      = 10
	codeUp         = 11
	codeWake       = 12
)

// The codes of actions, by the protocol's names.
const (
	codeCheck    = 65
	codeCrash    = 66
	codeArm      = 67
	codeDispatch = 68
	codeGiveUp   = 69
	codeBusy     = 70
	codeCallOff  = 71
	codeObserve  = 72
	codeAnnounce = 73
	codeRecord   = 74
	codeClose    = 75
	codeFor      = 76
	codeRefresh  = 77
)

func u16(b []byte, at int) uint16 { return binary.BigEndian.Uint16(b[at:]) }
func u32(b []byte, at int) uint32 { return binary.BigEndian.Uint32(b[at:]) }
func u64(b []byte, at int) uint64 { return binary.BigEndian.Uint64(b[at:]) }

// duration reads nanoseconds, the largest duration standing for all longer ones.
func duration(b []byte, at int) time.Duration {
	return time.Duration(min(u64(b, at), math.MaxInt64))
}
