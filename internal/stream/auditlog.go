package stream

import "pinelb.example/pinelb/balance"

// AuditLog records when each attempt starts and ends, on the streams' own time and called by many goroutines at once. Version
// is that of the configuration by which the attempt was decided.
type AuditLog interface {
	// Sent counts an attempt in. It has crossed if its stream's first attempt was decided under another version.
	Sent(version uint32, class int, endpoint balance.EndpointID, crossed bool)
	// Ended counts it out, and reports whether it never reached its endpoint, or was cancelled: the endpoint may not have seen
	// it then.
	Ended(version uint32, class int, endpoint balance.EndpointID, neverSent, cancelled bool)
}
