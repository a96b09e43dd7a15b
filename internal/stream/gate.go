package stream

import (
	"time"

	"pinelb.example/pinelb/balance"
)

// Gate says what this sidecar may do at present. It is asked on a request's path, by many goroutines at once.
type Gate interface {
	// Takes tells whether new streams are taken, and where not, after how long their clients should come again; 0 is no advice.
	Takes() (takes bool, again time.Duration)
	// Sends tells whether attempts go out. One that doesn't ends as never sent, which is no evidence of its host.
	Sends() bool
}

// AuditLog is told of each attempt when it begins, and when it ends, on the streams' own time and by many goroutines at once.
// Under is the number of the version by which it was decided.
type AuditLog interface {
	// Sent counts an attempt in. It has crossed if its stream's first attempt was decided under another number.
	Sent(under uint32, class int, host balance.EndpointID, crossed bool)
	// EndedAt tells of one that it never reached its host, or has left it: it was withdrawn, and the host may not have seen it.
	Ended(under uint32, class int, host balance.EndpointID, never, left bool)
}
